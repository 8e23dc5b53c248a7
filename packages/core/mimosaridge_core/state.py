"""The state of one daemon, modified only by the reducer."""

import dataclasses
import random
from typing import Any

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import endedattempts
from mimosaridge_core import events
from mimosaridge_core import limits
from mimosaridge_core import messages
from mimosaridge_core import placement
from mimosaridge_core import queueing
from mimosaridge_core import resources
from mimosaridge_core import tunables
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Member:
    """A peer daemon.

    Attributes:
        name: Its name.
        url: URL at which peers reach it.
        zone: Its availability zone.
        alive_until: When it is considered dead unless another heartbeat
            arrives, seconds since the epoch.
        listed: Whether the store lists it.
        draining: Whether it is shutting down.
        config_number: Number of its active configuration.
        epochs: Epochs of the partitions that it owns.
        summaries: Summaries of its shards, by shard name.
        sent_at: When its latest heartbeat was sent, seconds since the epoch.
        exited: Whether its host refused a connection, so that its process has
            exited.
    """

    name: str
    url: str
    zone: str
    alive_until: float
    listed: bool = False
    draining: bool = False
    config_number: int = 0
    epochs: dict[str, int] = dataclasses.field(default_factory=dict)
    summaries: dict[str, messages.ShardSummary] = dataclasses.field(
        default_factory=dict
    )
    sent_at: float = 0.0
    exited: bool = False


@dataclasses.dataclass(slots=True)
class KnownOwner:
    """The owner of a partition, as last seen by this daemon.

    Attributes:
        owner: Name of the daemon.
        epoch: The owner's epoch.
    """

    owner: str
    epoch: int


@dataclasses.dataclass(slots=True)
class Placed:
    """A task that occupies room on a worker.

    Attributes:
        task: The task.
        phase: HELD, PLACING (start sent) or RUNNING.
        hold_until: When its reservation expires, seconds since the epoch.
        stopping: Whether a stop was sent to the worker.
        orphaned: Whether the attempt was settled or placed elsewhere before
            its worker reported it; only its room is accounted.
        stop_code: Why this daemon stops it; OK if its home requested it.
    """

    task: works.Task
    phase: works.Phase
    hold_until: float = 0.0
    stopping: bool = False
    orphaned: bool = False
    stop_code: codes.Code = codes.Code.OK


TaskKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Worker:
    """A worker as seen by the owner of its shard.

    Attributes:
        host: Its entry in the host list.
        free: Its unused capacity.
        placed: Tasks that occupy room on it, by task id and attempt.
        claim: Fencing token that start messages must carry; 0 until claimed.
        claimed: Whether it was claimed under the current epoch.
        reachable: Whether it answered its last call.
        leaving: Whether it or the host list announced that it will leave.
        listed: Whether it is in the host list.
        owned_elsewhere: Whether a newer owner has claimed it.
        lease_ends: When its task leases have certainly expired, seconds since
            the epoch.
        out_of_service: Whether operators took it out of service.
        failed_ids: Ids of works that failed on it since it last finished one.
        quarantine_s: Duration of its last quarantine; 0 after a success.
    """

    host: events.Host
    free: resources.Resources
    placed: dict[TaskKey, Placed] = dataclasses.field(default_factory=dict)
    claim: int = 0
    claimed: bool = False
    reachable: bool = False
    leaving: bool = False
    listed: bool = True
    owned_elsewhere: bool = False
    lease_ends: float = 0.0
    out_of_service: bool = False
    failed_ids: set[str] = dataclasses.field(default_factory=set)
    quarantine_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Unlisted:
    """A worker that left the host list and may still run tasks.

    Attributes:
        host: Its last entry in the host list.
        until: When it is discarded, seconds since the epoch.
    """

    host: events.Host
    until: float


@dataclasses.dataclass(slots=True)
class Reservation:
    """A reservation of a whole worker for one waiting task.

    Attributes:
        key: The waiting task.
        until: When the reservation expires, seconds since the epoch.
    """

    key: TaskKey
    until: float


