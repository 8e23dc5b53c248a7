"""Worker index and placement strategies of one shard."""

from collections.abc import Callable
from collections.abc import Iterator
import heapq

import sortedcontainers

from mimosaridge_core import resources

SCAN_LIMIT = 24
MAX_STALE_ENTRIES = 64

Fit = Callable[["Pool", resources.Resources], str | None]


class MaxTracker:
    """Tracks the largest free amount of one resource on any worker of a pool.

    Attributes:
        resource: Name of the resource.
        entries: Heap of negated amounts with their workers; stale entries are
            dropped when they reach the top.
    """

    def __init__(self, resource: str) -> None:
        self.resource = resource
        self.entries: list[tuple[int, str]] = []

    def put(self, worker_id: str, free: dict[str, resources.Resources]) -> None:
        """Adds the free amount of a worker of the pool."""
        amount = getattr(free[worker_id], self.resource)
        heapq.heappush(self.entries, (-amount, worker_id))
        if len(self.entries) > 2 * len(free) + MAX_STALE_ENTRIES:
            self.entries = [
                (-getattr(amounts, self.resource), name)
                for name, amounts in free.items()
            ]
            heapq.heapify(self.entries)

    def largest(self, free: dict[str, resources.Resources]) -> int:
        """Returns the largest amount; 0 if there are no workers."""
        while self.entries:
            negated, worker_id = self.entries[0]
            amounts = free.get(worker_id)
            if (
                amounts is not None
                and getattr(amounts, self.resource) == -negated
            ):
                return -negated
            heapq.heappop(self.entries)
        return 0


class Pool:
    """Workers of one endpoint, grouped by free accelerators.

    Attributes:
        free: Free resources of each worker, by id.
        groups: For each number of free accelerators, workers with a free
            slot, sorted by free processor time and memory.
        total: Sum of the workers' free resources.
        maxima: Largest free amount of each resource on any worker.
    """

    def __init__(self) -> None:
        self.free: dict[str, resources.Resources] = {}
        self.groups: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self.total = resources.ZERO
        self.maxima = [MaxTracker(name) for name in resources.NAMES]

    def put(self, worker_id: str, free: resources.Resources) -> None:
        """Adds a worker or replaces its free resources."""
        previous = self.free.get(worker_id)
        if previous == free:
            return
        if previous is not None:
            self._remove(worker_id, previous)
        self.free[worker_id] = free
        self.total = self.total + free
        for tracker in self.maxima:
            tracker.put(worker_id, self.free)
        if free.slots <= 0:
            return
        group = self.groups.get(free.accelerators)
        if group is None:
            group = sortedcontainers.SortedList()
            self.groups[free.accelerators] = group
        group.add((free.cpu_millis, free.memory_mib, worker_id))

    def drop(self, worker_id: str) -> None:
        """Removes a worker if present."""
        free = self.free.pop(worker_id, None)
        if free is not None:
            self._remove(worker_id, free)

    def widest(self) -> resources.Resources:
        """Returns the largest free amount of each resource on any worker."""
        largest = [tracker.largest(self.free) for tracker in self.maxima]
        return resources.Resources(*largest)

    def _remove(self, worker_id: str, free: resources.Resources) -> None:
        self.total = self.total - free
        if free.slots <= 0:
            return
        group = self.groups[free.accelerators]
        group.remove((free.cpu_millis, free.memory_mib, worker_id))
        if not group:
            del self.groups[free.accelerators]

    def candidates(self, needs: resources.Resources) -> Iterator[str]:
        """Yields workers by free accelerators and processor time, least first.

        Memory, slots and connections of the workers may not fit the needs.
        """
        for accelerators in self.groups.irange(needs.accelerators):
            group = self.groups[accelerators]
            for _, _, worker_id in group.irange((needs.cpu_millis,)):
                yield worker_id


class Index:
    """Index of the workers of a shard, in a pool for each endpoint."""

    def __init__(self) -> None:
        self.pools: dict[str, Pool] = {}

    def put(
        self, endpoint: str, worker_id: str, free: resources.Resources
    ) -> None:
        """Adds a worker or replaces its free resources."""
        self.pools.setdefault(endpoint, Pool()).put(worker_id, free)

    def drop(self, endpoint: str, worker_id: str) -> None:
        """Removes a worker if present."""
        if endpoint in self.pools:
            self.pools[endpoint].drop(worker_id)

    def emptiest(self, endpoint: str) -> str | None:
        """Returns the worker with a free slot and the most free processor time.

        If no worker has a free slot, returns the first one in the index.
        """
        last = [
            group[-1]
            for name, pool in self.pools.items()
            if endpoint in ("", name)
            for group in pool.groups.values()
        ]
        if last:
            return max(last)[2]
        listed = (
            worker_id
            for name, pool in self.pools.items()
            if endpoint in ("", name)
            for worker_id in pool.free
        )
        return next(listed, None)

    def is_full(self, endpoint: str) -> bool:
        """Returns whether no worker has a free slot.

        An empty endpoint means all endpoints.
        """
        if endpoint:
            pool = self.pools.get(endpoint)
            return pool is None or not pool.groups
        return not any(pool.groups for pool in self.pools.values())

    def find(
        self, fit: Fit, endpoint: str, needs: resources.Resources
    ) -> str | None:
        """Returns a worker that fits, chosen by `fit`, or None."""
        if endpoint:
            pool = self.pools.get(endpoint)
            return fit(pool, needs) if pool else None
        for pool in self.pools.values():
            worker_id = fit(pool, needs)
            if worker_id is not None:
                return worker_id
        return None


def best_fit(pool: Pool, needs: resources.Resources) -> str | None:
    """Chooses the fullest worker that fits, with the fewest free accelerators.

    After SCAN_LIMIT workers that do not fit, the emptiest workers are tried
    instead, because the order does not consider all resources. A task that
    needs no slot may also run on workers without a free slot.
    """
    if needs.slots <= 0:
        return first_fit(pool, needs)
    for scanned, worker_id in enumerate(pool.candidates(needs)):
        if needs.fits(pool.free[worker_id]):
            return worker_id
        if scanned >= SCAN_LIMIT:
            return _emptiest_fit(pool, needs)
    return None


def _emptiest_fit(pool: Pool, needs: resources.Resources) -> str | None:
    for accelerators in pool.groups.irange(needs.accelerators):
        group = pool.groups[accelerators]
        for _, _, worker_id in reversed(group):
            if needs.fits(pool.free[worker_id]):
                return worker_id
    return None


def first_fit(pool: Pool, needs: resources.Resources) -> str | None:
    """Chooses the first worker that fits, in the order of the index."""
    for worker_id, free in pool.free.items():
        if needs.fits(free):
            return worker_id
    return None
