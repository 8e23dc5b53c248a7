"""Demonstrates work in a local copy of the Queensland deployment."""

import base64
import collections
import json
import subprocess
import sys
import time
from typing import Any

import uuid6

from mimosaridge_standins import deployments

REQUESTS = 30
TEAMS = (("tontine", "north", 3.0), ("actuaries", "south", 1.0))
START_WITHIN_S = 20.0
JOBS_WAIT_S = 4.0


class Operator:
    """Runs commands of the command-line client against a deployment."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.addresses = ",".join(
            deployment.url(name) for name in deployment.addresses
        )

    def run(self, token: str, *arguments: str) -> str:
        """Runs a command and returns its standard output.

        Raises:
            SystemExit: The command failed.
        """
        command = [
            sys.executable,
            "-m",
            "mimosaridge_cli.main",
            f"--address={self.addresses}",
            f"--key={token}",
            *arguments,
        ]
        result = subprocess.run(command, capture_output=True, text=True)
        if result.returncode:
            raise SystemExit(f"{' '.join(arguments)}: {result.stderr}")
        return result.stdout


def submit(
    deployment: deployments.Deployment, token: str, **fields: Any
) -> Any:
    """Submits work to a daemon and returns the answer."""
    work = {
        "work_id": str(uuid6.uuid7()),
        "start_before": time.time() + START_WITHIN_S,
    }
    body = base64.b64encode(json.dumps(fields.pop("task", {})).encode())
    index = int(work["work_id"][-4:], 16) % len(deployment.addresses)
    url = deployment.url(f"daemon-{index}") + "/v1/work"
    content = work | fields | {"body": body.decode()}
    return deployments.fetch("POST", url, content, token)


def create_teams(operator: Operator) -> dict[str, str]:
    """Creates the teams, grants keys and returns the tokens by team."""
    root = deployments.BOOTSTRAP_KEY
    tokens = {}
    for team, workspace, share in TEAMS:
        arguments = (f"--workspace={workspace}", f"--share={share}")
        operator.run(
            root,
            "change",
            "create-team",
            "--yes",
            f"--team={team}",
            *arguments,
        )
        output = operator.run(root, "grant", f"--team={team}")
        tokens[team] = output.strip().splitlines()[-1]
    return tokens


def run_work(
    deployment: deployments.Deployment, tokens: dict[str, str]
) -> list[str]:
    """Submits requests, a batch job and a gang job.

    Returns:
        Work IDs of the last request and of both jobs.

    Raises:
        SystemExit: A request failed.
    """
    counts: collections.Counter = collections.Counter()
    work_ids = []
    for number in range(REQUESTS):
        answer = submit(
            deployment,
            tokens["tontine"],
            team="tontine",
            endpoint="registry",
            needs={"cpu_millis": 500, "memory_mib": 256, "connections": 1},
            idempotent=number % 2 == 0,
            task={"run_s": 0.02},
        )
        if answer["name"] != "OK":
            raise SystemExit(f"a request failed: {answer}")
        worker = json.loads(base64.b64decode(answer["answer"]))["worker"]
        counts[worker] += 1
        work_ids = [answer["work_id"]]
    print(f"{REQUESTS} requests answered, by worker: {dict(counts)}")
    for kind, count, needs in (
        ("batch", 6, {"cpu_millis": 4000, "memory_mib": 8192}),
        (
            "gang",
            4,
            {"cpu_millis": 64000, "memory_mib": 65536, "accelerators": 8},
        ),
    ):
        answer = submit(
            deployment,
            tokens["actuaries"],
            team="actuaries",
            endpoint="actuarial",
            kind=kind,
            count=count,
            needs=needs,
            task={"run_s": 2.0},
        )
        print(f"{kind} job of {count} tasks: {answer['name']}")
        work_ids.append(answer["work_id"])
    return work_ids


def main() -> None:
    """Runs the demo."""
    deployment = deployments.Deployment("queensland", daemons=3)
    print("starting 3 daemons, the store, the host list and 25 workers ...")
    try:
        deployment.start()
        operator = Operator(deployment)
        tokens = create_teams(operator)
        operator.run(
            deployments.BOOTSTRAP_KEY,
            "change",
            "put-service",
            "--yes",
            "--service=watcher",
            "--team=tontine",
            "--replicas=6",
            "--endpoint=registry",
            "--needs={cpu_millis: 2000, memory_mib: 1024, slots: 1}",
        )
        work_ids = run_work(deployment, tokens)
        time.sleep(1.0)
        print("\nwhile the jobs run:\n")
        print(operator.run(deployments.BOOTSTRAP_KEY, "status"))
        time.sleep(JOBS_WAIT_S)
        for work_id in (*work_ids, "service-watcher"):
            print(operator.run(deployments.BOOTSTRAP_KEY, "explain", work_id))
        print("to explain other work: mimosaridge --address=... explain ID")
    finally:
        deployment.stop()


if __name__ == "__main__":
    main()