@dataclasses.dataclass(slots=True)
class Capacity:
    """Total capacity of the workers of one endpoint in a shard.

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
        index: Workers that accept work, indexed by free resources.
        queue: Waiting tasks.
        unclaimed: Workers that are not claimed under the current epoch.
        capacities: Total capacity of its workers, by endpoint.
        rooms: Cached capacity for each endpoint; None if outdated.
        placed_on: Worker id of each placed task.
        reserved: Reservations of workers for waiting tasks, by worker id.
        quarantined: Time of the next probe of each quarantined worker,
            seconds since the epoch, by worker id. Workers are quarantined
            after repeated failures.
        is_zone_out: Whether the last configuration had its zone out of
            service.
        zone_returned_at: When its zone last returned to service, seconds
            since the epoch; reset to 0 after the ramp-up.
        starts_since_return: Number of starts since zone_returned_at.
        failed_on: The first worker that each failed work failed on.
        holds: Heap of (expiry, task) of reserved room; may contain tasks that
            are no longer there.
        ended: Settled attempts that their homes have not yet acknowledged.
        acknowledged: Settled attempts that their homes have acknowledged.
        team_use: Resources that each team's placed tasks occupy.
        stops: When the stop of each running task is sent again, seconds since
            the epoch, by worker and task.
        move_at: Earliest time of the next stop for a move, seconds since the
            epoch.
        lease_id: Store lease that the ownership key is bound to.
        suspended: Whether its workers' leases are no longer renewed.
        open: Whether tasks could start at the latest tick.
        releasing: Whether it is being released.
    """

    name: str
    zone: str
    epoch: int
    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    index: placement.Index = dataclasses.field(default_factory=placement.Index)
    queue: queueing.Queue = dataclasses.field(default_factory=queueing.Queue)
    reserved: dict[str, Reservation] = dataclasses.field(default_factory=dict)
    quarantined: dict[str, float] = dataclasses.field(default_factory=dict)
    is_zone_out: bool = False
    zone_returned_at: float = 0.0
    starts_since_return: int = 0
    failed_on: dict[str, str] = dataclasses.field(default_factory=dict)
    unclaimed: set[str] = dataclasses.field(default_factory=set)
    capacities: dict[str, Capacity] = dataclasses.field(default_factory=dict)
    rooms: list[messages.Room] | None = None
    placed_on: dict[TaskKey, str] = dataclasses.field(default_factory=dict)
    holds: list[tuple[float, TaskKey]] = dataclasses.field(default_factory=list)
    ended: dict[TaskKey, "SettledAttempt"] = dataclasses.field(
        default_factory=dict
    )
    acknowledged: endedattempts.EndedAttempts = dataclasses.field(
        default_factory=endedattempts.EndedAttempts
    )
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
class SettledAttempt:
    """A settled attempt that its home has not yet acknowledged.

    Attributes:
        update: The update to send.
        home: Home that it is sent to.
        worker_id: Worker that keeps the answer; empty if none does.
        resend_at: When it is sent again, seconds since the epoch.
        until: When its answer is dropped, seconds since the epoch.
        start_before: Deadline of the attempt's start, seconds since the epoch.
    """

    update: messages.TaskUpdate
    home: str
    worker_id: str
    resend_at: float
    until: float
    start_before: float


@dataclasses.dataclass(slots=True)
class TaskState:
    """A task as seen by its home.

    Attributes:
        phase: Its phase.
        worker: Worker that it runs on; empty if none.
        sent: Whether its attempt may have been sent to a shard.
        unrecorded: Whether the stored ledger lacks its shard assignment.
        failures: Number of attempts that ran and failed.
        retries: Number of attempts counted for the backoff before the next.
    """

    phase: works.Phase = works.Phase.PENDING
    worker: str = ""
    sent: bool = False
    unrecorded: bool = False
    failures: int = 0
    retries: int = 0


@dataclasses.dataclass(slots=True)
class HomeWork:
    """Work whose home is this daemon.

    Attributes:
        entry: The work and its assignments.
        home: Bucket, or this daemon's name if no bucket records the work.
        tasks: Its tasks by index.
        origins: Daemons whose callers wait for it.
        unsettled: Indexes of the tasks that are not settled.
        recorded: Whether it is in the store.
        outcome_recorded: Whether its outcome is in the store.
        full_outcome: Outcome with the full answer, which may be too large for
            the ledger; kept in memory only.
        lines: Decisions of shard owners about its tasks.
        round_aborted: Whether a gang's placement round was aborted and its
            tasks are being withdrawn before a retry.
        failed_rounds: Number of a gang's failed placement rounds.
    """

    entry: documents.Entry
    home: str
    tasks: list[TaskState]
    origins: set[str] = dataclasses.field(default_factory=set)
    unsettled: set[int] = dataclasses.field(default_factory=set)
    recorded: bool = False
    outcome_recorded: bool = False
    full_outcome: works.Outcome | None = None
    lines: list[account.Line] = dataclasses.field(default_factory=list)
    round_aborted: bool = False
    failed_rounds: int = 0

    def __post_init__(self) -> None:
        """Marks all tasks as unsettled."""
        self.unsettled = set(range(len(self.tasks)))


