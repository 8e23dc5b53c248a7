"""First in, first out with first fit: what the scheduler is compared to."""

import collections
import time

from mimosaridge_core import events
from mimosaridge_core import resources
from mimosaridge_core import works


class Baseline:
    """One queue in order of arrival; its head takes the first worker that fits.

    Attributes:
        running: Tasks that run: worker and needs, in order of their start.
        queue: Tasks that wait.
        spent_ns: Time of each arrival and of each end.
    """

    def __init__(self, hosts: list[events.Host]) -> None:
        self.endpoints = [(host.worker_id, host.endpoint) for host in hosts]
        self.free = {host.worker_id: host.capacity for host in hosts}
        self.queue: collections.deque[works.Work] = collections.deque()
        self.running: collections.deque = collections.deque()
        self.spent_ns: dict[str, list[int]] = {"place": [], "end": []}

    def submit(self, work: works.Work) -> None:
        """Takes a task and places what it can."""
        begun = time.perf_counter_ns()
        self.queue.append(work)
        self._schedule()
        self.spent_ns["place"].append(time.perf_counter_ns() - begun)

    def end_oldest(self) -> None:
        """Ends the task that has run the longest and places what it can."""
        worker_id, needs = self.running.popleft()
        begun = time.perf_counter_ns()
        self.free[worker_id] = self.free[worker_id] + needs
        self._schedule()
        self.spent_ns["end"].append(time.perf_counter_ns() - begun)

    def _schedule(self) -> None:
        while self.queue:
            work = self.queue[0]
            worker_id = self._first_fit(work.endpoint, work.needs)
            if worker_id is None:
                return
            self.queue.popleft()
            self.free[worker_id] = self.free[worker_id] - work.needs
            self.running.append((worker_id, work.needs))

    def _first_fit(
        self, endpoint: str, needs: resources.Resources
    ) -> str | None:
        for worker_id, serves in self.endpoints:
            if serves == endpoint and needs.fits(self.free[worker_id]):
                return worker_id
        return None
