"""Timeline of a job, reconstructed from the daemons' decision logs."""

from collections.abc import Iterator
import json
import pathlib
import sys
from typing import Any

from mimosaridge_cli import output

# Sentence for each decision rule; the log line supplies the fields in braces.
SENTENCES = {
    "accepted": "The job was stored for team {team} in queue {queue}.",
    "accepted-again": "The job was submitted again and runs only once.",
    "refused": "The job was rejected and will not run: {reason}.",
    "in-doubt": "It is unknown whether the job was stored: {reason}.",
    "malformed": "The submission was rejected as malformed: {reason}.",
    "cancelled": "The cancellation was stored.",
    "beyond-weight": "Team {team} exceeds its weight; the job waits.",
    "advice": "{good} of {asked} workers may run {group}, asked by {asker}.",
    "start": "Task {task}, run {run}, starts on {worker} after {waited_s} s.",
    "start-answered": "{worker} answered run {run}: {result} {detail}",
    "step-waits": "{waiting} tasks of {group} have waited for {waited_s} s:"
    " {reason}.",
    "preempt": "Run {run} of {task} on {worker} was preempted for"
    " {made_room_for}; the preempted job has {slack_s} s of slack.",
    "ended": "Run {run} of {task} on {worker} ended: {how} {why_stopped}",
    "finished": "The job ended as {state} after {took_s} s.",
    "owner": "This daemon became the owner with fencing token {token}.",
    "owner-lost": "This daemon is no longer the owner: {reason}.",
    "worker-lost": "{worker} does not answer; its lease ends in"
    " {lease_left_s} s.",
    "lease-over": "The lease of {worker} has ended with {runs} runs.",
    "worker-flaps": "{worker} stops and returns repeatedly; no starts for"
    " {rest_s} s.",
    "worker-stalled": "Runs on {worker} make no progress; {moved} are moved.",
    "team-over-limit": "Team {team} uses {usage}, more than its limit {limit}.",
    "progress-unwritten": "Progress write {batch} failed and is retried.",
}
# Rules of decisions that concern no single job but may explain a delay.
CONTEXT_RULES = (
    "owner",
    "owner-lost",
    "worker-lost",
    "lease-over",
    "team-over-limit",
)


class _Placeholder(dict):
    """Substitutes "?" for fields that a log line lacks."""

    def __missing__(self, key: str) -> str:
        return "?"


def read_lines(files: tuple[str, ...]) -> Iterator[dict[str, Any]]:
    """Yields the JSON lines of log files; "-" is standard input."""
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
                print(f"invalid JSON in log line: {line[:80]}", file=sys.stderr)


def select(lines: Iterator[dict[str, Any]], job: str) -> list[dict[str, Any]]:
    """Returns the lines about a job, and their context, in time order."""
    selected, context = [], []
    for line in lines:
        job_ids = (line.get("job", ""), line.get("path", "").rpartition("/")[2])
        if job in job_ids or job in line.get("jobs", ()):
            selected.append(line)
        elif line.get("message") in CONTEXT_RULES:
            context.append(line)
    if not selected:
        return []
    first = min(line["at"] for line in selected)
    last = max(line["at"] for line in selected)
    selected += [line for line in context if first <= line["at"] <= last]
    return sorted(selected, key=lambda line: line["at"])


def format_decision(line: dict[str, Any]) -> str:
    """Returns the sentence that describes a decision log line."""
    rule = line.get("message", "")
    return SENTENCES.get(rule, rule).format_map(_Placeholder(line)).strip()


class TimelineCommands:
    """Command that reads log files; it needs no daemon and no key."""

    def story(self, job: str, *files: str) -> None:
        """Shows what happened to a job, from the daemons' log files.

        Args:
            job: Job id, 16 hexadecimal digits.
            files: Log files of one or more daemons; "-" for standard input.
        """
        lines = select(read_lines(files), str(job))
        if getattr(self, "_json", False):
            output.print_json(lines)
            return
        if not lines:
            print(f"No log line mentions job {job}; pass logs of more daemons.")
            sys.exit(output.EXIT_FAILURE)
        output.print_table(
            [
                [line["at"][11:23], line["daemon"], format_decision(line)]
                for line in lines
            ],
            ["time", "daemon", "what happened"],
        )
