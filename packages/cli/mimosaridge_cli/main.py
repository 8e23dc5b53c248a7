"""The program `mimosaridge`."""

import base64
import json as json_library
import secrets
import sys
import time
from typing import Any
import uuid

import fire
import uuid6

from mimosaridge_cli import analyst
from mimosaridge_cli import output
from mimosaridge_core import keys

SECRET_BYTES = 24
SALT_BYTES = 16


class Commands(analyst.Analyst):
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

    def plan(self, change: str, **arguments: Any) -> None:
        """Shows what a change would do, without doing it.

        Args:
            change: Name of the change, for instance zone-out.
            **arguments: The change's own arguments.
        """
        content = self._plan(change, arguments)
        self._show(content, "\n".join(content["plan"]["lines"]))

    def change(self, change: str, yes: bool = False, **arguments: Any) -> None:
        """Plans a change, shows the plan, and applies it once confirmed.

        Args:
            change: Name of the change, for instance zone-out.
            yes: Confirm without asking.
            **arguments: The change's own arguments.
        """
        content = self._plan(change, arguments)
        plan = content["plan"]
        for line in plan["lines"]:
            print(f"  {line}", file=sys.stderr)
        if not yes and input("Confirm? [y/N] ").strip().lower() != "y":
            print("nothing was changed")
            return
        confirmed = self._call(
            "POST",
            "/v1/confirmations",
            {
                "intent": {"change": change, "arguments": arguments},
                "base_number": plan["base_number"],
                "expires_at": plan["expires_at"],
                "change_id": str(uuid.uuid4()),
            },
        )
        done = confirmed["confirmed"]
        self._show(
            confirmed,
            f"configuration {done['number']} is accepted; in force at"
            f" {', '.join(done['in_force'])}",
        )

    def grant(self, role: str = "team", team: str = "") -> None:
        """Makes a key, grants it and prints it once.

        Args:
            role: team, operator or analyst.
            team: Team that the key submits for.
        """
        key_id = "k" + secrets.token_hex(6)
        secret = secrets.token_urlsafe(SECRET_BYTES)
        salt = secrets.token_hex(SALT_BYTES)
        arguments = {
            "key_id": key_id,
            "role": role,
            "team": team,
            "salt": salt,
            "digest": keys.digest(salt, secret),
        }
        self.change("grant-key", yes=True, **arguments)
        print(f"{key_id}.{secret}")

    def _plan(self, change: str, arguments: dict[str, Any]) -> Any:
        body = {"change": change, "arguments": arguments}
        return self._call("POST", "/v1/plans", body)


def _text(body: Any) -> str:
    """Undoes fire's reading of a JSON body as a Python value."""
    return body if isinstance(body, str) else json_library.dumps(body)


def main() -> None:
    """Entry point."""
    if sys.argv[1:] in ([], ["--help"], ["-h"]):
        # Help on the class lists only its flags; on an object, the commands.
        fire.Fire(Commands(), command=["--help"], name="mimosaridge")
    else:
        fire.Fire(Commands, name="mimosaridge")


if __name__ == "__main__":
    main()
