"""Effects: the actions that the reducer requests, its only output."""

import dataclasses
from typing import Any

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Reply:
    """Replies to an open call.

    Attributes:
        handle: Handle of the call.
        code: Result code.
        detail: Human-readable description.
        payload: Typed content, if any.
    """

    handle: int
    code: codes.Code
    detail: str = ""
    payload: Any = None


@dataclasses.dataclass(slots=True)
class SendPeer:
    """Sends a message to a peer or to this daemon itself."""

    daemon: str
    message: Any


@dataclasses.dataclass(slots=True)
class StoreWrite:
    """Writes or deletes one key by compare-and-swap.

    Attributes:
        op_id: Operation id that the answer carries.
        key: Key to write.
        value: New document; None deletes the key.
        expected: Revision that the key must have; 0 if it must be absent.
        leased: Whether the key is attached to the daemon's store lease.
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
    """Renews the daemon's store lease, or requests one.

    Attributes:
        lease_id: Id of the lease; empty to request a new one.
        ttl_s: Time to live of the lease, in seconds.
    """

    lease_id: str
    ttl_s: float


@dataclasses.dataclass(slots=True)
class ClaimWorker:
    """Claims a worker and calls it regularly until `DropWorker`.

    Attributes:
        worker_id: Id of the worker.
        url: URL of the worker.
        epoch: Epoch of the owner.
        lease_s: Duration of the worker's task leases, in seconds.
    """

    worker_id: str
    url: str
    epoch: int
    lease_s: float


@dataclasses.dataclass(slots=True)
class DropWorker:
    """Stops the regular calls to a worker."""

    worker_id: str


@dataclasses.dataclass(slots=True)
class StartTask:
    """Starts a task on a worker.

    Attributes:
        worker_id: Id of the worker.
        url: URL of the worker.
        epoch: Epoch of the owner.
        claim: Number of the owner's claim.
        task: Task to start.
        start_before: Time from which the worker must refuse the start, in
            seconds since the epoch.
    """

    worker_id: str
    url: str
    epoch: int
    claim: int
    task: works.Task
    start_before: float


@dataclasses.dataclass(slots=True)
class StopTask:
    """Stops a task on a worker; a `TaskEnded` event reports its end.

    Attributes:
        worker_id: Id of the worker.
        url: URL of the worker.
        epoch: Epoch of the owner.
        task_id: Id of the task.
        attempt: Number of the attempt.
        checkpoint: Whether to save the task's progress; the answer in
            `TaskEnded` is then the checkpoint.
    """

    worker_id: str
    url: str
    epoch: int
    task_id: str
    attempt: int
    checkpoint: bool = False


@dataclasses.dataclass(slots=True)
class ForgetTask:
    """Tells a worker that it may delete the answer of an ended task."""

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
    """Ends the process, after everything has been handed over."""
