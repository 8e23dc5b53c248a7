"""Submitted work, its tasks and their outcomes."""

import dataclasses
import enum

from mimosaridge_core import codes
from mimosaridge_core import resources


class Kind(enum.StrEnum):
    """Kinds of work, which determine how the tasks run."""

    REQUEST = "request"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class Urgency(enum.IntEnum):
    """Urgency classes, most urgent first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class Phase(enum.StrEnum):
    """Phases of a task or attempt."""

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
    """A request, job or service as submitted by a team.

    Attributes:
        work_id: Version 7 UUID chosen by the caller, or the service's name.
        team: Team charged for it.
        kind: Kind of work.
        count: Number of tasks.
        needs: Resources that each task needs.
        endpoint: Back end whose workers may run the tasks; empty for any.
        idempotent: Whether a task may safely run more than once.
        urgency: Urgency class.
        start_before: Start deadline, in seconds since the epoch.
        submitted_at: Submission time, in seconds since the epoch.
        declared_run_s: Run time expected by the team, in seconds.
        body: Input passed to the worker.
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
    """One attempt at one task, as sent to a shard's owner and a worker.

    Attributes:
        task_id: Work id and task index, separated by a slash.
        attempt: Number that increases with each start; identifies an attempt
            together with the task id.
        work_id: Id of the work that the task belongs to.
        home: Partition that tracks the work, or the name of a daemon.
        team: Team charged for it.
        kind: Kind of work.
        needs: Resources that the task needs.
        endpoint: Back end whose workers may run the tasks; empty for any.
        urgency: Urgency class.
        start_before: Start deadline, in seconds since the epoch.
        submitted_at: Submission time of the work, in seconds since the epoch.
        declared_run_s: Run time expected by the team, in seconds.
        idempotent: Whether a task may safely run more than once.
        body: Input passed to the worker.
        checkpoint: Saved progress of an earlier attempt; empty to start from
            the beginning.
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
    """The result of a piece of work, a task or an attempt.

    Attributes:
        code: Result code.
        detail: Human-readable description.
        answer: Complete answer of the worker.
    """

    __pydantic_config__ = {
        "ser_json_bytes": "base64",
        "val_json_bytes": "base64",
    }

    code: codes.Code
    detail: str = ""
    answer: bytes = b""
