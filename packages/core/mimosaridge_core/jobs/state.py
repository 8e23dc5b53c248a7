"""State of the job scheduler: what every daemon keeps, and the owner's part."""

import dataclasses
import enum

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import records

# Team of the runs of jobs that are not in the table. Jobs of public queues may
# have the empty string.
UNKNOWN_TEAM = None
# Pace of a run that is not slowed down, in percent.
FULL_PACE = 100


class Phase(enum.StrEnum):
    """Phase of a run, as far as the owner knows."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    IN_DOUBT = "in-doubt"  # Stop sent; the start may still be carried out.


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a task on a worker.

    Attributes:
        task_id: Id of the task.
        run: Number of the run.
        worker_id: Id of the worker.
        team: Team whose usage includes the run; `UNKNOWN_TEAM` if its job is
            not in the table.
        needs: Resources that it occupies on the worker.
        team_needs: Resources that count toward its team's upper limit; for
            backfill they include its processor time.
        phase: Current phase.
        started_at: When the owner last sent the start or first saw the run.
        acknowledged_at: When the worker confirmed the latest start or stop;
            0 if it has not.
        stop_sent_at: When a stop was last sent.
        saved: Latest checkpoint; empty for none.
        percent: Progress as last reported.
        percent_at: When the progress last changed.
        why_stopped: Reason for the stop; empty if none was sent.
        is_listed: Whether its worker has listed it as running.
        is_start_pending: Whether the latest call to start it goes on; if its
            agent fails, this daemon makes the call again.
        is_start_answered: Whether the start was answered; if not, it may be
            carried out late.
        is_unanswered: Whether the latest call to start it got no answer.
        is_repeated: Whether the start was or may have been sent more than once.
        is_timed: Whether this owner has started it, without a checkpoint, so
            that its time is that of the whole task.
        target_ms: Latency target of its step, milliseconds; 0 for none.
        fills: Whether it is backfill: it uses processor time that other runs
            leave idle.
        load: Its tail latency or its processor time as last reported; see
            `model.RunReport`.
        pace: Percentage of its full speed that its worker has confirmed; None
            if that is unknown.
        pace_sent_at: When an order to change its pace was last sent.
    """

    task_id: str
    run: int
    worker_id: str
    team: str | None
    needs: resources.Resources
    team_needs: resources.Resources
    phase: Phase
    started_at: float
    acknowledged_at: float = 0.0
    stop_sent_at: float = 0.0
    saved: str = ""
    percent: float = -1.0
    percent_at: float = 0.0
    why_stopped: str = ""
    is_listed: bool = False
    is_start_pending: bool = False
    is_start_answered: bool = False
    is_unanswered: bool = False
    is_repeated: bool = False
    is_timed: bool = False
    target_ms: int = 0
    fills: bool = False
    load: float = 0.0
    pace: int | None = FULL_PACE
    pace_sent_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Worker:
    """A worker that the owner holds or tries to hold.

    A hold is a call to the worker that carries the owner's fencing token,
    renews the lease of its runs and returns its running and ended runs.

    Attributes:
        entry: Its entry in the list of workers.
        listed: Whether it is still in that list.
        known_since: Since when this owner knows its id.
        held: Whether this incarnation has accepted the owner's token.
        held_at: Address at which it last did so.
        called_at: Address of the latest hold.
        used: Sum of the resources that its runs occupy.
        runs: Runs by task id and run number.
        processed_end: Highest number of an ended run that was processed.
        acknowledged_end: Highest number of an ended run that the worker may
            forget, with all runs up to it.
        kept_ends: Ended runs that the worker keeps, by number in ascending
            order.
        clock_ms: The worker's clock as of `clock_at`.
        clock_at: When the clock was read.
        born: Start of the incarnation that answered last.
        lease_until_ms: End of the latest requested lease, on its own clock.
        lease_ends_at: When its lease has certainly expired.
        lease_assumed_until: When a lease that other calls may have requested
            has certainly expired.
        answered_at: When it last answered.
        hold_open: Whether a hold is in flight.
        former_holds: Former incarnations with a hold in flight that
            acknowledges ends by their numbers; nothing starts meanwhile.
        next_hold_at: When the next hold is due.
        unhealthy_until: Gets no starts before that time, since it is stalled or
            unhealthy or has restarted repeatedly.
        backoff_until: Gets starts only of starved steps before that time, since
            runs have failed on it.
        failures: Consecutive failures.
        unanswered: Whether its latest hold got no answer.
        incarnation: Number of its incarnation among all that the owner has
            known or looked for; answers to calls for earlier ones say nothing
            about it.
        runs_listed_at: When it last listed its runs.
        progressed_at: When any of its runs last showed progress.
        speed: Measured speed; 1.0 matches the declared run times.
        leaves_at: Earliest time at which it may leave, if it drains.
        unanswered_since: Time of the first hold without an answer.
        lease_requested: Whether a hold of this owner has requested a lease.
        renewal: The hold in flight if it requests a lease.
        unanswered_leases: Calls without an answer that requested a lease.
        closed_jobs: Jobs whose tasks it may still run, or that have ended there
            without a stored result, since it was closed for starts; None if it
            is open.
        backfill: Number of its runs that are backfill.
        serving: Number of its runs with a latency target.
        pace: Percentage of full speed at which its backfill should work.
        pace_changed_at: When that last changed.
        disturbed_since: Since when one of its serving runs has missed its
            target while backfill worked there; 0 if none does.
        ends_counted: Decaying count of ended incarnations.
        ended_at: When an incarnation last ended.
    """

    entry: model.WorkerEntry
    listed: bool = True
    known_since: float = 0.0
    held: bool = False
    held_at: str = ""
    called_at: str = ""
    used: resources.Resources = resources.ZERO
    runs: dict[tuple[str, int], Run] = dataclasses.field(default_factory=dict)
    processed_end: int = 0
    acknowledged_end: int = 0
    kept_ends: dict[int, model.EndReport] = dataclasses.field(
        default_factory=dict
    )
    clock_ms: int = 0
    clock_at: float = 0.0
    born: int = 0
    lease_until_ms: int = 0
    lease_ends_at: float = 0.0
    lease_assumed_until: float = 0.0
    answered_at: float = 0.0
    hold_open: bool = False
    former_holds: set[int] = dataclasses.field(default_factory=set)
    next_hold_at: float = 0.0
    unhealthy_until: float = 0.0
    backoff_until: float = 0.0
    failures: int = 0
    unanswered: bool = False
    incarnation: int = 0
    runs_listed_at: float = 0.0
    progressed_at: float = 0.0
    speed: float = 1.0
    leaves_at: float = 0.0
    unanswered_since: float = 0.0
    lease_requested: bool = False
    renewal: records.LeaseCall | None = None
    unanswered_leases: list[records.LeaseCall] = dataclasses.field(
        default_factory=list
    )
    closed_jobs: tuple[str, ...] | None = None
    backfill: int = 0
    serving: int = 0
    pace: int = FULL_PACE
    pace_changed_at: float = 0.0
    disturbed_since: float = 0.0
    ends_counted: float = 0.0
    ended_at: float = 0.0

    @property
    def suspended_until(self) -> float:
        """When it gets starts as any other worker, as far as is known."""
        return max(self.unhealthy_until, self.backoff_until)

    @property
    def is_shared(self) -> bool:
        """Whether backfill runs there beside tasks with a latency target."""
        return self.backfill > 0 and self.serving > 0

    @property
    def rack(self) -> str:
        """The name of its rack, which is the last label."""
        return self.entry.labels[-1] if self.entry.labels else ""


