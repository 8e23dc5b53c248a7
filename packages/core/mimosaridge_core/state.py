"""All that one daemon knows; changed by the reducer alone."""

import dataclasses
import random
from typing import Any

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import limits
from mimosaridge_core import messages
from mimosaridge_core import placement
from mimosaridge_core import queueing
from mimosaridge_core import resources
from mimosaridge_core import takens
from mimosaridge_core import tunables
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Member:
    """A peer daemon.

    Attributes:
        name: Its name.
        url: Where it is reached.
        zone: Its availability zone.
        heard_until: Deadline after which it counts as gone.
        listed: Whether the store lists it.
        draining: Whether it is shutting down.
        config_number: Configuration in force there.
        epochs: Partitions that it holds, with their epochs.
        summaries: Its shards, by name.
        sent_at: When its latest heartbeat was sent, seconds since the epoch.
        gone: Whether its host says that the process is gone.
    """

    name: str
    url: str
    zone: str
    heard_until: float
    listed: bool = False
    draining: bool = False
    config_number: int = 0
    epochs: dict[str, int] = dataclasses.field(default_factory=dict)
    summaries: dict[str, messages.ShardSummary] = dataclasses.field(
        default_factory=dict
    )
    sent_at: float = 0.0
    gone: bool = False


@dataclasses.dataclass(slots=True)
class View:
    """Who holds a partition, as far as this daemon knows."""

    owner: str
    epoch: int


@dataclasses.dataclass(slots=True)
class Placed:
    """A task that takes room on a worker.

    Attributes:
        task: The task.
        phase: HELD, PLACING (start sent) or RUNNING.
        hold_until: Deadline of a hold, seconds since the epoch.
        stopping: Whether its stop was sent.
        stray: Whether the attempt was settled or placed elsewhere before its
            worker reported it; only its room counts.
        stop_code: Why this daemon stops it; OK if its home asked.
    """

    task: works.Task
    phase: works.Phase
    hold_until: float = 0.0
    stopping: bool = False
    stray: bool = False
    stop_code: codes.Code = codes.Code.OK


TaskKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Worker:
    """A worker as its owner sees it.

    Attributes:
        host: Its entry in the host list.
        free: What is left of its capacity.
        placed: Tasks that take room on it, by task id and attempt.
        claim: Number that starts must carry; 0 until claimed.
        heard: Whether it was claimed under the present epoch.
        reachable: Whether it answered its last call.
        leaving: Whether it or the host list says that it is going away.
        listed: Whether the host list has it.
        displaced: Whether a newer owner has claimed it.
        lease_ends: When its task leases have surely ended.
        set_aside: Whether operators set it aside.
        failing: Works that failed on it since it last finished one.
        probe_after_s: How long it was last set aside, in seconds.
    """

    host: events.Host
    free: resources.Resources
    placed: dict[TaskKey, Placed] = dataclasses.field(default_factory=dict)
    claim: int = 0
    heard: bool = False
    reachable: bool = False
    leaving: bool = False
    listed: bool = True
    displaced: bool = False
    lease_ends: float = 0.0
    set_aside: bool = False
    failing: set[str] = dataclasses.field(default_factory=set)
    probe_after_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Unlisted:
    """A worker that left the host list and may still run tasks.

    Attributes:
        host: Its last entry.
        until: When it is forgotten, seconds since the epoch.
    """

    host: events.Host
    until: float


@dataclasses.dataclass(slots=True)
class Reservation:
    """A worker that takes nothing else until one waiting task is placed.

    Attributes:
        key: The waiting task.
        until: Deadline of the reservation, seconds since the epoch.
    """

    key: TaskKey
    until: float


@dataclasses.dataclass(slots=True)
class Capacity:
    """What all workers of one endpoint in a shard have.

    Attributes:
        total: Sum over the workers.
        widest: Largest capacity of each resource on one worker.
    """

    total: resources.Resources = resources.ZERO
    widest: resources.Resources = resources.ZERO


