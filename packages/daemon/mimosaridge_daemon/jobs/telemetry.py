"""Structured lines on standard output, and metrics as text."""

import collections
import json
import sys

import gevent
from gevent import os as gevent_os
import logbook
import prometheus_client

from mimosaridge_core.jobs import effects
from mimosaridge_daemon import logs

DECISIONS = logbook.Logger("decision")
# Lines that may wait for a slow reader; about 2 MB.
WAITING_LINES = 8_000
# Lines written together, to make fewer system calls.
LINES_AT_ONCE = 200
WRITE_PAUSE_S = 0.1

REGISTRY = prometheus_client.CollectorRegistry()
DECIDED = prometheus_client.Counter(
    "mimosaridge_decisions", "Decisions by rule", ["rule"], registry=REGISTRY
)
DROPPED = prometheus_client.Counter(
    "mimosaridge_dropped_log_lines",
    "Log lines dropped for a slow reader",
    registry=REGISTRY,
)
ANSWERS = prometheus_client.Counter(
    "mimosaridge_answers",
    "Answers to callers by call and status",
    ["call", "status"],
    registry=REGISTRY,
)
CALL_SECONDS = prometheus_client.Histogram(
    "mimosaridge_call_seconds",
    "Time of calls to callers, workers, store and advice",
    ["target"],
    registry=REGISTRY,
)
IS_OWNER = prometheus_client.Gauge(
    "mimosaridge_is_owner", "1 if this daemon is the owner", registry=REGISTRY
)
# Labels of the metrics that have any, by name.
LABELS = {
    "mimosaridge_decisions": ("rule",),
    "mimosaridge_answers": ("call", "status"),
    "mimosaridge_call_seconds": ("target",),
}


class QueuedHandler(logs.JsonHandler):
    """Writes JSON lines to standard output without ever waiting for it."""

    def __init__(self, daemon: str, level: str) -> None:
        super().__init__(daemon, level)
        self.lines: collections.deque = collections.deque()
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queues a line, or counts it as dropped."""
        if len(self.lines) >= WAITING_LINES:
            self.dropped += 1
            DROPPED.inc()
            return
        self.lines.append(self.format(record))

    def run(self) -> None:
        """Writes what is queued, for ever."""
        gevent_os.make_nonblocking(sys.stdout.fileno())
        while True:
            gevent.sleep(WRITE_PAUSE_S)
            self.flush_lines()

    def flush_lines(self) -> None:
        """Writes what is queued."""
        while self.lines:
            if self.dropped:
                self.lines.append(json.dumps({"dropped_lines": self.dropped}))
                self.dropped = 0
            count = min(len(self.lines), LINES_AT_ONCE)
            text = "\n".join(self.lines.popleft() for _ in range(count))
            data = text.encode() + b"\n"
            while data:
                data = data[gevent_os.nb_write(sys.stdout.fileno(), data) :]


def write_decision(decision: effects.Decision) -> None:
    """Logs and counts a decision."""
    DECIDED.labels(decision.rule).inc()
    fields = {}
    if decision.job_id:
        fields["job"] = decision.job_id
    if decision.task_id:
        fields["task"] = decision.task_id
    DECISIONS.info(decision.rule, extra=fields | decision.fields)


def exposition() -> bytes:
    """Returns all metrics as text."""
    return prometheus_client.generate_latest(REGISTRY)
