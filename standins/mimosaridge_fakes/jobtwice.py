"""Check of a simulated job cluster that no task runs twice.

A task runs twice if two of its runs are on workers that are up at the same
time, or if a run starts after another has ended as done and that end is
acknowledged, before or after the start. An end doesn't count if the lease of
its worker lapsed before the acknowledgement. Speculative steps are left out.
"""

from typing import TYPE_CHECKING

from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobworkers

if TYPE_CHECKING:
    from mimosaridge_fakes import jobclusters


class TwiceCheck:
    """Check of one cluster.

    Attributes:
        cluster: The cluster.
        violations: Where violations are added.
        starts: Time, run and worker of each start, by task.
        reported: What was reported: tasks with their runs.
    """

    def __init__(
        self, cluster: "jobclusters.Cluster", violations: list[str]
    ) -> None:
        self.cluster = cluster
        self.violations = violations
        self.starts: dict[str, list[tuple[float, int, str]]] = {}
        self.reported: set[tuple] = set()

    def record_start(self, task_id: str, run: int, worker_id: str) -> None:
        """Records a run that a worker starts now."""
        start = (self.cluster.now, run, worker_id)
        self.starts.setdefault(task_id, []).append(start)

    def check_acknowledged(
        self, worker: jobworkers.Worker, row: model.EndReport
    ) -> None:
        """Checks the starts before the acknowledgement of an end, made now."""
        ended_at = worker.ended_at[row.number]
        has_lapsed = worker.lapsed_at >= ended_at
        is_done = row.how == model.RunOutcome.DONE
        if has_lapsed or not is_done or self._may_repeat(row.task_id):
            return
        for started_at, run, worker_id in self.starts.get(row.task_id, ()):
            if started_at >= ended_at and run != row.run:
                self._report(
                    (row.task_id, row.run, run),
                    f"after done {row.task_id} run {run} on {worker_id}: run "
                    f"{row.run} ended at {ended_at:.2f} on "
                    f"{worker.entry.worker_id}, acknowledged after the start",
                )

    def check_running(self) -> None:
        """Checks the runs of now."""
        places: dict[str, list[tuple[int, str]]] = {}
        for worker in self.cluster.workers.values():
            if worker.is_up:
                for task_id, run in worker.running:
                    place = (run, worker.entry.worker_id)
                    places.setdefault(task_id, []).append(place)
        for task_id, runs in places.items():
            if len(runs) > 1 and not self._may_repeat(task_id):
                self._report(
                    (task_id, *sorted(runs)), f"at once {task_id}: {runs}"
                )

    def _may_repeat(self, task_id: str) -> bool:
        """Returns whether a task is speculative."""
        number = model.parse_task_id(task_id)[2]
        return self.cluster.job_of(task_id).steps[number].speculative

    def _report(self, key: tuple, text: str) -> None:
        if key not in self.reported:
            self.reported.add(key)
            self.violations.append(f"TWICE {text}")
