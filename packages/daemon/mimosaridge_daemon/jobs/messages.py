"""What daemons tell each other about jobs, as CBOR over WebSockets."""

import dataclasses

from mimosaridge_core.jobs import model


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """A daemon lives.

    Attributes:
        name: The daemon.
        boot: Id of its process.
        url: Where peers reach it.
        has_store: Whether it reaches the store by itself.
        reaches_store: Whether it reaches the store by any way.
        token: Its token if it is the owner, else 0.
        owner_token: Token of the owner that it heard last.
        owner_age_s: How long ago that was, seconds.
        cores: Processor time that its machine gives, in cores.
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
    """The owner with this token gives ownership up."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayCall:
    """A call to the store or the advice service, to be made by the peer.

    Attributes:
        call_id: Names the call in its answer.
        target: "store" or "advice".
        method: HTTP method.
        path: Path and query.
        body: Body.
        timeout_s: When to give up.
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
        call_id: The call.
        status: HTTP status; 0 if there was no answer.
        body: Body.
        is_sent: Without an answer: whether it may have taken effect.
        reason: Why there was no answer.
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
    """Progress that the owner has stored, with revisions, by job id."""

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
