"""Starts that an owner sends just before its end, as its peers know them.

The store has a start only once its answer is overdue, so an owner that is
killed before that leaves starts that nobody else knows. The owner tells its
peers of each start as it sends it, and of its answer, and they keep the starts
of its last moment that have none.
"""

import time

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import tunables
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import peering

# The store has starts without an answer that are older than this.
LAST_S = 0.5


class SentStarts:
    """Collects this daemon's starts for its peers, and keeps those of an owner.

    A start with a ticket expires with the incarnation of its worker and is left
    out. So are the starts of a large fleet: messages to all its daemons cost
    more than the starts.

    Attributes:
        unsent: Worker and run of the starts that peers don't know yet, by task.
        answered: Tasks whose starts have been answered, as peers don't know.
        received: An owner's latest starts without an answer, by task: time of
            receipt in monotonic seconds, worker and run.
    """

    def __init__(self, peers: peering.Peering) -> None:
        self.peers = peers
        self.unsent: dict[str, tuple[str, int]] = {}
        self.answered: set[str] = set()
        self.received: dict[str, tuple[float, str, int]] = {}

    def add(self, order: effects.Start) -> None:
        """Adds a start that is about to be sent."""
        if not order.ticket and self.peers.is_mesh():
            self.unsent[order.task_id] = (order.worker_id, order.run)

    def add_answer(self, answer: events.StartAnswered) -> None:
        """Adds an answer, after which the start can't arrive any more."""
        sent = self.received.get(answer.task_id)
        is_unknown = answer.result == events.CallResult.UNKNOWN
        if sent is None or is_unknown or answer.is_repeated:
            return
        if sent[2] == answer.run:
            self.answered.add(answer.task_id)

    def flush(self) -> None:
        """Tells the peers what was added since; keeps it here, too."""
        if not self.unsent and not self.answered:
            return
        message = messages.StartsSent(
            self.unsent, tuple(sorted(self.answered - self.unsent.keys()))
        )
        self.unsent = {}
        self.answered = set()
        self.peers.broadcast(message)
        self.record(message)

    def record(self, message: messages.StartsSent) -> None:
        """Records starts of the owner; forgets those that the store has."""
        now = time.monotonic()
        for task_id in message.answered:
            self.received.pop(task_id, None)
        for task_id, (worker_id, run) in message.starts.items():
            self.received.pop(task_id, None)
            self.received[task_id] = (now, worker_id, run)
        for task_id, (at, _, _) in list(self.received.items()):
            if at >= now - LAST_S:
                break
            del self.received[task_id]

    def last(self) -> dict[str, tuple[str, int, float]]:
        """Returns the last starts of the owner without an answer, by task.

        Returns:
            The worker, the number of the run, and the monotonic time until
            which the start may be carried out.
        """
        return {
            task_id: (worker_id, run, at + tunables.LATE_CALL_S)
            for task_id, (at, worker_id, run) in self.received.items()
        }
