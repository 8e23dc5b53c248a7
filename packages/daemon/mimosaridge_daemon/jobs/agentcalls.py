"""An agent's calls to workers on the owner's orders."""

from collections.abc import Callable
from typing import Any

import gevent

from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fencing
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_daemon.jobs import workerlinks

# Answers that come within this time are sent together.
ANSWER_PAUSE_S = 0.002


class AgentCalls:
    """Carries out orders of owners and sends the answers back.

    Orders of an owner that has been replaced, as far as this daemon knows, are
    not carried out; their answer tells the sender so.
    """

    def __init__(
        self,
        links: workerlinks.Links,
        send: Callable[[str, Any], None],
        newest_token: Callable[[], int],
    ) -> None:
        self.links = links
        self.send = send
        self.newest_token = newest_token
        self.answers: dict[str, list[tuple[int, workerlinks.Answer]]] = {}

    def handle_orders(self, sender: str, orders: messages.WorkerOrders) -> None:
        """Carries out each order in a greenlet of its own."""
        newest = self.newest_token()
        refused = 0
        for number, order in orders.all():
            if order.token < newest:
                refused += 1
                answer = workerlinks.answer_to(order, events.CallResult.FENCED)
                self._collect(sender, number, answer)
            else:
                gevent.spawn(self._call, sender, number, order)
        if refused:
            telemetry.log(
                "orders-refused", owner=sender, orders=refused, newest=newest
            )

    def _call(self, sender: str, number: int, order: fencing.Order) -> None:
        self._collect(sender, number, self.links.call(order))

    def _collect(
        self, sender: str, number: int, answer: workerlinks.Answer
    ) -> None:
        if sender not in self.answers:
            self.answers[sender] = []
            gevent.spawn_later(ANSWER_PAUSE_S, self._send_answers, sender)
        self.answers[sender].append((number, answer))

    def _send_answers(self, sender: str) -> None:
        answers = self.answers.pop(sender)
        self.send(sender, messages.WorkerAnswers.of(answers))
