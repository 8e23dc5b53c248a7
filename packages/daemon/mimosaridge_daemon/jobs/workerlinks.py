"""Calls to workers, whose answers are posted as events."""

from collections.abc import Callable
import dataclasses
import time
from typing import Any

import gevent
import logbook

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fencing
from mimosaridge_daemon import clients
from mimosaridge_daemon import guarding
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import calls
from mimosaridge_platform import workercalls

LOG = logbook.Logger("workerlinks")
# Connections to a worker: one for lease calls and a few for concurrent starts.
CONNECTIONS = 8
CONNECT_TIMEOUT_S = 0.5
# Workers answer in 3 ms; after this time the answer counts as lost.
ORDER_TIMEOUT_S = 0.4


Answer = (
    events.HoldAnswered
    | events.StartAnswered
    | events.StopAnswered
    | events.PaceAnswered
)

# Results of a call that was not carried out.
NOT_DONE = (
    events.CallResult.REFUSED,
    events.CallResult.NO_TICKET,
    events.CallResult.UNHEALTHY,
)


def timeout_s(order: fencing.Order) -> float:
    """Returns how long a worker may take to answer an order, seconds."""
    if isinstance(order, effects.Hold):
        return order.wait_ms / 1000 + ORDER_TIMEOUT_S
    return ORDER_TIMEOUT_S


def answer_to(
    order: fencing.Order, result: events.CallResult, detail: str = ""
) -> Answer:
    """Returns the event for an order's answer; a hold's is without lists."""
    now = time.monotonic()
    if isinstance(order, effects.Hold):
        return events.HoldAnswered(
            now, order.worker_id, now, order.token, order.incarnation, result
        )
    if isinstance(order, effects.Start):
        return events.StartAnswered(
            now,
            order.worker_id,
            order.task_id,
            order.run,
            order.token,
            order.incarnation,
            result,
            detail,
        )
    if isinstance(order, effects.Pace):
        return events.PaceAnswered(
            now,
            order.worker_id,
            order.task_id,
            order.run,
            order.token,
            order.incarnation,
            order.percent,
            result,
        )
    return events.StopAnswered(
        now,
        order.worker_id,
        order.task_id,
        order.run,
        order.token,
        order.incarnation,
        result,
    )


class Links:
    """HTTP clients of workers, by address."""

    def __init__(self, post: Callable[[Any], None]) -> None:
        self.post = post
        self.clients: dict[str, clients.Client] = {}

    def give(self, order: fencing.Order) -> None:
        """Calls a worker and posts its answer; returns at once."""
        gevent.spawn(self._call_and_post, order)

    def repeat(self, order: fencing.Order) -> None:
        """Calls a worker with an order that an agent may also carry out.

        A start that the worker did not carry out this time may already have
        been carried out, or may be later, so it counts as unanswered. A hold
        doesn't wait this time, since the lease has run on meanwhile.
        """
        if isinstance(order, effects.Hold):
            order = dataclasses.replace(order, wait_ms=0)
        gevent.spawn(self._repeat_and_post, order)

    def _call_and_post(self, order: fencing.Order) -> None:
        self.post(self.call(order))

    def _repeat_and_post(self, order: fencing.Order) -> None:
        answer = self.call(order)
        if isinstance(order, effects.Hold | effects.Start):
            answer.is_repeated = True
        if isinstance(order, effects.Start) and answer.result in NOT_DONE:
            answer.result = events.CallResult.UNKNOWN
        self.post(answer)

    def call(self, order: fencing.Order) -> Answer:
        """Calls a worker and returns its answer, or the failure.

        After an exception the order counts as one without answer, which may
        have been carried out.
        """
        try:
            return self._call(order)
        except Exception:
            guarding.record("call to a worker", worker=order.worker_id)
            return answer_to(
                order, events.CallResult.UNKNOWN, "failed in this daemon"
            )

    def _call(self, order: fencing.Order) -> Answer:
        if isinstance(order, effects.Hold):
            return self._hold(order)
        if isinstance(order, effects.Start):
            request = workercalls.start(order)
        elif isinstance(order, effects.Pace):
            request = workercalls.pace(order)
        else:
            request = workercalls.stop(order)
        outcome, reason, _ = self._exchange(
            order.address, request, timeout_s(order)
        )
        return answer_to(order, outcome, reason)

    def _exchange(
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

    def _hold(self, order: effects.Hold) -> events.HoldAnswered:
        sent_at = time.monotonic()
        outcome, _, body = self._exchange(
            order.address, workercalls.hold(order), timeout_s(order)
        )
        answer = answer_to(order, outcome)
        answer.sent_at = sent_at
        if outcome != events.CallResult.DONE:
            return answer
        try:
            lists = workercalls.decode_hold_answer(body)
        except calls.MalformedError as error:
            LOG.error("{}", error, extra={"worker": order.worker_id})
            answer.result = events.CallResult.UNKNOWN
            return answer
        answer.clock_ms = lists.clock_ms
        answer.born = lists.born
        answer.running = lists.running
        answer.ended = lists.ended
        answer.has_more_ends = lists.has_more_ends
        return answer
