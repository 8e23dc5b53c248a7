"""Commands of operators: changes, and what they are made to."""

import json as json_library
import secrets
import sys
from typing import Any
from urllib import parse
import uuid

from mimosaridge_cli import connection
from mimosaridge_cli import output
from mimosaridge_core import keys

SECRET_BYTES = 24
SALT_BYTES = 16


class Administrator(connection.Connection):
    """Changes, and readings of the configuration."""

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
            f" {', '.join(done['in_force'])}{_missing(done['missing'])}",
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

    def show(self, section: str) -> None:
        """Lists a section of the configuration.

        Args:
            section: teams, workspaces, keys, queues, services, zones-out,
                workers-out or policy.
        """
        content = self._call("GET", f"/v1/configuration/{section}")
        listing = content["section"]
        if self._json:
            output.machine(listing)
            return
        print(f"configuration {listing['number']}")
        rows = [
            {k: _cell(v) for k, v in item.items()}
            if isinstance(item, dict)
            else {"name": item}
            for item in listing["items"]
        ]
        headers = list(rows[0]) if rows else []
        output.table([list(row.values()) for row in rows], headers)

    def audit(self, page: str = "") -> None:
        """Lists changes: who, when and what.

        Args:
            page: Key of an earlier page, as the end of a listing gives it.
        """
        query = parse.urlencode({"page": page})
        audit = self._call("GET", f"/v1/audit?{query}")["audit"]
        if self._json:
            output.machine(audit)
            return
        rows = [
            [
                output.clock(entry["at"]),
                entry["operator"],
                entry["revision_after"],
                entry["summary"],
            ]
            for entry in audit["entries"]
        ]
        output.table(rows, ["at", "operator", "configuration", "change"])
        if audit["previous"]:
            print(f"earlier: mimosaridge audit --page={audit['previous']}")

    def export(self, path: str) -> None:
        """Writes a snapshot of the configuration, with its checksum.

        Args:
            path: File to write.
        """
        snapshot = self._call("GET", "/v1/configuration/snapshot")["section"]
        with open(path, "w", encoding="utf-8") as file:
            json_library.dump(snapshot, file, indent=2)
        self._show(
            {"path": path, "checksum": snapshot["checksum"]},
            f"configuration {snapshot['snapshot']['number']} is in {path}",
        )

    def restore(self, path: str, yes: bool = False) -> None:
        """Plans and applies an exported snapshot.

        Args:
            path: File that export wrote.
            yes: Confirm without asking.
        """
        with open(path, encoding="utf-8") as file:
            snapshot = json_library.load(file)
        self.change("restore", yes=yes, **snapshot)


def _missing(daemons: list[str]) -> str:
    return f"; not yet at {', '.join(daemons)}" if daemons else ""


def _cell(value: Any) -> Any:
    if isinstance(value, dict):
        return " ".join(f"{name}={v}" for name, v in value.items() if v) or "-"
    return value
