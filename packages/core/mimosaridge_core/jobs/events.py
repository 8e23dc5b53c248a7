"""Everything that can happen to the job scheduler; its only input.

Each event carries `now`, seconds of the daemon's steady clock.
"""

import dataclasses
import enum

from mimosaridge_core.jobs import model


class CallResult(enum.StrEnum):
    """What became of an order to a worker."""

    DONE = "done"
    FENCED = "fenced"  # A newer owner has held the worker.
    REFUSED = "refused"  # The worker did nothing.
    NO_TICKET = "no-ticket"  # The worker did nothing: the ticket has lapsed.
    UNHEALTHY = "unhealthy"  # The worker did nothing and is unwell.
    OTHER_LIFE = "other-life"  # Another worker answers at that address.
    UNKNOWN = "unknown"  # No answer; it may be carried out later.


@dataclasses.dataclass(slots=True)
class Tick:
    """Time has passed; `wall` is the time of day in seconds."""

    now: float
    wall: float


@dataclasses.dataclass(slots=True)
class BoundsChanged:
    """The platform's time limits were read."""

    now: float
    bounds: model.Bounds


@dataclasses.dataclass(slots=True)
class ConfigurationChanged:
    """A configuration was read; older ones than that in force are ignored."""

    now: float
    configuration: model.Configuration


@dataclasses.dataclass(slots=True)
class ZonesOutChanged:
    """Availability zones that operators have taken out."""

    now: float
    zones: frozenset[str]


@dataclasses.dataclass(slots=True)
class JobsListed:
    """The whole table of jobs as the store has it.

    Attributes:
        now: When.
        revision: The store's revision as of which it is whole.
        jobs: Each with the revision of its creation.
        progress: By job id, with the revision of the item.
        cancelled: Ids of cancelled jobs.
    """

    now: float
    revision: int
    jobs: dict[str, tuple[model.Job, int]]
    progress: dict[str, tuple[model.Progress, int]]
    cancelled: set[str]


@dataclasses.dataclass(slots=True)
class JobAccepted:
    """A job was stored."""

    now: float
    job: model.Job
    revision: int


@dataclasses.dataclass(slots=True)
class JobCancelled:
    """A caller's cancellation was stored."""

    now: float
    job_id: str


@dataclasses.dataclass(slots=True)
class JobRemoved:
    """A job was removed from the store."""

    now: float
    job_id: str


@dataclasses.dataclass(slots=True)
class ProgressStored:
    """A job's progress was stored by the owner."""

    now: float
    job_id: str
    progress: model.Progress
    revision: int


@dataclasses.dataclass(slots=True)
class OwnershipClaimed:
    """This daemon is the owner from now on.

    Attributes:
        now: When.
        token: Fencing token; higher than that of any earlier owner.
        fleet: Workers that earlier owners may have used.
        is_former_gone: Whether the former owner's process has surely ended.
    """

    now: float
    token: int
    fleet: model.Fleet
    is_former_gone: bool = False


@dataclasses.dataclass(slots=True)
class OwnershipLost:
    """Another daemon is or may be the owner.

    Attributes:
        now: When.
        token: The token that no longer counts; a newer one still does.
        reason: Why.
    """

    now: float
    token: int
    reason: str


@dataclasses.dataclass(slots=True)
class WorkersListed:
    """All workers in the list of workers."""

    now: float
    workers: dict[str, model.WorkerEntry]


@dataclasses.dataclass(slots=True)
class WorkerChanged:
    """A worker's entry is new, has changed or, if None, is gone."""

    now: float
    worker_id: str
    entry: model.WorkerEntry | None


@dataclasses.dataclass(slots=True)
class HoldAnswered:
    """A worker renewed its lease and listed its runs.

    Attributes:
        now: When.
        worker_id: The worker.
        sent_at: When the call was made.
        token: The token that it carried.
        life: The worker's life that it was meant for.
        result: What became of it; the lists count if it is DONE.
        clock_ms: The worker's clock.
        born: Start of the worker's life.
        running: Its runs.
        ended: Its ends that were not yet taken note of.
    """

    now: float
    worker_id: str
    sent_at: float
    token: int
    life: int
    result: CallResult
    clock_ms: int = 0
    born: int = 0
    running: tuple[model.RunRow, ...] = ()
    ended: tuple[model.EndRow, ...] = ()


@dataclasses.dataclass(slots=True)
class StartAnswered:
    """What became of a start."""

    now: float
    worker_id: str
    task_id: str
    run: int
    token: int
    result: CallResult
    detail: str = ""


@dataclasses.dataclass(slots=True)
class StopAnswered:
    """What became of a stop."""

    now: float
    worker_id: str
    task_id: str
    run: int
    token: int
    result: CallResult


@dataclasses.dataclass(slots=True)
class AdviceAnswered:
    """Tickets for a step, or none if the call failed.

    Attributes:
        now: When.
        asker: Daemon that asked.
        group: "JOB.REPETITION.STEP".
        asked: Workers that were named.
        tickets: By worker; a worker named without ticket may not run it.
        answered: Whether the service answered.
        valid_s: Life of the tickets in seconds.
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
    """What became of a write of progress.

    Attributes:
        now: When.
        batch: The batch.
        revisions: Revision of the stored progress by job id, as far as known.
        written: Whether it was; if not, it is made again.
    """

    now: float
    batch: int
    revisions: dict[str, int]
    written: bool


@dataclasses.dataclass(slots=True)
class PeersChanged:
    """Names of the daemons that can ask for advice, this one included."""

    now: float
    names: frozenset[str]
