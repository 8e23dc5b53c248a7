"""A small deployment: daemons as processes beside stand-ins of the platform."""

import asyncio
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from typing import Any

import http_server
import kv_store
import machines

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
PREFIX = "/lohu930/"
KEY = "3hh2b9wu3fexd9dnn2ct"
# The key of another tenant.
OTHER_KEY = "nfzs989anu6wsjnbanfq"
SERVICE = "huvo11a"
START_S = 30.0
# Time after which a case is given up, seconds.
LONGEST_S = 110.0
BROKEN, HELD, UNABLE = 1, 0, 2
# Held by the script that uses a network of loopback addresses.
RESERVED_PORT = 8679
PORTS = {"front": 8686, "readiness": 8689}

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-dev3nax",
            "host": HOST,
            "prefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 250,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 4,
            "stretch": 1.5,
            "public": False,
        }
    ],
    "services": [{"name": SERVICE, "enforcesCapacity": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
    "tenants": [
        {
            "name": name,
            "apiKeys": [key],
            "priority": 1,
            "weight": 7,
            "upperLimit": {"cpu": 0, "memoryRequestMb": 0, "gpus": 0},
        }
        for name, key in (("hule930", KEY), ("wuno214", OTHER_KEY))
    ],
}


def worker_fields(rack: int, zone: str = "qld-bne") -> dict:
    """Returns the fields of a worker's entry that stay with its machine."""
    return {
        "service": SERVICE,
        "zone": zone,
        "capacity": {"cpu": 32000, "memoryRequestMb": 65536, "gpus": 0},
        "labels": ["a", f"r1-{rack}"],
    }


class Unable(Exception):  # noqa: N818
    """The case can't run."""


class Daemon:
    """One daemon.

    Attributes:
        name: Its name.
        ip: Its address.
        process: Its process; None if none was started.
    """

    def __init__(self, name: str, ip: str, folder: pathlib.Path) -> None:
        self.name = name
        self.ip = ip
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts its process with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "MIMOSARIDGE_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "mimosaridge.py", "front"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to its process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


def _reserve_network() -> tuple[socket.socket, int]:
    """Returns a network 127.N that no other script uses, and its hold on it.

    Daemons of two deployments on one network would find each other.
    """
    for _ in range(100):
        network = random.randrange(2, 250)
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{network}.0.1", RESERVED_PORT))
            reservation.listen()
        except OSError:
            reservation.close()
            continue
        return reservation, network
    raise Unable("no network is free")


class Deployment:
    """The daemons, the platform and the record of what was seen.

    Attributes:
        trouble: Whether the case shall cause its disruption.
        store: The store.
        cloud: The platform's machines.
        daemons: The daemons by name.
        lines: The record.
        settings: Fields of the settings that differ from those of
            cstrp-ledger.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.reservation, network = _reserve_network()
        self.network = network
        self.platform_ip = f"127.{network}.0.1"
        self.store = kv_store.Store()
        self.cloud = machines.Cloud(self.store, self.platform_ip, self.record)
        self.daemons: dict[str, Daemon] = {}
        self.lines: list[str] = []
        self.settings: dict[str, str] = {}
        self.began_at = time.monotonic()

    def record(self, *columns: object) -> None:
        """Adds a line to the record."""
        at = f"{time.monotonic() - self.began_at:8.3f}"
        self.lines.append("\t".join([at, *(str(each) for each in columns)]))

    async def start(self, daemons: int) -> None:
        """Starts the platform and the daemons; waits until all are ready."""
        await self.store.start(self.platform_ip)
        await self.cloud.start()
        await self.store.put("op/config", CONFIGURATION)
        for number in range(1, daemons + 1):
            name = f"front-qld-bne-{number}"
            daemon = Daemon(name, f"127.{self.network}.1.{number}", self.folder)
            daemon.settings.write_text(self._settings(daemon))
            self.daemons[name] = daemon
            daemon.start()
        await self.wait(self._all_ready, START_S, "the daemons to be ready")
        await self.wait(self.owner, START_S, "an owner")

    def _settings(self, daemon: Daemon) -> str:
        fields = {
            "nodeName": daemon.name,
            "role": "scheduler",
            "machineClass": "front",
            "serves": "front",
            "ip": daemon.ip,
            "zone": "qld-bne",
            "region": "qld",
            "internalPortRange": "7180,7195",
            "seedNodes": "",
            "bootstrap": "true",
            "limits.cpuShare": "0.537",
            "limits.cores": "2",
            "limits.memoryMb": "300",
            "limits.fileDescriptors": "4100",
            "heartbeatIntervalMs": "1500",
            "bounds.contactMs": "3000",
            "bounds.graceS": "6",
            "bounds.configApplyMs": "2000",
            "bounds.maxHoldMs": "6000",
            "bounds.stopTimeoutMs": "400",
            "bounds.status_s": "120",
            "bounds.restoreMs": "600",
            "bounds.maintenanceS": "2",
            "bounds.fencingRequired": "true",
            "bounds.leaseMs": "3000",
            "platform.address": self.store.server.address,
            "cloudApi.address": self.cloud.server.address,
            "cloudApi.ratePerS": "60.0",
            "cloudApi.dutiesPerS": "60.0",
        }
        for name, port in PORTS.items():
            fields[f"listenAddresses.{name}"] = f"{daemon.ip}:{port}"
        fields |= self.settings
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    async def _all_ready(self) -> bool:
        for daemon in self.daemons.values():
            address = f"{daemon.ip}:{PORTS['readiness']}"
            status, _ = await http_server.call(address, "GET", "/v1/readiness")
            if status != 200:
                return False
        return True

    async def owner(self) -> str:
        """Returns the name of the daemon whose claim the store has."""
        claim = self.store.value("mimosaridge/owner")
        return claim["name"] if claim else ""

    async def wait(self, condition: Any, seconds: float, what: str) -> Any:
        """Waits until a condition holds.

        Raises:
            Unable: It did not hold in time.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            value = await condition()
            if value:
                return value
            await asyncio.sleep(0.05)
        raise Unable(f"waited in vain for {what}")

    async def call(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        fields: Any = None,
        key: str = KEY,
    ) -> tuple[int, Any]:
        """Calls a daemon as a client and records the call and its answer."""
        headers = {"Host": HOST, "X-Key": key, "X-Deadline-Ms": "3000"}
        self.record("send", daemon.name, method, path, fields or "")
        status, answer = await http_server.call(
            f"{daemon.ip}:{PORTS['front']}",
            method,
            path,
            fields,
            headers,
        )
        self.record("answer", daemon.name, method, path, status, answer or "")
        return status, answer

    def live(self) -> list[Daemon]:
        """Returns the daemons whose processes run."""
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.process is not None and daemon.process.poll() is None
        ]

    def running(self, job_id: str) -> list[str]:
        """Returns the workers on which tasks of a job run."""
        return [
            machine.name
            for machine in self.cloud.all()
            if machine.worker is not None
            for run in machine.worker.running.values()
            if run.task.startswith(job_id)
        ]

    async def is_wave_completed(self, number: int) -> bool:
        """Returns whether the system says that a wave is completed."""
        status = self.store.value(f"status/wave/{number}")
        return status is not None and status["state"] == "completed"

    def stop(self) -> None:
        """Ends all daemons."""
        for daemon in self.daemons.values():
            if daemon.process is not None:
                daemon.send(signal.SIGCONT)
                daemon.send(signal.SIGKILL)
                daemon.process.wait()


def run(case: Any, folder: pathlib.Path) -> None:
    """Runs a case and exits with its result.

    Args:
        case: Coroutine function of a deployment; it returns what was broken,
            one line each.
        folder: Folder of the case, for the record.
    """
    result = UNABLE
    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = asyncio.run(_run(case, folder, pathlib.Path(temporary)))
        except Exception:
            traceback.print_exc()
    sys.exit(result)


async def _run(case: Any, folder: pathlib.Path, temporary: pathlib.Path) -> int:
    deployment = Deployment(temporary)
    try:
        broken = await asyncio.wait_for(case(deployment), LONGEST_S)
        result = BROKEN if broken else HELD
        for line in broken:
            deployment.record("BROKEN", line)
    except (Unable, OSError, TimeoutError) as error:
        deployment.record("UNABLE", type(error).__name__, error)
        result = UNABLE
    finally:
        deployment.stop()
        deployment.reservation.close()
    deployment.record("exit", result)
    (folder / "record.txt").write_text("\n".join(deployment.lines) + "\n")
    return result
