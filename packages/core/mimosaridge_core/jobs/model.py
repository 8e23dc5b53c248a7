"""Data types of the job scheduler: jobs, queues, teams and workers.

All amounts are `resources.Resources`. Times named `_at` are seconds of the
daemon's steady clock unless documented as wall-clock times.
"""

import dataclasses
import enum
import math

from mimosaridge_core import resources

# Standard deviations between the expected and the cautious or hopeful time of a
# task: nine in ten runs lie on this side.
CAUTION = 1.3


class JobState(enum.StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: a number of identical tasks.

    Attributes:
        tasks: Number of tasks.
        needs: Resources that each task needs.
        estimate_s: Declared approximate run time of a task, seconds.
        after: Numbers of the steps that must be done first.
        checkpoints: Whether its tasks save their progress.
        gang: Whether its tasks must run at the same time.
        same_rack: Whether its tasks are faster on the same rack.
        label: Label that a worker must have; empty for any.
        rack: Rack that holds the data; empty for any.
        most_per_worker: Most of its tasks on one worker; 0 for no limit.
        speculative: Whether copies of a task may run at the same time.
        standing: Whether its tasks run until the job is cancelled.
        image: Image that its tasks run.
        target_ms: Upper bound of the tail latency of its tasks, milliseconds;
            0 for none.
        fills: Whether it is backfill: its processor time is not counted
            against the capacity of a worker.
        may_miss: Most of its tasks that the system may have down at a time.
    """

    tasks: int
    needs: resources.Resources
    estimate_s: float = 1.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    most_per_worker: int = 0
    speculative: bool = False
    standing: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceSettings:
    """Settings of a queue whose starts need a ticket of the advice service.

    Attributes:
        decision_s: Fixed duration of a call, seconds.
        per_worker_s: Additional duration for each worker in the call, seconds.
        valid_s: Lifetime of a ticket, seconds.
    """

    decision_s: float
    per_worker_s: float
    valid_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue that jobs are submitted to.

    Attributes:
        name: Its name.
        host: Host name that selects it.
        prefix: Path prefix that selects it.
        backend: Back end whose workers run its tasks.
        priority: Priority; 0 is the highest.
        max_attempts: Number of failures of a task at which its job fails.
        stretch: Latency objective as a multiple of the job's critical path.
        target_s: Constant part of the latency objective, seconds.
        public: Whether callers need no key.
        advice: Settings of the advice service; None if any worker may be used.
    """

    name: str
    host: str
    prefix: str
    backend: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    public: bool = False
    advice: AdviceSettings | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """Where not all work can be in time, and which teams yield there.

    Attributes:
        queues: Back ends and priorities of which some work is late.
        teams: Teams that use more than their share.
    """

    queues: frozenset[tuple[str, int]] = frozenset()
    teams: frozenset[str] = frozenset()

    def yields(self, queue: Queue, team: str) -> bool:
        """Returns whether a team's work in a queue yields to others'."""
        is_short = (queue.backend, queue.priority) in self.queues
        return is_short and team in self.teams


NO_SHORTAGE = Shortage()


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as accepted; immutable.

    Attributes:
        job_id: Id chosen by the caller.
        queue: Name of its queue.
        backend: Back end whose workers run it, as configured on acceptance.
        team: Team whose usage includes its tasks.
        content: Description of the work, passed to each task.
        steps: Its steps.
        accepted_at: Wall-clock time of its acceptance, seconds.
        repeats: Number of times the steps run; 0 for a single run at once.
        first_run_at: Wall-clock time of the first repetition, seconds.
        interval_s: Time between repetitions, seconds.
        accepted_under: Settings of its queue on acceptance; None in jobs that
            were stored without them.
    """

    job_id: str
    queue: str
    backend: str
    team: str
    content: str
    steps: tuple[Step, ...]
    accepted_at: float
    repeats: int = 0
    first_run_at: float = 0.0
    interval_s: float = 0.0
    accepted_under: Queue | None = None


@dataclasses.dataclass(slots=True)
class StepProgress:
    """Progress of a step in one repetition.

    Attributes:
        done: Indexes of tasks that succeeded.
        failed_runs: Run numbers of failed attempts by task index.
        saved: Latest checkpoint by task index.
    """

    done: list[int] = dataclasses.field(default_factory=list)
    failed_runs: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    saved: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a job, stored so that it survives a change of owner.

    Attributes:
        state: State of the job.
        steps: Progress of each step by "REPETITION.STEP".
    """

    state: JobState = JobState.QUEUED
    steps: dict[str, StepProgress] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team that submits jobs.

    Attributes:
        name: Its name.
        weight: Relative share under contention; also the number of jobs per
            second that it may submit before it loses precedence.
        upper_limit: Most resources that its runs may occupy; 0 means no limit.
        secrets: Keys that callers may present.
    """

    name: str
    weight: float = 1.0
    upper_limit: resources.Resources = resources.ZERO
    secrets: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration.

    Attributes:
        version: Version number; increases with each change.
        queues: Queues by name.
        teams: Teams by name.
        team_of_secret: Name of the team by key.
        largest_body: Largest request body in bytes; 0 for no limit.
        largest_head: Largest head of a request in bytes; 0 for no limit.
    """

    version: int
    queues: dict[str, Queue]
    teams: dict[str, Team]
    team_of_secret: dict[str, str]
    largest_body: int = 0
    largest_head: int = 0

    def queue_of(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None."""
        best = None
        for queue in self.queues.values():
            fits = queue.host == host and path.startswith(queue.prefix)
            if fits and (best is None or len(queue.prefix) > len(best.prefix)):
                best = queue
        return best


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of the platform that scheduling depends on, seconds.

    Attributes:
        longest_lease_s: Longest lease that a worker grants.
        stop_s: Longest time that a stop takes.
        restore_s: Time that a task needs to resume from its checkpoint.
        keep_finished_s: How long callers may query a finished job.
        grace_s: Time between the termination signal and the kill.
        apply_s: Time in which a change of the configuration has to be in force.
        upkeep_s: Time for which the upkeep of a machine takes it away.
        turns_s: Time that passes between orders of two owners for a machine.
    """

    longest_lease_s: float = 6.0
    stop_s: float = 1.0
    restore_s: float = 0.6
    keep_finished_s: float = 120.0
    grace_s: float = 6.0
    apply_s: float = 2.0
    upkeep_s: float = 2.0
    turns_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A worker's entry in the list of workers.

    Attributes:
        worker_id: Id of the worker.
        born: Start of this incarnation; distinguishes it from later ones with
            the same id.
        backend: Back end that it belongs to.
        address: IP:PORT.
        zone: Availability zone.
        capacity: Its total resources.
        labels: Its labels; the last one is its rack.
        draining: Whether it is leaving.
        remaining_s: Minimum time for which a draining worker stays, seconds,
            as of the entry's first change to draining.
    """

    worker_id: str
    born: int
    backend: str
    address: str
    zone: str
    capacity: resources.Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    remaining_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The stored set of workers that owners use.

    Attributes:
        workers: Ids of workers that may run tasks.
        closed: Workers that are closed for starts, with the jobs whose tasks
            they may still run.
        routes: Back ends whose workers may run tasks of a queue, by queue;
            besides those that its jobs were accepted for.
        late_starts: Calls to start a run that may still be carried out, by task
            id: the worker, the number of the run, and until when, Unix seconds.
    """

    workers: tuple[str, ...] = ()
    closed: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    routes: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    late_starts: dict[str, tuple[str, int, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """An operators' request that machines have their upkeep.

    Attributes:
        number: Its number.
        machines: Names of the machines.
        within_s: Time in which all should begin, seconds.
        most_down: Most of them that may be down at a time.
    """

    number: int
    machines: tuple[str, ...]
    within_s: float
    most_down: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaveProgress:
    """How far a wave is, stored so that it survives a change of owner.

    Attributes:
        number: Number of the wave.
        begun_at: When an owner took it up, seconds since the Unix epoch.
        begun: Machines whose upkeep has begun, or that are gone.
        is_completed: Whether that holds for all of them.
    """

    number: int
    begun_at: float
    begun: tuple[str, ...] = ()
    is_completed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """A machine of a back end.

    Attributes:
        name: Its name.
        is_up: Whether it is up, neither moving, down nor in upkeep.
        worker_id: Id of its worker; empty if it has none.
    """

    name: str
    is_up: bool
    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """How long a task is expected to run on a worker of usual speed.

    Attributes:
        log_s: Mean of the logarithm of the time in seconds.
        variance: Variance of that logarithm.
        runs: Weight of the finished runs that it rests on; 0 if it is the
            declared time.
    """

    log_s: float = 0.0
    variance: float = 0.25
    runs: float = 0.0

    @property
    def usual_s(self) -> float:
        """The expected time, seconds."""
        return math.exp(self.log_s)

    @property
    def cautious_s(self) -> float:
        """A time that most runs stay below, seconds."""
        return math.exp(self.log_s + CAUTION * math.sqrt(self.variance))

    @property
    def hopeful_s(self) -> float:
        """A time that most runs exceed, seconds."""
        return math.exp(self.log_s - CAUTION * math.sqrt(self.variance))


@dataclasses.dataclass(slots=True)
class Sums:
    """Weighted sums over samples; see `runtimes` for what they sum up.

    Attributes:
        at: Time that the weights refer to, seconds since the Unix epoch.
        values: The sum of the weights, and those of weighted amounts.
    """

    at: float
    values: list[float]


@dataclasses.dataclass(slots=True)
class RunTimes:
    """What was learned from finished runs, stored for the next owner.

    Attributes:
        queues: By queue, sums over runs of the declared and the actual time.
        classes: By queue, team, image and step, sums of the same.
        workers: By worker, how much longer its runs take than others.
    """

    queues: dict[str, Sums] = dataclasses.field(default_factory=dict)
    classes: dict[str, Sums] = dataclasses.field(default_factory=dict)
    workers: dict[str, Sums] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """A run that a worker lists as running.

    Attributes:
        task_id: "JOB.REPETITION.STEP.INDEX".
        run: Number of the run.
        saved: Latest checkpoint; empty for none.
        percent: Progress of the task in percent.
        load: Rough figure for the last half second: the tail latency of a task
            with a latency target, milliseconds; the processor time in use of
            another one, millicores.
    """

    task_id: str
    run: int
    saved: str
    percent: float
    load: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndReport:
    """A run that a worker lists as ended.

    Attributes:
        number: Sequence number of the end in this incarnation of the worker.
        task_id: "JOB.REPETITION.STEP.INDEX".
        run: Number of the run.
        how: Outcome of the run.
        saved: Latest checkpoint; empty for none.
    """

    number: int
    task_id: str
    run: int
    how: str
    saved: str


class RunOutcome(enum.StrEnum):
    """Outcome of a run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


def task_id(job_id: str, repetition: int, step: int, index: int) -> str:
    """Returns the id of a task."""
    return f"{job_id}.{repetition}.{step}.{index}"


def parse_task_id(text: str) -> tuple[str, int, int, int]:
    """Returns the job, repetition, step and index in a task id.

    Raises:
        ValueError: The text is not a task id.
    """
    job_id, repetition, step, index = text.split(".")
    return job_id, int(repetition), int(step), int(index)