@dataclasses.dataclass(slots=True)
class Group:
    """The tasks of one step in one repetition that are ready to be placed.

    Attributes:
        job_id: Id of the job.
        repetition: Number of the repetition.
        number: Number of the step.
        step: The step.
        ready_at: When all steps that it depends on were done.
        waiting: Indexes of tasks that are neither running nor done.
        runs: Runs of each task that is not done, by index.
        progress: Completed tasks, failed runs and checkpoints.
        tickets: Tickets by worker.
        unfit: Workers for which the advice service returned no ticket.
        advice_pending: Workers with a call for advice in flight, with the time
            at which the call expires.
        advice_lives: Start of the incarnation that each of these calls is
            about, by worker.
        next_advice_at: No call for advice before that time.
        retry_at: No start before that time.
        preempt_after: No preemption for this group before that time.
        examine_at: When placement examines it on all its workers again.
        is_limited: Whether its team's upper limit kept tasks from starting.
        wants_advice: Whether it needs a call for advice and no daemon was idle.
        denied_call_s: Expected duration of that call, seconds, if the step
            could start with the answer; 0 otherwise.
        denied_since: Since when no daemon was idle for such a call; 0 after a
            call.
        needs_ticket: Whether its queue requires tickets.
        reserved: Workers reserved for its waiting tasks, which are large.
        blocked_since: Since when it has found no room and has nothing running,
            or, if it is standing, a task that waits; 0 if neither.
        failed_on: Workers on which a task failed, by index.
        explained_at: When the log last explained why it waits.
        remaining_work_s: Expected critical path from it to the end of the job,
            seconds.
        job_work_s: Expected critical path of the whole job, seconds.
        expected: Expected run time of a task.
        finished: Runs of tasks that have ended as done, by index.
    """

    job_id: str
    repetition: int
    number: int
    step: model.Step
    ready_at: float
    waiting: set[int]
    progress: model.StepProgress
    runs: dict[int, list[Run]] = dataclasses.field(default_factory=dict)
    tickets: dict[str, records.Ticket] = dataclasses.field(default_factory=dict)
    unfit: set[str] = dataclasses.field(default_factory=set)
    advice_pending: dict[str, float] = dataclasses.field(default_factory=dict)
    advice_lives: dict[str, int] = dataclasses.field(default_factory=dict)
    next_advice_at: float = 0.0
    retry_at: float = 0.0
    preempt_after: float = 0.0
    examine_at: float = 0.0
    is_limited: bool = False
    wants_advice: bool = False
    denied_call_s: float = 0.0
    denied_since: float = 0.0
    needs_ticket: bool = False
    reserved: frozenset[str] = frozenset()
    blocked_since: float = 0.0
    failed_on: dict[int, set[str]] = dataclasses.field(default_factory=dict)
    explained_at: float = 0.0
    remaining_work_s: float = 0.0
    job_work_s: float = 0.0
    expected: model.Expectation = model.Expectation()
    finished: dict[int, records.FinishedRun] = dataclasses.field(
        default_factory=dict
    )

    @property
    def key(self) -> str:
        """The group's id, "JOB.REPETITION.STEP"."""
        return f"{self.job_id}.{self.repetition}.{self.number}"


