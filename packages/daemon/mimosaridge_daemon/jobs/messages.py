"""Messages between daemons about jobs, as CBOR over WebSockets."""

import dataclasses
from typing import Any

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
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
        zone: Availability zone of its machine.
        is_leaving: Whether it is shutting down.
        sent_at: When it was sent, seconds since the boot of its machine.
        owner_sent_at: `sent_at` of the owner's latest heartbeat that it has
            received; 0 if none.
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
    zone: str = ""
    is_leaving: bool = False
    sent_at: float = 0.0
    owner_sent_at: float = 0.0


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
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatesStored:
    """Stored progress and its revision by job id; sent by the owner."""

    progress: dict[str, tuple[model.Progress, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class StartsSent:
    """Starts that the owner is about to send, and those answered since.

    Attributes:
        starts: The worker and the number of the run of each start, by task id.
        answered: Task ids of earlier ones that were answered.
    """

    starts: dict[str, tuple[str, int]]
    answered: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerOrders:
    """Orders of the owner for workers, each with a number; sent to an agent."""

    holds: tuple[tuple[int, effects.Hold], ...] = ()
    starts: tuple[tuple[int, effects.Start], ...] = ()
    stops: tuple[tuple[int, effects.Stop], ...] = ()
    paces: tuple[tuple[int, effects.Pace], ...] = ()

    @classmethod
    def of(cls, orders: list[tuple[int, Any]]) -> "WorkerOrders":
        """Returns the message with these orders."""
        return cls(
            _of_type(orders, effects.Hold),
            _of_type(orders, effects.Start),
            _of_type(orders, effects.Stop),
            _of_type(orders, effects.Pace),
        )

    def all(self) -> tuple[tuple[int, Any], ...]:
        """Returns all orders with their numbers."""
        return (*self.holds, *self.starts, *self.stops, *self.paces)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAnswers:
    """Workers' answers to orders, by their numbers; sent to the owner."""

    holds: tuple[tuple[int, events.HoldAnswered], ...] = ()
    starts: tuple[tuple[int, events.StartAnswered], ...] = ()
    stops: tuple[tuple[int, events.StopAnswered], ...] = ()
    paces: tuple[tuple[int, events.PaceAnswered], ...] = ()

    @classmethod
    def of(cls, answers: list[tuple[int, Any]]) -> "WorkerAnswers":
        """Returns the message with these answers."""
        return cls(
            _of_type(answers, events.HoldAnswered),
            _of_type(answers, events.StartAnswered),
            _of_type(answers, events.StopAnswered),
            _of_type(answers, events.PaceAnswered),
        )

    def all(self) -> tuple[tuple[int, Any], ...]:
        """Returns all answers with their numbers."""
        return (*self.holds, *self.starts, *self.stops, *self.paces)


def _of_type(
    numbered: list[tuple[int, Any]], kind: type
) -> tuple[tuple[int, Any], ...]:
    return tuple(pair for pair in numbered if isinstance(pair[1], kind))


ALL = (
    Beat,
    Leaving,
    RelayCall,
    RelayAnswer,
    JobStored,
    CancelStored,
    StatesStored,
    StartsSent,
    WorkerOrders,
    WorkerAnswers,
)
