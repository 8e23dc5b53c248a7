"""In-memory workers that execute holds, starts and stops of job tasks."""

import dataclasses
import math

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fencing
from mimosaridge_core.jobs import model

STOP_S = 0.1
# Tail of a serving run that nothing disturbs, as a share of its target.
UNDISTURBED_TAIL = 0.5
# Most ended runs in one answer, as the platform's protocol says.
ENDS_PER_ANSWER = 500


# Tasks of at least this duration last; they are at work after a startup.
LASTING_S = 1e9
STARTUP_S = 0.3


@dataclasses.dataclass(slots=True)
class Running:
    """A run on a worker.

    Attributes:
        task_id: Its task.
        run: Its number.
        ends_at: Time at which it ends, in seconds.
        outcome: Outcome that it ends with at `ends_at`.
        needs: Resources that it occupies on its worker, without the processor
            time of backfill.
        duration_s: Its total run time, in seconds.
        started_at: When it started, in seconds.
        team_needs: Resources that count against its team's upper limit.
        target_ms: Its latency target, in milliseconds; 0 for none.
        fills: Whether it is backfill.
        pace: Percentage of its full speed at which it works.
    """

    task_id: str
    run: int
    ends_at: float
    outcome: str
    needs: resources.Resources
    duration_s: float = 1.0
    started_at: float = 0.0
    team_needs: resources.Resources = resources.ZERO
    target_ms: int = 0
    fills: bool = False
    pace: int = 100

    def percent(self, now: float) -> int:
        """Returns its progress in percent; 100 if it lasts and is at work."""
        if self.duration_s >= LASTING_S:
            return 100 if now >= self.started_at + STARTUP_S else 0
        if self.ends_at == math.inf:
            return 0
        remaining = max(0.0, self.ends_at - now) / self.duration_s
        return max(0, int(100 * (1 - remaining)))


