"""Messages between daemons."""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import configuration
from mimosaridge_core import events
from mimosaridge_core import resources
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Room:
    """Capacity of one shard for one endpoint.

    Attributes:
        endpoint: The endpoint.
        free: Free resources, summed over workers that accept work.
        capacity: Total resources, summed over all workers of the shard.
        widest_free: Largest free amount of each resource on one worker.
        widest: Largest capacity of each resource on one worker.
    """

    endpoint: str
    free: resources.Resources
    capacity: resources.Resources
    widest_free: resources.Resources
    widest: resources.Resources


@dataclasses.dataclass(slots=True)
class ShardSummary:
    """A shard as its owner last described it.

    Attributes:
        shard: The shard.
        zone: Its availability zone.
        epoch: The owner's epoch.
        ready: Whether every worker was claimed under this epoch.
        queued: Number of waiting tasks.
        rooms: Capacity for each endpoint.
        team_use: Resources that each team's running tasks use; in a
            heartbeat, the first summary has those of all the sender's shards.
        unlisted: Workers that still run tasks and left the host list.
    """

    shard: str
    zone: str
    epoch: int
    ready: bool
    queued: int
    rooms: list[Room]
    team_use: dict[str, resources.Resources]
    unlisted: list[events.Host] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """Periodic status of a daemon, sent to every peer.

    Attributes:
        url: Where peers reach it.
        zone: Its availability zone.
        config_number: Number of the sender's active configuration.
        draining: Whether it is shutting down.
        epochs: Epochs of the partitions that it owns.
        summaries: Summaries of its shards.
        sent_at: When it was sent, seconds since the epoch.
        word_at: Latest time at which its configuration was confirmed to be
            the latest, seconds since the epoch.
        with_teams: Whether the summaries report the use of all teams; if not,
            the last reported use remains valid for teams left out.
    """

    url: str
    zone: str
    config_number: int
    draining: bool
    epochs: dict[str, int]
    summaries: list[ShardSummary]
    sent_at: float
    word_at: float
    with_teams: bool = True


@dataclasses.dataclass(slots=True)
class Released:
    """Notifies that a partition was released and may be claimed at once."""

    partition: str


@dataclasses.dataclass(slots=True)
class AskConfig:
    """Requests a peer's active configuration."""


@dataclasses.dataclass(slots=True)
class ConfigInForce:
    """Notifies a peer of the number of the sender's active configuration."""

    number: int


@dataclasses.dataclass(slots=True)
class ConfigCopy:
    """The sender's active configuration with its store revision."""

    config: configuration.Config
    revision: int


@dataclasses.dataclass(slots=True)
class ForwardWork:
    """Forwards work to its home; sent again until the work is settled."""

    work: works.Work


@dataclasses.dataclass(slots=True)
class WorkAccepted:
    """Confirms that the home has recorded the work."""

    work_id: str


@dataclasses.dataclass(slots=True)
class WorkSettled:
    """Sends an outcome to a daemon whose callers wait for the work."""

    work_id: str
    outcome: works.Outcome


@dataclasses.dataclass(slots=True)
class CancelWork:
    """Cancels work on behalf of a team or an operator.

    Attributes:
        work_id: The work.
        team: Team of the caller's key; empty for an operator's key.
    """

    work_id: str
    team: str


@dataclasses.dataclass(slots=True)
class PlaceTask:
    """Asks the owner of a shard to place a task.

    Attributes:
        shard: The shard.
        task: The task.
        epoch: Epoch of the intended owner; an owner under another epoch
            ignores the message.
        hold: Whether to reserve room and wait for StartHeld.
        resent: Whether it was sent before. If so, only an owner that knows
            what every worker of the shard runs may answer.
    """

    shard: str
    task: works.Task
    epoch: int
    hold: bool = False
    resent: bool = False


