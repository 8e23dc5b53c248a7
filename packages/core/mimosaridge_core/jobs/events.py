"""Events, the only input of the job scheduler.

Each event carries `now`, the time on the daemon's steady clock in seconds.
"""

import dataclasses
import enum

from mimosaridge_core.jobs import model


class CallResult(enum.StrEnum):
    """Result of an order to a worker."""

    DONE = "done"
    FENCED = "fenced"  # The worker has accepted a newer token.
    REFUSED = "refused"  # Not carried out.
    NO_TICKET = "no-ticket"  # Not carried out: the ticket has expired.
    UNHEALTHY = "unhealthy"  # Not carried out: the worker has a fault.
    OTHER_INCARNATION = "other-life"  # Another worker uses the address.
    UNKNOWN = "unknown"  # No answer; it may still be carried out.


@dataclasses.dataclass(slots=True)
class Tick:
    """Time has passed; `wall` is the wall-clock time in seconds."""

    now: float
    wall: float


@dataclasses.dataclass(slots=True)
class BoundsChanged:
    """The time limits of the platform were read."""

    now: float
    bounds: model.Bounds


@dataclasses.dataclass(slots=True)
class ConfigurationChanged:
    """A configuration was read; ignored unless newer than the current one."""

    now: float
    configuration: model.Configuration


@dataclasses.dataclass(slots=True)
class ZonesOutChanged:
    """The set of availability zones taken out of service has changed."""

    now: float
    zones: frozenset[str]


@dataclasses.dataclass(slots=True)
class SettingsConfirmed:
    """All changes of the configuration and the zones up to a time were read.

    Attributes:
        now: Steady time, seconds.
        confirmed_at: The time up to which they were read.
    """

    now: float
    confirmed_at: float


@dataclasses.dataclass(slots=True)
class JobsListed:
    """The table of jobs was read from the store.

    Attributes:
        now: Steady time, seconds.
        revision: Store revision of the listing.
        jobs: Jobs by id, each with the revision of its creation.
        progress: Progress by job id, each with the revision of the item.
        cancelled: Ids of cancelled jobs, each with the revision of the
            cancellation; the job need not be stored.
        unreadable_jobs: Ids of stored jobs that can't be decoded.
        unreadable_progress: Ids of jobs whose progress can't be decoded.
        is_complete: Whether nothing else is stored; False if items were left
            out whose keys are unknown.
    """

    now: float
    revision: int
    jobs: dict[str, tuple[model.Job, int]]
    progress: dict[str, tuple[model.Progress, int]]
    cancelled: dict[str, int]
    unreadable_jobs: frozenset[str] = frozenset()
    unreadable_progress: frozenset[str] = frozenset()
    is_complete: bool = True


@dataclasses.dataclass(slots=True)
class JobAccepted:
    """A job was stored."""

    now: float
    job: model.Job
    revision: int


@dataclasses.dataclass(slots=True)
class JobCancelled:
    """A caller's cancellation was stored, of a job that need not be."""

    now: float
    job_id: str
    revision: int


@dataclasses.dataclass(slots=True)
class JobRemoved:
    """A job was removed from the store at a revision."""

    now: float
    job_id: str
    revision: int


@dataclasses.dataclass(slots=True)
class ProgressStored:
    """A job's progress was stored by the owner."""

    now: float
    job_id: str
    progress: model.Progress
    revision: int


