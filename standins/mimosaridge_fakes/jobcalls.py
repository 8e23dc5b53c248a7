"""Calls of daemons to the workers of a simulated job cluster."""

from collections.abc import Callable
import copy
import dataclasses
import math
from typing import TYPE_CHECKING

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fencing
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import work
from mimosaridge_fakes import jobfaults
from mimosaridge_fakes import jobworkers

if TYPE_CHECKING:
    from mimosaridge_fakes import jobclusters

CALL_DELAY_S = 0.003
# Interval at which a worker whose answer waits for an end looks for one.
END_CHECK_S = 0.02
# An unanswered call fails after this time.
CALL_TIMEOUT_S = 0.8

# Executes an order of a daemon, sent at a time, on a worker, or on none if the
# call times out; returns what delivers the answer.
Execution = Callable[
    [int, fencing.Order, float, jobworkers.Worker | None], Callable[[], None]
]


class WorkerCalls:
    """Carries orders to workers, and their answers back to daemons.

    Attributes:
        cluster: The cluster.
    """

    def __init__(self, cluster: "jobclusters.Cluster") -> None:
        self.cluster = cluster

    def send(self, number: int, order: fencing.Order) -> None:
        """Sends an order of a daemon to the worker that it names."""
        if isinstance(order, effects.Hold):
            self._call(number, order, self.hold)
        elif isinstance(order, effects.Start):
            self._call(number, order, self.start)
        elif isinstance(order, effects.Pace):
            self._call(number, order, self.pace)
        else:
            self._call(number, order, self.stop)

    def _call(
        self, number: int, order: fencing.Order, execute: Execution
    ) -> None:
        """Calls a worker; the call may be late or its answer lost."""
        cluster = self.cluster
        sent_at = cluster.now
        worker = cluster.workers.get(order.worker_id)
        time_out = execute(number, order, sent_at, None)
        if worker is None or not worker.answers(number):
            # The call is never executed.
            cluster.schedule(CALL_TIMEOUT_S, time_out)
            return
        if cluster.draw(cluster.faults.doubled_call_share):
            self._double(number, order, execute, worker)
        if cluster.rng.random() < cluster.faults.late_call_share:
            delay_s = cluster.rng.uniform(*jobfaults.LATE_CALL_DELAY_S)

            def arrive() -> None:
                receiver = self._receiver(worker)
                if receiver is not None:
                    late = self._late(order, delay_s)
                    execute(number, late, sent_at, receiver)

            cluster.schedule(delay_s, arrive)
            cluster.schedule(CALL_TIMEOUT_S, time_out)
            return
        if cluster.rng.random() < cluster.faults.lost_answer_share:
            cluster.schedule(
                CALL_DELAY_S, lambda: execute(number, order, sent_at, worker)
            )
            cluster.schedule(CALL_TIMEOUT_S, time_out)
            return

        def answer() -> None:
            if worker.answers(number):
                execute(number, order, sent_at, worker)()
            else:
                cluster.schedule(CALL_TIMEOUT_S, time_out)

        delay_s = CALL_DELAY_S
        is_long_poll = isinstance(order, effects.Hold) and order.wait_ms
        # A worker answers a call with an older token at once.
        if is_long_poll and fencing.token_of(order) >= worker.token:
            # The lease starts when the call arrives; the lists of runs are
            # those at the end of the wait.
            cluster.schedule(
                CALL_DELAY_S,
                lambda: (
                    worker.answers(number)
                    and self._begin_hold_wait(worker, order)
                ),
            )
            delay_s = cluster.rng.uniform(CALL_DELAY_S, order.wait_ms / 1000)
            self._answer_at_an_end(worker, order, delay_s, answer)
            return
        cluster.schedule(delay_s, answer)

    def _answer_at_an_end(
        self,
        worker: jobworkers.Worker,
        order: effects.Hold,
        longest_s: float,
        answer: Callable[[], None],
    ) -> None:
        """Answers a hold that waits: as soon as a run ends, or after a time."""
        cluster = self.cluster
        until = cluster.now + longest_s

        def check() -> None:
            if worker.is_up:
                self._advance(worker)
            has_end = any(
                row.number > order.acknowledged_end for row in worker.ended
            )
            if has_end or cluster.now >= until:
                answer()
            else:
                left_s = max(0.0, until - cluster.now)
                cluster.schedule(min(END_CHECK_S, left_s), check)

        cluster.schedule(CALL_DELAY_S, check)

    def _receiver(self, worker: jobworkers.Worker) -> jobworkers.Worker | None:
        """Returns who carries out a call that a worker received earlier.

        That is the worker, also if it is cut off by now.
        """
        if self.cluster.faults.do_late_calls_reach_next:
            worker = self.cluster.workers[worker.entry.worker_id]
        return worker if worker.is_up else None

    def _late(self, order: fencing.Order, delay_s: float) -> fencing.Order:
        """Returns an order as it arrives after a delay."""
        if not self.cluster.faults.is_late_lease_longer:
            return order
        late = copy.copy(order)
        if isinstance(late, effects.Hold) and late.lease_until_ms:
            late.lease_until_ms += int(delay_s * 1000)
        elif isinstance(late, effects.Start):
            late.start_before_ms += int(delay_s * 1000)
        return late

    def _double(
        self,
        number: int,
        order: fencing.Order,
        execute: Execution,
        worker: jobworkers.Worker,
    ) -> None:
        """Executes a call a second time later; nobody hears its answer."""
        sent_at, doubled = self.cluster.now, copy.copy(order)

        def arrive() -> None:
            receiver = self._receiver(worker)
            if receiver is not None:
                execute(number, doubled, sent_at, receiver)

        self.cluster.schedule(
            self.cluster.rng.uniform(0.0, jobfaults.LONGEST_DOUBLE_S), arrive
        )

    def _advance(self, worker: jobworkers.Worker) -> None:
        worker.advance(self.cluster.now)
        self.cluster.record_completions(worker)

    def _reply(self, number: int, event: object) -> Callable[[], None]:
        return lambda: self.cluster.deliver(
            number, dataclasses.replace(event, now=self.cluster.now)
        )

    def _begin_hold_wait(
        self, worker: jobworkers.Worker, order: effects.Hold
    ) -> None:
        self._advance(worker)
        self._apply_hold(worker, order)
        # The answer is computed from the same order and must not extend the
        # lease further.
        until = worker.granted_until(order, self.cluster.now)
        order.lease_until_ms = worker.clock_ms(until)

    def _apply_hold(
        self, worker: jobworkers.Worker, order: effects.Hold
    ) -> tuple[events.CallResult, tuple, tuple]:
        """Executes a hold and records the ends that it acknowledges."""
        listed = worker.ended
        answer = worker.hold(order, self.cluster.now)
        if answer[0] == events.CallResult.DONE:
            for row in listed:
                if row.number > order.acknowledged_end:
                    continue
                self.cluster.checks.twice.check_acknowledged(worker, row)
                if row.how == model.RunOutcome.DONE:
                    self.cluster.acknowledged.add(row.task_id)
        return answer

    def hold(
        self,
        number: int,
        order: effects.Hold,
        sent_at: float,
        worker: jobworkers.Worker | None,
    ) -> Callable[[], None]:
        """Executes a hold and returns what delivers its answer to a daemon.

        Without a worker nothing is executed, and the answer is a time-out.
        """
        now = self.cluster.now
        outcome, running, ended = events.CallResult.UNKNOWN, (), ()
        has_more_ends = False
        if worker is not None and worker.entry.address != order.address:
            outcome = events.CallResult.OTHER_INCARNATION
        elif worker is not None:
            self._advance(worker)
            outcome, running, ended = self._apply_hold(worker, order)
            has_more_ends = len(ended) >= worker.ends_per_answer
        return self._reply(
            number,
            events.HoldAnswered(
                now,
                order.worker_id,
                sent_at,
                order.token,
                order.incarnation,
                outcome,
                worker.clock_ms(now) if worker else 0,
                worker.entry.born if worker else 0,
                running,
                ended,
                has_more_ends,
            ),
        )

    def start(
        self,
        number: int,
        order: effects.Start,
        sent_at: float,
        worker: jobworkers.Worker | None,
    ) -> Callable[[], None]:
        """Executes a start and returns what delivers its answer to a daemon.

        Without a worker nothing is executed, and the answer is a time-out.
        """
        outcome = events.CallResult.UNKNOWN
        if worker is not None:
            outcome = events.CallResult.OTHER_INCARNATION
            if worker.entry.address == order.address:
                outcome = self.start_run(order, worker)
        return self._reply(
            number,
            events.StartAnswered(
                self.cluster.now,
                order.worker_id,
                order.task_id,
                order.run,
                order.token,
                order.incarnation,
                outcome,
            ),
        )

    def start_run(
        self, order: effects.Start, worker: jobworkers.Worker
    ) -> events.CallResult:
        """Executes a start on a worker now and checks it against the rules.

        Args:
            order: The start; its task's job must be known to the cluster.
            worker: The worker, whether calls reach it or not.

        Returns:
            The worker's answer.
        """
        cluster = self.cluster
        job_id, _, number, _ = model.parse_task_id(order.task_id)
        step = cluster.job_of(job_id).steps[number]
        duration_s = cluster.durations.get(order.task_id, step.estimate_s)
        run_outcome = model.RunOutcome.DONE
        if job_id in cluster.hopeless:
            run_outcome = model.RunOutcome.FAILED
        elif step.standing:
            duration_s = jobworkers.LASTING_S
        elif cluster.rng.random() < cluster.faults.failed_run_share:
            run_outcome = model.RunOutcome.FAILED
        was_running = (order.task_id, order.run) in worker.running
        self._advance(worker)
        run = jobworkers.Running(
            order.task_id,
            order.run,
            math.inf if step.gang else cluster.now + duration_s,
            run_outcome,
            work.reserved_resources(step),
            duration_s,
            cluster.now,
            step.needs,
            step.target_ms,
            step.fills,
        )
        has_ticket = cluster.advice.has_ticket(order, worker)
        outcome = worker.start(order, cluster.now, run, has_ticket)
        if outcome == events.CallResult.DONE and not was_running:
            if step.gang:
                cluster.gangs.add_member(order, worker, step.tasks)
            cluster.checks.check_start(order, worker, step)
        return outcome

    def stop(
        self,
        number: int,
        order: effects.Stop,
        sent_at: float,
        worker: jobworkers.Worker | None,
    ) -> Callable[[], None]:
        """Executes a stop and returns what delivers its answer to a daemon.

        Without a worker nothing is executed, and the answer is a time-out.
        """
        outcome = events.CallResult.UNKNOWN
        if worker is not None:
            outcome = events.CallResult.OTHER_INCARNATION
            if worker.entry.address == order.address:
                outcome = worker.stop(order, self.cluster.now)
        return self._reply(
            number,
            events.StopAnswered(
                self.cluster.now,
                order.worker_id,
                order.task_id,
                order.run,
                order.token,
                order.incarnation,
                outcome,
            ),
        )

    def pace(
        self,
        number: int,
        order: effects.Pace,
        sent_at: float,
        worker: jobworkers.Worker | None,
    ) -> Callable[[], None]:
        """Executes an order for a run's speed and returns what answers it.

        Without a worker nothing is executed, and the answer is a time-out.
        """
        outcome = events.CallResult.UNKNOWN
        if worker is not None:
            outcome = events.CallResult.OTHER_INCARNATION
            if worker.entry.address == order.address:
                self._advance(worker)
                outcome = worker.pace(order)
        return self._reply(
            number,
            events.PaceAnswered(
                self.cluster.now,
                order.worker_id,
                order.task_id,
                order.run,
                order.token,
                order.incarnation,
                order.percent,
                outcome,
            ),
        )
