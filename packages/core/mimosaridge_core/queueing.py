"""Queue of a shard's waiting tasks."""

import collections
from collections.abc import Iterator
import dataclasses
import heapq

from mimosaridge_core import works

TaskKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class WaitingTask:
    """A waiting task.

    Attributes:
        task: The task.
        hold: Whether to hold resources for the task instead of starting it.
        home_daemon: Daemon that sent the task.
        queued_at: When the task was queued, seconds since the epoch.
        until: When the task is given up, seconds since the epoch.
    """

    task: works.Task
    hold: bool
    home_daemon: str
    queued_at: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lane:
    """Key of a group of waiting tasks that are placed in order of arrival."""

    urgency: works.Urgency
    team: str
    endpoint: str
    gang: bool = False


def lane_of(task: works.Task) -> Lane:
    """Returns the lane that a task waits in."""
    gang = task.kind == works.Kind.GANG
    return Lane(task.urgency, task.team, task.endpoint, gang)


class Queue:
    """Waiting tasks in lanes by urgency, team, endpoint and gang.

    Attributes:
        waiting: All waiting tasks by id and attempt.
        lanes: The lanes' tasks in order of arrival.
        deadlines: Heap of (until, key); may contain removed tasks.
    """

    def __init__(self) -> None:
        self.waiting: dict[TaskKey, WaitingTask] = {}
        self.lanes: dict[Lane, collections.deque[TaskKey]] = {}
        self.deadlines: list[tuple[float, TaskKey]] = []

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, waiting: WaitingTask) -> None:
        """Adds a task at the end of its lane."""
        task = waiting.task
        key = (task.task_id, task.attempt)
        self.waiting[key] = waiting
        lane = lane_of(task)
        self.lanes.setdefault(lane, collections.deque()).append(key)
        heapq.heappush(self.deadlines, (waiting.until, key))

    def extend(self, waiting: WaitingTask, until: float) -> None:
        """Changes the time until which a task waits."""
        waiting.until = until
        key = (waiting.task.task_id, waiting.task.attempt)
        heapq.heappush(self.deadlines, (until, key))

    def remove(self, key: TaskKey) -> WaitingTask | None:
        """Removes and returns a task; its key in the lane is skipped later."""
        return self.waiting.pop(key, None)

    def head(self, lane: Lane) -> WaitingTask | None:
        """Returns the first task of a lane, or None; drops an empty lane."""
        keys = self.lanes.get(lane)
        while keys:
            waiting = self.waiting.get(keys[0])
            if waiting is not None:
                return waiting
            keys.popleft()
        self.lanes.pop(lane, None)
        return None

    def active_lanes(self) -> list[Lane]:
        """Returns the lanes that may hold tasks."""
        return list(self.lanes)

    def pop_expired(self, now: float) -> Iterator[WaitingTask]:
        """Removes and yields the tasks whose waiting time has expired."""
        while self.deadlines and self.deadlines[0][0] <= now:
            _, key = heapq.heappop(self.deadlines)
            waiting = self.waiting.get(key)
            if waiting is not None and waiting.until <= now:
                del self.waiting[key]
                yield waiting