@dataclasses.dataclass(slots=True)
class Shard:
    """A shard that this daemon owns.

    Attributes:
        name: The shard.
        zone: Its availability zone.
        epoch: The owner's epoch.
        workers: Its workers by id.
        index: Workers that take work, found by what they have free.
        queue: Tasks that wait.
        unheard: Workers that are not claimed under the present epoch.
        capacities: For each endpoint, what all of its workers have.
        rooms: For each endpoint, what is left; None when it has changed.
        places: Worker of each placed task.
        reserved: Workers that are kept for a waiting task.
        aside: Workers that are set aside, with the time of their next probe,
            seconds since the epoch.
        is_out: Whether its zone was out under the last configuration.
        returned_at: When its zone last came back, seconds since the epoch.
        starts_since: Starts since then.
        failed_on: For each work that failed, the worker that it failed on
            first.
        holds: Heap of the deadlines of holds; may name tasks that left.
        ended: Settled updates that their homes have not yet taken.
        taken: Attempts whose ends their homes have kept.
        team_use: What each team has placed.
        stops: When the stop of each running task is sent again, by worker.
        move_at: Earliest time of the next stop for a move.
        lease_id: Store lease that the ownership key goes with.
        suspended: Whether its workers' leases are left to lapse.
        open: Whether tasks could start at the latest tick.
        releasing: Whether it is being given up.
    """

    name: str
    zone: str
    epoch: int
    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    index: placement.Index = dataclasses.field(default_factory=placement.Index)
    queue: queueing.Queue = dataclasses.field(default_factory=queueing.Queue)
    reserved: dict[str, Reservation] = dataclasses.field(default_factory=dict)
    aside: dict[str, float] = dataclasses.field(default_factory=dict)
    is_out: bool = False
    returned_at: float = 0.0
    starts_since: int = 0
    failed_on: dict[str, str] = dataclasses.field(default_factory=dict)
    unheard: set[str] = dataclasses.field(default_factory=set)
    capacities: dict[str, Capacity] = dataclasses.field(default_factory=dict)
    rooms: list[messages.Room] | None = None
    places: dict[TaskKey, str] = dataclasses.field(default_factory=dict)
    holds: list[tuple[float, TaskKey]] = dataclasses.field(default_factory=list)
    ended: dict[TaskKey, "Ended"] = dataclasses.field(default_factory=dict)
    taken: takens.Takens = dataclasses.field(default_factory=takens.Takens)
    team_use: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    stops: dict[tuple[str, TaskKey], float] = dataclasses.field(
        default_factory=dict
    )
    move_at: float = 0.0
    lease_id: str = ""
    suspended: bool = False
    open: bool = False
    releasing: bool = False


@dataclasses.dataclass(slots=True)
class Ended:
    """A settled attempt that its home has not yet taken.

    Attributes:
        update: The update.
        home: Where it goes.
        worker_id: Worker that keeps the answer; empty if none does.
        resend_at: When it is sent again, seconds since the epoch.
        until: When its answer is dropped, seconds since the epoch.
        start_before: Deadline of the attempt's start.
    """

    update: messages.TaskUpdate
    home: str
    worker_id: str
    resend_at: float
    until: float
    start_before: float


@dataclasses.dataclass(slots=True)
class TaskState:
    """A task as its home sees it.

    Attributes:
        phase: Where it stands.
        worker: Worker that it runs on, if any.
        sent: Whether its attempt may have been sent to a shard.
        unrecorded: Whether the ledger doesn't yet name where it is to go.
        failures: Attempts that ran and failed.
        retries: Attempts after each of which the pause grew.
    """

    phase: works.Phase = works.Phase.PENDING
    worker: str = ""
    sent: bool = False
    unrecorded: bool = False
    failures: int = 0
    retries: int = 0


@dataclasses.dataclass(slots=True)
class HomeWork:
    """Work that this daemon answers for.

    Attributes:
        entry: The work and its assignments.
        home: Bucket, or this daemon's name.
        tasks: Its tasks by index.
        origins: Daemons whose callers wait for it.
        unsettled: Indexes of the tasks that have not come to their end.
        recorded: Whether the store has it.
        outcome_recorded: Whether the store has its outcome.
        whole: Outcome with its whole answer, which may be too large for the
            ledger; forgotten with this daemon.
        lines: What owners decided about its tasks.
        round_over: Whether a gang takes its tasks back, to try again.
        rounds: Rounds of a gang that came to nothing.
    """

    entry: documents.Entry
    home: str
    tasks: list[TaskState]
    origins: set[str] = dataclasses.field(default_factory=set)
    unsettled: set[int] = dataclasses.field(default_factory=set)
    recorded: bool = False
    outcome_recorded: bool = False
    whole: works.Outcome | None = None
    lines: list[account.Line] = dataclasses.field(default_factory=list)
    round_over: bool = False
    rounds: int = 0

    def __post_init__(self) -> None:
        """Counts every task as unsettled until its end is applied."""
        self.unsettled = set(range(len(self.tasks)))


@dataclasses.dataclass(slots=True)
class Bucket:
    """A bucket that this daemon owns.

    Attributes:
        name: The bucket.
        epoch: The owner's epoch.
        ledger: Its ledger as it is to be.
        revision: Store revision of the ledger as last read or written.
        loaded: Whether the ledger has been read.
        dirty: Whether the ledger differs from the store's.
        writing: Whether a write is on its way.
        write_id: Names the latest write.
        size_bytes: Estimate of the ledger's size in the store.
        flush_at: Earliest time of the next write.
        accepted: Work whose acceptance the next write records.
        settled: Work whose outcome the next write records.
        unsent: Tasks to be sent once the ledger is written.
        untaken: Updates to be confirmed once the ledger is written.
        lease_id: Store lease that the ownership key goes with.
        releasing: Whether it is being given up.
        accounts: Accounts that the store does not have yet, by page.
        archiving: Page that is being read or written; 0 for none.
        archive_at: Earliest time of the next page.
        retire_at: When the oldest page is deleted next.
    """

    name: str
    epoch: int
    ledger: documents.Ledger = dataclasses.field(
        default_factory=documents.Ledger
    )
    revision: int = 0
    loaded: bool = False
    dirty: bool = False
    writing: bool = False
    write_id: str = ""
    size_bytes: int = 0
    flush_at: float = 0.0
    accepted: list[str] = dataclasses.field(default_factory=list)
    settled: list[str] = dataclasses.field(default_factory=list)
    unsent: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    untaken: list[tuple[str, messages.UpdateTaken]] = dataclasses.field(
        default_factory=list
    )
    lease_id: str = ""
    releasing: bool = False
    accounts: dict[int, dict[str, account.WorkAccount]] = dataclasses.field(
        default_factory=dict
    )
    archiving: int = 0
    archive_at: float = 0.0
    retire_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Waiter:
    """Callers here that wait for some work.

    Attributes:
        work: The work.
        home: Bucket, or this daemon's name.
        handles: Open calls; False marks one that only waits for acceptance.
        resend_at: When the work is forwarded again.
        accepted: Whether its home has recorded it.
    """

    work: works.Work
    home: str
    handles: dict[int, bool]
    resend_at: float
    accepted: bool = False