@dataclasses.dataclass(slots=True)
class JobEntry:
    """A job in the table that every daemon keeps.

    Attributes:
        job: The job.
        revision: Store revision at which it was created.
        progress: Its progress; the owner's copy may be ahead of the store.
        progress_revision: Store revision of the progress; 0 if none is stored.
        cancelled: Whether a cancellation is stored.
        final_at: When this daemon finished it as the owner, or first saw that
            an owner had stored its final state; 0 if neither. The owner may
            learn later than this daemon of a cancellation.
        stored_state: Its state in the store.
    """

    job: model.Job
    revision: int
    progress: model.Progress = dataclasses.field(default_factory=model.Progress)
    progress_revision: int = 0
    cancelled: bool = False
    final_at: float = 0.0
    stored_state: model.JobState = model.JobState.QUEUED

    @property
    def state(self) -> model.JobState:
        """The state shown to callers, which comes only from stored data."""
        if self.stored_state in model.FINAL_STATES:
            return self.stored_state
        if self.cancelled:
            return model.JobState.CANCELLED
        return self.stored_state


@dataclasses.dataclass(slots=True)
class UnknownEnd:
    """The end of a run whose job is not in the table.

    Attributes:
        worker: The worker that listed it.
        incarnation: The worker's incarnation at that time.
        row: What the worker listed.
        seen_at: When this owner read it.
    """

    worker: Worker
    incarnation: int
    row: model.EndReport
    seen_at: float


