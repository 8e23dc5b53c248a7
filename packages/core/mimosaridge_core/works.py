"""Work as submitted, and the tasks it consists of."""

import dataclasses
import enum

from mimosaridge_core import codes
from mimosaridge_core import resources


class Kind(enum.StrEnum):
    """How the tasks of a piece of work run."""

    REQUEST = "request"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class Urgency(enum.IntEnum):
    """Urgency classes, the most urgent first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class Phase(enum.StrEnum):
    """Where a task stands."""

    PENDING = "pending"
    PLACING = "placing"
    HELD = "held"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


FINAL_PHASES = frozenset(
    (Phase.DONE, Phase.FAILED, Phase.NOT_RUN, Phase.UNKNOWN)
)


@dataclasses.dataclass(slots=True)
class Work:
    """One request, job or standing service as its team submitted it.

    Attributes:
        work_id: UUID version 7 chosen by the caller, or a service's name.
        team: Team charged for it.
        kind: How its tasks run.
        count: Number of tasks.
        needs: What each task needs.
        endpoint: Back end whose workers may run it; empty for any.
        idempotent: Whether running it twice does no harm.
        urgency: Urgency class.
        start_before: Deadline of its start, seconds since the epoch.
        submitted_at: When it was submitted, seconds since the epoch.
        declared_run_s: Run time that the team expects, in seconds.
        body: What the worker is given.
    """

    __pydantic_config__ = {
        "ser_json_bytes": "base64",
        "val_json_bytes": "base64",
    }

    work_id: str
    team: str
    kind: Kind
    count: int
    needs: resources.Resources
    endpoint: str
    idempotent: bool
    urgency: Urgency
    start_before: float
    submitted_at: float
    declared_run_s: float = 0.0
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Task:
    """One attempt at one task, as it travels to an owner and a worker.

    Attributes:
        task_id: Work id and index.
        attempt: Grows with each new start; names a run together with task_id.
        work_id: The work it belongs to.
        home: Partition that answers for the work, or a daemon's name.
        team: Team charged for it.
        kind: How it runs.
        needs: What it needs.
        endpoint: Back end whose workers may run it; empty for any.
        urgency: Urgency class.
        start_before: Deadline of its start, seconds since the epoch.
        submitted_at: When the work was submitted, seconds since the epoch.
        declared_run_s: Run time that the team expects, in seconds.
        idempotent: Whether running it twice does no harm.
        body: What the worker is given.
        checkpoint: Where an earlier attempt was stopped; empty to begin anew.
    """

    __pydantic_config__ = {
        "ser_json_bytes": "base64",
        "val_json_bytes": "base64",
    }

    task_id: str
    attempt: int
    work_id: str
    home: str
    team: str
    kind: Kind
    needs: resources.Resources
    endpoint: str
    urgency: Urgency
    start_before: float
    submitted_at: float
    declared_run_s: float
    idempotent: bool
    body: bytes = b""
    checkpoint: bytes = b""


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of a piece of work or a task.

    Attributes:
        code: Result code.
        detail: One sentence for a person.
        answer: The worker's whole answer.
    """

    __pydantic_config__ = {
        "ser_json_bytes": "base64",
        "val_json_bytes": "base64",
    }

    code: codes.Code
    detail: str = ""
    answer: bytes = b""
