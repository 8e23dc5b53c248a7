"""A small deployment for the scripts of the cases.

It starts the daemons with the command of the deploy file, as separate
processes on loopback addresses, beside the stand-ins in this folder. Every
process that it starts ends with it.
"""

from collections.abc import Callable
import json
import os
import pathlib
import secrets
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[1]
STANDINS = pathlib.Path(__file__).resolve().parent
# Python without byte code, which would leave a folder among the cases.
PYTHON = (sys.executable, "-B")
HOST = "ficu95.example"
KEY = "nfzs989anu6wsjnbanfq"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# The bounds of the small sites, as DEPLOY.md and the sheets give them.
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "maxStretchMs": 5000,
    "evacuationMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 6000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "restoreMs": 600,
    "noticeMs": 4500,
}
ZONES = ("qld-bne", "qld-tsv", "qld-cns")
STEP = {"count": 1, "cpu": 1000, "memoryRequestMb": 64, "estimatedMs": 500}


# Calls on loopback addresses never go through a proxy of the environment.
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class SetupError(Exception):
    """The case couldn't run."""


def is_trouble() -> bool:
    """Returns whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, prefix: str, **fields: Any) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 250,
        "priority": 0,
        "service": "registry",
        "maxAttempts": 4,
        "stretch": 1.5,
        "public": False,
    } | fields


def configuration(version: int, routes: list[dict], **fields: Any) -> dict:
    """Returns a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "registry",
                "healthPath": "/health",
                "maxConnections": 64,
                "protocol": "h1",
                "tls": False,
                "enforcesCapacity": False,
                "standby": False,
            }
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
        "tenants": [
            {
                "name": "hule930",
                "apiKeys": [KEY],
                "priority": 1,
                "weight": 7,
                "upperLimit": {
                    "cpu": 607146,
                    "memoryRequestMb": 1044563,
                    "gpus": 48,
                },
            }
        ],
    } | fields


