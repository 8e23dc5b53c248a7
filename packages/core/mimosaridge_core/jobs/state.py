"""All that a daemon knows of jobs, and what their owner knows besides."""

import dataclasses
import enum

from mimosaridge_core import resources
from mimosaridge_core.jobs import model

# A step that was not tried since something about it changed.
NEVER_LOOKED = -1


class Phase(enum.StrEnum):
    """Where a run stands."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    IN_DOUBT = "in-doubt"  # The start may still be carried out.


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    Attributes:
        task_id: The task.
        run: Its number.
        worker_id: The worker.
        team: The team charged for it.
        needs: What it uses there.
        phase: Where it stands.
        started_at: When it was ordered or first seen.
        acknowledged_at: When the worker took the start or the stop.
        stop_sent_at: When a stop was last sent.
        saved: Latest checkpoint.
        percent: Progress as last listed.
        percent_at: When the progress last changed.
        why_stopped: Reason of the stop.
        serves: Whether it serves users with a latency target.
        fills: Whether it fills what others leave of its worker.
    """

    task_id: str
    run: int
    worker_id: str
    team: str
    needs: resources.Resources
    phase: Phase
    started_at: float
    acknowledged_at: float = 0.0
    stop_sent_at: float = 0.0
    saved: str = ""
    percent: float = -1.0
    percent_at: float = 0.0
    why_stopped: str = ""
    serves: bool = False
    fills: bool = False


@dataclasses.dataclass(slots=True)
class Worker:
    """A worker that the owner holds or tries to hold.

    Attributes:
        entry: Its entry in the list of workers.
        listed: Whether it still is in that list.
        held: Whether it has taken this owner's token in this life.
        used: Sum of what its runs use.
        runs: By task and run number.
        processed: Highest number of the ends acted upon.
        noted: Highest number of the ends that are stored.
        clock_ms: Its clock as of `clock_at`.
        clock_at: When the clock was read.
        born: Start of the life that answered last.
        lease_until_ms: End of the lease asked for last, on its own clock.
        lease_ends_at: When its lease has surely ended.
        answered_at: When it last answered.
        hold_open: Whether a hold is under way.
        next_hold_at: When to hold it again.
        rests_until: No starts before that time.
        failures: Failures in a row.
        unanswered: Whether its latest hold had no answer.
        life: Counts its lives as the owner saw them.
        looked_at: When its runs were listed last.
        moved_at: When any of its runs last showed progress.
        speed: Its measured speed; 1.0 is as declared.
        leaves_at: When it may leave, if it drains.
        lost_at: When it first gave no answer.
        lease_asked: Whether a hold of this owner has asked for a lease.
        closed_jobs: Jobs that it may run since it gets no more starts; None
            if it gets them.
        ends_counted: Ends of its lives, earlier ones counted for less.
        ended_at: When a life of it ended last.
    """

    entry: model.WorkerEntry
    listed: bool = True
    held: bool = False
    used: resources.Resources = resources.ZERO
    runs: dict[tuple[str, int], Run] = dataclasses.field(default_factory=dict)
    processed: int = 0
    noted: int = 0
    clock_ms: int = 0
    clock_at: float = 0.0
    born: int = 0
    lease_until_ms: int = 0
    lease_ends_at: float = 0.0
    answered_at: float = 0.0
    hold_open: bool = False
    next_hold_at: float = 0.0
    rests_until: float = 0.0
    failures: int = 0
    unanswered: bool = False
    life: int = 0
    looked_at: float = 0.0
    moved_at: float = 0.0
    speed: float = 1.0
    leaves_at: float = 0.0
    lost_at: float = 0.0
    lease_asked: bool = False
    closed_jobs: tuple[str, ...] | None = None
    ends_counted: float = 0.0
    ended_at: float = 0.0

    @property
    def rack(self) -> str:
        """The rack: the last label."""
        return self.entry.labels[-1] if self.entry.labels else ""


@dataclasses.dataclass(slots=True)
class Ticket:
    """A worker's ticket for a step."""

    text: str
    valid_until: float


@dataclasses.dataclass(slots=True)
class Group:
    """The tasks of one step in one repetition whose turn has come.

    Attributes:
        job_id: The job.
        repetition: Number of the repetition.
        number: Number of the step.
        step: The step.
        ready_at: When its turn came.
        waiting: Indexes of tasks that neither run nor are done.
        runs: Runs of each task that is not done.
        progress: What is done, failed and saved.
        tickets: Good workers' tickets by worker.
        unfit: Workers that the advice service did not name as good.
        asking: Workers that were asked about, until when.
        ask_after: No new call for advice before that time.
        retry_at: No start before that time.
        preempt_after: No run is stopped for it before that time.
        looked_at: When it was last tried to be placed.
        looked_room: The owner's `room` then.
        failed_on: Workers on which a task failed, by index.
    """

    job_id: str
    repetition: int
    number: int
    step: model.Step
    ready_at: float
    waiting: set[int]
    progress: model.StepProgress
    runs: dict[int, list[Run]] = dataclasses.field(default_factory=dict)
    tickets: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    unfit: set[str] = dataclasses.field(default_factory=set)
    asking: dict[str, float] = dataclasses.field(default_factory=dict)
    ask_after: float = 0.0
    retry_at: float = 0.0
    preempt_after: float = 0.0
    looked_at: float = 0.0
    looked_room: int = NEVER_LOOKED
    failed_on: dict[int, set[str]] = dataclasses.field(default_factory=dict)

    @property
    def key(self) -> str:
        """The group's id: "JOB.REPETITION.STEP"."""
        return f"{self.job_id}.{self.repetition}.{self.number}"


