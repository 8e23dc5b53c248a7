"""Everything that the reducer may have done; its only output."""

import dataclasses
from typing import Any

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Reply:
    """Answers a caller's open call.

    Attributes:
        handle: The call.
        code: Result code.
        detail: One sentence for a person.
        payload: Typed content, if any.
    """

    handle: int
    code: codes.Code
    detail: str = ""
    payload: Any = None


@dataclasses.dataclass(slots=True)
class SendPeer:
    """Sends a message to a peer, or to this daemon itself."""

    daemon: str
    message: Any


@dataclasses.dataclass(slots=True)
class StoreWrite:
    """Compare-and-swap of one key.

    Attributes:
        op_id: Names the operation in its answer.
        key: The key.
        value: The new document; None deletes the key.
        expected: Revision that the key must have; 0 if it must be absent.
        leased: Whether the key goes with the daemon's lease.
    """

    op_id: int
    key: str
    value: Any
    expected: int
    leased: bool = False


@dataclasses.dataclass(slots=True)
class StoreRead:
    """Reads one key."""

    op_id: int
    key: str


@dataclasses.dataclass(slots=True)
class RenewLease:
    """Renews the daemon's store lease, or asks for one if `lease_id` is empty.

    Attributes:
        lease_id: The lease.
        ttl_s: Its life in seconds.
    """

    lease_id: str
    ttl_s: float


@dataclasses.dataclass(slots=True)
class ClaimWorker:
    """Claims a worker and keeps calling it until it is dropped.

    Attributes:
        worker_id: The worker.
        url: Where it is reached.
        epoch: The owner's epoch.
        lease_s: Life of the worker's task leases in seconds.
    """

    worker_id: str
    url: str
    epoch: int
    lease_s: float


@dataclasses.dataclass(slots=True)
class DropWorker:
    """Stops calling a worker."""

    worker_id: str


@dataclasses.dataclass(slots=True)
class StartTask:
    """Starts a task on a worker.

    Attributes:
        worker_id: The worker.
        url: Where it is reached.
        epoch: The owner's epoch.
        claim: Number of the owner's claim.
        task: The task.
        start_before: When the worker must refuse it, seconds since the epoch.
    """

    worker_id: str
    url: str
    epoch: int
    claim: int
    task: works.Task
    start_before: float


@dataclasses.dataclass(slots=True)
class StopTask:
    """Stops a task on a worker; its end comes as an event.

    Attributes:
        worker_id: The worker.
        url: Where it is reached.
        epoch: The owner's epoch.
        task_id: The task.
        attempt: The attempt.
        checkpoint: Whether its progress is saved; its end then carries the
            checkpoint as its answer.
    """

    worker_id: str
    url: str
    epoch: int
    task_id: str
    attempt: int
    checkpoint: bool = False


@dataclasses.dataclass(slots=True)
class ForgetTask:
    """Lets a worker forget the answer of an ended task."""

    worker_id: str
    url: str
    epoch: int
    task_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class Record:
    """Writes a decision to the log."""

    record: account.Record


@dataclasses.dataclass(slots=True)
class Shutdown:
    """All is handed over; the process may end."""
