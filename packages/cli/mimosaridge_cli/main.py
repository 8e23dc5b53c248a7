"""The program `mimosaridge`."""

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
from mimosaridge_cli import storyteller


class Commands(
    analyst.Analyst, administrator.Administrator, storyteller.Storyteller
):
    """Asks, changes and explains a mimosaridge deployment.

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
            endpoint: Back end whose workers may run it; any if left out.
            body: What the worker is given.
            kind: request, batch or gang (all tasks at once or none).
            count: Number of tasks of a job.
            cpu_millis: Processor time each, in thousandths of a core.
            memory_mib: Memory each, in MiB.
            accelerators: Accelerators each.
            connections: Connections each.
            idempotent: Say that running it twice does no harm.
            urgency: 0 urgent, 1 normal, 2 background.
            within_s: It must start within this many seconds.
            work_id: A UUID version 7; to ask again for the same work.
            queue: A queue open to all, instead of a team.
        """
        chosen = work_id or str(uuid6.uuid7())
        submission = {
            "work_id": chosen,
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
            print(f"work {chosen}", file=sys.stderr)
        with progress.shown(f"not answered; ask: mimosaridge explain {chosen}"):
            content = self._call("POST", "/v1/work", submission)
        if self._json:
            output.machine(content)
        elif "answer" in content:
            print(base64.b64decode(content["answer"]).decode())
        else:
            print(f"accepted; ask: mimosaridge explain {chosen}")

    def cancel(self, work_id: str) -> None:
        """Cancels work that has not ended."""
        content = self._call("POST", f"/v1/work/{work_id}/cancel")
        self._show(content, "cancellation sent")


def _text(body: Any) -> str:
    """Undoes fire's reading of a JSON body as a Python value."""
    return body if isinstance(body, str) else json_library.dumps(body)


def _arguments(given: list[str]) -> list[str]:
    """Returns arguments in the form that fire reads as people mean them.

    Fire takes the word after --json for its value, and calls a command that
    lacks arguments a failure although its help was asked for.
    """
    read = ["--json=True" if item == "--json" else item for item in given]
    if "--help" in read:
        read = [item for item in read if item not in ("--help", "--")]
        read += ["--", "--help"]
    return read


def main() -> None:
    """Entry point."""
    if sys.argv[1:] in ([], ["--help"], ["-h"]):
        # Help on the class lists only its flags; on an object, the commands.
        fire.Fire(Commands(), command=["--help"], name="mimosaridge")
    else:
        arguments = _arguments(sys.argv[1:])
        fire.Fire(Commands, command=arguments, name="mimosaridge")


if __name__ == "__main__":
    main()