@dataclasses.dataclass(slots=True)
class Owner:
    """State that only the owner keeps.

    Attributes:
        token: Its fencing token.
        since: When it became the owner.
        proven_at: Latest time at which nobody had claimed after it.
        displaced_until: Until when former owners may still send orders.
        settled_revision: Store revision of a write that was sent after that
            time; 0 if there is none yet.
        workers: Workers by id.
        unheld: Workers of former owners that this owner has not yet held, with
            the time until which they may run tasks.
        unread: Workers that were held with more ended runs than they listed,
            until a list is complete: tasks may have ended on them as done.
        groups: Groups by key.
        jobs: Keys of the groups of each unfinished job, by job id.
        usage: Resources that each team's runs occupy; includes those of
            `UNKNOWN_TEAM`.
        runs: Number of runs that this owner has started.
        incarnations: Number of incarnations of workers that it has known.
        dirty: Jobs whose progress must be written, with the due time.
        batch: Number of the latest write.
        writes: Writes in flight, which were sent together as a round, by
            number.
        write_sent_at: When the latest round was sent.
        noting: Highest number of an ended run whose result the round stores,
            with the incarnation, by worker.
        unwritten: Jobs of the round whose write has failed.
        is_round_failed: Whether a write of the round has failed.
        write_after: No write before that time.
        finished: Finished jobs, with the time at which they finished, and
            cancellations of unknown jobs, with the time since when this owner
            knows them.
        advice_busy: Daemons with a call for advice in flight, with the time at
            which the call expires.
        lossy_until: Until when holds use shorter waits because answers of
            workers were lost.
        open_to_former: Workers stored as open for starts by former owners.
        unheld_jobs: Jobs whose tasks an unheld worker may run, by worker; only
            for workers that were closed for starts.
        unheld_usage: Most that each team may have running on unheld workers;
            None if it must be computed again.
        unheld_usage_until: When it must be computed again at the latest.
        routes: Back ends that queues have had under this owner and former ones,
            by queue.
        routes_version: Version of the configuration that `routes` includes.
        fleet: The stored fleet; None if this owner has not stored it yet.
        fleets_in_doubt: Fleets written without a confirmation since the last
            confirmed one.
        rate_buckets: Per team, the number of jobs that it may still submit
            within its weight, and when that number was computed.
        over_rate: Jobs submitted beyond their team's weight.
        repeating: Unfinished jobs with repetitions.
        forgotten: Jobs that left the table while their tasks ran.
        late_starts: Calls to start tasks that may still be carried out, by
            task id.
        unknown_ends: Ended runs of jobs that are not in the table, by job.
        asked: Number of calls for advice made.
        freed: Workers on which runs have ended since the last placement.
        calls_checked_at: When unanswered calls were last checked.
        paces_checked_at: When unconfirmed paces were last checked.
        explain_at: When the log next explains what waits.
        status_at: When the log next describes the owner.
        exceeded: Teams whose usage exceeds their upper limit.
        failure_logged_at: When the failure of a part of a tick was last logged,
            by part.
        backend_use: Use of back ends where a step was starved, by name.
        run_time_errors: How far off expected run times were, by queue, since
            the log last told.
        run_times_stored_at: When run times were last given to the store.
        upkeep: State of the waves of upkeep.
        shortage: Where not all work can be in time, as last found.
        shortage_at: When that was.
    """

    token: int
    since: float
    proven_at: float = 0.0
    displaced_until: float = 0.0
    settled_revision: int = 0
    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    unheld: dict[str, float] = dataclasses.field(default_factory=dict)
    unread: set[str] = dataclasses.field(default_factory=set)
    groups: dict[str, Group] = dataclasses.field(default_factory=dict)
    jobs: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    usage: dict[str | None, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    runs: int = 0
    incarnations: int = 0
    dirty: dict[str, float] = dataclasses.field(default_factory=dict)
    batch: int = 0
    writes: dict[int, records.Write] = dataclasses.field(default_factory=dict)
    write_sent_at: float = 0.0
    noting: dict[str, tuple[int, int]] = dataclasses.field(default_factory=dict)
    unwritten: set[str] = dataclasses.field(default_factory=set)
    is_round_failed: bool = False
    write_after: float = 0.0
    finished: dict[str, float] = dataclasses.field(default_factory=dict)
    advice_busy: dict[str, float] = dataclasses.field(default_factory=dict)
    lossy_until: float = 0.0
    open_to_former: frozenset[str] = frozenset()
    unheld_jobs: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    unheld_usage: dict[str, resources.Resources] | None = None
    unheld_usage_until: float = 0.0
    routes: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    routes_version: int = 0
    fleet: model.Fleet | None = None
    fleets_in_doubt: list[model.Fleet] = dataclasses.field(default_factory=list)
    rate_buckets: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    over_rate: set[str] = dataclasses.field(default_factory=set)
    repeating: set[str] = dataclasses.field(default_factory=set)
    forgotten: set[str] = dataclasses.field(default_factory=set)
    late_starts: dict[str, records.LateStart] = dataclasses.field(
        default_factory=dict
    )
    unknown_ends: dict[str, list[UnknownEnd]] = dataclasses.field(
        default_factory=dict
    )
    asked: int = 0
    freed: set[str] = dataclasses.field(default_factory=set)
    calls_checked_at: float = 0.0
    paces_checked_at: float = 0.0
    explain_at: float = 0.0
    status_at: float = 0.0
    exceeded: set[str] = dataclasses.field(default_factory=set)
    failure_logged_at: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    backend_use: dict[str, records.BackendUse] = dataclasses.field(
        default_factory=dict
    )
    run_time_errors: dict[str, records.RunTimeErrors] = dataclasses.field(
        default_factory=dict
    )
    run_times_stored_at: float = 0.0
    upkeep: records.Upkeep = dataclasses.field(default_factory=records.Upkeep)
    shortage: model.Shortage = model.NO_SHORTAGE
    shortage_at: float = 0.0

    def next_incarnation(self) -> int:
        """Returns a number for an incarnation not known before."""
        self.incarnations += 1
        return self.incarnations


@dataclasses.dataclass(slots=True)
class State:
    """State of a daemon's job scheduler.

    Attributes:
        now: Steady time of the latest event, seconds.
        wall: Wall-clock time of the latest tick, seconds.
        configuration: The configuration in force; None before the first.
        former_backends: Back ends that queues had in earlier configurations,
            by queue.
        removed_queues: Last settings of queues that the configuration lacks,
            by name; only of those that jobs in the table name.
        removed_teams: The same of teams.
        zones_out: Availability zones taken out of service.
        settings_confirmed_at: Time up to which all changes of the configuration
            and of `zones_out` are known, steady seconds.
        table: Jobs by id.
        table_bytes: About how much memory these jobs take, bytes.
        early_cancels: Cancellations of jobs that are not in the table, with
            their revisions, by job id.
        entries: Entries of the list of workers, by worker id.
        askers: Daemons that can call the advice service.
        bounds: The platform's time limits.
        learns_run_times: Whether expected run times are learned; otherwise the
            declared ones are used.
        run_times: What was learned from finished runs.
        waves: Waves of upkeep that operators request, by number.
        waves_known_at: Since when each of them is known as it is.
        wave_progress: How far they are, by number.
        owner: The owner's state; None if this daemon is not the owner.
    """

    now: float = 0.0
    wall: float = 0.0
    configuration: model.Configuration | None = None
    former_backends: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    removed_queues: dict[str, model.Queue] = dataclasses.field(
        default_factory=dict
    )
    removed_teams: dict[str, model.Team] = dataclasses.field(
        default_factory=dict
    )
    zones_out: frozenset[str] = frozenset()
    settings_confirmed_at: float = 0.0
    table: dict[str, JobEntry] = dataclasses.field(default_factory=dict)
    table_bytes: int = 0
    early_cancels: dict[str, records.EarlyCancel] = dataclasses.field(
        default_factory=dict
    )
    entries: dict[str, model.WorkerEntry] = dataclasses.field(
        default_factory=dict
    )
    askers: frozenset[str] = frozenset()
    bounds: model.Bounds = model.Bounds()
    learns_run_times: bool = True
    run_times: model.RunTimes = dataclasses.field(
        default_factory=model.RunTimes
    )
    waves: dict[int, model.Wave] = dataclasses.field(default_factory=dict)
    waves_known_at: dict[int, float] = dataclasses.field(default_factory=dict)
    wave_progress: dict[int, model.WaveProgress] = dataclasses.field(
        default_factory=dict
    )
    owner: Owner | None = None