@dataclasses.dataclass(slots=True)
class OwnershipClaimed:
    """This daemon has become the owner.

    Attributes:
        now: Steady time, seconds.
        token: Fencing token; higher than that of any former owner.
        fleet: Workers that former owners may have used.
        is_former_gone: Whether the former owner's process has certainly ended.
        former_claimed_at: Latest steady time at which the former owner had
            claimed ownership, seconds; 0 if there was none.
        evidence: What `is_former_gone` rests on, or else why this daemon
            claimed; for the log.
        informed_at: As in `DaemonsInformed`; 0 if that is still to come.
        sent_starts: Starts that the former owner sent just before its end, by
            task id: the worker, the number of the run, and the steady time
            until which it may be carried out.
    """

    now: float
    token: int
    fleet: model.Fleet
    is_former_gone: bool = False
    former_claimed_at: float = 0.0
    evidence: str = ""
    informed_at: float = 0.0
    sent_starts: dict[str, tuple[str, int, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class DaemonsInformed:
    """More than half of the daemons have told that they know of the claim.

    Attributes:
        now: Steady time, seconds.
        token: Fencing token of the claim.
    """

    now: float
    token: int


@dataclasses.dataclass(slots=True)
class OwnershipProven:
    """Nobody had claimed after this owner until a time.

    Attributes:
        now: Steady time, seconds.
        token: The owner's fencing token.
        proven_at: That time, seconds.
    """

    now: float
    token: int
    proven_at: float


@dataclasses.dataclass(slots=True)
class FormerOwnerGone:
    """The former owner's process has certainly ended, as seen after the claim.

    Attributes:
        now: Steady time, seconds.
        token: Fencing token of the claim.
        former_claimed_at: As in `OwnershipClaimed`.
    """

    now: float
    token: int
    former_claimed_at: float


@dataclasses.dataclass(slots=True)
class WavesChanged:
    """The waves of upkeep that operators request have changed.

    Attributes:
        now: Steady time, seconds.
        waves: All of them by number.
    """

    now: float
    waves: dict[int, model.Wave]


@dataclasses.dataclass(slots=True)
class WaveProgressStored:
    """An owner has stored how far a wave of upkeep is.

    Attributes:
        now: Steady time, seconds.
        progress: How far it is.
    """

    now: float
    progress: model.WaveProgress


@dataclasses.dataclass(slots=True)
class MachinesListed:
    """The platform has listed its machines, or failed to.

    Attributes:
        now: Steady time, seconds.
        token: Token of the owner that asked.
        requested_at: When the list was requested.
        machines: The machines by name; None if they are not known.
    """

    now: float
    token: int
    requested_at: float
    machines: dict[str, model.Machine] | None


class UpkeepResult(enum.StrEnum):
    """Result of an order for the upkeep of a machine."""

    BEGUN = "begun"  # Now or earlier.
    NOT_IN_WAVE = "not-in-wave"  # No such machine, or not of this wave.
    BUSY = "busy"  # The machine is not up, or leaving.
    FENCED = "fenced"
    REFUSED = "refused"  # Nothing was done.
    UNKNOWN = "unknown"  # It may have begun.


@dataclasses.dataclass(slots=True)
class UpkeepAnswered:
    """The platform has answered an order for the upkeep of a machine.

    Attributes:
        now: Steady time, seconds.
        token: Token of the owner that ordered it.
        wave: Number of the wave.
        machine: Name of the machine.
        result: The result.
    """

    now: float
    token: int
    wave: int
    machine: str
    result: UpkeepResult


@dataclasses.dataclass(slots=True)
class RunTimesRead:
    """A daemon about to own has read what former owners have learned.

    Attributes:
        now: Steady time, seconds.
        wall: Time of day, seconds since the Unix epoch.
        run_times: What is stored.
    """

    now: float
    wall: float
    run_times: model.RunTimes


@dataclasses.dataclass(slots=True)
class OwnershipLost:
    """Another daemon is or may be the owner.

    Attributes:
        now: Steady time, seconds.
        token: The token that is no longer valid; the event is ignored if this
            daemon holds a newer token.
        reason: Reason for the log.
    """

    now: float
    token: int
    reason: str


@dataclasses.dataclass(slots=True)
class WorkersListed:
    """The complete list of workers was read."""

    now: float
    workers: dict[str, model.WorkerEntry]


@dataclasses.dataclass(slots=True)
class WorkerChanged:
    """An entry in the list of workers was added, changed or (None) removed."""

    now: float
    worker_id: str
    entry: model.WorkerEntry | None


@dataclasses.dataclass(slots=True)
class HoldAnswered:
    """A hold was answered or failed.

    Attributes:
        now: Steady time, seconds.
        worker_id: Id of the worker.
        sent_at: When the call was made.
        token: Fencing token of the call.
        incarnation: Incarnation of the worker that the call was meant for.
        result: Result of the call; the attributes below are valid if it is
            DONE.
        clock_ms: The worker's clock.
        born: Start of the worker's incarnation.
        running: Runs that the worker is running.
        ended: Ended runs that were not yet acknowledged, in any order.
        has_more_ends: Whether the worker may have ended runs with higher
            numbers that it didn't list.
        is_repeated: Whether the call was made a second time, so that the first
            one may still be carried out.
    """

    now: float
    worker_id: str
    sent_at: float
    token: int
    incarnation: int
    result: CallResult
    clock_ms: int = 0
    born: int = 0
    running: tuple[model.RunReport, ...] = ()
    ended: tuple[model.EndReport, ...] = ()
    has_more_ends: bool = False
    is_repeated: bool = False


@dataclasses.dataclass(slots=True)
class StartAnswered:
    """A start was answered or failed.

    Attributes:
        now: Steady time, seconds.
        worker_id: Id of the worker.
        task_id: Id of the task.
        run: Number of the run.
        token: Fencing token of the call.
        incarnation: Incarnation of the worker that the call was meant for.
        result: Result of the call.
        detail: The worker's reason, or that of the failure.
        is_repeated: Whether the call was made a second time, so that the first
            one may still be carried out.
    """

    now: float
    worker_id: str
    task_id: str
    run: int
    token: int
    incarnation: int
    result: CallResult
    detail: str = ""
    is_repeated: bool = False


@dataclasses.dataclass(slots=True)
class StopAnswered:
    """A stop was answered or failed.

    Attributes:
        now: Steady time, seconds.
        worker_id: Id of the worker.
        task_id: Id of the task.
        run: Number of the run.
        token: Fencing token of the call.
        incarnation: Incarnation of the worker that the call was meant for.
        result: Result of the call.
    """

    now: float
    worker_id: str
    task_id: str
    run: int
    token: int
    incarnation: int
    result: CallResult


@dataclasses.dataclass(slots=True)
class PaceAnswered:
    """An order to change the pace of a run was answered or failed.

    Attributes:
        now: Steady time, seconds.
        worker_id: Id of the worker.
        task_id: Id of the task.
        run: Number of the run.
        token: Fencing token of the call.
        incarnation: Incarnation of the worker that the call was meant for.
        percent: Percentage of its full speed.
        result: Result of the call.
    """

    now: float
    worker_id: str
    task_id: str
    run: int
    token: int
    incarnation: int
    percent: int
    result: CallResult


@dataclasses.dataclass(slots=True)
class AdviceAnswered:
    """A call for advice about a step was answered or failed.

    Attributes:
        now: Steady time, seconds.
        asker: Daemon that made the call.
        group: "JOB.REPETITION.STEP".
        asked: Ids of the workers in the call.
        tickets: Tickets by worker; a worker without one may not run the step.
        answered: Whether the service answered.
        valid_s: Lifetime of the tickets, seconds.
    """

    now: float
    asker: str
    group: str
    asked: tuple[str, ...]
    tickets: dict[str, str]
    answered: bool
    valid_s: float


@dataclasses.dataclass(slots=True)
class ProgressWritten:
    """A write of progress has completed or failed.

    Attributes:
        now: Steady time, seconds.
        batch: Number of the write.
        revisions: Revision of the stored progress by job id, as far as known.
        written: Whether the write succeeded; if not, it is retried.
        revision: Store revision of the write; 0 if unknown.
    """

    now: float
    batch: int
    revisions: dict[str, int]
    written: bool
    revision: int = 0


@dataclasses.dataclass(slots=True)
class PeersChanged:
    """The set of daemons that can call the advice service has changed.

    The set includes this daemon.
    """

    now: float
    names: frozenset[str]
