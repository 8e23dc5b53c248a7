"""Operator commands: configuration changes and configuration queries."""

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


class Administrator(connection.CommandBase):
    """Commands that change or read the configuration."""

    def plan(self, change: str, **arguments: Any) -> None:
        """Shows what a change would do, without applying it.

        Args:
            change: Name of the change, for example zone-out.
            **arguments: Arguments of the change.
        """
        content = self._plan(change, arguments)
        self._show(content, "\n".join(content["plan"]["lines"]))

    def change(self, change: str, yes: bool = False, **arguments: Any) -> None:
        """Plans a change, shows the plan and applies it after confirmation.

        Args:
            change: Name of the change, for example zone-out.
            yes: Skip the confirmation prompt.
            **arguments: Arguments of the change.
        """
        content = self._plan(change, arguments)
        plan = content["plan"]
        for line in plan["lines"]:
            print(f"  {line}", file=sys.stderr)
        if not yes and input("Confirm? [y/N] ").strip().lower() != "y":
            print("cancelled; no change was applied")
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
        confirmation = confirmed["confirmed"]
        self._show(
            confirmed,
            f"configuration {confirmation['number']} accepted; in force on"
            f" {', '.join(confirmation['in_force'])}"
            f"{_pending_daemons(confirmation['missing'])}",
        )

    def grant(self, role: str = "team", team: str = "") -> None:
        """Creates an API key, grants it a role and prints it.

        Only a salted digest of the secret is stored, so the key cannot be
        shown again.


        Args:
            role: team, operator or analyst.
            team: Team that the key may submit work for.
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
        """Prints a section of the configuration.

        Args:
            section: teams, workspaces, keys, queues, services, zones-out,
                workers-out or policy.
        """
        content = self._call("GET", f"/v1/configuration/{section}")
        listing = content["section"]
        if self._json:
            output.print_json(listing)
            return
        print(f"configuration {listing['number']}")
        rows = [
            {k: _format_cell(v) for k, v in item.items()}
            if isinstance(item, dict)
            else {"name": item}
            for item in listing["items"]
        ]
        headers = list(rows[0]) if rows else []
        output.print_table([list(row.values()) for row in rows], headers)

    def audit(self, page: str = "") -> None:
        """Lists configuration changes with time, operator and summary.

        Args:
            page: Key of an earlier page, printed at the end of a listing.
        """
        query = parse.urlencode({"page": page})
        audit = self._call("GET", f"/v1/audit?{query}")["audit"]
        if self._json:
            output.print_json(audit)
            return
        rows = [
            [
                output.format_time(entry["at"]),
                entry["operator"],
                entry["revision_after"],
                entry["summary"],
            ]
            for entry in audit["entries"]
        ]
        output.print_table(rows, ["at", "operator", "configuration", "change"])
        if audit["previous"]:
            print(
                f"earlier changes: mimosaridge audit --page={audit['previous']}"
            )

    def export(self, path: str) -> None:
        """Writes a snapshot of the configuration and its checksum to a file.

        Args:
            path: Output file.
        """
        snapshot = self._call("GET", "/v1/configuration/snapshot")["section"]
        with open(path, "w", encoding="utf-8") as file:
            json_library.dump(snapshot, file, indent=2)
        self._show(
            {"path": path, "checksum": snapshot["checksum"]},
            f"configuration {snapshot['snapshot']['number']} written to {path}",
        )

    def restore(self, path: str, yes: bool = False) -> None:
        """Restores the configuration from an exported snapshot.

        Args:
            path: File written by export.
            yes: Skip the confirmation prompt.
        """
        with open(path, encoding="utf-8") as file:
            snapshot = json_library.load(file)
        self.change("restore", yes=yes, **snapshot)


def _pending_daemons(daemons: list[str]) -> str:
    return f"; not yet in force on {', '.join(daemons)}" if daemons else ""


def _format_cell(value: Any) -> Any:
    if isinstance(value, dict):
        return " ".join(f"{name}={v}" for name, v in value.items() if v) or "-"
    return value