@dataclasses.dataclass(slots=True)
class Entry:
    """A job in the table that every daemon keeps.

    Attributes:
        job: The job.
        revision: Revision of its creation.
        progress: Its progress.
        progress_revision: Revision of the progress; 0 if none is stored.
        cancelled: Whether a cancellation is stored.
        seen_at: When this daemon first saw the job.
        stored_state: The state as the store has it.
    """

    job: model.Job
    revision: int
    progress: model.Progress = dataclasses.field(default_factory=model.Progress)
    progress_revision: int = 0
    cancelled: bool = False
    seen_at: float = 0.0
    stored_state: model.JobState = model.JobState.QUEUED

    @property
    def state(self) -> model.JobState:
        """What a caller is told: never what could be lost with the owner."""
        if self.stored_state in model.FINAL_STATES:
            return self.stored_state
        if self.cancelled:
            return model.JobState.CANCELLED
        return self.stored_state


@dataclasses.dataclass(slots=True)
class Owner:
    """What only the owner knows.

    Attributes:
        token: Its fencing token.
        since: When it became the owner.
        displaced_until: Until when the former owner may still give orders.
        workers: Workers by id.
        unheld: Workers of earlier owners that this one has not yet held, until
            when they may run tasks.
        groups: Groups by key.
        jobs: Unfinished jobs: keys of their groups.
        usage: What each team has running.
        runs: Number of the latest run.
        dirty: Jobs whose progress must be written, since when.
        batch: Number of the latest write.
        writing: States that the write under way holds, by job; None if there
            is none.
        noting: Ends that the write under way covers, by worker.
        write_after: No write before that time.
        finished: When jobs came to their final state.
        advice_busy: Daemons whose call for advice is under way, until when.
        lossy_until: Until when answers of workers count as getting lost.
        unheld_jobs: Of those that got no more starts: the jobs that they may
            run.
        fleet: Its workers as stored; None if not yet stored.
        fleet_writing: The same, in the write under way.
        fleets_in_doubt: Those written since without a good answer.
        rate: Jobs that a team may still submit within its weight.
        beyond: Jobs that came beyond their team's weight.
        timed: Unfinished jobs with repetitions.
        asked: How many calls for advice were made.
        room: Grows whenever a step that waits may find room: a run is gone, a
            worker or the configuration has changed.
        stops_checked_at: When unanswered stops were last looked for.
    """

    token: int
    since: float
    displaced_until: float = 0.0
    workers: dict[str, Worker] = dataclasses.field(default_factory=dict)
    unheld: dict[str, float] = dataclasses.field(default_factory=dict)
    groups: dict[str, Group] = dataclasses.field(default_factory=dict)
    jobs: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    usage: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    runs: int = 0
    dirty: dict[str, float] = dataclasses.field(default_factory=dict)
    batch: int = 0
    writing: dict[str, model.JobState] | None = None
    noting: dict[str, int] = dataclasses.field(default_factory=dict)
    write_after: float = 0.0
    finished: dict[str, float] = dataclasses.field(default_factory=dict)
    advice_busy: dict[str, float] = dataclasses.field(default_factory=dict)
    lossy_until: float = 0.0
    unheld_jobs: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    fleet: model.Fleet | None = None
    fleet_writing: model.Fleet | None = None
    fleets_in_doubt: list[model.Fleet] = dataclasses.field(default_factory=list)
    rate: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    beyond: set[str] = dataclasses.field(default_factory=set)
    timed: set[str] = dataclasses.field(default_factory=set)
    asked: int = 0
    room: int = 0
    stops_checked_at: float = 0.0


@dataclasses.dataclass(slots=True)
class State:
    """All that a daemon knows.

    Attributes:
        now: Steady time of the latest event, seconds.
        wall: Time of day of the latest tick, seconds.
        configuration: That in force; None before the first.
        zones_out: Availability zones taken out.
        table: Jobs by id.
        entries: Entries of the list of workers.
        askers: Daemons that can ask for advice.
        bounds: The platform's time limits.
        owner: What the owner knows; None if this daemon is not the owner.
    """

    now: float = 0.0
    wall: float = 0.0
    configuration: model.Configuration | None = None
    zones_out: frozenset[str] = frozenset()
    table: dict[str, Entry] = dataclasses.field(default_factory=dict)
    entries: dict[str, model.WorkerEntry] = dataclasses.field(
        default_factory=dict
    )
    askers: frozenset[str] = frozenset()
    bounds: model.Bounds = model.Bounds()
    owner: Owner | None = None
