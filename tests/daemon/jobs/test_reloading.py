"""Tests of reloading the settings file."""

import os
import tempfile

import testtools

from mimosaridge_daemon.jobs import reloading
from mimosaridge_platform import daemonsettings

SETTINGS = """\
nodeName=front-1
ip=10.1.0.5
zone=a
listenAddresses.front=10.1.0.5:8686
listenAddresses.readiness=10.1.0.5:8689
internalPortRange=7180,7195
platform.address=10.200.1.7:8683
bounds.stopTimeoutMs=900
"""


class ReloadingTest(testtools.TestCase):
    """Reloads of valid, unchanged and invalid files."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "local.conf")
        self._write(SETTINGS)
        os.environ[daemonsettings.PATH_VARIABLE] = self.path
        self.addCleanup(os.environ.pop, daemonsettings.PATH_VARIABLE)
        self.bounds = []
        self.reloader = reloading.Reloader(
            daemonsettings.load(), self.bounds.append, reloading.mtime_ns()
        )

    def _write(self, text):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)

    def test_changed_bounds_are_applied(self):
        self._write(SETTINGS.replace("900", "400"))
        self.reloader.reload("signal")
        self.assertEqual([0.4], [bounds.stop_s for bounds in self.bounds])

    def test_unchanged_file_has_no_effect(self):
        self.reloader.reload("signal")
        self.assertEqual([], self.bounds)

    def test_invalid_file_is_ignored(self):
        self._write(SETTINGS.replace("zone=a\n", ""))
        self.reloader.reload("signal")
        self.assertEqual([], self.bounds)
        self.assertEqual("a", self.reloader.settings.zone)
