"""Gangs of a simulated job cluster: tasks that work only together."""

import dataclasses
from typing import TYPE_CHECKING

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobworkers

if TYPE_CHECKING:
    from mimosaridge_fakes import jobclusters


@dataclasses.dataclass(slots=True)
class Gang:
    """The members of one run of a gang.

    Attributes:
        size: Number of its tasks, which work only together.
        members: Workers that run its tasks, by task id.
        is_working: Whether all members were present at a time.
    """

    size: int
    members: dict[str, jobworkers.Worker] = dataclasses.field(
        default_factory=dict
    )
    is_working: bool = False


class Gangs:
    """Runs of gangs on the workers of a cluster.

    Attributes:
        cluster: The cluster.
        gangs: Gangs with a member present, by step name and run number.
    """

    def __init__(self, cluster: "jobclusters.Cluster") -> None:
        self.cluster = cluster
        self.gangs: dict[tuple[str, int], Gang] = {}

    def add_member(
        self, order: effects.Start, worker: jobworkers.Worker, size: int
    ) -> None:
        """Adds a run that a worker has just started to its gang of `size`."""
        key = (order.task_id.rpartition(".")[0], order.run)
        gang = self.gangs.setdefault(key, Gang(size))
        gang.members[order.task_id] = worker

    def advance(self) -> None:
        """Starts gangs that are complete and ends those that can't be."""
        for key, gang in list(self.gangs.items()):
            gang.members = {
                task_id: worker
                for task_id, worker in gang.members.items()
                if (task_id, key[1]) in worker.running
            }
            if not gang.members:
                del self.gangs[key]
            elif not gang.is_working:
                self._advance_waiting(key[1], gang)
            elif len(gang.members) < gang.size:
                # One end of a member as done stands for all.
                is_done = any(
                    f"{key[0]}.{index}" in self.cluster.done
                    for index in range(gang.size)
                )
                how = model.RunOutcome.BROKEN
                if is_done:
                    how = model.RunOutcome.DONE
                for task_id, worker in gang.members.items():
                    worker.end(worker.running[(task_id, key[1])], how)
                    self.cluster.record_completions(worker)
                del self.gangs[key]

    def _advance_waiting(self, run: int, gang: Gang) -> None:
        now = self.cluster.now
        if len(gang.members) == gang.size:
            gang.is_working = True
            for task_id, worker in gang.members.items():
                member = worker.running[(task_id, run)]
                if member.outcome != model.RunOutcome.STOPPED:
                    member.ends_at = now + member.duration_s
            return
        for task_id, worker in gang.members.items():
            member = worker.running[(task_id, run)]
            waited_s = now - member.started_at
            if waited_s > self.cluster.gang_timeout_s and worker.is_up:
                worker.end(member, model.RunOutcome.ALONE)
                self.cluster.checks.check_alone(task_id, run)
