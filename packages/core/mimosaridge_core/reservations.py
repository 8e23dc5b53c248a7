"""Keeping workers for tasks that small work would otherwise always pass."""

from mimosaridge_core import fairness
from mimosaridge_core import queueing
from mimosaridge_core import rooms
from mimosaridge_core import starting
from mimosaridge_core import state
from mimosaridge_core import summaries
from mimosaridge_core import works

DRAINED_PART = 2


def reserve(
    shard: state.Shard,
    worker: state.Worker,
    waiting: queueing.Waiting,
    until: float,
) -> None:
    """Has a worker take nothing else until a task is placed on it."""
    key = (waiting.task.task_id, waiting.task.attempt)
    worker_id = worker.host.worker_id
    shard.reserved[worker_id] = state.Reservation(key, until)
    rooms.reindex(shard, worker)


def is_reserved(shard: state.Shard, waiting: queueing.Waiting) -> bool:
    """Tells whether a worker is kept for a task."""
    key = (waiting.task.task_id, waiting.task.attempt)
    return any(item.key == key for item in shard.reserved.values())


def drained(shard: state.Shard) -> list[state.Worker]:
    """Returns the workers that are kept for tasks that are not urgent."""
    found = []
    for worker_id, item in shard.reserved.items():
        waiting = shard.queue.waiting.get(item.key)
        if waiting is None or worker_id not in shard.workers:
            continue
        if waiting.task.urgency != works.Urgency.URGENT or waiting.hold:
            found.append(shard.workers[worker_id])
    return found


def drain_for(
    st: state.State, shard: state.Shard, waiting: queueing.Waiting
) -> bool:
    """Keeps the emptiest worker for a task; tells whether it did.

    One worker of DRAINED_PART may be kept so, and at least one.
    """
    if len(drained(shard)) >= max(1, len(shard.workers) // DRAINED_PART):
        return False
    task = waiting.task
    worker_id = shard.index.emptiest(task.endpoint)
    if worker_id is None:
        return False
    worker = shard.workers[worker_id]
    if not task.needs.fits(worker.host.capacity):
        return False
    until = min(task.start_before, st.now + st.tuning.gang_hold_s)
    if waiting.hold:
        shard.queue.extend(waiting, until)
    reserve(shard, worker, waiting, until)
    return True


def serve(st: state.State, shard: state.Shard, out: list) -> None:
    """Places tasks on workers kept for them, and ends reservations."""
    for worker_id, item in list(shard.reserved.items()):
        worker = shard.workers.get(worker_id)
        waiting = shard.queue.waiting.get(item.key)
        usable = worker is not None and summaries.accepts_tasks(worker)
        if waiting is not None and usable and item.until > st.now:
            needs = waiting.task.needs
            if not needs.fits(worker.free):
                continue
            if fairness.within_limit(st, shard, waiting.task):
                starting.place(st, shard, waiting, worker, out)
        del shard.reserved[worker_id]
        if worker is not None:
            rooms.reindex(shard, worker)
