"""Calls to workers, whose answers are posted as events."""

from collections.abc import Callable
import time
from typing import Any

import gevent
import logbook

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import calls
from mimosaridge_platform import workercalls

LOG = logbook.Logger("workerlinks")
# Connections to a worker: one for lease calls and a few for concurrent starts.
CONNECTIONS = 8
CONNECT_TIMEOUT_S = 0.5
# Workers answer in 3 ms; after this time the answer counts as lost.
ORDER_TIMEOUT_S = 0.4


class Links:
    """HTTP clients of workers, by address."""

    def __init__(self, post: Callable[[Any], None]) -> None:
        self.post = post
        self.clients: dict[str, clients.Client] = {}

    def hold(self, command: effects.Hold) -> None:
        """Renews a worker's lease and requests the lists of its runs."""
        gevent.spawn(self._hold, command)

    def start(self, command: effects.Start) -> None:
        """Starts a task."""
        gevent.spawn(self._start, command)

    def stop(self, command: effects.Stop) -> None:
        """Stops a run."""
        gevent.spawn(self._stop, command)

    def _call(
        self, address: str, request: calls.Request, timeout_s: float
    ) -> tuple[events.CallResult, str, bytes]:
        client = self.clients.get(address)
        if client is None:
            client = clients.Client(f"http://{address}", CONNECTIONS)
            self.clients[address] = client
        started_at = time.monotonic()
        answer = client.exchange(
            request.method,
            request.path,
            request.body,
            request.headers,
            timeout_s,
            CONNECT_TIMEOUT_S,
        )
        elapsed_s = time.monotonic() - started_at
        telemetry.CALL_SECONDS.labels("worker").observe(elapsed_s)
        if answer.is_err():
            failure = answer.err_value
            if failure.is_sent:
                return events.CallResult.UNKNOWN, failure.reason, b""
            return events.CallResult.UNHEALTHY, failure.reason, b""
        status, body = answer.ok_value
        outcome, reason = workercalls.decode_result(status, body)
        return outcome, reason, body

    def _hold(self, command: effects.Hold) -> None:
        sent_at = time.monotonic()
        timeout_s = command.wait_ms / 1000 + ORDER_TIMEOUT_S
        outcome, _, body = self._call(
            command.address, workercalls.hold(command), timeout_s
        )
        lists = workercalls.HoldAnswer(0, 0, (), ())
        if outcome == events.CallResult.DONE:
            try:
                lists = workercalls.decode_hold_answer(body)
            except calls.MalformedError as error:
                LOG.error("{}", error, extra={"worker": command.worker_id})
                outcome = events.CallResult.UNKNOWN
        self.post(
            events.HoldAnswered(
                time.monotonic(),
                command.worker_id,
                sent_at,
                command.token,
                command.incarnation,
                outcome,
                lists.clock_ms,
                lists.born,
                lists.running,
                lists.ended,
            )
        )

    def _start(self, command: effects.Start) -> None:
        outcome, reason, _ = self._call(
            command.address, workercalls.start(command), ORDER_TIMEOUT_S
        )
        self.post(
            events.StartAnswered(
                time.monotonic(),
                command.worker_id,
                command.task_id,
                command.run,
                command.token,
                outcome,
                reason,
            )
        )

    def _stop(self, command: effects.Stop) -> None:
        outcome, _, _ = self._call(
            command.address, workercalls.stop(command), ORDER_TIMEOUT_S
        )
        self.post(
            events.StopAnswered(
                time.monotonic(),
                command.worker_id,
                command.task_id,
                command.run,
                command.token,
                outcome,
            )
        )
