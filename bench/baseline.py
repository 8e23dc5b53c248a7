"""A first-in, first-out, first-fit scheduler as a comparison baseline."""

import collections
import time

from mimosaridge_core import events
from mimosaridge_core import resources
from mimosaridge_core import works


class Baseline:
    """Places the head of one FIFO queue on the first worker that fits.

    Attributes:
        queue: Waiting tasks.
        running: Worker ID and needs of each running task, in start order.
        durations_ns: Processing times of submissions ("place") and of task
            ends ("end"), in nanoseconds.
    """

    def __init__(self, hosts: list[events.Host]) -> None:
        self.endpoints = [(host.worker_id, host.endpoint) for host in hosts]
        self.free = {host.worker_id: host.capacity for host in hosts}
        self.queue: collections.deque[works.Work] = collections.deque()
        self.running: collections.deque = collections.deque()
        self.durations_ns: dict[str, list[int]] = {"place": [], "end": []}

    def submit(self, work: works.Work) -> None:
        """Queues a task and places as many queued tasks as fit."""
        started_ns = time.perf_counter_ns()
        self.queue.append(work)
        self._schedule()
        self.durations_ns["place"].append(time.perf_counter_ns() - started_ns)

    def end_oldest(self) -> None:
        """Ends the longest-running task and places queued tasks that fit."""
        worker_id, needs = self.running.popleft()
        started_ns = time.perf_counter_ns()
        self.free[worker_id] = self.free[worker_id] + needs
        self._schedule()
        self.durations_ns["end"].append(time.perf_counter_ns() - started_ns)

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
        for worker_id, worker_endpoint in self.endpoints:
            if worker_endpoint == endpoint and needs.fits(self.free[worker_id]):
                return worker_id
        return None
