"""Preemption of batch tasks by urgent tasks.

A preempted task writes a checkpoint, returns to its home and resumes from the
checkpoint on another worker. Meanwhile its worker is reserved for the urgent
task.
"""

from collections.abc import Iterator
import itertools

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import fairness
from mimosaridge_core import queueing
from mimosaridge_core import reservations
from mimosaridge_core import resources
from mimosaridge_core import starting
from mimosaridge_core import state
from mimosaridge_core import stopping
from mimosaridge_core import summaries
from mimosaridge_core import works

MAX_SAMPLED_WORKERS = 24
RESERVATION_S = 2.0


def make_room(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.WaitingTask,
    out: list,
) -> None:
    """Stops the fewest and newest batch tasks that make a task fit."""
    task = waiting.task
    if task.urgency != works.Urgency.URGENT or waiting.hold:
        return
    if reservations.is_reserved(shard, waiting):
        return
    if not fairness.within_limit(st, shard, task):
        return
    if _place_on_drained(st, shard, waiting, out):
        return
    best = min(
        _candidates(st, shard, task),
        key=lambda candidate: candidate[0],
        default=None,
    )
    if best is None:
        return
    _, worker, victims = best
    reservations.reserve(shard, worker, waiting, st.now + RESERVATION_S)
    for victim in victims:
        stopping.stop(
            st,
            shard,
            worker,
            victim,
            codes.Code.PREEMPTED,
            account.Rule.PREEMPTION,
            f"Stopped with a checkpoint for urgent task {task.task_id}.",
            out,
        )


def _place_on_drained(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.WaitingTask,
    out: list,
) -> bool:
    """Places an urgent task on a worker drained for a non-urgent task.

    Returns:
        Whether the task was placed.
    """
    task = waiting.task
    for worker in reservations.drained(shard):
        fits = task.needs.fits(worker.free) and summaries.accepts_tasks(worker)
        if fits and task.endpoint in ("", worker.host.endpoint):
            starting.place(st, shard, waiting, worker, out)
            return True
    return False


def should_move(
    st: state.State, shard: state.Shard, waiting: queueing.WaitingTask
) -> bool:
    """Returns whether another shard should preempt for an urgent task."""
    return (
        waiting.task.urgency == works.Urgency.URGENT
        and not waiting.hold
        and not reservations.is_reserved(shard, waiting)
    )


Candidate = tuple[tuple[int, float], state.Worker, list[state.Placed]]


def _candidates(
    st: state.State, shard: state.Shard, task: works.Task
) -> Iterator[Candidate]:
    """Yields workers that a task could fit on, with cost and victims."""
    for worker in _sample_workers(st, shard, task.endpoint):
        victims = _victims(worker, task)
        if victims is not None:
            earliest = min(
                (item.task.submitted_at for item in victims), default=st.now
            )
            yield (len(victims), -earliest), worker, victims


def _sample_workers(
    st: state.State, shard: state.Shard, endpoint: str
) -> Iterator[state.Worker]:
    for name, pool in shard.index.pools.items():
        if endpoint not in ("", name) or not pool.free:
            continue
        offset = st.rng.randrange(len(pool.free))
        ring = itertools.chain(pool.free, pool.free)
        count = min(MAX_SAMPLED_WORKERS, len(pool.free))
        for worker_id in itertools.islice(ring, offset, offset + count):
            yield shard.workers[worker_id]
    for worker in reservations.drained(shard):
        if endpoint in ("", worker.host.endpoint):
            yield worker


def _victims(
    worker: state.Worker, task: works.Task
) -> list[state.Placed] | None:
    """Returns the tasks to stop for a task; None if it would not fit."""
    stoppable = [
        placed
        for placed in worker.placed.values()
        if _is_preemptible(placed, task)
    ]
    stoppable.sort(
        key=lambda item: (
            not item.stopping,
            -item.task.urgency,
            -item.task.submitted_at,
        )
    )
    free = worker.free
    chosen: list[state.Placed] = []
    for placed in stoppable:
        if task.needs.fits(free):
            break
        free = free + placed.task.needs
        chosen.append(placed)
    if not task.needs.fits(free):
        return None
    return [item for item in chosen if _is_needed(item, chosen, worker, task)]


def _is_needed(
    item: state.Placed,
    chosen: list[state.Placed],
    worker: state.Worker,
    task: works.Task,
) -> bool:
    """Returns whether a task would not fit if one victim kept running."""
    others = [other.task.needs for other in chosen if other is not item]
    return not task.needs.fits(worker.free + resources.total(others))


def _is_preemptible(placed: state.Placed, task: works.Task) -> bool:
    """Returns whether a placed task may be preempted for another."""
    return (
        placed.task.kind == works.Kind.BATCH
        and placed.task.idempotent
        and placed.task.urgency > task.urgency
        and placed.phase == works.Phase.RUNNING
    )
