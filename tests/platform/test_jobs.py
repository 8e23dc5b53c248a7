"""Steps of jobs.feature: daemons as real processes against a stand-in."""

import contextlib
import itertools
import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import time

import pytest
import pytest_bdd
from pytest_bdd import parsers
import urllib3

pytest_bdd.scenarios("jobs.feature")

ROOT = pathlib.Path(__file__).parents[2]
LONGEST_WAIT_S = 30.0
HOST = "queues.example"
PREFIX = "/tasks/"
# Each scenario has loopback addresses of its own.
NETWORKS = itertools.count(1)
STORE_PORT = 8683


def _settings(name, ip, store_ip):
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
    """A stand-in with daemons, and what the callers heard."""

    def __init__(self, folder, network):
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

    def ask_standin(self, method, path, fields=None):
        answer = self.http.request(
            method,
            f"http://{self.store_ip}:{STORE_PORT}{path}",
            json=fields,
            timeout=5,
        )
        return answer.json()

    def start_daemon(self, number):
        ip = f"127.{self.network}.1.{number}"
        name = f"front-{number}"
        settings = self.folder / f"{name}.conf"
        settings.write_text(_settings(name, ip, self.store_ip))
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, str(ROOT / "mimosaridge.py"), "front"],
                env=os.environ | {"MIMOSARIDGE_CONFIG": str(settings)},
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )
        self.daemons[name] = (process, ip)

    def end(self):
        for process, _ in self.daemons.values():
            process.kill()
        self.standin.kill()
        for process in [self.standin, *(p for p, _ in self.daemons.values())]:
            process.wait()

    def call(self, method, ip, path, fields=None, key="key-a"):
        answer = self.http.request(
            method,
            f"http://{ip}:8686{path}",
            json=fields,
            headers={"Host": HOST, "X-Key": key, "X-Deadline-Ms": "3000"},
            timeout=10,
        )
        self.status = answer.status
        self.headers = answer.headers
        return json.loads(answer.data) if answer.data else None

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

    def wait_for(self, check, what):
        deadline = time.monotonic() + LONGEST_WAIT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if check():
                    return
            time.sleep(0.05)
        raise TimeoutError(what)

    def is_ready(self, ip):
        answer = self.http.request(
            "GET", f"http://{ip}:8689/v1/readiness", timeout=2
        )
        return answer.status == 200

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


@pytest.fixture
def platform(tmp_path, worker_id):
    offset = int(worker_id.removeprefix("gw") or 0) if "gw" in worker_id else 0
    made = Platform(tmp_path, 20 + offset * 40 + next(NETWORKS))
    yield made
    made.end()


@pytest_bdd.given(
    parsers.parse("a platform with {daemons:d} daemons and {count:d} workers")
)
def given_platform(platform, daemons, count):
    platform.wait_for(
        lambda: platform.ask_standin("GET", "/test/starts") is not None,
        "the stand-in does not answer",
    )
    platform.ask_standin(
        "POST", "/test/put", {"key": "op/config", "value": CONFIGURATION}
    )
    for number in range(1, count + 1):
        platform.ask_standin(
            "POST",
            "/test/worker",
            {
                "name": f"w{number}",
                "cpu": 4000,
                "service": "registry",
                "zone": "zone-a",
                "address": f"127.{platform.network}.2.{number}:8080",
            },
        )
    for number in range(1, daemons + 1):
        platform.start_daemon(number)
    platform.wait_for(
        lambda: all(platform.is_ready(ip) for ip in platform.live()),
        "the daemons are not ready",
    )
    platform.wait_for(platform.owner, "no daemon is the owner")


STEP = {"cpu": 1000, "memoryRequestMb": 64, "estimatedMs": 300}


@pytest_bdd.when(
    parsers.parse(
        "a job of {first:d} tasks and then {second:d} tasks of {ms:d} ms"
        " is submitted"
    )
)
def submit(platform, first, second, ms):
    platform.steps = [
        STEP | {"count": first},
        STEP | {"count": second, "after": [0]},
    ]
    platform.content = str(ms)

    def accepted():
        platform.submit(platform.steps, platform.content)
        return platform.status == 200

    platform.wait_for(accepted, "the job is not accepted")
    platform.wait_for(
        lambda: _starts(platform)[0] or ms < 1000, "nothing is started"
    )


@pytest_bdd.when("the same job is submitted at every daemon")
def submit_again(platform):
    for ip in platform.live():
        platform.submit(platform.steps, platform.content, ip)
        assert platform.status == 200


@pytest_bdd.when(parsers.parse('a job is submitted with the key "{key}"'))
def submit_with_key(platform, key):
    platform.submit([STEP | {"count": 1}], "100", key=key)


@pytest_bdd.when("the owner is killed")
def kill_owner(platform):
    platform.daemons[platform.owner()][0].kill()


@pytest_bdd.when("the owner is told to end")
def end_owner(platform):
    platform.daemons[platform.owner()][0].send_signal(signal.SIGTERM)


@pytest_bdd.when("it is cancelled")
def cancel(platform):
    platform.call("DELETE", platform.live()[-1], PREFIX + platform.job)
    assert platform.status == 200


@pytest_bdd.when("the store is down")
def down(platform):
    platform.ask_standin("POST", "/test/mode", {"mode": "down"})


@pytest_bdd.when("the store is back")
def back(platform):
    platform.ask_standin("POST", "/test/mode", {"mode": "up"})


@pytest_bdd.when("the state of a job that nobody submitted is asked for")
def ask_unknown(platform):
    platform.call("GET", platform.live()[0], PREFIX + "0" * 16)


def _starts(platform):
    found = platform.ask_standin("GET", "/test/starts").values()
    starts = [task for worker in found for task in worker["starts"]]
    overlaps = [task for worker in found for task in worker["overlaps"]]
    return starts, overlaps


@pytest_bdd.then(parsers.parse("it is shown as {state}"))
def shown(platform, state):
    platform.wait_for(
        lambda: platform.state() == state, f"it is not shown as {state}"
    )


@pytest_bdd.then(
    parsers.parse("{count:d} tasks were started, none of them twice")
)
def started(platform, count):
    starts, overlaps = _starts(platform)
    assert sorted(starts) == sorted(set(starts))
    assert len(starts) == count
    assert overlaps == []


@pytest_bdd.then("nothing is started any more")
def quiet(platform):
    before = _starts(platform)
    time.sleep(1.0)
    assert _starts(platform) == before


@pytest_bdd.then(parsers.parse("the answer is {status:d}"))
def answered(platform, status):
    assert platform.status == status


@pytest_bdd.then(
    parsers.parse("the answer is {status:d} with a time to come back")
)
def answered_later(platform, status):
    assert platform.status == status
    assert int(platform.headers["Retry-After"]) > 0
