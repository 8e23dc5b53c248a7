"""Events: the inputs that the reducer processes, its only input."""

import dataclasses
from typing import Any

from mimosaridge_core import codes
from mimosaridge_core import resources
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Event:
    """Base class of all events.

    Attributes:
        now: Time of the event, in seconds since the epoch.
    """

    now: float


@dataclasses.dataclass(slots=True)
class Tick(Event):
    """A periodic timer tick."""


@dataclasses.dataclass(slots=True)
class PeerMessage(Event):
    """A message from a peer or from this daemon itself."""

    sender: str
    message: Any


@dataclasses.dataclass(slots=True)
class StoreAnswered(Event):
    """The store's answer to a write or a read.

    Attributes:
        op_id: Id of the operation.
        result: "ok", "conflict", "absent" or "unknown" (no answer arrived).
        value: Document that was read, if any.
        revision: Revision of the key.
    """

    op_id: int
    result: str
    value: Any = None
    revision: int = 0


@dataclasses.dataclass(slots=True)
class StoreChanged(Event):
    """A watched key has a new value; the value is None if it was deleted."""

    key: str
    value: Any
    revision: int


@dataclasses.dataclass(slots=True)
class StoreListed(Event):
    """All keys under a prefix, read when a watch is started or restarted.

    Attributes:
        prefix: Prefix of the keys.
        revision: Revision of the store at the time of the read.
        values: Documents by key, without those that cannot be decoded.
        revisions: Revisions of all keys, including undecodable ones.
        requested_at: Time of the request, in seconds since the epoch.
    """

    prefix: str
    revision: int
    values: dict[str, Any]
    revisions: dict[str, int]
    requested_at: float


@dataclasses.dataclass(slots=True)
class StoreWatchProgressed(Event):
    """The store answered a watch request; all changes so far were delivered.

    Attributes:
        prefix: Watched prefix.
        requested_at: Time of the request, in seconds since the epoch.
    """

    prefix: str
    requested_at: float


@dataclasses.dataclass(slots=True)
class StoreUnreadable(Event):
    """A watched key has a value that cannot be decoded."""

    key: str
    revision: int


@dataclasses.dataclass(slots=True)
class PeerConnectionRefused(Event):
    """A peer's host refused the connection: no process listens there."""

    name: str


@dataclasses.dataclass(slots=True)
class LeaseAnswered(Event):
    """The store's answer to a grant or renewal of this daemon's lease.

    Attributes:
        lease_id: Id of the lease; empty if it is lost.
        result: "ok", "lost" or "unknown" (no answer arrived).
        requested_at: Time of the request, in seconds since the epoch.
    """

    lease_id: str
    result: str
    requested_at: float


@dataclasses.dataclass(slots=True)
class Host:
    """A worker's entry in the platform's host list.

    Attributes:
        worker_id: Id of the worker.
        url: URL of the worker.
        zone: Availability zone of the worker.
        rack: Rack of the worker.
        endpoint: Back end that the worker serves.
        capacity: Total resources of the worker.
        leaving: Whether the worker is about to be removed.
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
    """The platform's list of hosts, which may be out of date."""

    hosts: list[Host]


@dataclasses.dataclass(slots=True)
class ReportedTask:
    """A task that a worker runs or whose answer it still stores.

    Attributes:
        task: The task as it was started.
        ended: Whether the task has ended.
        ok: Whether the task succeeded.
        detail: The worker's description of a failure.
        answer: Complete answer of the task.
    """

    task: works.Task
    ended: bool
    ok: bool = False
    detail: str = ""
    answer: bytes = b""


@dataclasses.dataclass(slots=True)
class WorkerClaimed(Event):
    """A worker accepted this daemon as its owner and reported its tasks.

    Attributes:
        worker_id: Id of the worker.
        epoch: Epoch of the claim.
        claim: Claim number that starts must carry; the worker refuses starts
            with a lower number.
        leaving: Whether the worker reports that it is about to be removed.
        tasks: Tasks that it runs and ended tasks whose answers it stores.
    """

    worker_id: str
    epoch: int
    claim: int
    leaving: bool
    tasks: list[ReportedTask]