@dataclasses.dataclass(slots=True)
class StartHeld:
    """Starts a task whose room is reserved."""

    shard: str
    task_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class CancelTask:
    """Drops a waiting or reserved task, or stops a running one."""

    shard: str
    task_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class TaskUpdate:
    """Reports the state of a task from its shard's owner to its home.

    Attributes:
        task_id: The task.
        attempt: Number of the reported attempt.
        work_id: The work that the task belongs to.
        shard: The shard.
        epoch: Epoch of the reporting owner.
        phase: The task's phase.
        worker: Worker that it runs on; empty if none.
        outcome: Code, detail and answer of a settled attempt.
        lines: The owner's decisions about a settled attempt.
    """

    task_id: str
    attempt: int
    work_id: str
    shard: str
    epoch: int
    phase: works.Phase
    worker: str = ""
    outcome: works.Outcome | None = None
    lines: list[account.Line] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class UpdateTaken:
    """Acknowledges a settled update, which the owner may then discard."""

    shard: str
    task_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class Question:
    """Base class of queries that are sent to all peers.

    Attributes:
        query_id: Identifies the query in its answers.
    """

    query_id: int


@dataclasses.dataclass(slots=True)
class AskAccount(Question):
    """Queries a peer's decision records of some work."""

    work_id: str


@dataclasses.dataclass(slots=True)
class AccountPage:
    """A peer's decision records of some work."""

    query_id: int
    lines: list[account.Line]


@dataclasses.dataclass(slots=True)
class AskAllowance:
    """Asks an owner to release unused allowance of a team.

    Attributes:
        team: The team.
        needs: Resources that the requesting shard needs.
    """

    team: str
    needs: resources.Resources


@dataclasses.dataclass(slots=True)
class AllowanceFreed:
    """Notifies that allowance of a team was released in the store."""

    team: str


@dataclasses.dataclass(slots=True)
class AskStanding(Question):
    """Queries the current state of some work at a peer."""

    work_id: str


@dataclasses.dataclass(slots=True)
class Standing:
    """The current state of a task, or of work as a whole, at one daemon.

    Attributes:
        daemon: The reporting daemon.
        task_id: The task; empty for the work as a whole.
        phase: The current phase.
        text: Human-readable description.
    """

    daemon: str
    task_id: str
    phase: works.Phase
    text: str


@dataclasses.dataclass(slots=True)
class StandingPage:
    """The current state of some work at a peer."""

    query_id: int
    standings: list[Standing]


@dataclasses.dataclass(slots=True)
class AskHistory(Question):
    """Queries the work whose home is a peer.

    Attributes:
        team: Team to select; empty for all.
        outcome: Name of the result code to select; "OPEN" for work that is
            not settled, empty for all.
        before: Selects work submitted before, seconds since the epoch.
        limit: Maximum number of rows, the latest first.
    """

    team: str
    outcome: str
    before: float
    limit: int


@dataclasses.dataclass(slots=True)
class HistoryRow:
    """A row of a work listing.

    Attributes:
        work_id: The work.
        team: Team charged for it.
        kind: How its tasks run.
        count: Number of tasks.
        submitted_at: Seconds since the epoch.
        settled_at: Seconds since the epoch; 0 while it is open.
        outcome: Name of the result code; "OPEN" while it is open.
        detail: Human-readable detail of the outcome.
    """

    work_id: str
    team: str
    kind: works.Kind
    count: int
    submitted_at: float
    settled_at: float
    outcome: str
    detail: str


@dataclasses.dataclass(slots=True)
class HistoryPage:
    """A peer's rows of a work listing, the latest first."""

    query_id: int
    rows: list[HistoryRow]


ALL: tuple[type, ...] = (
    Heartbeat,
    Released,
    AskConfig,
    ConfigCopy,
    ForwardWork,
    WorkAccepted,
    WorkSettled,
    CancelWork,
    PlaceTask,
    StartHeld,
    CancelTask,
    TaskUpdate,
    UpdateTaken,
    AskAccount,
    AccountPage,
    ConfigInForce,
    AskAllowance,
    AllowanceFreed,
    AskStanding,
    StandingPage,
    AskHistory,
    HistoryPage,
)
