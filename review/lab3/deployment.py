"""Starts the project's daemons beside the stand-ins, and keeps the record."""

import asyncio
from collections.abc import Callable
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

import fleet
import store as stores
import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "queues.example"
PREFIX = "/tasks/"
KEY = "key-a"
OTHER_KEY = "key-b"
FRONT_PORT = 8686
READY_PORT = 8689
PLATFORM_PORT = 8683
WAIT_S = 30.0
# How `deploy/system.toml` runs the role.
COMMAND = ("python3", "mimosaridge.py", "front")

SETTINGS = """nodeName={name}
role=scheduler
machineClass=front
serves=front
ip={ip}
zone={zone}
region=praha
listenAddresses.front={ip}:8686
listenAddresses.readiness={ip}:8689
internalPortRange=7180,7195
seedNodes=
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.fileDescriptors=4100
discovery=platform
heartbeatIntervalMs=1500
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.evacuationMs=5000
bounds.maxHoldMs=6000
bounds.stopTimeoutMs=900
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.migrationS=1.5
bounds.maintenanceS=2
bounds.fencingRequired=true
bounds.leaseMs=3000
orders=request
platform.address={platform}:8683
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
cloudApi.address={cloud}
cloudApi.ratePerS=60.0
cloudApi.dutiesPerS=60.0
"""


class CannotRunError(Exception):
    """The case could not run."""


def _free_network() -> str:
    """Returns the first two numbers of a network that nobody listens on."""
    for _ in range(50):
        network = f"127.{random.randint(60, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{network}.0.1", PLATFORM_PORT))
            with socket.socket() as probe:
                probe.bind((f"{network}.1.1", FRONT_PORT))
        except OSError:
            continue
        return network
    raise CannotRunError("no free network")


