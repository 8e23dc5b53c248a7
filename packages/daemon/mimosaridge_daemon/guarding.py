"""Keeps greenlets alive after exceptions that nothing else has caught.

An unexpected exception is a fault of this program. It is logged and counted,
and ends neither a loop that must run as long as the process nor the call that
others wait for.
"""

from collections.abc import Callable
from typing import Any

import gevent
import logbook
import prometheus_client

LOG = logbook.Logger("guarding")
# Pause before a loop that has failed runs again: short enough for heartbeats,
# long enough for a loop that fails each time not to take the processor.
RESTART_S = 0.1

ERRORS = prometheus_client.Counter(
    "mimosaridge_unexpected_errors",
    "Unexpected exceptions by the task that went on after them",
    ["task"],
    registry=None,
)


def record(task: str, **fields: Any) -> None:
    """Logs and counts the exception that is being handled.

    Args:
        task: Name of the task that failed.
        **fields: What it worked on.
    """
    ERRORS.labels(task).inc()
    LOG.exception("{} failed; going on", task, extra=fields)


def attempt(
    task: str, call: Callable[..., Any], *args: Any, default: Any = None
) -> Any:
    """Makes a call; returns its result, or the default after an exception."""
    try:
        return call(*args)
    except Exception:
        record(task)
        return default


def run_forever(task: str, loop: Callable[[], None]) -> None:
    """Runs a loop again whenever an exception has ended it.

    Returns only when the loop does.
    """
    while True:
        try:
            return loop()
        except Exception:
            record(task)
        gevent.sleep(RESTART_S)


def spawn(task: str, loop: Callable[[], None]) -> gevent.Greenlet:
    """Starts a greenlet with a loop that survives exceptions."""
    return gevent.spawn(run_forever, task, loop)
