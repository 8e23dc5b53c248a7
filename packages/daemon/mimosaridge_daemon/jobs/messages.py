"""Messages between daemons about jobs, as CBOR over WebSockets."""

import dataclasses

from mimosaridge_core.jobs import model


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """A heartbeat.

    Attributes:
        name: Name of the daemon.
        boot: Id of its process.
        url: WebSocket URL for its peers.
        has_store: Whether it can call the store directly.
        reaches_store: Whether it can call the store directly or through a peer.
        token: Its fencing token if it is the owner, else 0.
        owner_token: Fencing token of the owner that it knows; 0 if none.
        owner_age_s: Time since its last contact with that owner, seconds.
        cores: CPU capacity of its machine, in cores.
    """

    name: str
    boot: str
    url: str
    has_store: bool
    reaches_store: bool
    token: int
    owner_token: int
    owner_age_s: float
    cores: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The owner with this fencing token gives up ownership."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayCall:
    """A call to the store or the advice service for the peer to make.

    Attributes:
        call_id: Id of the call, repeated in its answer.
        target: "store" or "advice".
        method: HTTP method.
        path: Path and query.
        body: Request body.
        timeout_s: Time-out of the call, seconds.
    """

    call_id: int
    target: str
    method: str
    path: str
    body: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RelayAnswer:
    """The answer to a relayed call.

    Attributes:
        call_id: Id of the call.
        status: HTTP status; 0 if the call failed.
        body: Response body.
        is_sent: Whether a failed call may have taken effect.
        reason: Why the call failed.
    """

    call_id: int
    status: int
    body: bytes
    is_sent: bool = True
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class JobStored:
    """A job was stored; sent to the owner."""

    job: model.Job
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelStored:
    """A cancellation was stored; sent to the owner."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatesStored:
    """Stored progress and its revision by job id; sent by the owner."""

    progress: dict[str, tuple[model.Progress, int]]


ALL = (
    Beat,
    Leaving,
    RelayCall,
    RelayAnswer,
    JobStored,
    CancelStored,
    StatesStored,
)
