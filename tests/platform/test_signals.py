"""Signals to a daemon that has just been started."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import platforms
import testtools

WAIT_S = 30.0


class HangupTest(testtools.TestCase):
    """SIGHUP, which says that the settings file has changed."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = pathlib.Path(folder.name) / "log"
        settings = pathlib.Path(folder.name) / "local.conf"
        settings.write_text(
            platforms.settings_of("front-1", "127.9.1.1", "127.9.0.1")
        )
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    str(platforms.ROOT / "mimosaridge.py"),
                    "front",
                ],
                env=os.environ | {"MIMOSARIDGE_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
                cwd=platforms.ROOT,
            )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    def _has_loaded(self, library):
        maps = pathlib.Path(f"/proc/{self.process.pid}/maps").read_text()
        return library in maps

    def _messages(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line)["message"] for line in lines]

    def _wait_for(self, condition):
        until = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), until)
            self.assertIsNone(self.process.poll())
            time.sleep(0.005)

    def test_a_hangup_during_the_imports_does_not_end_the_process(self):
        self._wait_for(lambda: self._has_loaded("gevent"))
        self.process.send_signal(signal.SIGHUP)
        self._wait_for(lambda: "started" in self._messages())
        self.process.send_signal(signal.SIGHUP)
        self._wait_for(lambda: "reload" in self._messages())
