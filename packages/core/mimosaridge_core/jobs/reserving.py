"""Chooses workers to reserve for large tasks and gangs; changes nothing.

Without reservations, small tasks would take each piece of room as it becomes
free, and a large task would never find enough on one worker. A worker is
reserved only if the step can start there once runs that end by themselves have
ended: otherwise it would stay idle for as long as the step waits.
"""

import collections
import dataclasses

from mimosaridge_core import resources
from mimosaridge_core.jobs import advice_calls
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work

# Workers are reserved for tasks that need at least this share of a worker.
LARGE_TASK_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class StandingRuns:
    """What the standing runs of a worker occupy until they are stopped.

    Attributes:
        used: Resources that they occupy.
        has_target: Whether one of them has a latency target.
        has_fill: Whether one of them is backfill.
    """

    used: resources.Resources
    has_target: bool
    has_fill: bool


def standing_runs(owner: state.Owner, worker: state.Worker) -> StandingRuns:
    """Returns what the standing runs of a worker occupy."""
    found = []
    for run in worker.runs.values():
        group = owner.groups.get(run.task_id.rpartition(".")[0])
        if group is not None and group.step.standing and not run.why_stopped:
            found.append(run)
    return StandingRuns(
        resources.total([run.needs for run in found]),
        any(run.target_ms > 0 for run in found),
        any(run.fills for run in found),
    )


def workers_to_reserve(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    pool: dict[str, state.Worker],
    count: int,
    standing: dict[str, StandingRuns],
) -> frozenset[str]:
    """Returns workers with tickets for the waiting tasks if they are large.

    Args:
        st: The state.
        owner: The owner.
        group: The step.
        pool: Workers that can take starts, by id.
        count: How many of its tasks may start.
        standing: Standing runs by worker; those of other workers are added.

    Returns:
        Ids of workers with room for the tasks beside their standing runs; none
        for a gang whose workers don't have room for all its tasks.
    """
    needs = work.reserved_resources(group.step)
    suitable = [
        pool[name]
        for name in group.tickets
        if name in pool
        and needs.fits(pool[name].entry.capacity)
        and advice_calls.has_or_awaits_ticket(st, group, name)
    ]
    suitable.sort(key=lambda worker: worker.used.cpu_millis)
    placed = _runs_by_worker(group) if group.step.most_per_worker else {}
    reserved = set()
    for worker in suitable:
        worker_id = worker.entry.worker_id
        share = needs.dominant_fraction(worker.entry.capacity)
        if share < LARGE_TASK_SHARE or count <= 0:
            break
        if worker_id not in standing:
            standing[worker_id] = standing_runs(owner, worker)
        tasks = _tasks_that_fit(group, worker, standing[worker_id])
        if group.step.most_per_worker:
            limit = group.step.most_per_worker - placed.get(worker_id, 0)
            tasks = min(tasks, limit)
        if tasks > 0:
            reserved.add(worker_id)
            count -= tasks
    if group.step.gang and count > 0:
        return frozenset()
    return frozenset(reserved)


def _runs_by_worker(group: state.Group) -> dict[str, int]:
    return collections.Counter(
        run.worker_id for runs in group.runs.values() for run in runs
    )


def _tasks_that_fit(
    group: state.Group, worker: state.Worker, standing: StandingRuns
) -> int:
    """Returns how many tasks fit beside the standing runs of a worker."""
    if group.step.fills and standing.has_target:
        return 0
    if group.step.target_ms and standing.has_fill:
        return 0
    needs = work.reserved_resources(group.step)
    room = worker.entry.capacity - standing.used
    return min(
        max(0, amount) // needed
        for amount, needed in (
            (room.cpu_millis, needs.cpu_millis),
            (room.memory_mib, needs.memory_mib),
            (room.accelerators, needs.accelerators),
        )
        if needed
    )