class Deployment:
    """The stand-ins, the daemons and the record of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.temporary = tempfile.TemporaryDirectory()
        self.scratch = pathlib.Path(self.temporary.name)
        self.network = self._free_network()
        self.started_at = time.monotonic()
        self.lines: list[str] = []
        self.processes: list[subprocess.Popen] = []
        self.daemons: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        self.store: subprocess.Popen | None = None
        self.store_address = f"{self.network}.0.1:8683"
        self.control = f"{self.network}.0.2:8683"
        # Control addresses of the workers and proxies; kept records of others.
        self.controls: list[str] = []
        self.kept: list[dict] = []

    def _free_network(self) -> str:
        """Returns the first two octets of loopback addresses in no use."""
        for _ in range(50):
            network = f"127.{secrets.randbelow(200) + 20}"
            try:
                for host in ("0.1", "0.2", "1.1", "2.1"):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", 8683))
            except OSError:
                continue
            return network
        raise SetupError("no free loopback network")

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f}  {text}")

    def _spawn(self, words: list[str], log: str, **env: str) -> Any:
        with open(self.scratch / log, "ab") as file:
            process = subprocess.Popen(
                words,
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "HOME": str(self.scratch)}
                | env,
                stdout=file,
                stderr=file,
            )
        self.processes.append(process)
        return process

    def start_store(self, config: dict) -> None:
        """Starts the store with its first configuration."""
        self.store = self._spawn(
            [*PYTHON, str(STANDINS / "store.py"), self.store_address],
            "store.log",
        )
        self.wait_for(lambda: self.put("op/config", config), "the store", 10)

    def put(self, key: str, value: Any) -> bool:
        """Writes a key as the operator; returns whether it was stored."""
        status, _ = self.request(
            "POST",
            self.store_address,
            "/test/put",
            {"key": key, "value": value},
        )
        version = value.get("version", "") if isinstance(value, dict) else ""
        self.note(f"operator writes {key} {version}: {status}")
        return status == 200

    def stored(self, key: str) -> Any:
        """Returns the value of a key of the store; None if there is none."""
        _, item = self.request(
            "GET", self.store_address, f"/v1/kv-key?key={key}"
        )
        return item

    def start_workers(
        self, specs: list[dict], control: str = ""
    ) -> subprocess.Popen:
        """Starts workers in one process with its own control address."""
        control = control or self.control
        process = self._spawn(
            [
                *PYTHON,
                str(STANDINS / "workers.py"),
                self.store_address,
                control,
                json.dumps(specs),
            ],
            "workers.log",
        )
        if control not in self.controls:
            self.controls.append(control)
        self.wait_for(
            lambda: self._record_of(control) is not None, "the workers", 10
        )
        return process

    def kill_workers(self, process: subprocess.Popen, control: str) -> None:
        """Kills a process of workers; keeps its record."""
        self.kept += self._record_of(control) or []
        process.kill()
        process.wait()
        self.processes.remove(process)

    def start_proxy(self, address: str, target: str, control: str) -> None:
        """Starts a proxy before a worker."""
        words = [*PYTHON, str(STANDINS / "proxy.py")]
        self._spawn([*words, address, target, control], "proxy.log")
        self.controls.append(control)
        self.wait_for(
            lambda: self._record_of(control) is not None, "the proxy", 10
        )

    def worker(self, number: int, cpu: int = 32000, **fields: Any) -> dict:
        """Returns the description of a worker."""
        return {
            "id": f"i-{number:08x}",
            "address": f"{self.network}.2.{number}:8080",
            "service": "registry",
            "zone": ZONES[number % len(ZONES)],
            "cpu": cpu,
            "labels": ["a", f"r1-{number % 3}"],
        } | fields

    def record_of_workers(self) -> list[dict]:
        """Returns what the workers were ordered and ran, in order of time."""
        lines = list(self.kept)
        for control in self.controls:
            lines += self._record_of(control) or []
        return sorted(lines, key=lambda line: line["at"])

    def _record_of(self, control: str) -> list[dict] | None:
        status, lines = self.request("GET", control, "/test/record")
        return lines if status == 200 else None

    def start_daemon(self, number: int) -> str:
        """Starts a daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        run = shlex.split(deploy["roles"]["scheduler"]["run"])
        zone = ZONES[number % len(ZONES)]
        name = f"front-{zone}-{number}"
        ip = f"{self.network}.1.{number}"
        lines = {
            "nodeName": name,
            "role": "scheduler",
            "machineClass": "front",
            "serves": "front",
            "ip": ip,
            "zone": zone,
            "region": "qld",
            "listenAddresses.front": f"{ip}:8686",
            "listenAddresses.readiness": f"{ip}:8689",
            "listenAddresses.control": f"{ip}:8688",
            "internalPortRange": "7180,7195",
            "seedNodes": f"{self.network}.1.1:8688",
            "bootstrap": "true",
            "limits.cpuShare": "0.537",
            "limits.cores": "2",
            "limits.memoryMb": "300",
            "limits.fileDescriptors": "4100",
            "discovery": "platform",
            "heartbeatIntervalMs": "1500",
            "orders": "request",
            "recommendation": self.store_address,
            "platform.address": self.store_address,
            "platform.form": "kv",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            "platform.minTtlMs": "1000",
        } | {f"bounds.{key}": value for key, value in BOUNDS.items()}
        settings = self.scratch / f"{name}.conf"
        settings.write_text(
            "".join(f"{key}={value}\n" for key, value in lines.items())
        )
        self.daemons[name] = self._spawn(
            ["python3", *run[1:]],
            f"{name}.log",
            MIMOSARIDGE_CONFIG=str(settings),
            PYTHONPATH=str(ROOT / "target/deps"),
        )
        self.addresses[name] = ip
        self.note(f"{name} is started")
        return name

    def start_daemons(self, count: int) -> None:
        """Starts daemons and waits until all are ready and one owns."""
        for number in range(1, count + 1):
            self.start_daemon(number)
        for name in list(self.daemons):
            self.wait_until_ready(name)
        self.wait_for(lambda: self.owner() is not None, "an owner", 20)

    def wait_until_ready(self, name: str, timeout_s: float = 30) -> None:
        """Waits until a daemon reports that it is ready."""
        self.wait_for(lambda: self.is_ready(name), f"{name} ready", timeout_s)

    def is_ready(self, name: str) -> bool:
        """Returns whether a daemon reports that it is ready."""
        address = f"{self.addresses[name]}:8689"
        return self.request("GET", address, "/v1/readiness")[0] == 200

    def owner(self) -> str | None:
        """Returns the daemon that logged last that it became the owner."""
        latest = None
        for name in self.daemons:
            for line in (self.scratch / f"{name}.log").read_text().splitlines():
                if '"message": "owner"' in line:
                    at = json.loads(line)["at"]
                    latest = max(latest or (at, name), (at, name))
        return latest[1] if latest else None

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a daemon, or to the store."""
        process = self.store if name == "store" else self.daemons[name]
        process.send_signal(number)
        self.note(f"{signal.Signals(number).name} to {name}")

    def request(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        headers: dict | None = None,
        timeout_s: float = 5,
    ) -> tuple[int, Any]:
        """Makes a call; the status is 0 if there is no answer."""
        request = urllib.request.Request(
            f"http://{address}{path}",
            json.dumps(body).encode() if body is not None else None,
            {"Content-Type": "application/json"} | (headers or {}),
            method=method,
        )
        try:
            with OPENER.open(request, timeout=timeout_s) as answer:
                raw = answer.read()
                return answer.status, json.loads(raw) if raw else None
        except urllib.error.HTTPError as error:
            return error.code, None
        except (OSError, ValueError):
            return 0, None

    def call(
        self,
        method: str,
        name: str,
        path: str,
        body: Any = None,
        is_noted: bool = True,
    ) -> tuple[int, Any]:
        """Makes a client's call to a daemon."""
        headers = {"Host": HOST, "X-Key": KEY, "X-Deadline-Ms": "3000"}
        address = f"{self.addresses[name]}:8686"
        status, fields = self.request(method, address, path, body, headers)
        if is_noted:
            self.note(
                f"client: {method} {path} at {name} -> {status}"
                f" {json.dumps(fields) if fields is not None else ''}"
            )
        return status, fields

    def submit(
        self, name: str, prefix: str, spec: dict, steps: list[dict]
    ) -> str:
        """Submits a job, again after no answer; returns its id."""
        job = secrets.token_hex(8)
        body = {"taskSpec": json.dumps(spec), "steps": steps}
        for _ in range(5):
            status, _ = self.call("POST", name, prefix + job, body)
            if status == 200:
                return job
            time.sleep(1)
        raise SetupError("a job was not accepted")

    def wait_for(
        self, condition: Callable[[], Any], what: str, timeout_s: float
    ) -> None:
        """Waits until a condition holds; the case can't run otherwise."""
        if not self.happens(condition, timeout_s):
            raise SetupError(f"no sign of {what} in {timeout_s} s")

    def happens(self, condition: Callable[[], Any], timeout_s: float) -> bool:
        """Returns whether a condition holds within a time."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if condition():
                return True
            time.sleep(0.05)
        return False

    def stop(self) -> None:
        """Ends all processes that were started and writes the record."""
        lines = self.record_of_workers()
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes:
            process.wait()
        text = "\n".join(self.lines) + "\n"
        wall = time.time() - (time.monotonic() - self.started_at)
        text += "\nwhat the workers were ordered and ran\n"
        for line in lines:
            at = line.pop("at") - wall
            text += f"{at:8.3f}  {json.dumps(line)}\n"
        (self.folder / "record.txt").write_text(text)
        if os.environ.get("KEEP_LOGS"):
            for log in self.scratch.glob("*.log"):
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / log.name
                target.write_bytes(log.read_bytes())
        self.temporary.cleanup()


def run(file: str, case: Callable[[Deployment], int]) -> None:
    """Runs a case and exits with its result."""
    # So that the processes end also when the script is told to.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    deployment = Deployment(pathlib.Path(file).resolve().parent)
    result = COULD_NOT_RUN
    try:
        result = case(deployment)
    except SetupError as error:
        deployment.note(f"could not run: {error}")
    finally:
        words = {
            HELD: "the rule held",
            BROKEN: "the rule was broken",
            COULD_NOT_RUN: "the case could not run",
        }
        deployment.note(words[result])
        deployment.stop()
    print(words[result])
    sys.exit(result)
