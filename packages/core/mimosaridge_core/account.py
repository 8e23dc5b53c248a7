"""Records of scheduling decisions, shown by `mimosaridge explain`."""

import collections
import dataclasses
import enum

from mimosaridge_core import codes
from mimosaridge_core import works

MAX_RECORDS = 50_000


class Rule(enum.StrEnum):
    """Kinds of decisions."""

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
        at: Time of the decision, in seconds since the epoch.
        daemon: Daemon that made the decision.
        work_id: Work that the decision concerns; empty if none.
        task_id: Task that the decision concerns; empty if none.
        rule: Kind of decision.
        code: Result code.
        config_number: Number of the configuration in force.
        epoch: Epoch of the owner; 0 if there is none.
        text: Human-readable description.
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
    """One decision in the account of a piece of work.

    Attributes:
        at: Time of the decision, in seconds since the epoch.
        daemon: Daemon that made the decision.
        task: Index of the task; empty for the work as a whole.
        rule: Kind of decision.
        code: Result code.
        text: Human-readable description.
    """

    at: float
    daemon: str
    task: str
    rule: Rule
    code: codes.Code
    text: str


def make_line(record: Record) -> Line:
    """Returns the account line for a record."""
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
    """The account of settled work, as stored.

    Attributes:
        work_id: Id of the work.
        team: Team charged for it.
        kind: Kind of work.
        count: Number of tasks.
        submitted_at: Submission time, in seconds since the epoch.
        settled_at: Settling time, in seconds since the epoch.
        code: Result code of the work as a whole.
        detail: Human-readable description of the outcome.
        lines: Decisions, oldest first.
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
    """Bounded buffer of the latest records, indexed by work and task."""

    def __init__(self, limit: int = MAX_RECORDS) -> None:
        self.limit = limit
        self.records: collections.deque[Record] = collections.deque()
        self.by_work: dict[str, dict[str, collections.deque[Record]]] = {}

    def add(self, record: Record) -> None:
        """Adds a record and evicts the oldest one if the buffer is full."""
        self.records.append(record)
        tasks = self.by_work.setdefault(record.work_id, {})
        task_records = tasks.get(record.task_id)
        if task_records is None:
            task_records = collections.deque()
            tasks[record.task_id] = task_records
        task_records.append(record)
        if len(self.records) > self.limit:
            self._evict_oldest()

    def for_work(self, work_id: str) -> list[Record]:
        """Returns the records of a piece of work, oldest first."""
        tasks = self.by_work.get(work_id, {}).values()
        records = [record for task_records in tasks for record in task_records]
        return sorted(records, key=lambda record: record.at)

    def for_task(self, work_id: str, task_id: str) -> list[Record]:
        """Returns the records of a task, oldest first."""
        return list(self.by_work.get(work_id, {}).get(task_id, ()))

    def _evict_oldest(self) -> None:
        oldest = self.records.popleft()
        tasks = self.by_work[oldest.work_id]
        task_records = tasks[oldest.task_id]
        task_records.popleft()
        if not task_records:
            del tasks[oldest.task_id]
        if not tasks:
            del self.by_work[oldest.work_id]
