"""Advice service of a simulated job cluster, and its tickets."""

from typing import TYPE_CHECKING
import zlib

from mimosaridge_core.jobs import advice_calls
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_fakes import jobworkers

if TYPE_CHECKING:
    from mimosaridge_fakes import jobclusters

# Shortest time of a call for advice.
ADVICE_S = 0.05
# Lifetime of a ticket of a queue without settings of its own.
TICKET_S = 2.0


class AdviceService:
    """Service that approves of workers for steps.

    Attributes:
        cluster: The cluster.
        tickets: Start time of the incarnation, in milliseconds, and end of
            validity, in seconds, of each ticket, by step name and worker id.
    """

    def __init__(self, cluster: "jobclusters.Cluster") -> None:
        self.cluster = cluster
        self.tickets: dict[tuple[str, str], tuple[int, float]] = {}

    def answer(self, number: int, effect: effects.AskAdvice) -> None:
        """Answers as slowly as the queue's settings say, `ADVICE_S` at least.

        Which workers are good depends on the step and the worker alone.

        Args:
            number: The daemon that asks.
            effect: Its question.
        """
        cluster = self.cluster
        approved = [
            worker_id
            for worker_id in effect.workers
            if self.is_good(effect.group, worker_id)
        ]
        job = cluster.job_of(effect.group)
        configuration = cluster.daemons[number].configuration
        queue = configuration.queues.get(job.queue)
        advice = (queue or cluster.latest_queue(job.queue)).advice
        delay_s, valid_s = ADVICE_S, TICKET_S
        if advice is not None:
            delay_s = advice_calls.call_duration_s(advice, len(effect.workers))
            valid_s = advice.valid_s
        is_answered = not cluster.draw(cluster.faults.lost_advice_share)

        def answer() -> None:
            tickets = {}
            for worker_id in approved if is_answered else ():
                worker = cluster.workers.get(worker_id)
                if worker is not None:
                    self.tickets[(effect.group, worker_id)] = (
                        worker.entry.born,
                        cluster.now + valid_s,
                    )
                    tickets[worker_id] = f"t-{worker_id}"
            cluster.deliver(
                number,
                events.AdviceAnswered(
                    cluster.now,
                    effect.asker,
                    effect.group,
                    effect.workers,
                    tickets,
                    is_answered,
                    valid_s,
                ),
            )

        cluster.schedule(max(delay_s, ADVICE_S), answer)

    def is_good(self, group: str, worker_id: str) -> bool:
        """Returns whether the service approves of a worker for a step."""
        digest = zlib.crc32(f"{group} {worker_id}".encode())
        return digest / 2**32 < self.cluster.good_share

    def has_ticket(
        self, order: effects.Start, worker: jobworkers.Worker
    ) -> bool:
        """Returns whether a start has a valid ticket, if its queue needs one.

        A queue needs one if all configurations that may be in force say so.
        """
        cluster = self.cluster
        group = order.task_id.rpartition(".")[0]
        queue_name = cluster.job_of(group).queue
        queues = [
            configuration.queues.get(queue_name)
            or cluster.latest_queue(queue_name)
            for configuration in cluster.checks.configurations_in_force()
        ]
        if any(queue is None or queue.advice is None for queue in queues):
            return True
        born, until = self.tickets.get((group, order.worker_id), (0, 0.0))
        return (
            bool(order.ticket)
            and born == worker.entry.born
            and cluster.now <= until
        )
