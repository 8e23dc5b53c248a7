"""Workers in memory that take holds, starts and stops of jobs' tasks."""

import dataclasses

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model

STOP_S = 0.1


@dataclasses.dataclass(slots=True)
class Running:
    """A run on a worker; `how` is what it ends as when its time has come."""

    task_id: str
    run: int
    ends_at: float
    how: str
    needs: resources.Resources
    lasts_s: float = 1.0

    def percent(self, now: float) -> int:
        """Returns how far it has come, in hundredths."""
        left = max(0.0, self.ends_at - now) / self.lasts_s
        return max(0, int(100 * (1 - left)))


@dataclasses.dataclass(slots=True)
class Worker:
    """One life of a worker.

    Attributes:
        entry: Its entry in the list of workers.
        is_up: Whether it runs.
        is_reachable: Whether calls reach it.
        token: Highest token that it has seen.
        lease_until: End of its lease.
        running: Runs by task and number.
        is_hanging: Whether all runs stand still.
        advanced_at: When time last passed for it.
        ended: Ends not yet taken note of.
        closed: Highest run stopped or ended, by task.
        longest_lease_s: Longest lease that it grants.
    """

    entry: model.WorkerEntry
    is_up: bool = True
    is_reachable: bool = True
    token: int = 0
    lease_until: float = 0.0
    running: dict[tuple[str, int], Running] = dataclasses.field(
        default_factory=dict
    )
    ended: list[model.EndReport] = dataclasses.field(default_factory=list)
    closed: dict[str, int] = dataclasses.field(default_factory=dict)
    ends: int = 0
    is_hanging: bool = False
    advanced_at: float = 0.0
    longest_lease_s: float = 6.0

    def used(self) -> resources.Resources:
        """Returns what its runs use."""
        return resources.total([run.needs for run in self.running.values()])

    def advance(self, now: float) -> None:
        """Ends what has come to its end, or all if the lease is over."""
        if self.is_hanging:
            for run in self.running.values():
                if run.how != model.RunOutcome.STOPPED:
                    run.ends_at += now - self.advanced_at
        self.advanced_at = now
        if now >= self.lease_until:
            for run in list(self.running.values()):
                self._end(run, model.RunOutcome.LAPSED)
        for run in list(self.running.values()):
            if now >= run.ends_at:
                self._end(run, run.how)

    def _end(self, run: Running, how: str) -> None:
        del self.running[(run.task_id, run.run)]
        self.ends += 1
        self.closed[run.task_id] = max(run.run, self.closed.get(run.task_id, 0))
        self.ended.append(
            model.EndReport(self.ends, run.task_id, run.run, how, "")
        )

    def granted(self, order: effects.Hold, now: float) -> float:
        """Returns the end of the lease that it grants."""
        return min(order.lease_until_ms / 1000, now + self.longest_lease_s)

    def hold(
        self, order: effects.Hold, now: float
    ) -> tuple[events.CallResult, tuple, tuple]:
        """Takes a hold; returns its result and both lists."""
        if order.token < self.token:
            return events.CallResult.FENCED, (), ()
        self.token = order.token
        self.lease_until = max(self.lease_until, self.granted(order, now))
        self.ended = [
            row for row in self.ended if row.number > order.acknowledged_end
        ]
        running = tuple(
            model.RunReport(run.task_id, run.run, "", run.percent(now))
            for run in self.running.values()
        )
        return events.CallResult.DONE, running, tuple(self.ended)

    def start(
        self, order: effects.Start, now: float, run: Running
    ) -> events.CallResult:
        """Takes a start."""
        if order.token < self.token:
            return events.CallResult.FENCED
        self.token = order.token
        if (order.task_id, order.run) in self.running:
            return events.CallResult.DONE
        if order.run <= self.closed.get(order.task_id, 0):
            return events.CallResult.REFUSED
        if now * 1000 > order.start_before_ms:
            return events.CallResult.REFUSED
        self.lease_until = max(self.lease_until, order.start_before_ms / 1000)
        self.running[(order.task_id, order.run)] = run
        return events.CallResult.DONE

    def stop(self, order: effects.Stop, now: float) -> events.CallResult:
        """Takes a stop."""
        if order.token < self.token:
            return events.CallResult.FENCED
        self.token = order.token
        self.closed[order.task_id] = max(
            order.run, self.closed.get(order.task_id, 0)
        )
        run = self.running.get((order.task_id, order.run))
        if run is not None and run.how != model.RunOutcome.STOPPED:
            run.how = model.RunOutcome.STOPPED
            run.ends_at = min(run.ends_at, now + STOP_S)
        return events.CallResult.DONE
