"""Tells from daemons' log lines what happened to a job, and why."""

from collections.abc import Iterator
import json
import pathlib
import sys
from typing import Any

from mimosaridge_cli import output

# What each decision means; the fields in braces come from the log line.
SENTENCES = {
    "accepted": "It was stored for team {team} in queue {queue}.",
    "accepted-again": "It arrived again; it is one job.",
    "refused": "It was not taken and never runs: {reason}.",
    "in-doubt": "Whether it was stored is not known: {reason}.",
    "malformed": "It was refused as malformed: {reason}.",
    "cancelled": "Its cancellation was stored.",
    "beyond-weight": "Its team {team} sends more than its weight; it waits.",
    "advice": "{good} of {asked} workers may run {group}, asked by {asker}.",
    "start": "Task {task}, run {run}, goes to {worker} after {waited_s} s.",
    "start-answered": "{worker} says of run {run}: {result} {detail}",
    "preempt": "Run {run} of {task} stops on {worker} for {made_room_for}; its"
    " job could start {slack_s} s later.",
    "ended": "Run {run} of {task} on {worker} ended: {how} {why_stopped}",
    "finished": "The job is {state} after {took_s} s.",
    "owner": "This daemon became the owner, token {token}.",
    "owner-lost": "This daemon is no longer the owner: {reason}.",
    "worker-lost": "{worker} does not answer; its lease ends in"
    " {lease_left_s} s.",
    "lease-over": "The lease of {worker} has ended with {runs} runs.",
    "worker-flaps": "{worker} ends and comes back by turns; no starts for"
    " {rest_s} s.",
    "worker-stalled": "Runs on {worker} stand still; {moved} are moved.",
    "progress-unwritten": "Write {batch} of progress was not made; again.",
}
# Decisions about no single job that tell why one had to wait.
CIRCUMSTANCES = ("owner", "owner-lost", "worker-lost", "lease-over")


class _Blank(dict):
    """Leaves out fields that a line does not have."""

    def __missing__(self, key: str) -> str:
        return "?"


def read(files: tuple[str, ...]) -> Iterator[dict[str, Any]]:
    """Yields the structured lines of log files; "-" is standard input."""
    for name in files:
        text = (
            sys.stdin.read()
            if name == "-"
            else pathlib.Path(name).read_text(encoding="utf-8")
        )
        for line in text.splitlines():
            start = line.find('{"at"')
            if start < 0:
                continue
            try:
                yield json.loads(line[start:])
            except ValueError:
                print(f"unreadable line: {line[:80]}", file=sys.stderr)


def select(lines: Iterator[dict[str, Any]], job: str) -> list[dict[str, Any]]:
    """Returns the lines that tell of a job, in the order of time."""
    chosen, circumstances = [], []
    for line in lines:
        names = (line.get("job", ""), line.get("path", "").rpartition("/")[2])
        if job in names or job in line.get("jobs", ()):
            chosen.append(line)
        elif line.get("message") in CIRCUMSTANCES:
            circumstances.append(line)
    if not chosen:
        return []
    first = min(line["at"] for line in chosen)
    last = max(line["at"] for line in chosen)
    chosen += [line for line in circumstances if first <= line["at"] <= last]
    return sorted(chosen, key=lambda line: line["at"])


def sentence(line: dict[str, Any]) -> str:
    """Returns what a line says, for a newcomer."""
    rule = line.get("message", "")
    return SENTENCES.get(rule, rule).format_map(_Blank(line)).strip()


class Storyteller:
    """The command that reads logs; it needs no daemon and no key."""

    def story(self, job: str, *files: str) -> None:
        """Tells what happened to a job, from the daemons' log files.

        Args:
            job: The job's id, 16 hexadecimal digits.
            files: Log files of any daemons; "-" for standard input.
        """
        lines = select(read(files), str(job))
        if getattr(self, "_json", False):
            output.machine(lines)
            return
        if not lines:
            print(f"No line names job {job}; look into more daemons' logs.")
            sys.exit(output.FAILED_EXIT)
        output.table(
            [
                [line["at"][11:23], line["daemon"], sentence(line)]
                for line in lines
            ],
            ["time", "daemon", "what happened"],
        )