class Deployment:
    """A small deployment on loopback addresses.

    Attributes:
        notes: What happened, in order, each with its time.
        daemons: Processes by name.
        workers: Workers by name.
    """

    def __init__(self, record: pathlib.Path) -> None:
        self.record = record.open("w", encoding="utf-8")
        self.began_at = time.monotonic()
        self.notes: list[dict[str, Any]] = []
        self.network = _free_network()
        self.folder = tempfile.TemporaryDirectory()
        self.store = stores.Store()
        self.advice = web.Server(fleet.advise)
        self.daemons: dict[str, subprocess.Popen] = {}
        self.ips: dict[str, str] = {}
        self.workers: dict[str, fleet.Worker] = {}
        self.cloud = ""

    def now(self) -> float:
        """Returns the time since the begin, seconds."""
        return time.monotonic() - self.began_at

    def note(self, what: str, **fields: Any) -> None:
        """Records an event."""
        row = {"at": round(self.now(), 3), "what": what} | fields
        self.notes.append(row)
        self.record.write(json.dumps(row) + "\n")
        self.record.flush()

    async def start_platform(self, configuration: dict[str, Any]) -> None:
        """Starts the store and writes the first configuration."""
        await self.store.start(f"{self.network}.0.1", PLATFORM_PORT)
        self.store.put("op/config", configuration)

    async def add_worker(
        self,
        name: str,
        cpu: int = 4000,
        service: str = "tickets",
        zone: str = "praha-a",
        machine: str = "",
    ) -> fleet.Worker:
        """Starts a worker at an address of its own."""
        number = len(self.workers) + 1
        worker = fleet.Worker(
            self.store,
            self.note,
            name,
            f"{self.network}.2.{number}:8080",
            service,
            zone,
            cpu,
            machine=machine,
        )
        self.workers[name] = worker
        await worker.start()
        return worker

    def start_daemon(self, number: int, zone: str = "praha-a") -> str:
        """Starts a daemon as a process of its own; returns its name."""
        name = f"front-{number}"
        ip = f"{self.network}.1.{number}"
        self.ips[name] = ip
        settings = pathlib.Path(self.folder.name) / f"{name}.conf"
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                platform=f"{self.network}.0.1",
                cloud=self.cloud,
            ),
            encoding="utf-8",
        )
        environment = {
            variable: os.environ[variable]
            for variable in ("PATH", "HOME", "LANG")
            if variable in os.environ
        }
        environment["MIMOSARIDGE_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (pathlib.Path(self.folder.name) / f"{name}.log").open("ab") as log:
            self.daemons[name] = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note("daemon-started", daemon=name)
        return name

    def kill_daemon(self, name: str) -> None:
        """Kills a daemon."""
        self.daemons[name].kill()
        self.daemons[name].wait()
        self.note("daemon-killed", daemon=name)

    def log_of(self, name: str) -> list[dict[str, Any]]:
        """Returns the lines of a daemon's log."""
        path = pathlib.Path(self.folder.name) / f"{name}.log"
        rows = []
        for line in path.read_text(errors="replace").splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows

    def owner(self) -> str:
        """Returns the daemon whose claim the store has; empty if none."""
        claim = self.store.read("mimosaridge/owner")
        return claim["name"] if claim else ""

    async def wait_until(
        self, condition: Callable[[], Any], what: str, wait_s: float = WAIT_S
    ) -> None:
        """Waits until a condition holds.

        Raises:
            CannotRunError: It does not within the time.
        """
        until = time.monotonic() + wait_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRunError(f"not seen in time: {what}")
            await asyncio.sleep(0.02)

    async def wait_ready(self) -> None:
        """Waits until all daemons are ready and one owns the workers."""
        until = time.monotonic() + WAIT_S
        for name, ip in self.ips.items():
            while True:
                status, _ = await web.call(
                    "GET", f"{ip}:{READY_PORT}", "/v1/readiness", {}, None, 1.0
                )
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRunError(f"{name} is not ready")
                await asyncio.sleep(0.1)
        await self.wait_until(self.owner, "an owner")

    async def call(
        self,
        method: str,
        daemon: str,
        job: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = 3.0,
        key: str = KEY,
    ) -> tuple[int, dict[str, Any]]:
        """Makes a client's call and records it."""
        status, fields = await web.call(
            method,
            f"{self.ips[daemon]}:{FRONT_PORT}",
            PREFIX + job,
            {
                "Host": HOST,
                "X-Key": key,
                "X-Deadline-Ms": str(int(timeout_s * 1000)),
            },
            body,
            timeout_s + 0.3,
        )
        self.note(
            "call",
            method=method,
            daemon=daemon,
            job=job,
            status=status,
            answer=fields,
        )
        return status, fields

    async def submit(
        self,
        job: str,
        body: dict[str, Any],
        daemons: list[str],
        key: str = KEY,
        tries: int = 5,
    ) -> bool:
        """Hands a job in, with retries; returns whether it was accepted."""
        for attempt in range(tries):
            daemon = daemons[attempt % len(daemons)]
            status, _ = await self.call("POST", daemon, job, body, key=key)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job: str, daemons: list[str], key: str = KEY) -> str:
        """Returns a job's state as shown by the first daemon that tells."""
        for daemon in daemons:
            status, fields = await self.call("GET", daemon, job, key=key)
            if status == 200:
                return fields["state"]
            if status == 410:
                return "410"
        return ""

    def close(self) -> None:
        """Ends all processes and servers."""
        for process in self.daemons.values():
            process.kill()
        for process in self.daemons.values():
            process.wait()
        for worker in self.workers.values():
            worker.server.stop()
        self.store.server.stop()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in pathlib.Path(self.folder.name).iterdir():
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()


def job_id(number: int) -> str:
    """Returns the id of a job."""
    return f"{number:016x}"


def configuration(max_attempts: int = 3, version: int = 3) -> dict[str, Any]:
    """Returns a configuration with one queue and one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r1",
                "host": HOST,
                "prefix": PREFIX,
                "service": "tickets",
                "priority": 0,
                "maxAttempts": max_attempts,
                "stretch": 2.0,
                "targetLatencyMs": 500,
            }
        ],
        "services": [{"name": "tickets", "enforcesCapacity": False}],
        "limits": {"maxBodyBytes": 262144},
        "tenants": [
            {"name": "a", "apiKeys": [KEY], "weight": 10},
            {"name": "b", "apiKeys": [OTHER_KEY], "weight": 10},
        ],
    }


def has_trouble() -> bool:
    """Returns whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(play: Callable[[Deployment], Any], folder: pathlib.Path) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if not, 2 else.

    Args:
        play: Plays the case; returns what broke the rule, empty if it held.
        folder: The folder of the case.
    """
    # So that an end from outside ends the daemons, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    sys.exit(asyncio.run(_play(play, folder)))


async def _play(play: Callable[[Deployment], Any], folder: pathlib.Path) -> int:
    try:
        deployment = Deployment(folder / "record.txt")
    except CannotRunError as error:
        print(f"can't run: {error}")
        return 2
    try:
        broken = await play(deployment)
    except CannotRunError as error:
        deployment.note("cannot-run", why=str(error))
        print(f"can't run: {error}")
        return 2
    else:
        deployment.note("verdict", broken=broken)
        print(f"rule broken: {broken}" if broken else "the rule held")
        return 1 if broken else 0
    finally:
        deployment.close()
