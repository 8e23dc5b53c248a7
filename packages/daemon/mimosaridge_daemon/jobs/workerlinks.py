"""Carries orders to workers out and posts their answers as events."""

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
# A worker's connections: one for holds and a few for starts at a time.
CONNECTIONS = 8
CONNECT_S = 0.5
# Workers answer in 3 ms; an answer that takes this long is lost.
ORDER_TIMEOUT_S = 0.4


class Links:
    """Connections to workers, by address."""

    def __init__(self, post: Callable[[Any], None]) -> None:
        self.post = post
        self.clients: dict[str, clients.Client] = {}

    def hold(self, order: effects.Hold) -> None:
        """Holds a worker."""
        gevent.spawn(self._hold, order)

    def start(self, order: effects.Start) -> None:
        """Starts a task."""
        gevent.spawn(self._start, order)

    def stop(self, order: effects.Stop) -> None:
        """Stops a run."""
        gevent.spawn(self._stop, order)

    def _call(
        self, address: str, request: calls.Request, timeout_s: float
    ) -> tuple[events.CallResult, str, bytes]:
        client = self.clients.get(address)
        if client is None:
            client = clients.Client(f"http://{address}", CONNECTIONS)
            self.clients[address] = client
        began = time.monotonic()
        answer = client.exchange(
            request.method,
            request.path,
            request.body,
            request.headers,
            timeout_s,
            CONNECT_S,
        )
        taken = time.monotonic() - began
        telemetry.CALL_SECONDS.labels("worker").observe(taken)
        if answer.is_err():
            failure = answer.err_value
            if failure.is_sent:
                return events.CallResult.UNKNOWN, failure.reason, b""
            return events.CallResult.UNHEALTHY, failure.reason, b""
        status, body = answer.ok_value
        outcome, reason = workercalls.decode_result(status, body)
        return outcome, reason, body

    def _hold(self, order: effects.Hold) -> None:
        sent_at = time.monotonic()
        timeout_s = order.wait_ms / 1000 + ORDER_TIMEOUT_S
        outcome, _, body = self._call(
            order.address, workercalls.hold(order), timeout_s
        )
        lists = workercalls.HoldAnswer(0, 0, (), ())
        if outcome == events.CallResult.DONE:
            try:
                lists = workercalls.decode_hold_answer(body)
            except calls.MalformedError as error:
                LOG.error("{}", error, extra={"worker": order.worker_id})
                outcome = events.CallResult.UNKNOWN
        self.post(
            events.HoldAnswered(
                time.monotonic(),
                order.worker_id,
                sent_at,
                order.token,
                order.incarnation,
                outcome,
                lists.clock_ms,
                lists.born,
                lists.running,
                lists.ended,
            )
        )

    def _start(self, order: effects.Start) -> None:
        outcome, reason, _ = self._call(
            order.address, workercalls.start(order), ORDER_TIMEOUT_S
        )
        self.post(
            events.StartAnswered(
                time.monotonic(),
                order.worker_id,
                order.task_id,
                order.run,
                order.token,
                outcome,
                reason,
            )
        )

    def _stop(self, order: effects.Stop) -> None:
        outcome, _, _ = self._call(
            order.address, workercalls.stop(order), ORDER_TIMEOUT_S
        )
        self.post(
            events.StopAnswered(
                time.monotonic(),
                order.worker_id,
                order.task_id,
                order.run,
                order.token,
                outcome,
            )
        )
