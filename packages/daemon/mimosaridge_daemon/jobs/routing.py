"""Routes the owner's orders to workers: through agents or directly.

An order whose agent fails is given to the worker directly. That is safe: a
worker takes the same start, stop or hold twice as once. The answer to the
second call counts; if it refuses a start, the first may still be carried out.
"""

from collections.abc import Callable
import dataclasses
import itertools
import random
import time
from typing import Any

import gevent

from mimosaridge_core.jobs import agents
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fencing
from mimosaridge_daemon import guarding
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_daemon.jobs import workerlinks

# An answer through an agent may take this much longer than a direct one.
AGENT_GRACE_S = 0.25
# An agent from which nothing has come for this time since a start or stop was
# sent has failed: answers take some 6 ms.
AGENT_SILENCE_S = 0.25
# A failed agent gets no orders for this time.
FAILED_AGENT_PAUSE_S = 2.0
# A worker that did not answer its agent is called directly for this time, in
# case only the path from the agent has failed.
DIRECT_S = 3.0
CHECK_INTERVAL_S = 0.05
IDLE_CHECK_INTERVAL_S = 1.0
# After a check that comes this late the process itself stood still, and answers
# may lie unread: the next check decides.
MAX_CHECK_DELAY_S = 0.25

NO_ANSWER = (events.CallResult.UNKNOWN, events.CallResult.UNHEALTHY)


@dataclasses.dataclass(slots=True)
class PendingOrder:
    """An order that an agent has and whose answer has not come.

    Attributes:
        order: The order.
        agent: The agent.
        sent_at: When it was sent, monotonic seconds.
        due_at: When its answer is given up.
    """

    order: fencing.Order
    agent: str
    sent_at: float
    due_at: float


class Router:
    """Sends each order of the owner by the best way.

    Attributes:
        agents: Agents by availability zone; without an agent, workers are
            called directly.
        pending: Orders that agents have, by number.
    """

    def __init__(
        self,
        links: workerlinks.Links,
        post: Callable[[Any], None],
        send: Callable[[str, Any], None],
        zone_of: Callable[[str], str],
        token: Callable[[], int],
    ) -> None:
        self.links = links
        self.post = post
        self.send = send
        self.zone_of = zone_of
        self.token = token
        self.agents: dict[str, tuple[str, ...]] = {}
        self.agent_by_worker: dict[str, str | None] = {}
        self.pending: dict[int, PendingOrder] = {}
        self.batches: dict[str, list[tuple[int, fencing.Order]]] = {}
        self.heard_at: dict[str, float] = {}
        self.failed_until: dict[str, float] = {}
        self.direct_until: dict[str, float] = {}
        # A random start, so that answers to a former process of this machine
        # match no order.
        self.numbers = itertools.count(random.getrandbits(48))

    def set_agents(self, chosen: dict[str, tuple[str, ...]]) -> None:
        """Replaces the agents by availability zone."""
        if chosen == self.agents:
            return
        self.agents = chosen
        self.agent_by_worker.clear()
        telemetry.log("agents", agents=chosen)

    def is_failed(self, name: str) -> bool:
        """Returns whether an agent has failed recently."""
        return self.failed_until.get(name, 0.0) > time.monotonic()

    def give(self, order: fencing.Order) -> None:
        """Sends an order: directly now, or to an agent with the next flush.

        An order of an ownership that has ended is dropped: the reducer hears of
        the end after the events that were queued before it.
        """
        if order.token != self.token():
            telemetry.log(
                "order-dropped", worker=order.worker_id, token=order.token
            )
            return
        agent = self._agent_of(order.worker_id)
        if agent is None:
            self.links.give(order)
            return
        self.batches.setdefault(agent, []).append((next(self.numbers), order))

    def _agent_of(self, worker_id: str) -> str | None:
        if worker_id in self.agent_by_worker:
            agent = self.agent_by_worker[worker_id]
        else:
            zone = self.zone_of(worker_id)
            agent = agents.agent_of(worker_id, self.agents.get(zone, ()))
            self.agent_by_worker[worker_id] = agent
        now = time.monotonic()
        if (
            agent is None
            or self.failed_until.get(agent, 0.0) > now
            or self.direct_until.get(worker_id, 0.0) > now
        ):
            return None
        return agent

    def flush(self) -> None:
        """Sends the orders of a round of decisions, one message an agent."""
        if not self.batches:
            return
        batches, self.batches = self.batches, {}
        now = time.monotonic()
        for agent, orders in batches.items():
            for number, order in orders:
                timeout_s = workerlinks.timeout_s(order) + AGENT_GRACE_S
                self.pending[number] = PendingOrder(
                    order, agent, now, now + timeout_s
                )
            # Orders that aren't sent are given directly when they are due.
            guarding.attempt(
                "orders to an agent",
                self.send,
                agent,
                messages.WorkerOrders.of(orders),
            )

    def handle_answers(
        self, agent: str, answers: messages.WorkerAnswers
    ) -> None:
        """Posts the answers that an agent has sent."""
        now = time.monotonic()
        self.heard_at[agent] = now
        for number, event in answers.all():
            pending = self.pending.pop(number, None)
            if pending is None:
                continue
            event.now = now
            if isinstance(event, events.HoldAnswered):
                # On this daemon's clock, and no later than the call was made.
                event.sent_at = pending.sent_at
            if event.result in NO_ANSWER:
                self.direct_until[event.worker_id] = now + DIRECT_S
            self.post(event)

    def handle_heartbeat(self, name: str) -> None:
        """Records that a daemon is alive."""
        self.heard_at[name] = time.monotonic()

    def fail(self, agent: str, reason: str) -> None:
        """Takes an agent's orders back and calls their workers directly."""
        taken = [
            (number, pending)
            for number, pending in self.pending.items()
            if pending.agent == agent
        ]
        if not taken:
            return
        self.failed_until[agent] = time.monotonic() + FAILED_AGENT_PAUSE_S
        telemetry.log(
            "agent-failed", agent=agent, reason=reason, orders=len(taken)
        )
        for number, pending in taken:
            del self.pending[number]
            self._repeat(pending.order)

    def _repeat(self, order: fencing.Order) -> None:
        # Orders of a former ownership are not repeated.
        if order.token == self.token():
            self.links.repeat(order)

    def reset(self) -> None:
        """Forgets all orders when ownership ends."""
        self.pending.clear()
        self.batches.clear()

    def run(self) -> None:
        """Takes orders back from silent agents; does not return."""
        while True:
            interval_s = IDLE_CHECK_INTERVAL_S
            if self.token():
                interval_s = CHECK_INTERVAL_S
            due_at = time.monotonic() + interval_s
            gevent.sleep(interval_s)
            self.check_unless_late(due_at, time.monotonic())

    def check_unless_late(self, due_at: float, now: float) -> None:
        """Checks unless this process stood still since the last check."""
        if now - due_at < MAX_CHECK_DELAY_S:
            self.check(now)

    def check(self, now: float) -> None:
        """Takes back the orders of silent agents and those without answer."""
        silent = {
            pending.agent
            for pending in self.pending.values()
            if not isinstance(pending.order, effects.Hold)
            and now - pending.sent_at > AGENT_SILENCE_S
            and self.heard_at.get(pending.agent, 0.0) < pending.sent_at
        }
        for agent in silent:
            self.fail(agent, "no message since an order was sent")
        for number, pending in list(self.pending.items()):
            if now > pending.due_at:
                del self.pending[number]
                self.direct_until[pending.order.worker_id] = now + DIRECT_S
                self._repeat(pending.order)
