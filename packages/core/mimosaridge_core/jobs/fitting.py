"""Chooses workers with room for tasks; changes nothing."""

import collections
from collections import abc
import heapq
import types

from mimosaridge_core import resources
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work


class Chooser:
    """Chooses workers for the tasks of one step, one after the other.

    Tasks that end are packed onto the fullest worker, which keeps whole workers
    free. Standing tasks are spread onto the emptiest, except those with a
    latency target: packing these leaves workers to tasks that fill. Workers
    that have to be shared come late, and last those on which tasks have failed.
    Urgent tasks take faster workers first.

    The worker chosen for one task mostly stays the best for the next, so the
    workers are kept in a heap: each further task costs a logarithm of their
    number, not all of them.
    """

    def __init__(
        self,
        group: state.Group,
        workers: list[state.Worker],
        reserved: abc.Set[str],
        may_share: bool = False,
        speeds: dict[str, int] | None = None,
    ) -> None:
        self.group = group
        self.speeds = speeds or {}
        self.needs = work.reserved_resources(group.step)
        self.is_spread = group.step.standing and not group.step.target_ms
        self.workers = {
            worker.entry.worker_id: worker
            for worker in workers
            if worker.entry.worker_id not in reserved
            and (may_share or not interferes(group, worker))
        }
        self.heap: list[tuple] = []
        for worker in self.workers.values():
            self._push(worker)

    def choose_bound(self, worker_id: str) -> state.Worker | None:
        """Returns a worker if a task that is bound to it fits there."""
        worker = self.workers.get(worker_id)
        if worker is None or self._score(worker) is None:
            return None
        return worker

    def choose(self, index: int) -> state.Worker | None:
        """Returns the best worker for a task, or None if it fits on none.

        The caller starts the task there before the next call.
        """
        failed_on = self.group.failed_on.get(index, ())
        skipped = []
        chosen = None
        while self.heap and chosen is None:
            score = heapq.heappop(self.heap)
            worker = self.workers[score[-1]]
            if score != self._score(worker):
                self._push(worker)
            elif score[-1] in failed_on:
                skipped.append(score)
            else:
                chosen = worker
        for score in skipped:
            heapq.heappush(self.heap, score)
        if chosen is None and skipped:
            chosen = self.workers[skipped[0][-1]]
        elif chosen is not None:
            # Its room is computed anew when it comes up again.
            heapq.heappush(self.heap, score)
        return chosen

    def _push(self, worker: state.Worker) -> None:
        score = self._score(worker)
        if score is not None:
            heapq.heappush(self.heap, score)

    def _score(self, worker: state.Worker) -> tuple | None:
        """Returns the sort key of a worker; None if it can't take a task."""
        group = self.group
        after = fraction_left(worker, self.needs)
        if after is None or not is_below_worker_limit(
            group, worker.entry.worker_id
        ):
            return None
        return (
            worker.failures > 0,
            interferes(group, worker),
            bool(group.step.rack) and group.step.rack != worker.rack,
            -self.speeds.get(worker.entry.worker_id, 0),
            -after if self.is_spread else after,
            worker.entry.worker_id,
        )


def fraction_left(
    worker: state.Worker, needs: resources.Resources
) -> float | None:
    """Returns the largest fraction of a worker left beside one more task.

    Returns:
        The fraction over all resources; None if the task does not fit.
    """
    capacity, used = worker.entry.capacity, worker.used
    cpu = capacity.cpu_millis - used.cpu_millis - needs.cpu_millis
    memory = capacity.memory_mib - used.memory_mib - needs.memory_mib
    accelerators = capacity.accelerators - used.accelerators
    accelerators -= needs.accelerators
    if cpu < 0 or memory < 0 or accelerators < 0:
        return None
    return max(
        cpu / capacity.cpu_millis if capacity.cpu_millis else 0.0,
        memory / capacity.memory_mib if capacity.memory_mib else 0.0,
        accelerators / capacity.accelerators if capacity.accelerators else 0.0,
    )


def assign_gang(
    group: state.Group,
    workers: list[state.Worker],
    reserved: abc.Set[str],
    indexes: list[int],
    may_share: bool = False,
    bound: abc.Mapping[int, str] = types.MappingProxyType({}),
) -> dict[int, state.Worker] | None:
    """Returns workers for the tasks of a gang; None if they don't all fit.

    Args:
        group: The step.
        workers: Workers on which its tasks may run.
        reserved: Workers that it must not use.
        indexes: The tasks.
        may_share: Whether backfill and serving tasks may share a worker.
        bound: Workers of the tasks that may start on no other.

    Returns:
        The workers by task.
    """
    needs = work.reserved_resources(group.step)
    limit = group.step.most_per_worker or len(indexes)
    free = [index for index in indexes if index not in bound]
    bound_to = collections.defaultdict(list)
    for index in indexes:
        if index in bound:
            bound_to[bound[index]].append(index)
    assigned: dict[int, state.Worker] = {}
    ordered = sorted(
        workers,
        key=lambda worker: (
            worker.failures > 0,
            interferes(group, worker),
            worker.entry.capacity.cpu_millis - worker.used.cpu_millis,
        ),
    )
    for worker in ordered:
        if worker.entry.worker_id in reserved:
            continue
        if interferes(group, worker) and not may_share:
            continue
        available = worker.entry.capacity - worker.used
        own = bound_to[worker.entry.worker_id]
        for index in (own + free)[:limit]:
            if not needs.fits(available):
                break
            assigned[index] = worker
            available = available - needs
        free = [index for index in free if index not in assigned]
        if len(assigned) == len(indexes):
            return assigned
    return None


def could_start(
    group: state.Group,
    workers: list[state.Worker],
    reserved: abc.Set[str],
    may_share: bool = False,
) -> bool:
    """Returns whether one waiting task, or the whole gang, has room now."""
    if group.step.gang:
        indexes = sorted(group.waiting)
        assigned = assign_gang(group, workers, reserved, indexes, may_share)
        return assigned is not None
    needs = work.reserved_resources(group.step)
    return any(
        worker.entry.worker_id not in reserved
        and fraction_left(worker, needs) is not None
        and (may_share or not interferes(group, worker))
        and is_below_worker_limit(group, worker.entry.worker_id)
        for worker in workers
    )


def interferes(group: state.Group, worker: state.Worker) -> bool:
    """Returns whether tasks that fill would share a worker with serving ones.

    The interference between them is not known in advance and changes within
    seconds; on separate workers there is none. Only steps that would starve
    otherwise may share workers; `sharing` limits the harm.
    """
    if group.step.fills:
        return worker.serving > 0
    if group.step.target_ms:
        return worker.backfill > 0
    return False


def is_below_worker_limit(group: state.Group, worker_id: str) -> bool:
    """Returns whether a worker may get one more task of a step."""
    limit = group.step.most_per_worker
    return not limit or work.tasks_on(group, worker_id) < limit
