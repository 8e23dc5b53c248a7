"""Messages between daemons."""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Room:
    """What one shard has for one endpoint's work.

    Attributes:
        endpoint: The endpoint.
        free: Sum over workers that take work.
        capacity: Sum over all workers of the shard.
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
        ready: Whether every worker has been heard under this epoch.
        queued: Tasks waiting in it.
        rooms: One for each endpoint.
        team_use: Resources that each team has running.
    """

    shard: str
    zone: str
    epoch: int
    ready: bool
    queued: int
    rooms: list[Room]
    team_use: dict[str, resources.Resources]


@dataclasses.dataclass(slots=True)
class Heartbeat:
    """A daemon's regular word to every peer.

    Attributes:
        url: Where peers reach it.
        zone: Its availability zone.
        config_number: Configuration in force there.
        draining: Whether it is shutting down.
        epochs: Partitions that it holds, with their epochs.
        summaries: Its shards.
        sent_at: When it was sent, seconds since the epoch.
        word_at: Time up to which its configuration is known to be the
            latest, seconds since the epoch.
        with_teams: Whether the summaries tell what teams use; otherwise what
            an earlier heartbeat told still counts.
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
    """A partition was given up and may be claimed at once."""

    partition: str


@dataclasses.dataclass(slots=True)
class AskConfig:
    """Asks a peer for the configuration in force there."""


@dataclasses.dataclass(slots=True)
class ConfigCopy:
    """A configuration with its store revision."""

    config: configuration.Config
    revision: int


@dataclasses.dataclass(slots=True)
class ForwardWork:
    """Work for the home of its bucket; sent again until it is settled."""

    work: works.Work


@dataclasses.dataclass(slots=True)
class WorkAccepted:
    """The home has recorded the work."""

    work_id: str


@dataclasses.dataclass(slots=True)
class WorkSettled:
    """The outcome of work, for the daemons whose callers wait for it."""

    work_id: str
    outcome: works.Outcome


@dataclasses.dataclass(slots=True)
class CancelWork:
    """A team or an operator cancels work."""

    work_id: str


@dataclasses.dataclass(slots=True)
class PlaceTask:
    """A task for the owner of a shard.

    Attributes:
        shard: The shard.
        task: The task.
        epoch: The shard's epoch that it is meant for; others ignore it.
        hold: Reserve room and wait for StartHeld.
        resent: Sent before; answered only by an owner that knows what every
            worker of the shard runs.
    """

    shard: str
    task: works.Task
    epoch: int
    hold: bool = False
    resent: bool = False


@dataclasses.dataclass(slots=True)
class StartHeld:
    """Starts a task that is held."""

    shard: str
    task_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class CancelTask:
    """Drops a task that waits or is held, stops one that runs."""

    shard: str
    task_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class TaskUpdate:
    """What an owner knows of a task, for the task's home.

    Attributes:
        task_id: The task.
        attempt: The attempt that this is about.
        work_id: The work it belongs to.
        shard: The shard.
        epoch: Epoch of the owner that says so.
        phase: Where the task stands.
        worker: Worker that it runs on, if any.
        outcome: Code, detail and answer of a settled attempt.
        lines: What the owner decided about a settled attempt.
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
    """The home has kept a settled update; the owner may forget it."""

    shard: str
    task_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class Question:
    """Base of questions that go to all peers.

    Attributes:
        query_id: Names the question in its answers.
    """

    query_id: int


@dataclasses.dataclass(slots=True)
class AskAccount(Question):
    """Asks a peer for its records of some work."""

    work_id: str


@dataclasses.dataclass(slots=True)
class AccountPage:
    """What a peer knows of some work."""

    query_id: int
    lines: list[account.Line]


@dataclasses.dataclass(slots=True)
class AskAllowance:
    """Asks an owner to give up unused allowance of a team.

    Attributes:
        team: The team.
        needs: What the asking shard needs.
    """

    team: str
    needs: resources.Resources


@dataclasses.dataclass(slots=True)
class AllowanceFreed:
    """Allowance of a team was given up in the store."""

    team: str


@dataclasses.dataclass(slots=True)
class AskStanding(Question):
    """Asks a peer how some work stands with it now."""

    work_id: str


@dataclasses.dataclass(slots=True)
class Standing:
    """How a task, or work as a whole, stands with one daemon.

    Attributes:
        daemon: The daemon that tells.
        task_id: The task; empty for the work as a whole.
        phase: Where it stands.
        text: A sentence for a person.
    """

    daemon: str
    task_id: str
    phase: works.Phase
    text: str


@dataclasses.dataclass(slots=True)
class StandingPage:
    """How some work stands with a peer."""

    query_id: int
    standings: list[Standing]


@dataclasses.dataclass(slots=True)
class AskHistory(Question):
    """Asks a peer for work that it is the home of.

    Attributes:
        team: Only this team's; empty for all.
        outcome: Only work with this outcome's name; empty for all, "OPEN"
            for work that is not settled.
        before: Only work submitted before, seconds since the epoch.
        limit: Most rows, the latest first.
    """

    team: str
    outcome: str
    before: float
    limit: int


@dataclasses.dataclass(slots=True)
class HistoryRow:
    """One piece of work in a list.

    Attributes:
        work_id: The work.
        team: Team charged for it.
        kind: How its tasks run.
        count: Number of tasks.
        submitted_at: Seconds since the epoch.
        settled_at: Seconds since the epoch; 0 while it is open.
        outcome: Name of the result code; "OPEN" while it is open.
        detail: A sentence on the outcome.
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
    """A peer's rows, the latest first."""

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
    AskAllowance,
    AllowanceFreed,
    AskStanding,
    StandingPage,
    AskHistory,
    HistoryPage,
)
