"""A platform stand-in with daemons as separate processes."""

import contextlib
import json
import os
import pathlib
import secrets
import subprocess
import sys
import time

import urllib3

ROOT = pathlib.Path(__file__).parents[2]
WAIT_TIMEOUT_S = 30.0
HOST = "queues.example"
PREFIX = "/tasks/"
STORE_PORT = 8683


def settings_of(name, ip, store_ip, others=()):
    lines = {
        "nodeName": name,
        "ip": ip,
        "zone": "zone-a",
        "listenAddresses.front": f"{ip}:8686",
        "listenAddresses.readiness": f"{ip}:8689",
        "internalPortRange": "7180,7195",
        "seedNodes": "",
        "platform.address": f"{store_ip}:{STORE_PORT}",
        "recommendation": f"{store_ip}:{STORE_PORT}",
        "bounds.maxHoldMs": "6000",
        **dict(others),
    }
    return "\n".join(f"{key}={value}" for key, value in lines.items())


CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r1",
            "host": HOST,
            "prefix": PREFIX,
            "service": "registry",
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 2.0,
            "targetLatencyMs": 500,
            "recommendation": {
                "decisionMs": 5,
                "periodMs": 0.1,
                "validityMs": 2000,
            },
            "public": False,
        }
    ],
    "services": [{"name": "registry"}],
    "limits": {"maxBodyBytes": 100000},
    "tenants": [{"name": "a", "apiKeys": ["key-a"], "weight": 10}],
}


class Platform:
    """A platform stand-in, its daemons and the last response to a caller.

    Attributes:
        settings: Fields of the daemons' settings besides the common ones.
        configuration: The operators' configuration.
        environment: Variables of the daemons' environment besides the common
            ones.
        job: Id of the current job.
        status: HTTP status of the last response to a caller.
        headers: Headers of the last response to a caller.
    """

    def __init__(
        self,
        folder,
        network,
        settings=(),
        configuration=CONFIGURATION,
        environment=(),
    ):
        self.settings = settings
        self.configuration = configuration
        self.environment = dict(environment)
        self.folder = folder
        self.network = network
        self.http = urllib3.PoolManager(retries=False)
        self.daemons = {}
        self.job = secrets.token_hex(8)
        self.status = 0
        self.headers = {}
        self.store_ip = f"127.{network}.0.1"
        self.standin = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).parent / "standin.py"),
                self.store_ip,
                str(STORE_PORT),
            ]
        )

    def call_standin(self, method, path, fields=None):
        response = self.http.request(
            method,
            f"http://{self.store_ip}:{STORE_PORT}{path}",
            json=fields,
            timeout=5,
        )
        return response.json()

    def start_daemon(self, number):
        ip = f"127.{self.network}.1.{number}"
        name = f"front-{number}"
        settings = self.folder / f"{name}.conf"
        settings.write_text(settings_of(name, ip, self.store_ip, self.settings))
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, str(ROOT / "mimosaridge.py"), "front"],
                env=os.environ
                | self.environment
                | {"MIMOSARIDGE_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )
        self.daemons[name] = (process, ip)

    def start(self, daemons, workers):
        """Starts workers and daemons and waits until a daemon is the owner."""
        self.wait_for(
            lambda: self.call_standin("GET", "/test/starts") is not None,
            "the platform stand-in does not respond",
        )
        self.call_standin(
            "POST",
            "/test/put",
            {"key": "op/config", "value": self.configuration},
        )
        for number in range(1, workers + 1):
            self.call_standin(
                "POST",
                "/test/worker",
                {
                    "name": f"w{number}",
                    "cpu": 4000,
                    "service": "registry",
                    "zone": "zone-a",
                    "address": f"127.{self.network}.2.{number}:8080",
                },
            )
        for number in range(1, daemons + 1):
            self.start_daemon(number)
        self.wait_for(
            lambda: all(self.is_ready(ip) for ip in self.live()),
            "the daemons are not ready",
        )
        self.wait_for(self.owner, "no daemon is the owner")

    def stop(self):
        for process, _ in self.daemons.values():
            process.kill()
        self.standin.kill()
        for process in [self.standin, *(p for p, _ in self.daemons.values())]:
            process.wait()

    def call(self, method, ip, path, fields=None, key="key-a"):
        response = self.http.request(
            method,
            f"http://{ip}:8686{path}",
            json=fields,
            headers={"Host": HOST, "X-Key": key, "X-Deadline-Ms": "3000"},
            timeout=10,
        )
        self.status = response.status
        self.headers = response.headers
        return json.loads(response.data) if response.data else None

    def live(self):
        return [
            ip
            for process, ip in self.daemons.values()
            if process.poll() is None
        ]

    def submit(self, steps, content, ip=None, key="key-a"):
        fields = {"taskSpec": content, "steps": steps}
        path = PREFIX + self.job
        return self.call("POST", ip or self.live()[0], path, fields, key)

    def wait_for(self, condition, message):
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if condition():
                    return
            time.sleep(0.05)
        raise TimeoutError(message)

    def is_ready(self, ip):
        response = self.http.request(
            "GET", f"http://{ip}:8689/v1/readiness", timeout=2
        )
        return response.status == 200

    def owner(self):
        name = ""
        for candidate in self.daemons:
            log = (self.folder / f"{candidate}.log").read_text()
            if '"message": "owner"' in log:
                name = candidate
        return name

    def state(self):
        for ip in self.live():
            fields = self.call("GET", ip, PREFIX + self.job)
            if self.status == 200:
                return fields["state"]
        return ""
