"""Everything that can happen to a daemon; the reducer's only input."""

import dataclasses
from typing import Any

from mimosaridge_core import codes
from mimosaridge_core import resources
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Event:
    """Base of all events.

    Attributes:
        now: When it happened, seconds since the epoch.
    """

    now: float


@dataclasses.dataclass(slots=True)
class Tick(Event):
    """Time has passed."""


@dataclasses.dataclass(slots=True)
class PeerMessage(Event):
    """A message from a peer, or from this daemon to itself."""

    sender: str
    message: Any


@dataclasses.dataclass(slots=True)
class StoreAnswered(Event):
    """The store's answer to a write or a read.

    Attributes:
        op_id: The operation that is answered.
        result: "ok", "conflict", "absent" or "unknown" (no answer came).
        value: The document read, if any.
        revision: The store's revision of the key.
    """

    op_id: int
    result: str
    value: Any = None
    revision: int = 0


@dataclasses.dataclass(slots=True)
class StoreChanged(Event):
    """A watched key has a new value, or None once it is deleted."""

    key: str
    value: Any
    revision: int


@dataclasses.dataclass(slots=True)
class StoreListed(Event):
    """All keys under a prefix, read when a watch begins anew.

    Attributes:
        prefix: The prefix.
        revision: The store's revision at the time.
        values: Documents by key; one that can't be read is left out.
        revisions: Revisions of all keys found, also of unreadable ones.
        asked_at: When the call was made, seconds since the epoch.
    """

    prefix: str
    revision: int
    values: dict[str, Any]
    revisions: dict[str, int]
    asked_at: float


@dataclasses.dataclass(slots=True)
class StoreHeard(Event):
    """The store has answered a watch; all changes so far were handed over.

    Attributes:
        prefix: What is watched.
        asked_at: When the call was made, seconds since the epoch.
    """

    prefix: str
    asked_at: float


@dataclasses.dataclass(slots=True)
class PeerRefused(Event):
    """A peer's host answered that nobody listens at the peer's address."""

    name: str


@dataclasses.dataclass(slots=True)
class LeaseAnswered(Event):
    """Answer to a grant or renewal of this daemon's store lease.

    Attributes:
        lease_id: The lease; empty if it is lost.
        result: "ok", "lost" or "unknown" (no answer came).
        asked_at: When the call was made, seconds since the epoch.
    """

    lease_id: str
    result: str
    asked_at: float


@dataclasses.dataclass(slots=True)
class Host:
    """A worker as the platform's host list gives it.

    Attributes:
        worker_id: The worker.
        url: Where it is reached.
        zone: Its availability zone.
        rack: Its rack.
        endpoint: Back end that it serves.
        capacity: What it has.
        leaving: Whether it is going away.
    """

    worker_id: str
    url: str
    zone: str
    rack: str
    endpoint: str
    capacity: resources.Resources
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class HostsListed(Event):
    """The platform's lagging list of hosts."""

    hosts: list[Host]


@dataclasses.dataclass(slots=True)
class HeldTask:
    """A task that a worker runs or whose answer it keeps.

    Attributes:
        task: The task as it was started.
        ended: Whether it has ended.
        ok: Whether it ended well.
        detail: The worker's word on a failure.
        answer: Its whole answer.
    """

    task: works.Task
    ended: bool
    ok: bool = False
    detail: str = ""
    answer: bytes = b""


@dataclasses.dataclass(slots=True)
class WorkerClaimed(Event):
    """A worker accepted this daemon as its owner and told what it runs.

    Attributes:
        worker_id: The worker.
        epoch: Epoch of the claim.
        claim: Number that starts must carry; older ones are refused.
        leaving: Whether the worker says that it is going away.
        tasks: What it runs and keeps.
    """

    worker_id: str
    epoch: int
    claim: int
    leaving: bool
    tasks: list[HeldTask]


@dataclasses.dataclass(slots=True)
class WorkerRenewed(Event):
    """A worker answered its regular call; leases run on from `asked_at`."""

    worker_id: str
    epoch: int
    asked_at: float
    leaving: bool


@dataclasses.dataclass(slots=True)
class WorkerLost(Event):
    """A worker does not answer, or has a newer owner.

    Attributes:
        worker_id: The worker.
        epoch: Epoch under which it was called.
        code: STALE_EPOCH or WORKER_UNREACHABLE.
    """

    worker_id: str
    epoch: int
    code: codes.Code


@dataclasses.dataclass(slots=True)
class StartAnswered(Event):
    """A worker's answer to a start.

    Attributes:
        worker_id: The worker.
        epoch: Epoch of the start.
        task_id: The task.
        attempt: The attempt.
        code: OK, or why it surely does not run; UNKNOWN if no answer came.
    """

    worker_id: str
    epoch: int
    task_id: str
    attempt: int
    code: codes.Code


@dataclasses.dataclass(slots=True)
class TaskEnded(Event):
    """A worker reports the end of a task."""

    worker_id: str
    epoch: int
    task_id: str
    attempt: int
    ok: bool
    detail: str = ""
    answer: bytes = b""


@dataclasses.dataclass(slots=True)
class WorkSubmitted(Event):
    """A caller submits work.

    Attributes:
        handle: Names the caller's open call.
        token: Key that came with it; may be empty.
        queue: Queue named by the caller; empty for the team's own.
        work: The work.
        wait: Whether the caller waits for the outcome.
    """

    handle: int
    token: str
    queue: str
    work: works.Work
    wait: bool


@dataclasses.dataclass(slots=True)
class WorkQueried(Event):
    """A caller asks how work stands, or cancels it."""

    handle: int
    token: str
    work_id: str
    cancel: bool = False


@dataclasses.dataclass(slots=True)
class PlanAsked(Event):
    """An operator states an intent and asks for its plan."""

    handle: int
    token: str
    change: Any


@dataclasses.dataclass(slots=True)
class PlanConfirmed(Event):
    """An operator confirms a plan.

    Attributes:
        handle: Names the operator's open call.
        token: The operator's key.
        change: The change as stated.
        base_number: Configuration that the plan was made on.
        expires_at: The plan's deadline, seconds since the epoch.
        change_id: Names the confirm, for settling a lost answer.
    """

    handle: int
    token: str
    change: Any
    base_number: int
    expires_at: float
    change_id: str


@dataclasses.dataclass(slots=True)
class ExplainAsked(Event):
    """Somebody asks what happened to some work."""

    handle: int
    token: str
    work_id: str


@dataclasses.dataclass(slots=True)
class StandingAsked(Event):
    """Somebody asks why some work waits, or where it runs."""

    handle: int
    token: str
    work_id: str


@dataclasses.dataclass(slots=True)
class HistoryAsked(Event):
    """Somebody asks for a list of work; see messages.AskHistory."""

    handle: int
    token: str
    team: str
    outcome: str
    before: float
    limit: int


@dataclasses.dataclass(slots=True)
class StatusAsked(Event):
    """Somebody asks how the deployment stands."""

    handle: int
    token: str


@dataclasses.dataclass(slots=True)
class CallerGone(Event):
    """A caller closed its call or its time ran out."""

    handle: int


@dataclasses.dataclass(slots=True)
class DrainAsked(Event):
    """The daemon is to shut down without cutting a request."""