@dataclasses.dataclass(slots=True)
class Query:
    """A question to all peers.

    Attributes:
        handle: The open call.
        question: The question.
        missing: Peers that have not answered.
        pages: What was answered so far.
        until: Deadline, seconds since the epoch.
    """

    handle: int
    question: messages.Question
    missing: set[str]
    pages: list[Any]
    until: float


@dataclasses.dataclass(slots=True)
class State:
    """All that one daemon knows.

    Attributes:
        name: The daemon's name.
        url: Where its peers reach it.
        zone: Its availability zone.
        rng: The only source of randomness.
        tuning: Numbers shared by the deployment.
        bootstrap_key: Operator's token that counts while no operator's key
            was ever granted; empty for none.
        now: Time of the latest event, seconds since the epoch.
        lease_until: When the store lease may lapse.
        listed_revision: Store revision at which all ownership was last read.
        drain_at: When the shutdown began, 0 if it has not.
        handles: Work of each open call.
        resends: Heap of the times when waiters are looked at again.
        released: Store revision at which each partition was last seen to
            have no owner; older epochs are over.
        followed: Epoch of each shard for which running tasks were asked.
    """

    name: str
    url: str
    zone: str
    rng: random.Random
    tuning: tunables.Tunables = dataclasses.field(
        default_factory=tunables.Tunables
    )
    bootstrap_key: str = ""
    now: float = 0.0
    config: configuration.Config = dataclasses.field(
        default_factory=configuration.Config
    )
    config_revision: int = 0
    store_heard_at: float = 0.0
    word_at: float = 0.0
    daemons_listed: bool = False
    config_asked_at: float = 0.0
    audit_written: str = ""
    spreading: list[Any] = dataclasses.field(default_factory=list)
    lease_id: str = ""
    lease_until: float = 0.0
    renew_at: float = 0.0
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    listed: bool = False
    live: tuple[str, ...] = ()
    live_since: float = 0.0
    heartbeat_at: float = 0.0
    teams_at: float = 0.0
    told_use: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    partitions_at: float = 0.0
    hosts: dict[str, events.Host] = dataclasses.field(default_factory=dict)
    unlisted: dict[str, Unlisted] = dataclasses.field(default_factory=dict)
    fleet: resources.Resources = resources.ZERO
    partition_names: tuple[str, ...] = ()
    views: dict[str, View] = dataclasses.field(default_factory=dict)
    listed_revision: int = 0
    released: dict[str, int] = dataclasses.field(default_factory=dict)
    shards: dict[str, Shard] = dataclasses.field(default_factory=dict)
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    books: dict[str, limits.AllowanceCache] = dataclasses.field(
        default_factory=dict
    )
    books_at: float = 0.0
    store_calls: float = 0.0
    store_calls_at: float = 0.0
    works: dict[str, HomeWork] = dataclasses.field(default_factory=dict)
    sent_room: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    rebalance_at: float = 0.0
    timers: list[tuple[float, int, str, int]] = dataclasses.field(
        default_factory=list
    )
    waiters: dict[str, Waiter] = dataclasses.field(default_factory=dict)
    handles: dict[int, str] = dataclasses.field(default_factory=dict)
    resends: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    followed: dict[str, int] = dataclasses.field(default_factory=dict)
    queries: dict[int, Query] = dataclasses.field(default_factory=dict)
    operations: dict[int, Any] = dataclasses.field(default_factory=dict)
    counter: int = 0
    ring: account.Ring = dataclasses.field(default_factory=account.Ring)
    draining: bool = False
    drain_at: float = 0.0

    def next_number(self) -> int:
        """Returns a number that this daemon has not used before."""
        self.counter += 1
        return self.counter


def note(
    st: State,
    out: list,
    rule: account.Rule,
    text: str,
    work_id: str = "",
    task_id: str = "",
    code: codes.Code = codes.Code.OK,
    epoch: int = 0,
) -> None:
    """Keeps a record of a decision and has it logged."""
    record = account.Record(
        st.now,
        st.name,
        work_id,
        task_id,
        rule,
        code,
        st.config.number,
        epoch,
        text,
    )
    st.ring.add(record)
    out.append(effects.Record(record))
