"""Records of decisions, which `mimosaridge explain` puts in order."""

import collections
import dataclasses
import enum

from mimosaridge_core import codes
from mimosaridge_core import works

RING_RECORDS = 50_000


class Rule(enum.StrEnum):
    """The rule that decided."""

    ADMISSION = "admission"
    RECORDED = "recorded"
    ROUTING = "routing"
    QUEUED = "queued"
    PLACEMENT = "placement"
    RESERVATION = "reservation"
    PREEMPTION = "preemption"
    HEALTH = "health"
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


@dataclasses.dataclass(slots=True)
class Line:
    """A record of one decision in the account of its work.

    Attributes:
        at: When, seconds since the epoch.
        daemon: Daemon that decided.
        task: Index of the task; empty for the work as a whole.
        rule: Rule that decided.
        code: Result code.
        text: A sentence for a person.
    """

    at: float
    daemon: str
    task: str
    rule: Rule
    code: codes.Code
    text: str


def line_of(record: Record) -> Line:
    """Returns the line of a record."""
    return Line(
        record.at,
        record.daemon,
        record.task_id.rpartition("/")[2],
        record.rule,
        record.code,
        record.text,
    )


@dataclasses.dataclass(slots=True)
class WorkAccount:
    """The account of settled work, as it is kept in the store.

    Attributes:
        work_id: The work.
        team: Team charged for it.
        kind: How its tasks ran.
        count: Number of tasks.
        submitted_at: Seconds since the epoch.
        settled_at: Seconds since the epoch.
        code: Result code of the whole.
        detail: A sentence on the outcome.
        lines: What was decided, oldest first.
    """

    work_id: str
    team: str
    kind: works.Kind
    count: int
    submitted_at: float
    settled_at: float
    code: codes.Code
    detail: str
    lines: list[Line]


class Ring:
    """The latest records, found by work and task; the oldest are dropped."""

    def __init__(self, limit: int = RING_RECORDS) -> None:
        self.limit = limit
        self.records: collections.deque[Record] = collections.deque()
        self.by_work: dict[str, dict[str, collections.deque[Record]]] = {}

    def add(self, record: Record) -> None:
        """Adds a record."""
        self.records.append(record)
        tasks = self.by_work.setdefault(record.work_id, {})
        same = tasks.get(record.task_id)
        if same is None:
            same = collections.deque()
            tasks[record.task_id] = same
        same.append(record)
        if len(self.records) > self.limit:
            self._drop_oldest()

    def of(self, work_id: str) -> list[Record]:
        """Returns the records of some work, oldest first."""
        tasks = self.by_work.get(work_id, {}).values()
        records = [record for same in tasks for record in same]
        return sorted(records, key=lambda record: record.at)

    def of_task(self, work_id: str, task_id: str) -> list[Record]:
        """Returns the records of a task, oldest first."""
        return list(self.by_work.get(work_id, {}).get(task_id, ()))

    def _drop_oldest(self) -> None:
        oldest = self.records.popleft()
        tasks = self.by_work[oldest.work_id]
        same = tasks[oldest.task_id]
        same.popleft()
        if not same:
            del tasks[oldest.task_id]
        if not tasks:
            del self.by_work[oldest.work_id]
