"""Structured logs on standard output, and Prometheus metrics."""

import collections
import json
import sys
from typing import Any

import gevent
from gevent import event as gevent_event
from gevent import os as gevent_os
import logbook
import prometheus_client

from mimosaridge_core.jobs import effects
from mimosaridge_daemon import admission
from mimosaridge_daemon import guarding
from mimosaridge_daemon import logs

DECISION_LOG = logbook.Logger("decision")
# Lines queued for a slow reader of standard output; about 2 MB.
MAX_QUEUED_LINES = 8_000
# Lines joined into one write, to make fewer system calls.
LINES_PER_WRITE = 200
WRITE_INTERVAL_S = 0.1

REGISTRY = prometheus_client.CollectorRegistry()
REGISTRY.register(guarding.ERRORS)
REGISTRY.register(admission.CLOSED)
DECISION_COUNT = prometheus_client.Counter(
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
# Labels by metric name, for the generated pages.
LABELS = {
    "mimosaridge_decisions": ("rule",),
    "mimosaridge_answers": ("call", "status"),
    "mimosaridge_call_seconds": ("target",),
    "mimosaridge_unexpected_errors": ("task",),
    "mimosaridge_closed_clients": ("reason",),
}


class QueuedHandler(logs.JsonHandler):
    """Writes JSON lines to standard output without blocking loggers."""

    def __init__(self, daemon: str, level: str) -> None:
        super().__init__(daemon, level)
        self.lines: collections.deque = collections.deque()
        self.has_lines = gevent_event.Event()
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Queues a line; drops and counts it if the queue is full."""
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            DROPPED.inc()
            return
        self.lines.append(self.format(record))
        self.has_lines.set()

    def run(self) -> None:
        """Writes queued lines, a few at a time; does not return."""
        gevent_os.make_nonblocking(sys.stdout.fileno())
        while True:
            self.has_lines.wait()
            gevent.sleep(WRITE_INTERVAL_S)
            self.has_lines.clear()
            self.flush_lines()

    def flush_lines(self) -> None:
        """Writes all queued lines."""
        while self.lines:
            if self.dropped:
                self.lines.append(json.dumps({"dropped_lines": self.dropped}))
                self.dropped = 0
            count = min(len(self.lines), LINES_PER_WRITE)
            text = "\n".join(self.lines.popleft() for _ in range(count))
            data = text.encode() + b"\n"
            while data:
                data = data[gevent_os.nb_write(sys.stdout.fileno(), data) :]


def write_decision(decision: effects.Decision) -> None:
    """Logs and counts a decision."""
    DECISION_COUNT.labels(decision.rule).inc()
    fields = {}
    if decision.job_id:
        fields["job"] = decision.job_id
    if decision.task_id:
        fields["task"] = decision.task_id
    DECISION_LOG.info(decision.rule, extra=fields | decision.fields)


def log(rule: str, **fields: Any) -> None:
    """Logs a decision that the reducer did not make."""
    write_decision(effects.Decision(rule, "", "", fields))


def exposition() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest(REGISTRY)
