"""Entry point of the `mimosaridge` command."""

import base64
import json as json_library
import sys
import time
from typing import Any

import fire
import uuid6

from mimosaridge_cli import administrator
from mimosaridge_cli import analyst
from mimosaridge_cli import output
from mimosaridge_cli import progress
from mimosaridge_cli import timeline


class Commands(
    analyst.Analyst, administrator.Administrator, timeline.TimelineCommands
):
    """Submits work to, queries and administers a mimosaridge deployment.

    Flags before the command: --address=http://IP:PORT[,...] (or
    MIMOSARIDGE_ADDRESS), --key=ID.SECRET (or MIMOSARIDGE_KEY), --json for
    machine-readable output.
    """

    def run(
        self,
        team: str = "",
        endpoint: str = "",
        body: str = "",
        kind: str = "request",
        count: int = 1,
        cpu_millis: int = 0,
        memory_mib: int = 0,
        accelerators: int = 0,
        connections: int = 0,
        idempotent: bool = False,
        urgency: int = 1,
        within_s: float = 30.0,
        work_id: str = "",
        queue: str = "",
    ) -> None:
        """Submits a request and prints its answer, or submits a job.

        Args:
            team: Team that the key belongs to.
            endpoint: Back end whose workers may run the work; any if omitted.
            body: Payload passed to the worker.
            kind: request, batch or gang (all tasks start together or none).
            count: Number of tasks of a job.
            cpu_millis: CPU per task, in thousandths of a core.
            memory_mib: Memory per task, in MiB.
            accelerators: Accelerators per task.
            connections: Connections per task.
            idempotent: Declare that the request may safely run twice.
            urgency: 0 urgent, 1 normal, 2 background.
            within_s: Start deadline, in seconds from now.
            work_id: UUID version 7; reuse it to retry the same work.
            queue: Queue open to all callers, instead of a team.
        """
        submitted_id = work_id or str(uuid6.uuid7())
        submission = {
            "work_id": submitted_id,
            "team": team,
            "queue": queue,
            "kind": kind,
            "count": count,
            "needs": {
                "cpu_millis": cpu_millis,
                "memory_mib": memory_mib,
                "accelerators": accelerators,
                "connections": connections,
            },
            "endpoint": endpoint,
            "idempotent": idempotent,
            "urgency": urgency,
            "start_before": time.time() + within_s,
            "body": base64.b64encode(_text(body).encode()).decode(),
        }
        if not self._json:
            print(f"work {submitted_id}", file=sys.stderr)
        with progress.report_periodically(
            f"waiting for the answer; check: mimosaridge explain {submitted_id}"
        ):
            content = self._call("POST", "/v1/work", submission)
        if self._json:
            output.print_json(content)
        elif "answer" in content:
            print(base64.b64decode(content["answer"]).decode())
        else:
            print(f"accepted; run: mimosaridge explain {submitted_id}")

    def cancel(self, work_id: str) -> None:
        """Cancels unfinished work."""
        content = self._call("POST", f"/v1/work/{work_id}/cancel")
        self._show(content, "cancellation requested")


def _text(body: Any) -> str:
    """Returns the body as text; fire parses a JSON body into a Python value."""
    return body if isinstance(body, str) else json_library.dumps(body)


def _normalize_arguments(given: list[str]) -> list[str]:
    """Rewrites arguments that fire would otherwise misinterpret.

    Fire parses the argument after --json as its value, and fails on a command
    without its required arguments even if --help is given.
    """
    normalized = ["--json=True" if item == "--json" else item for item in given]
    if "--help" in normalized:
        normalized = [
            item for item in normalized if item not in ("--help", "--")
        ]
        normalized += ["--", "--help"]
    return normalized


def main() -> None:
    """Runs the command line."""
    if sys.argv[1:] in ([], ["--help"], ["-h"]):
        # Fire lists commands only for an instance; for a class, only flags.
        fire.Fire(Commands(), command=["--help"], name="mimosaridge")
    else:
        arguments = _normalize_arguments(sys.argv[1:])
        fire.Fire(Commands, command=arguments, name="mimosaridge")


if __name__ == "__main__":
    main()
