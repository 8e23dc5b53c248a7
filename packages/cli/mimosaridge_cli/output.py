"""Printing for people and for machines."""

import datetime
import json
import sys
from typing import Any

import tabulate

from mimosaridge_cli import client

FAILED_EXIT = 1


def machine(content: Any) -> None:
    """Prints JSON."""
    print(json.dumps(content, indent=2))


def table(rows: list[list[Any]], headers: list[str]) -> None:
    """Prints a table."""
    print(tabulate.tabulate(rows, headers=headers, tablefmt="simple"))


def clock(at: float) -> str:
    """Returns a time of day with milliseconds, in UTC."""
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def fail(failure: client.Failure) -> None:
    """Prints why a command failed and exits."""
    if failure.code is None:
        print(failure.detail, file=sys.stderr)
        sys.exit(client.NOT_REACHED_EXIT)
    text = f"{failure.code.name} ({int(failure.code)}): {failure.detail}"
    print(text, file=sys.stderr)
    sys.exit(FAILED_EXIT)


def silent(daemons: list[str]) -> None:
    """Names daemons whose part of an answer is missing."""
    if daemons:
        print(f"These daemons did not answer: {', '.join(daemons)}.")
