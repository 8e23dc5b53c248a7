"""Ended attempts, kept until no delayed message can start them again."""

import dataclasses
import heapq


@dataclasses.dataclass(slots=True)
class EndedAttempts:
    """The latest ended attempt of each task that was evicted.

    A message that requests the start of such an attempt may still be in
    transit. It is refused until the attempt's start deadline has passed on
    every clock.

    Attributes:
        attempts: Latest ended attempt by task id.
        deadlines: Heap of (expiry time, task id, attempt); times are in
            seconds since the epoch.
    """

    attempts: dict[str, int] = dataclasses.field(default_factory=dict)
    deadlines: list[tuple[float, str, int]] = dataclasses.field(
        default_factory=list
    )

    def add(self, task_id: str, attempt: int, until: float) -> None:
        """Adds an attempt until a time in seconds since the epoch."""
        if attempt > self.attempts.get(task_id, 0):
            self.attempts[task_id] = attempt
            heapq.heappush(self.deadlines, (until, task_id, attempt))

    def has_ended(self, task_id: str, attempt: int) -> bool:
        """Returns whether an attempt is known to have ended."""
        return attempt <= self.attempts.get(task_id, 0)

    def expire(self, now: float) -> None:
        """Removes attempts whose expiry time has passed."""
        while self.deadlines and self.deadlines[0][0] <= now:
            _, task_id, attempt = heapq.heappop(self.deadlines)
            if self.attempts.get(task_id) == attempt:
                del self.attempts[task_id]