@dataclasses.dataclass(slots=True)
class WorkerRenewed(Event):
    """A worker answered a regular call, which renewed its task leases.

    Attributes:
        worker_id: Id of the worker.
        epoch: Epoch of the call.
        requested_at: Time of the call, in seconds since the epoch.
        leaving: Whether the worker reports that it is about to be removed.
    """

    worker_id: str
    epoch: int
    requested_at: float
    leaving: bool


@dataclasses.dataclass(slots=True)
class WorkerLost(Event):
    """A worker does not answer or has a newer owner.

    Attributes:
        worker_id: Id of the worker.
        epoch: Epoch under which the worker was called.
        code: STALE_EPOCH or WORKER_UNREACHABLE.
        called_at: Latest time at which the worker may have received a call
            that renewed its leases, in seconds since the epoch.
    """

    worker_id: str
    epoch: int
    code: codes.Code
    called_at: float = 0.0


@dataclasses.dataclass(slots=True)
class StartAnswered(Event):
    """A worker's answer to a start request.

    Attributes:
        worker_id: Id of the worker.
        epoch: Epoch of the request.
        task_id: Id of the task.
        attempt: Number of the attempt.
        code: OK; UNKNOWN if no answer arrived; any other code means that the
            task was not started.
    """

    worker_id: str
    epoch: int
    task_id: str
    attempt: int
    code: codes.Code


@dataclasses.dataclass(slots=True)
class TaskEnded(Event):
    """A worker reported the end of a task."""

    worker_id: str
    epoch: int
    task_id: str
    attempt: int
    ok: bool
    detail: str = ""
    answer: bytes = b""


@dataclasses.dataclass(slots=True)
class WorkSubmitted(Event):
    """A caller submitted work.

    Attributes:
        handle: Handle of the call.
        token: API key of the caller; may be empty.
        queue: Queue named by the caller; empty for the team's own queue.
        work: Submitted work.
        wait: Whether the caller waits for the outcome.
    """

    handle: int
    token: str
    queue: str
    work: works.Work
    wait: bool


@dataclasses.dataclass(slots=True)
class WorkQueried(Event):
    """A caller requested the state of work or its cancellation."""

    handle: int
    token: str
    work_id: str
    cancel: bool = False


@dataclasses.dataclass(slots=True)
class PlanRequested(Event):
    """An operator requested a plan for a change."""

    handle: int
    token: str
    change: Any


@dataclasses.dataclass(slots=True)
class PlanConfirmed(Event):
    """An operator confirmed a plan.

    Attributes:
        handle: Handle of the call.
        token: API key of the operator.
        change: The requested change.
        base_number: Number of the configuration that the plan is based on.
        expires_at: Expiry time of the plan, in seconds since the epoch.
        change_id: Id of the confirmation. If the store's answer is lost, it
            shows whether the change took effect.
    """

    handle: int
    token: str
    change: Any
    base_number: int
    expires_at: float
    change_id: str


@dataclasses.dataclass(slots=True)
class ExplainRequested(Event):
    """A caller requested the account of some work."""

    handle: int
    token: str
    work_id: str


@dataclasses.dataclass(slots=True)
class StandingRequested(Event):
    """A caller requested why some work waits or where it runs."""

    handle: int
    token: str
    work_id: str


@dataclasses.dataclass(slots=True)
class HistoryRequested(Event):
    """A caller requested a list of work; see `messages.AskHistory`."""

    handle: int
    token: str
    team: str
    outcome: str
    before: float
    limit: int


@dataclasses.dataclass(slots=True)
class StatusRequested(Event):
    """A caller requested the status of the deployment."""

    handle: int
    token: str


@dataclasses.dataclass(slots=True)
class AuditRequested(Event):
    """A caller requested the audit log of accepted changes.

    Attributes:
        handle: Handle of the call.
        token: API key of the caller.
        page: Key of an earlier page; empty for the latest changes.
    """

    handle: int
    token: str
    page: str


@dataclasses.dataclass(slots=True)
class ConfigRequested(Event):
    """A caller requested a section of the configuration.

    Attributes:
        handle: Handle of the call.
        token: API key of the caller.
        section: Name of the section.
    """

    handle: int
    token: str
    section: str


@dataclasses.dataclass(slots=True)
class CallClosed(Event):
    """A caller closed its call, or the call timed out."""

    handle: int


@dataclasses.dataclass(slots=True)
class DrainRequested(Event):
    """The daemon was asked to shut down without aborting requests."""
