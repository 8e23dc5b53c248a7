"""Measures end-to-end request latency and cost with real processes."""

# gevent must patch the standard library before any other import.
from gevent import monkey

monkey.patch_all()

import base64  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from typing import Any  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
import harness  # noqa: E402
import tabulate  # noqa: E402
import urllib3  # noqa: E402
import uuid6  # noqa: E402

from mimosaridge_core import keys  # noqa: E402
from mimosaridge_standins import deployments  # noqa: E402

TEAM = "bench"
SALT = "00ff"
START_WITHIN_S = 20.0
HEADERS = (
    "daemons",
    "idempotent",
    "calls open",
    "requests/s",
    "p50 ms",
    "p99 ms",
    "not OK",
    "daemons' CPU ms a request",
    "workers' CPU ms a request",
    "store calls a request",
)


class Caller:
    """Sends requests sequentially over its own connection.

    Attributes:
        latencies_ms: Latency of each answered request in milliseconds.
        error_count: Number of answers other than OK.
    """

    def __init__(self, url: str, idempotent: bool) -> None:
        self.url = url + "/v1/work"
        self.idempotent = idempotent
        self.pool = urllib3.PoolManager(maxsize=1, retries=False)
        self.latencies_ms: list[float] = []
        self.error_count = 0

    def run(self, end_time: float) -> None:
        """Sends requests until a time in seconds since the Unix epoch."""
        while time.time() < end_time:
            started_s = time.perf_counter()
            answer = self._request()
            self.latencies_ms.append((time.perf_counter() - started_s) * 1000)
            self.error_count += answer["name"] != "OK"

    def _request(self) -> Any:
        body = {
            "work_id": str(uuid6.uuid7()),
            "team": TEAM,
            "endpoint": "registry",
            "needs": {"cpu_millis": 100, "memory_mib": 16, "connections": 1},
            "idempotent": self.idempotent,
            "start_before": time.time() + START_WITHIN_S,
            "body": base64.b64encode(b"{}").decode(),
        }
        answer = self.pool.request(
            "POST",
            self.url,
            body=json.dumps(body),
            headers={
                "Content-Type": "application/json",
                "Authorization": f"Bearer k-{TEAM}.secret",
            },
        )
        return json.loads(answer.data)


def _change(url: str, name: str, **arguments: str) -> None:
    intent = {"change": name, "arguments": arguments}
    token = deployments.BOOTSTRAP_KEY
    plan = deployments.fetch("POST", url + "/v1/plans", intent, token)["plan"]
    confirmation = {
        "intent": intent,
        "base_number": plan["base_number"],
        "expires_at": plan["expires_at"],
        "change_id": str(uuid6.uuid7()),
    }
    deployments.fetch("POST", url + "/v1/confirmations", confirmation, token)


def _create_team(deployment: deployments.Deployment) -> None:
    url = deployment.url("daemon-0")
    _change(url, "create-team", team=TEAM, workspace="north")
    _change(
        url,
        "grant-key",
        key_id=f"k-{TEAM}",
        role="team",
        team=TEAM,
        salt=SALT,
        digest=keys.digest(SALT, "secret"),
    )


def _cpu_ms(deployment: deployments.Deployment, prefix: str) -> float:
    """Returns the CPU time in ms of processes whose names have a prefix."""
    ticks = 0
    for name in deployment.processes:
        if name.startswith(prefix):
            with open(f"/proc/{deployment.pid(name)}/stat") as file:
                fields = file.read().rpartition(")")[2].split()
            ticks += int(fields[11]) + int(fields[12])
    return ticks * 1000 / os.sysconf("SC_CLK_TCK")


def _store_calls(deployment: deployments.Deployment) -> int:
    counts = deployments.fetch("GET", deployment.store_url + "/v1/counts")
    return sum(value for value in counts.values() if isinstance(value, int))


def _measure(
    deployment: deployments.Deployment,
    idempotent: bool,
    callers_per_daemon: int,
    seconds: float,
) -> list[Any]:
    urls = [deployment.url(name) for name in deployment.addresses]
    callers = [
        Caller(urls[number % len(urls)], idempotent)
        for number in range(callers_per_daemon * len(urls))
    ]
    daemons_cpu_ms = _cpu_ms(deployment, "daemon")
    workers_cpu_ms = _cpu_ms(deployment, "workers")
    store_calls = _store_calls(deployment)
    end_time = time.time() + seconds
    gevent.joinall([gevent.spawn(caller.run, end_time) for caller in callers])
    latencies_ms = [
        value for caller in callers for value in caller.latencies_ms
    ]
    count = len(latencies_ms)
    return [
        len(urls),
        "yes" if idempotent else "no",
        len(callers),
        count / seconds,
        harness.percentile(latencies_ms, 0.5),
        harness.percentile(latencies_ms, 0.99),
        sum(caller.error_count for caller in callers),
        (_cpu_ms(deployment, "daemon") - daemons_cpu_ms) / count,
        (_cpu_ms(deployment, "workers") - workers_cpu_ms) / count,
        (_store_calls(deployment) - store_calls) / count,
    ]


def main(
    daemons: tuple[int, ...] = (1, 3, 6),
    callers: int = 16,
    seconds: float = 5.0,
) -> None:
    """Prints a table of request costs in the Queensland deployment.

    Args:
        daemons: Numbers of daemons to measure.
        callers: Number of concurrent calls to each daemon.
        seconds: Duration of each measurement.
    """
    rows = []
    for count in daemons:
        deployment = deployments.Deployment(
            "queensland", count, {"MIMOSARIDGE_LOG_LEVEL": "WARNING"}
        )
        try:
            deployment.start()
            _create_team(deployment)
            time.sleep(1.0)
            for idempotent in (True, False):
                rows.append(_measure(deployment, idempotent, callers, seconds))
                print(rows[-1], file=sys.stderr, flush=True)
        finally:
            deployment.stop()
    print(tabulate.tabulate(rows, HEADERS, floatfmt=".2f"))


if __name__ == "__main__":
    fire.Fire(main)
