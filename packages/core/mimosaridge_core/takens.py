"""Attempts that are over, remembered until no message can start them again."""

import dataclasses
import heapq


@dataclasses.dataclass(slots=True)
class Takens:
    """The latest attempt of each task that ended and was forgotten.

    A message that asks for such an attempt may still be on its way. It is
    refused until the attempt's start deadline has passed on every clock.

    Attributes:
        attempts: Latest attempt that is over, by task id.
        deadlines: Heap of the times until which to remember.
    """

    attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    deadlines: list[tuple[float, str, int]] = dataclasses.field(
        default_factory=list
    )

    def add(self, task_id: str, attempt: int, until: float) -> None:
        """Remembers an attempt until a time in seconds since the epoch."""
        if attempt > self.attempts.get(task_id, 0):
            self.attempts[task_id] = attempt
            heapq.heappush(self.deadlines, (until, task_id, attempt))

    def covers(self, task_id: str, attempt: int) -> bool:
        """Tells whether an attempt is known to be over."""
        return attempt <= self.attempts.get(task_id, 0)

    def expire(self, now: float) -> None:
        """Forgets attempts whose time has come."""
        while self.deadlines and self.deadlines[0][0] <= now:
            _, task_id, attempt = heapq.heappop(self.deadlines)
            if self.attempts.get(task_id) == attempt:
                del self.attempts[task_id]
