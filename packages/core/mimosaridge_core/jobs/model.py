"""What callers, operators and workers describe: jobs, queues, teams, workers.

All amounts are `resources.Resources`. Times named `_at` are seconds of the
daemon's steady clock unless they are said to be wall-clock times.
"""

import dataclasses
import enum

from mimosaridge_core import resources


class JobState(enum.StrEnum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A number of like tasks of a job.

    Attributes:
        tasks: How many tasks.
        needs: What each task needs.
        estimate_s: Rough run time of a task in seconds.
        after: Numbers of the steps that must be done first.
        checkpoints: Whether its tasks save their progress.
        gang: Whether its tasks work only together.
        same_rack: Whether its tasks are faster on one rack.
        label: Label that a worker must have; empty for any.
        rack: Rack that holds the data; empty for any.
        most_per_worker: Most of its tasks on one worker; 0 for no limit.
        speculative: Whether copies of a task may run at the same time.
        standing: Whether its tasks run until the job is cancelled.
        image: What its tasks run.
        target_ms: Tail latency that its tasks must stay below; 0 for none.
        fills: Whether its processor time is not counted against a worker.
        may_miss: How many of its tasks may be away by the system's doing.
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
class Job:
    """A job as it was accepted; it never changes.

    Attributes:
        job_id: Chosen by the caller.
        queue: Name of its queue.
        backend: Back end whose workers run it, as configured on acceptance.
        team: The team charged for it.
        content: What each task is told to run.
        steps: Its steps.
        accepted_at: Wall-clock time of its acceptance, seconds.
        repeats: How many times the steps run; 0 for once without a time.
        first_run_at: Wall-clock time of the first repetition, seconds.
        interval_s: Time between repetitions in seconds.
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


@dataclasses.dataclass(slots=True)
class StepProgress:
    """How far a step of one repetition has come.

    Attributes:
        done: Indexes of tasks that ended well.
        failed_runs: Run numbers of failed attempts by task index.
        saved: Latest checkpoint by task index.
    """

    done: list[int] = dataclasses.field(default_factory=list)
    failed_runs: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    saved: dict[int, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Progress:
    """What must survive the owner; kept in the store beside the job.

    Attributes:
        state: The job's state.
        steps: By "REPETITION.STEP".
    """

    state: JobState = JobState.QUEUED
    steps: dict[str, StepProgress] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """A queue's workers need a ticket from the advice service.

    Attributes:
        decision_s: Time of each call in seconds.
        per_worker_s: Further time for each worker named.
        valid_s: Life of a ticket in seconds.
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
        priority: 0 goes first.
        max_attempts: How often a task may fail.
        stretch: Its latency objective as a multiple of the job's work.
        target_s: What is added to that objective, seconds.
        public: Whether no key is needed.
        advice: How workers are advised; None if any worker may be used.
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
    advice: Advice | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team that submits jobs.

    Attributes:
        name: Its name.
        weight: Its share when all is full; also jobs per second it is owed.
        upper_limit: Most that it may have running; 0 means no limit.
        secrets: Keys that callers may show.
    """

    name: str
    weight: float = 1.0
    upper_limit: resources.Resources = resources.ZERO
    secrets: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration.

    Attributes:
        version: Grows with each change.
        queues: By name.
        teams: By name.
        team_of_secret: Name of the team by key.
        largest_body: Largest request body in bytes; 0 for no limit.
    """

    version: int
    queues: dict[str, Queue]
    teams: dict[str, Team]
    team_of_secret: dict[str, str]
    largest_body: int = 0

    def queue_of(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix that a path begins with."""
        best = None
        for queue in self.queues.values():
            fits = queue.host == host and path.startswith(queue.prefix)
            if fits and (best is None or len(queue.prefix) > len(best.prefix)):
                best = queue
        return best


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The platform's time limits that decisions depend on, seconds.

    Attributes:
        longest_lease_s: Longest lease that a worker grants.
        stop_s: Longest time that a stop takes.
        restore_s: Time in which a task goes on from its checkpoint.
        keep_finished_s: How long callers may ask for a finished job.
        grace_s: Time between the signal to end and the kill.
    """

    longest_lease_s: float = 6.0
    stop_s: float = 1.0
    restore_s: float = 0.6
    keep_finished_s: float = 120.0
    grace_s: float = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker says of itself in the list of workers.

    Attributes:
        worker_id: Its id.
        born: Start of this life; differs in the next life under the same id.
        backend: Back end that it belongs to.
        address: IP:PORT.
        zone: Availability zone.
        capacity: What it has.
        labels: Its labels; the rack is one of them.
        draining: Whether it is leaving.
        remaining_s: How long a draining worker stays at least, seconds; as of
            the entry's first change to draining.
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
    """The workers that owners use, as the store has it.

    Attributes:
        workers: Ids of workers that may run tasks.
        closed: Of those that get no more starts: jobs whose tasks they may
            still run.
    """

    workers: tuple[str, ...] = ()
    closed: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class RunRow:
    """A run that a worker lists as running.

    Attributes:
        task_id: "JOB.REPETITION.STEP.INDEX".
        run: The run's number.
        saved: Latest checkpoint; empty for none.
        percent: Progress of the task.
    """

    task_id: str
    run: int
    saved: str
    percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndRow:
    """A run that a worker lists as ended.

    Attributes:
        number: Grows with each end in one life of the worker.
        task_id: "JOB.REPETITION.STEP.INDEX".
        run: The run's number.
        how: How it ended.
        saved: Its checkpoint; empty for none.
    """

    number: int
    task_id: str
    run: int
    how: str
    saved: str


class End(enum.StrEnum):
    """How a run ended."""

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
    """Returns the job, repetition, step and index of a task's id.

    Raises:
        ValueError: The text is no task's id.
    """
    job_id, repetition, step, index = text.split(".")
    return job_id, int(repetition), int(step), int(index)
