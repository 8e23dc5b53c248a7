"""Everything that the job scheduler may have done; its only output."""

import dataclasses
from typing import Any

from mimosaridge_core.jobs import model


@dataclasses.dataclass(slots=True)
class Hold:
    """Renews a worker's lease and asks for its runs.

    Attributes:
        worker_id: The worker.
        address: IP:PORT.
        token: The owner's fencing token.
        noted: Ends up to this number may be forgotten.
        lease_until_ms: End of the lease on the worker's clock; 0 to only look.
        wait_ms: How long the worker may wait for an end.
        life: The worker's life that it is meant for.
    """

    worker_id: str
    address: str
    token: int
    noted: int
    lease_until_ms: int
    wait_ms: int
    life: int


@dataclasses.dataclass(slots=True)
class Start:
    """Starts a task.

    Attributes:
        worker_id: The worker.
        address: IP:PORT.
        token: The owner's fencing token.
        task_id: The task.
        run: Number of the run.
        content: What it runs.
        saved: Checkpoint that it goes on from; empty for none.
        ticket: Ticket of the advice service; empty for none.
        start_before_ms: When the worker must refuse it, on its own clock.
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


@dataclasses.dataclass(slots=True)
class Stop:
    """Stops a run, or makes a start that may still arrive fail."""

    worker_id: str
    address: str
    token: int
    task_id: str
    run: int


@dataclasses.dataclass(slots=True)
class AskAdvice:
    """Has a daemon ask which workers may run a step.

    Attributes:
        asker: The daemon.
        group: "JOB.REPETITION.STEP".
        workers: Ids of the workers.
        timeout_s: When to give up.
    """

    asker: str
    group: str
    workers: tuple[str, ...]
    timeout_s: float


@dataclasses.dataclass(slots=True)
class WriteProgress:
    """Writes the progress of jobs, all or none, if this is still the owner.

    Attributes:
        batch: Names the write in its answer.
        items: Progress and expected revision by job id.
        removed: Ids of jobs whose items are removed.
        fleet: The workers that are used; None if unchanged.
    """

    batch: int
    items: dict[str, tuple[model.Progress, int]]
    removed: tuple[str, ...] = ()
    fleet: model.Fleet | None = None


@dataclasses.dataclass(slots=True)
class Resign:
    """Gives the ownership of a token up at once."""

    token: int
    reason: str


@dataclasses.dataclass(slots=True)
class Decision:
    """A decision for the log.

    Attributes:
        rule: What was decided.
        job_id: Job that it is about; empty if none.
        task_id: Task that it is about; empty if none.
        fields: Inputs and outcome.
    """

    rule: str
    job_id: str
    task_id: str
    fields: dict


def note(
    out: list, rule: str, job_id: str = "", task_id: str = "", **fields: Any
) -> None:
    """Adds a decision to the effects."""
    out.append(Decision(rule, job_id, task_id, fields))
