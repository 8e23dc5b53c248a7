"""Store of a simulated job cluster: jobs, progress, ownership and the fleet."""

import copy
from typing import TYPE_CHECKING

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobfaults

if TYPE_CHECKING:
    from mimosaridge_fakes import jobclusters

STORE_DELAY_S = 0.007


class Store:
    """What is stored, and the conditions of writes.

    Attributes:
        cluster: The cluster.
        revision: Revision of the latest change.
        owner_revision: Revision of the latest claim, the owner's token.
        jobs: Jobs and the revisions of their acceptance, by id.
        progress: Progress and its revision by job id.
        cancelled: Ids of cancelled jobs and the revisions of that.
        fleet: The stored fleet.
        fleet_revision: Revision at which the fleet was stored.
        known_fleet_revisions: Revision of the fleet that each daemon expects.
    """

    def __init__(self, cluster: "jobclusters.Cluster", daemons: int) -> None:
        self.cluster = cluster
        self.revision = 10
        self.owner_revision = 0
        self.jobs: dict[str, tuple[model.Job, int]] = {}
        self.progress: dict[str, tuple[model.Progress, int]] = {}
        self.cancelled: dict[str, int] = {}
        self.fleet = model.Fleet()
        self.fleet_revision = 0
        self.known_fleet_revisions = [0] * daemons

    def add_job(self, job: model.Job) -> int:
        """Stores a job; returns the revision of its acceptance."""
        self.revision += 1
        self.jobs[job.job_id] = (job, self.revision)
        return self.revision

    def cancel(self, job_id: str) -> int:
        """Stores the cancellation of a job; returns its revision."""
        self.revision += 1
        self.cancelled[job_id] = self.revision
        return self.revision

    def claim(self, number: int) -> int:
        """Stores a daemon's claim of ownership; returns its token."""
        self.revision += 1
        self.owner_revision = self.revision
        self.known_fleet_revisions[number] = self.fleet_revision
        return self.owner_revision

    def jobs_listed(self) -> events.JobsListed:
        """Returns the event that lists what is stored now."""
        return events.JobsListed(
            self.cluster.now,
            self.revision,
            dict(self.jobs),
            copy.deepcopy(self.progress),
            dict(self.cancelled),
        )

    def write(self, number: int, effect: effects.WriteProgress) -> None:
        """Executes a write as the store does: all of it or nothing.

        It has no effect if another owner, other progress or another fleet than
        the writer knows of is stored.

        Args:
            number: The daemon that writes; it must be an owner.
            effect: Its write.
        """
        cluster = self.cluster
        token = cluster.daemons[number].owner.token
        items = copy.deepcopy(effect.items)
        known_fleet_revision = self.known_fleet_revisions[number]

        def has_conflict() -> bool:
            return any(
                self.progress.get(job_id, (None, 0))[1] != revision
                for job_id, (_, revision) in items.items()
            ) or (
                (
                    effect.fleet is not None
                    and self.fleet_revision != known_fleet_revision
                )
                or not self.jobs.keys().isdisjoint(effect.removed_cancels)
            )

        def store() -> None:
            self.revision += 1
            for job_id, (progress, _) in items.items():
                self.progress[job_id] = (
                    copy.deepcopy(progress),
                    self.revision,
                )
            for job_id in effect.removed:
                self.jobs.pop(job_id, None)
                self.progress.pop(job_id, None)
            for job_id in effect.removed_cancels:
                self.cancelled.pop(job_id, None)
            if effect.fleet is not None:
                self.fleet = effect.fleet
                self.fleet_revision = self.revision

        def store_late() -> None:
            if token == self.owner_revision and not has_conflict():
                store()

        def answer(
            revisions: dict[str, int], is_written: bool, revision: int = 0
        ) -> None:
            cluster.deliver(
                number,
                events.ProgressWritten(
                    cluster.now, effect.batch, revisions, is_written, revision
                ),
            )

        def write() -> None:
            faults = cluster.faults
            if faults.is_store_down or number in faults.storeless:
                answer({}, False)
            elif cluster.draw(faults.late_write_share):
                cluster.schedule(
                    cluster.rng.uniform(*jobfaults.LATE_WRITE_DELAY_S),
                    store_late,
                )
                answer({}, False)
            elif token != self.owner_revision:
                cluster.deliver(
                    number,
                    events.OwnershipLost(cluster.now, token, "displaced"),
                )
            elif has_conflict():
                self.known_fleet_revisions[number] = self.fleet_revision
                revisions = {
                    job_id: self.progress[job_id][1]
                    for job_id in items
                    if job_id in self.progress
                }
                answer(revisions, self._is_stored(items, effect.fleet))
            else:
                store()
                if cluster.rng.random() < faults.lost_write_share:
                    answer({}, False)
                    return
                if effect.fleet is not None:
                    self.known_fleet_revisions[number] = self.fleet_revision
                revisions = dict.fromkeys(items, self.revision)
                answer(revisions, True, self.revision)

        cluster.schedule(STORE_DELAY_S, write)

    def _is_stored(self, items: dict, fleet: model.Fleet | None) -> bool:
        """Returns whether a write that had a conflict is stored as it is."""
        return (fleet is None or fleet == self.fleet) and all(
            job_id in self.progress and self.progress[job_id][0] == progress
            for job_id, (progress, _) in items.items()
        )