@dataclasses.dataclass(slots=True)
class Worker:
    """One incarnation of a worker process.

    Attributes:
        entry: Its entry in the list of workers.
        is_up: Whether it runs.
        is_reachable: Whether calls reach it.
        unreachable_from: Numbers of daemons whose calls do not reach it.
        token: Highest fencing token that it has received.
        lease_until: End of its lease, in seconds.
        running: Runs by task and run number.
        is_hanging: Whether its runs hang, that is, make no progress.
        advanced_at: Time of the last call of `advance`, in seconds.
        ended: Reports of ended runs that the owner has not acknowledged, by
            number.
        ended_at: When each of its runs ended, in seconds, by number of the end.
        lapsed_at: When its lease was last over, in seconds.
        closed: Highest run number stopped or ended, by task.
        ends: Number of runs that ended.
        longest_lease_s: Longest lease that it grants, in seconds.
        ends_per_answer: Most ended runs that it lists in one answer.
        clock_zero: Time at which its clock showed 0, in seconds.
        disturbance: Share of their targets by which a backfill run at full
            speed raises the tails of its other runs.
    """

    entry: model.WorkerEntry
    is_up: bool = True
    is_reachable: bool = True
    unreachable_from: set[int] = dataclasses.field(default_factory=set)
    token: int = 0
    lease_until: float = 0.0
    running: dict[tuple[str, int], Running] = dataclasses.field(
        default_factory=dict
    )
    ended: list[model.EndReport] = dataclasses.field(default_factory=list)
    ended_at: dict[int, float] = dataclasses.field(default_factory=dict)
    lapsed_at: float = 0.0
    closed: dict[str, int] = dataclasses.field(default_factory=dict)
    ends: int = 0
    is_hanging: bool = False
    advanced_at: float = 0.0
    longest_lease_s: float = 6.0
    ends_per_answer: int = ENDS_PER_ANSWER
    clock_zero: float = 0.0
    disturbance: float = 0.8

    def clock_ms(self, now: float) -> int:
        """Returns what its clock shows, in milliseconds."""
        return int((now - self.clock_zero) * 1000)

    def time_of(self, clock_ms: int) -> float:
        """Returns when its clock shows a time, in seconds."""
        return self.clock_zero + clock_ms / 1000

    def answers(self, number: int) -> bool:
        """Returns whether calls of a daemon reach it."""
        return (
            self.is_up
            and self.is_reachable
            and number not in self.unreachable_from
        )

    def used(self) -> resources.Resources:
        """Returns what its runs use of its capacity."""
        return resources.total([run.needs for run in self.running.values()])

    def load(self, run: Running) -> float:
        """Returns a run's tail in milliseconds, or its use in millicores."""
        if run.target_ms:
            return self.tail_ms(run)
        return run.team_needs.cpu_millis * run.pace / 100

    def tail_ms(self, run: Running) -> float:
        """Returns a serving run's tail, which backfill beside it raises."""
        speed = sum(
            other.pace / 100 for other in self.running.values() if other.fills
        )
        return run.target_ms * (UNDISTURBED_TAIL + self.disturbance * speed)

    def advance(self, now: float) -> None:
        """Ends runs that are due, or all of them if the lease has expired."""
        if self.is_hanging:
            for run in self.running.values():
                if run.outcome != model.RunOutcome.STOPPED:
                    run.ends_at += now - self.advanced_at
        for run in self.running.values():
            if run.outcome != model.RunOutcome.STOPPED:
                resting_share = 1 - run.pace / 100
                run.ends_at += (now - self.advanced_at) * resting_share
        self.advanced_at = now
        if now >= self.lease_until:
            self.lapsed_at = now
            for run in list(self.running.values()):
                self.end(run, model.RunOutcome.LAPSED)
        for run in list(self.running.values()):
            if now >= run.ends_at:
                self.end(run, run.outcome)

    def end(self, run: Running, outcome: str) -> None:
        """Ends a run and reports it as ended."""
        del self.running[(run.task_id, run.run)]
        self.ends += 1
        self.ended_at[self.ends] = self.advanced_at
        self.closed[run.task_id] = max(run.run, self.closed.get(run.task_id, 0))
        self.ended.append(
            model.EndReport(self.ends, run.task_id, run.run, outcome, "")
        )

    def granted_until(self, order: effects.Hold, now: float) -> float:
        """Returns the end of the lease that it grants, in seconds."""
        until = self.time_of(order.lease_until_ms)
        return min(until, now + self.longest_lease_s)

    def accepts(self, order: fencing.Order) -> bool:
        """Returns whether no higher token was seen; keeps the highest."""
        token = fencing.token_of(order)
        if token < self.token:
            return False
        self.token = token
        return True

    def hold(
        self, order: effects.Hold, now: float
    ) -> tuple[events.CallResult, tuple, tuple]:
        """Executes a hold; returns its result, running and ended runs.

        Only the first ended runs that are not acknowledged are returned.
        """
        if not self.accepts(order):
            return events.CallResult.FENCED, (), ()
        self.lease_until = max(self.lease_until, self.granted_until(order, now))
        self.ended = [
            row for row in self.ended if row.number > order.acknowledged_end
        ]
        running = tuple(
            model.RunReport(
                run.task_id, run.run, "", run.percent(now), self.load(run)
            )
            for run in self.running.values()
        )
        ended = tuple(self.ended[: self.ends_per_answer])
        return events.CallResult.DONE, running, ended

    def start(
        self,
        order: effects.Start,
        now: float,
        run: Running,
        has_ticket: bool = True,
    ) -> events.CallResult:
        """Executes a start; also one that it refuses may extend the lease."""
        if not self.accepts(order):
            return events.CallResult.FENCED
        if (order.task_id, order.run) in self.running:
            return events.CallResult.DONE
        start_before = self.time_of(order.start_before_ms)
        if now > start_before:
            return events.CallResult.REFUSED
        until = min(start_before, now + self.longest_lease_s)
        if order.run <= self.closed.get(order.task_id, 0):
            self.lease_until = max(self.lease_until, until)
            return events.CallResult.REFUSED
        if not has_ticket:
            return events.CallResult.NO_TICKET
        self.lease_until = max(self.lease_until, until)
        self.running[(order.task_id, order.run)] = run
        return events.CallResult.DONE

    def pace(self, order: effects.Pace) -> events.CallResult:
        """Executes an order to change the speed of a run."""
        if not self.accepts(order):
            return events.CallResult.FENCED
        run = self.running.get((order.task_id, order.run))
        if run is None:
            return events.CallResult.REFUSED
        run.pace = order.percent
        return events.CallResult.DONE

    def stop(self, order: effects.Stop, now: float) -> events.CallResult:
        """Executes a stop; the run ends within `STOP_S` seconds."""
        if not self.accepts(order):
            return events.CallResult.FENCED
        self.closed[order.task_id] = max(
            order.run, self.closed.get(order.task_id, 0)
        )
        run = self.running.get((order.task_id, order.run))
        if run is not None and run.outcome != model.RunOutcome.STOPPED:
            run.outcome = model.RunOutcome.STOPPED
            run.ends_at = min(run.ends_at, now + STOP_S)
        return events.CallResult.DONE
