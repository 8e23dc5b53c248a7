"""Making room for urgent tasks by stopping less urgent batch tasks.

A stopped task writes a checkpoint, goes back to its home and goes on from
there on another worker. The worker is reserved for the urgent task meanwhile.
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

SCANNED_WORKERS = 24
RESERVED_S = 2.0


def make_room(
    st: state.State, shard: state.Shard, waiting: queueing.Waiting, out: list
) -> None:
    """Stops the fewest and newest batch tasks that give a task its room."""
    task = waiting.task
    if task.urgency != works.Urgency.URGENT or waiting.hold:
        return
    if reservations.is_reserved(shard, waiting):
        return
    if not fairness.within_limit(st, shard, task):
        return
    if _takes_drained(st, shard, waiting, out):
        return
    best = min(
        _offers(st, shard, task), key=lambda offer: offer[0], default=None
    )
    if best is None:
        return
    _, worker, victims = best
    reservations.reserve(shard, worker, waiting, st.now + RESERVED_S)
    for victim in victims:
        stopping.stop(
            st,
            shard,
            worker,
            victim,
            codes.Code.PREEMPTED,
            account.Rule.PREEMPTION,
            f"Stopped with a checkpoint for urgent {task.task_id}.",
            out,
        )


def _takes_drained(
    st: state.State, shard: state.Shard, waiting: queueing.Waiting, out: list
) -> bool:
    """Places an urgent task on a worker that is drained for a gang."""
    task = waiting.task
    for worker in reservations.drained(shard):
        fits = task.needs.fits(worker.free) and summaries.accepts_tasks(worker)
        if fits and task.endpoint in ("", worker.host.endpoint):
            starting.place(st, shard, waiting, worker, out)
            return True
    return False


def passes_on(
    st: state.State, shard: state.Shard, waiting: queueing.Waiting
) -> bool:
    """Tells whether another shard should make room for an urgent task."""
    return (
        waiting.task.urgency == works.Urgency.URGENT
        and not waiting.hold
        and not reservations.is_reserved(shard, waiting)
    )


Offer = tuple[tuple[int, float], state.Worker, list[state.Placed]]


def _offers(
    st: state.State, shard: state.Shard, task: works.Task
) -> Iterator[Offer]:
    """Yields workers that could make room, with their cost and victims."""
    for worker in _scanned(st, shard, task.endpoint):
        victims = _victims(worker, task)
        if victims is not None:
            latest = min(
                (item.task.submitted_at for item in victims), default=st.now
            )
            yield (len(victims), -latest), worker, victims


def _scanned(
    st: state.State, shard: state.Shard, endpoint: str
) -> Iterator[state.Worker]:
    for name, pool in shard.index.pools.items():
        if endpoint not in ("", name) or not pool.free:
            continue
        offset = st.rng.randrange(len(pool.free))
        ring = itertools.chain(pool.free, pool.free)
        count = min(SCANNED_WORKERS, len(pool.free))
        for worker_id in itertools.islice(ring, offset, offset + count):
            yield shard.workers[worker_id]
    for worker in reservations.drained(shard):
        if endpoint in ("", worker.host.endpoint):
            yield worker


def _victims(
    worker: state.Worker, task: works.Task
) -> list[state.Placed] | None:
    """Returns what has to stop for a task; None if that is not enough."""
    stoppable = [
        placed for placed in worker.placed.values() if _yields(placed, task)
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
    return [item for item in chosen if _helps(item, chosen, worker, task)]


def _helps(
    item: state.Placed,
    chosen: list[state.Placed],
    worker: state.Worker,
    task: works.Task,
) -> bool:
    """Tells whether a task would lack room if one victim went on."""
    others = [other.task.needs for other in chosen if other is not item]
    return not task.needs.fits(worker.free + resources.total(others))


def _yields(placed: state.Placed, task: works.Task) -> bool:
    """Tells whether a placed task may be stopped for another."""
    return (
        placed.task.kind == works.Kind.BATCH
        and placed.task.idempotent
        and placed.task.urgency > task.urgency
        and placed.phase == works.Phase.RUNNING
    )
