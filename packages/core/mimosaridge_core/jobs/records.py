"""Small records that the state of the job scheduler is made of."""

import dataclasses

from mimosaridge_core import resources
from mimosaridge_core.jobs import model


@dataclasses.dataclass(frozen=True, slots=True)
class EarlyCancel:
    """The cancellation of a job that is not in the table.

    Attributes:
        revision: Store revision at which it was stored.
        known_since: Since when this daemon knows it.
    """

    revision: int
    known_since: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseCall:
    """A call that requested a lease and may still be carried out.

    Attributes:
        sent_at: When it was sent.
        lease_s: How long a lease it may get, on the worker's clock, seconds.
    """

    sent_at: float
    lease_s: float


@dataclasses.dataclass(slots=True)
class LateStart:
    """Calls to start a run that have no answer and may still be carried out.

    Attributes:
        worker_id: Worker that they were sent to.
        run: Number of the run.
        until: Until when the latest of them may be carried out.
        until_wall: The same as Unix seconds.
        unanswered: Number of these calls.
        is_only: Whether no other call to start the task may be carried out.
        refused_by: Start of the incarnation that may refuse the run after it
            was lost; None while it goes on and after a listed end.
    """

    worker_id: str
    run: int
    until: float
    until_wall: float
    unanswered: int
    is_only: bool = False
    refused_by: int | None = None


@dataclasses.dataclass(slots=True)
class Ticket:
    """Permission of the advice service to run a step on a worker."""

    text: str
    valid_until: float


@dataclasses.dataclass(slots=True)
class BackendUse:
    """Use of the workers of a back end that can take starts.

    Attributes:
        at: When it was computed.
        used: Resources that runs occupy.
        capacity: Capacity of the workers.
        low_since: Since when the use of each resource has been low, by name;
            only of resources whose use is low.
    """

    at: float
    used: resources.Resources
    capacity: resources.Resources
    low_since: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class RunTimeErrors:
    """How far off expected run times were, as sums over finished runs.

    Attributes:
        runs: Number of runs.
        took_s: Their run times, seconds.
        declared: Distances of the logarithms of declared and actual times.
        learned: Distances of those of learned and actual times.
    """

    runs: int = 0
    took_s: float = 0.0
    declared: float = 0.0
    learned: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A write of progress in flight.

    Attributes:
        states: States of the jobs in it, by job.
        fleet: The fleet in it; None if unchanged.
        removed_cancels: Ids of jobs whose cancellations it deletes.
    """

    states: dict[str, model.JobState]
    fleet: model.Fleet | None
    removed_cancels: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Upkeep:
    """What an owner knows of the waves of upkeep.

    Attributes:
        machines: The platform's machines by name, as last listed.
        listed_as_of: When that list was requested; 0 if there is none.
        list_sent_at: When a list was last requested.
        list_answered_at: When the latest list with an answer was requested.
        lacked_since: Machines of waves that the list lacks, with the time of
            the first of the lists that have lacked them in a row.
        emptied: When a worker was closed to empty it for its upkeep, by id.
        ordered: When the upkeep of a machine was last ordered, by wave and
            name; until its answer the machine counts as down.
        down_until: Until when a machine counts as down at least, by wave and
            name.
        retry_at: When a machine may be ordered again, by wave and name.
        is_fenced: Whether another owner has given orders since.
    """

    machines: dict[str, model.Machine] = dataclasses.field(default_factory=dict)
    listed_as_of: float = 0.0
    list_sent_at: float = 0.0
    list_answered_at: float = 0.0
    lacked_since: dict[str, float] = dataclasses.field(default_factory=dict)
    emptied: dict[str, float] = dataclasses.field(default_factory=dict)
    ordered: dict[tuple[int, str], float] = dataclasses.field(
        default_factory=dict
    )
    down_until: dict[tuple[int, str], float] = dataclasses.field(
        default_factory=dict
    )
    retry_at: dict[tuple[int, str], float] = dataclasses.field(
        default_factory=dict
    )
    is_fenced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedRun:
    """A run of a task that has ended as done.

    Attributes:
        worker_id: Id of the worker.
        log_s: Logarithm of its time in seconds.
        length_log_s: The same on a worker of usual speed.
    """

    worker_id: str
    log_s: float
    length_log_s: float