@dataclasses.dataclass(slots=True)
class Bucket:
    """A bucket that this daemon owns.

    Attributes:
        name: The bucket.
        epoch: The owner's epoch.
        ledger: Its ledger with all changes, including unwritten ones.
        revision: Store revision of the ledger as last read or written.
        loaded: Whether the ledger has been read.
        dirty: Whether the ledger differs from the stored one.
        writing: Whether a write is in progress.
        write_id: Id of the latest write.
        size_bytes: Estimated size of the ledger in the store.
        flush_at: Earliest time of the next write, seconds since the epoch.
        accepted: Work whose acceptance the next write records.
        settled: Work whose outcome the next write records.
        unsent: Tasks to send once the ledger is written.
        pending_acks: Acknowledgements of updates, with their recipients, to
            send once the ledger is written.
        lease_id: Store lease that the ownership key is bound to.
        releasing: Whether it is being released.
        accounts: Accounts that are not yet in the store, by page.
        archiving: Page that is being read or written; 0 for none.
        archive_at: Earliest time of the next page, seconds since the epoch.
        retire_at: When the oldest page is next deleted, seconds since the
            epoch.
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
    pending_acks: list[tuple[str, messages.UpdateTaken]] = dataclasses.field(
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
    """Local callers that wait for some work.

    Attributes:
        work: The work.
        home: Bucket, or this daemon's name if no bucket records the work.
        handles: Open calls; False for one that waits only for acceptance.
        resend_at: When the work is forwarded again, seconds since the epoch.
        accepted: Whether its home has recorded it.
    """

    work: works.Work
    home: str
    handles: dict[int, bool]
    resend_at: float
    accepted: bool = False


@dataclasses.dataclass(slots=True)
class Query:
    """A query that was sent to all peers.

    Attributes:
        handle: The open call that receives the result.
        question: The query.
        missing: Peers that have not answered.
        pages: Answers received so far.
        until: Deadline, seconds since the epoch.
    """

    handle: int
    question: messages.Question
    missing: set[str]
    pages: list[Any]
    until: float


@dataclasses.dataclass(slots=True)
class State:
    """The state of one daemon.

    Attributes:
        name: The daemon's name.
        url: URL at which peers reach it.
        zone: Its availability zone.
        rng: The only source of randomness.
        tuning: Parameters shared by the deployment.
        bootstrap_key: Operator token that is valid until the first operator
            key is granted; empty for none.
        now: Time of the latest event, seconds since the epoch.
        word_at: Latest time at which the active configuration was confirmed
            to be the latest, seconds since the epoch.
        archived_audit_page: Key of the audit page last known to be written.
        lease_until: When the store lease may expire, seconds since the epoch.
        reported_use: Use of each team as last sent in a heartbeat.
        listed_revision: Store revision at which all ownership keys were last
            read.
        drain_at: When the shutdown began, seconds since the epoch; 0 if it
            has not.
        handles: Work id of each open call.
        resends: Heap of (time, work id) at which waiters are next checked.
        released: Store revision at which each partition was last seen without
            an owner; smaller epochs are no longer valid.
        queried_epochs: Latest owner epoch of each shard whose owner was asked
            about running tasks.
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
    store_contact_at: float = 0.0
    word_at: float = 0.0
    daemons_listed: bool = False
    config_requested_at: float = 0.0
    archived_audit_page: str = ""
    rollouts: list[Any] = dataclasses.field(default_factory=list)
    lease_id: str = ""
    lease_until: float = 0.0
    renew_at: float = 0.0
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    listed: bool = False
    live: tuple[str, ...] = ()
    live_since: float = 0.0
    heartbeat_at: float = 0.0
    team_use_at: float = 0.0
    reported_use: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    partitions_at: float = 0.0
    hosts: dict[str, events.Host] = dataclasses.field(default_factory=dict)
    unlisted: dict[str, Unlisted] = dataclasses.field(default_factory=dict)
    fleet: resources.Resources = resources.ZERO
    partition_names: tuple[str, ...] = ()
    known_owners: dict[str, KnownOwner] = dataclasses.field(
        default_factory=dict
    )
    listed_revision: int = 0
    released: dict[str, int] = dataclasses.field(default_factory=dict)
    shards: dict[str, Shard] = dataclasses.field(default_factory=dict)
    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    team_allowances: dict[str, limits.AllowanceCache] = dataclasses.field(
        default_factory=dict
    )
    allowances_due_at: float = 0.0
    store_calls: float = 0.0
    store_calls_at: float = 0.0
    works: dict[str, HomeWork] = dataclasses.field(default_factory=dict)
    sent_resources: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    rebalance_at: float = 0.0
    timers: list[tuple[float, int, str, int]] = dataclasses.field(
        default_factory=list
    )
    waiters: dict[str, Waiter] = dataclasses.field(default_factory=dict)
    handles: dict[int, str] = dataclasses.field(default_factory=dict)
    resends: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    queried_epochs: dict[str, int] = dataclasses.field(default_factory=dict)
    queries: dict[int, Query] = dataclasses.field(default_factory=dict)
    operations: dict[int, Any] = dataclasses.field(default_factory=dict)
    counter: int = 0
    ring: account.Ring = dataclasses.field(default_factory=account.Ring)
    draining: bool = False
    drain_at: float = 0.0

    def next_number(self) -> int:
        """Returns a number that was not returned before."""
        self.counter += 1
        return self.counter


def log_decision(
    st: State,
    out: list,
    rule: account.Rule,
    text: str,
    work_id: str = "",
    task_id: str = "",
    code: codes.Code = codes.Code.OK,
    epoch: int = 0,
) -> None:
    """Records a decision and emits an effect that logs it."""
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
