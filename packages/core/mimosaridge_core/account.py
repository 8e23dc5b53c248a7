"""Records of decisions, from which `mimosaridge explain` tells its story."""

import collections
import dataclasses
import enum

from mimosaridge_core import codes

RING_RECORDS = 50_000


class Rule(enum.StrEnum):
    """The rule that decided."""

    ADMISSION = "admission"
    RECORDED = "recorded"
    ROUTING = "routing"
    QUEUED = "queued"
    PLACEMENT = "placement"
    RESERVATION = "reservation"
    STARTED = "started"
    ENDED = "ended"
    RETRY = "retry"
    SETTLED = "settled"
    CANCELLATION = "cancellation"
    OWNERSHIP = "ownership"
    CONFIGURATION = "configuration"
    LIMIT = "limit"
    MEMBERSHIP = "membership"


@dataclasses.dataclass(slots=True)
class Record:
    """One decision.

    Attributes:
        at: When, seconds since the epoch.
        daemon: Daemon that decided.
        work_id: Work that it is about; empty if none.
        task_id: Task that it is about; empty if none.
        rule: Rule that decided.
        code: Result code.
        config_number: Configuration in force.
        epoch: Owner's epoch, 0 if none.
        text: A sentence for a person.
    """

    at: float
    daemon: str
    work_id: str
    task_id: str
    rule: Rule
    code: codes.Code
    config_number: int
    epoch: int
    text: str


class Ring:
    """The latest records, found by work id; the oldest are dropped."""

    def __init__(self, limit: int = RING_RECORDS) -> None:
        self.limit = limit
        self.records: collections.deque[Record] = collections.deque()
        self.by_work: dict[str, collections.deque[Record]] = {}

    def add(self, record: Record) -> None:
        """Adds a record."""
        self.records.append(record)
        self.by_work.setdefault(record.work_id, collections.deque()).append(
            record
        )
        if len(self.records) > self.limit:
            self._drop_oldest()

    def of(self, work_id: str) -> list[Record]:
        """Returns the records of some work, oldest first."""
        return list(self.by_work.get(work_id, ()))

    def _drop_oldest(self) -> None:
        oldest = self.records.popleft()
        same = self.by_work[oldest.work_id]
        same.popleft()
        if not same:
            del self.by_work[oldest.work_id]
