"""Finding a worker for a task among those that one daemon owns."""

from collections.abc import Callable
from collections.abc import Iterator
import heapq

import sortedcontainers

from mimosaridge_core import resources

SCAN_LIMIT = 24
SPARE_ENTRIES = 64

Fit = Callable[["Pool", resources.Resources], str | None]


class Peak:
    """The largest amount of one resource that a worker of a pool has free.

    Attributes:
        resource: Name of the resource.
        entries: Heap of negated amounts with their workers; an entry that no
            longer holds is dropped when it comes to the top.
    """

    def __init__(self, resource: str) -> None:
        self.resource = resource
        self.entries: list[tuple[int, str]] = []

    def put(self, worker_id: str, free: dict[str, resources.Resources]) -> None:
        """Adds what a worker of the pool now has free."""
        amount = getattr(free[worker_id], self.resource)
        heapq.heappush(self.entries, (-amount, worker_id))
        if len(self.entries) > 2 * len(free) + SPARE_ENTRIES:
            self.entries = [
                (-getattr(room, self.resource), name)
                for name, room in free.items()
            ]
            heapq.heapify(self.entries)

    def largest(self, free: dict[str, resources.Resources]) -> int:
        """Returns the largest amount; 0 without workers."""
        while self.entries:
            negated, worker_id = self.entries[0]
            room = free.get(worker_id)
            if room is not None and getattr(room, self.resource) == -negated:
                return -negated
            heapq.heappop(self.entries)
        return 0


class Pool:
    """Workers of one endpoint, grouped by free accelerators.

    Attributes:
        free: What each worker has free, by id.
        groups: For each number of free accelerators, workers with a free
            slot, sorted by free processor time and memory.
        total: Sum of what they have free.
        peaks: Largest free amount of each resource.
    """

    def __init__(self) -> None:
        self.free: dict[str, resources.Resources] = {}
        self.groups: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self.total = resources.ZERO
        self.peaks = [Peak(name) for name in resources.NAMES]

    def put(self, worker_id: str, free: resources.Resources) -> None:
        """Adds a worker or replaces what it has free."""
        known = self.free.get(worker_id)
        if known == free:
            return
        if known is not None:
            self._unlist(worker_id, known)
        self.free[worker_id] = free
        self.total = self.total + free
        for peak in self.peaks:
            peak.put(worker_id, self.free)
        if free.slots <= 0:
            return
        group = self.groups.get(free.accelerators)
        if group is None:
            group = sortedcontainers.SortedList()
            self.groups[free.accelerators] = group
        group.add((free.cpu_millis, free.memory_mib, worker_id))

    def drop(self, worker_id: str) -> None:
        """Removes a worker, if it is there."""
        free = self.free.pop(worker_id, None)
        if free is not None:
            self._unlist(worker_id, free)

    def widest(self) -> resources.Resources:
        """Returns the largest free amount of each resource on one worker."""
        largest = [peak.largest(self.free) for peak in self.peaks]
        return resources.Resources(*largest)

    def _unlist(self, worker_id: str, free: resources.Resources) -> None:
        self.total = self.total - free
        if free.slots <= 0:
            return
        group = self.groups[free.accelerators]
        group.remove((free.cpu_millis, free.memory_mib, worker_id))
        if not group:
            del self.groups[free.accelerators]

    def candidates(self, needs: resources.Resources) -> Iterator[str]:
        """Yields workers by least free accelerators, then processor time.

        Not all that it yields fit in memory, slots and connections.
        """
        for accelerators in self.groups.irange(needs.accelerators):
            group = self.groups[accelerators]
            for _, _, worker_id in group.irange((needs.cpu_millis,)):
                yield worker_id


class Index:
    """Pools by endpoint."""

    def __init__(self) -> None:
        self.pools: dict[str, Pool] = {}

    def put(
        self, endpoint: str, worker_id: str, free: resources.Resources
    ) -> None:
        """Adds a worker or replaces what it has free."""
        self.pools.setdefault(endpoint, Pool()).put(worker_id, free)

    def drop(self, endpoint: str, worker_id: str) -> None:
        """Removes a worker, if it is there."""
        if endpoint in self.pools:
            self.pools[endpoint].drop(worker_id)

    def emptiest(self, endpoint: str) -> str | None:
        """Returns the worker with a slot and the most free processor time.

        Without a free slot anywhere, returns the worker listed first.
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
        """Tells whether no worker has a slot; an empty endpoint means all."""
        if endpoint:
            pool = self.pools.get(endpoint)
            return pool is None or not pool.groups
        return not any(pool.groups for pool in self.pools.values())

    def find(
        self, fit: Fit, endpoint: str, needs: resources.Resources
    ) -> str | None:
        """Returns a worker with room, chosen by `fit`, or None."""
        if endpoint:
            pool = self.pools.get(endpoint)
            return fit(pool, needs) if pool else None
        for pool in self.pools.values():
            worker_id = fit(pool, needs)
            if worker_id is not None:
                return worker_id
        return None


def best_fit(pool: Pool, needs: resources.Resources) -> str | None:
    """Chooses the fullest worker that fits, sparing accelerators.

    Workers without slots sort among the others, so that after SCAN_LIMIT
    misses the emptiest workers are tried instead. A task without slots may
    also go to workers that have none left.
    """
    if needs.slots <= 0:
        return first_fit(pool, needs)
    for scanned, worker_id in enumerate(pool.candidates(needs)):
        if needs.fits(pool.free[worker_id]):
            return worker_id
        if scanned >= SCAN_LIMIT:
            return _emptiest(pool, needs)
    return None


def _emptiest(pool: Pool, needs: resources.Resources) -> str | None:
    for accelerators in pool.groups.irange(needs.accelerators):
        group = pool.groups[accelerators]
        for _, _, worker_id in reversed(group):
            if needs.fits(pool.free[worker_id]):
                return worker_id
    return None


def first_fit(pool: Pool, needs: resources.Resources) -> str | None:
    """Chooses the first worker that fits, in the order of listing."""
    for worker_id, free in pool.free.items():
        if needs.fits(free):
            return worker_id
    return None
