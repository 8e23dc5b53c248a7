"""Effects, the only output of the job scheduler."""

import dataclasses
from typing import Any

from mimosaridge_core.jobs import model


@dataclasses.dataclass(slots=True)
class Hold:
    """Renews a worker's lease or requests the lists of its runs, or both.

    Attributes:
        worker_id: Id of the worker.
        address: IP:PORT.
        token: The owner's fencing token.
        acknowledged_end: Number up to which the worker may forget ended runs.
        lease_until_ms: End of the lease on the worker's clock; 0 to request the
            lists without a lease.
        wait_ms: How long the worker may wait for a run to end before it
            answers, milliseconds.
        incarnation: Incarnation of the worker that the call is meant for.
    """

    worker_id: str
    address: str
    token: int
    acknowledged_end: int
    lease_until_ms: int
    wait_ms: int
    incarnation: int


@dataclasses.dataclass(slots=True)
class Start:
    """Starts a task.

    Attributes:
        worker_id: Id of the worker.
        address: IP:PORT.
        token: The owner's fencing token.
        task_id: Id of the task.
        run: Number of the run.
        content: Description of the work.
        saved: Checkpoint to resume from; empty for none.
        ticket: Ticket of the advice service; empty for none.
        start_before_ms: Time on the worker's clock after which the worker must
            refuse the start.
        incarnation: Incarnation of the worker that the call is meant for.
    """

    worker_id: str
    address: str
    token: int
    task_id: str
    run: int
    content: str
    saved: str
    ticket: str
    start_before_ms: int
    incarnation: int


@dataclasses.dataclass(slots=True)
class Stop:
    """Stops a run, or prevents one whose start may still arrive.

    Attributes:
        worker_id: Id of the worker.
        address: IP:PORT.
        token: The owner's fencing token.
        task_id: Id of the task.
        run: Number of the run.
        incarnation: Incarnation of the worker that the call is meant for.
    """

    worker_id: str
    address: str
    token: int
    task_id: str
    run: int
    incarnation: int


@dataclasses.dataclass(slots=True)
class Pace:
    """Sets the speed at which a run works, and so how much it disturbs others.

    Attributes:
        worker_id: Id of the worker.
        address: IP:PORT.
        token: The owner's fencing token.
        task_id: Id of the task.
        run: Number of the run.
        percent: Percentage of its full speed, 0 to 100.
        incarnation: Incarnation of the worker that the call is meant for.
    """

    worker_id: str
    address: str
    token: int
    task_id: str
    run: int
    percent: int
    incarnation: int


@dataclasses.dataclass(slots=True)
class AskAdvice:
    """Makes a daemon ask the advice service which workers may run a step.

    Attributes:
        asker: Name of the daemon.
        group: "JOB.REPETITION.STEP".
        workers: Ids of the workers in question.
        timeout_s: Time-out of the call, seconds.
    """

    asker: str
    group: str
    workers: tuple[str, ...]
    timeout_s: float


@dataclasses.dataclass(slots=True)
class WriteProgress:
    """Writes the progress of jobs atomically if this is still the owner.

    Attributes:
        batch: Number of the write, repeated in its result.
        items: Progress and expected revision by job id.
        removed: Ids of jobs whose items are deleted.
        removed_cancels: Ids of jobs whose cancellations are deleted; nothing is
            written if one of these jobs is stored.
        fleet: The fleet to store; None if unchanged.
    """

    batch: int
    items: dict[str, tuple[model.Progress, int]]
    removed: tuple[str, ...] = ()
    fleet: model.Fleet | None = None
    removed_cancels: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class ListMachines:
    """Lists the platform's machines for an owner.

    Attributes:
        token: Fencing token of the owner.
        requested_at: Steady time, seconds.
    """

    token: int
    requested_at: float


@dataclasses.dataclass(slots=True)
class BeginUpkeep:
    """Orders the upkeep of a machine; ends everything on it at once.

    Attributes:
        token: Fencing token of the owner.
        wave: Number of the wave.
        machine: Name of the machine.
    """

    token: int
    wave: int
    machine: str


@dataclasses.dataclass(slots=True)
class StoreWave:
    """Stores how far a wave is and tells the operators."""

    token: int
    progress: model.WaveProgress


@dataclasses.dataclass(slots=True)
class StoreRunTimes:
    """Stores what was learned from finished runs if this is still the owner.

    Attributes:
        token: Fencing token of the owner.
        run_times: A copy of what was learned.
    """

    token: int
    run_times: model.RunTimes


@dataclasses.dataclass(slots=True)
class Resign:
    """Gives up at once the ownership that a token stands for."""

    token: int
    reason: str


@dataclasses.dataclass(slots=True)
class Decision:
    """Logs a decision.

    Attributes:
        rule: Name of the decision.
        job_id: Id of the job concerned; empty if none.
        task_id: Id of the task concerned; empty if none.
        fields: Inputs and outcome of the decision.
    """

    rule: str
    job_id: str
    task_id: str
    fields: dict


def log_decision(
    out: list, rule: str, job_id: str = "", task_id: str = "", **fields: Any
) -> None:
    """Appends a `Decision` to the effects."""
    out.append(Decision(rule, job_id, task_id, fields))
