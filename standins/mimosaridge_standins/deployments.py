"""Runs a complete deployment as processes on the local machine."""

import fcntl
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
import urllib.request

from mimosaridge_standins import fleets

BOOTSTRAP_KEY = "bootstrap.first-operator"
PEER_SECRET = "loopback-peers"
READY_TIMEOUT_S = 20.0
SHUTDOWN_TIMEOUT_S = 10.0
FIRST_PORT = 15_000
LAST_PORT = 32_000
# Lock files, kept open until this process ends.
PORT_LOCKS: list = []


def _lock_port(port: int) -> bool:
    """Locks a port for this process; returns whether it got the lock."""
    path = pathlib.Path(tempfile.gettempdir()) / f"mimosaridge-port-{port}"
    file = open(path, "w")  # noqa: SIM115
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        return False
    PORT_LOCKS.append(file)
    return True


def free_port() -> int:
    """Returns a free loopback port, reserved until this process ends.

    Avoids the kernel's ephemeral port range: an outgoing connection could take
    such a port before a process listens on it. A lock file keeps other test
    processes from choosing the same port in the meantime.
    """
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if not _lock_port(port):
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def fetch(method: str, url: str, body: Any = None, token: str = "") -> Any:
    """Makes a JSON call and returns the decoded body for any status."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=30) as answer:
            return json.loads(answer.read() or b"{}")
    except urllib.error.HTTPError as error:
        return json.loads(error.read() or b"{}")


class Deployment:
    """Stand-ins and daemons, each in its own process."""

    def __init__(
        self,
        fleet: str = "queensland",
        daemons: int = 3,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mimosaridge-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.environment = environment or {}
        self.store_url = f"http://127.0.0.1:{free_port()}"
        self.workers_url = f"http://127.0.0.1:{free_port()}"
        self.hosts_url = f"http://127.0.0.1:{free_port()}"
        self.hosts = getattr(fleets, fleet)(self.workers_url)
        self.zones = sorted({host["zone"] for host in self.hosts})
        self.addresses: dict[str, tuple[str, str]] = {}
        for number in range(daemons):
            self.addresses[f"daemon-{number}"] = (
                f"127.0.0.1:{free_port()}",
                f"127.0.0.1:{free_port()}",
            )

    def start(self) -> None:
        """Starts all processes and waits until the deployment is ready.

        Raises:
            TimeoutError: Not ready within `READY_TIMEOUT_S`; all processes
                have been killed.
        """
        try:
            self._start()
        except BaseException:
            self.stop()
            raise

    def _start(self) -> None:
        fleet = self.folder / "fleet.json"
        fleet.write_text(json.dumps(self.hosts))
        self._start_standin("store", self.store_url)
        self._start_standin("workers", self.workers_url, f"--fleet={fleet}")
        self._start_standin("hostlist", self.hosts_url, f"--fleet={fleet}")
        for name in self.addresses:
            self.start_daemon(name)
        self.wait_ready()

    def _start_standin(self, name: str, url: str, *arguments: str) -> None:
        listen = url.removeprefix("http://")
        self._start_process(
            name,
            [
                sys.executable,
                "-m",
                "mimosaridge_standins.main",
                name,
                f"--listen={listen}",
                *arguments,
            ],
            {},
        )

    def _start_process(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> None:
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        self.processes[name] = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
            env=os.environ | environment,
            start_new_session=True,
        )
        log.close()

    def start_daemon(self, name: str) -> None:
        """Starts the process of a daemon."""
        http, peer = self.addresses[name]
        position = list(self.addresses).index(name)
        settings = {
            "NAME": name,
            "ZONE": self.zones[position % len(self.zones)],
            "LISTEN_HTTP": http,
            "LISTEN_PEER": peer,
            "STORE_URL": self.store_url,
            "HOSTS_URL": self.hosts_url,
            "PEER_SECRET": PEER_SECRET,
            "BOOTSTRAP_KEY": BOOTSTRAP_KEY,
        }
        environment = {f"MIMOSARIDGE_{k}": v for k, v in settings.items()}
        command = [sys.executable, "-m", "mimosaridge_daemon.main"]
        self._start_process(name, command, environment | self.environment)

    def url(self, name: str = "daemon-0") -> str:
        """Returns the base URL of a daemon's HTTP interface."""
        return "http://" + self.addresses[name][0]

    def status(self, name: str = "daemon-0") -> Any:
        """Returns the status that a daemon reports, or None if unreachable."""
        try:
            answer = fetch(
                "GET", self.url(name) + "/v1/status", token=BOOTSTRAP_KEY
            )
        except OSError:
            return None
        return answer.get("status")

    def wait_ready(self, names: tuple[str, ...] = ()) -> None:
        """Waits until the named daemons, or all, report full readiness.

        Each must see exactly these daemons alive, all shards ready and every
        bucket owned.

        Raises:
            TimeoutError: Not ready within `READY_TIMEOUT_S`.
        """
        expected = names or tuple(self.addresses)
        shards = {host["zone"] for host in self.hosts}
        deadline = time.time() + READY_TIMEOUT_S
        while time.time() < deadline:
            states = [self.status(name) for name in expected]
            if all(
                state
                and len(state["live"]) == len(expected)
                and {s["zone"] for s in state["shards"] if s["ready"]} >= shards
                and all(shard["ready"] for shard in state["shards"])
                and sum("bucket" in name for name in state["owners"]) == 16
                for state in states
            ):
                return
            time.sleep(0.1)
        raise TimeoutError(
            f"deployment not ready within {READY_TIMEOUT_S} s; logs are in"
            f" {self.folder}"
        )

    def pid(self, name: str) -> int:
        """Returns the process id of a daemon or stand-in."""
        return self.processes[name].pid

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL and waits for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def pause(self, name: str) -> None:
        """Suspends a process with SIGSTOP."""
        os.kill(self.pid(name), signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a paused process with SIGCONT."""
        os.kill(self.pid(name), signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Shuts down a process with SIGTERM and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: It runs on after `SHUTDOWN_TIMEOUT_S`.
        """
        self.processes[name].terminate()
        return self.processes[name].wait(timeout=SHUTDOWN_TIMEOUT_S)

    def stop(self) -> None:
        """Kills all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
