"""Human-readable and JSON output."""

import datetime
import json
import sys
from typing import Any

import tabulate

from mimosaridge_cli import client

EXIT_FAILURE = 1


def print_json(content: Any) -> None:
    """Prints a value as indented JSON."""
    print(json.dumps(content, indent=2))


def print_table(rows: list[list[Any]], headers: list[str]) -> None:
    """Prints rows as a plain-text table."""
    print(tabulate.tabulate(rows, headers=headers, tablefmt="simple"))


def format_time(at: float) -> str:
    """Returns the UTC time of day, with milliseconds, of a Unix time."""
    utc_time = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return utc_time.strftime("%H:%M:%S.%f")[:-3]


def exit_with_failure(failure: client.Failure, as_json: bool = False) -> None:
    """Prints the error of a failed command and exits with its status."""
    if as_json:
        code = None if failure.code is None else int(failure.code)
        name = "" if failure.code is None else failure.code.name
        print_json({"code": code, "name": name, "detail": failure.detail})
    if failure.code is None:
        print(failure.detail, file=sys.stderr)
        sys.exit(client.EXIT_UNREACHABLE)
    text = f"{failure.code.name} ({int(failure.code)}): {failure.detail}"
    print(text, file=sys.stderr)
    if failure.plan:
        print(
            "Plan of this change on the configuration now in force:",
            file=sys.stderr,
        )
        for line in failure.plan["lines"]:
            print(f"  {line}", file=sys.stderr)
    sys.exit(EXIT_FAILURE)


def print_missing_daemons(daemons: list[str]) -> None:
    """Warns that the output lacks the data of some daemons."""
    if daemons:
        print(f"Incomplete: no answer from {', '.join(daemons)}.")
