"""Reservation of workers for tasks that smaller tasks would starve."""

from mimosaridge_core import fairness
from mimosaridge_core import queueing
from mimosaridge_core import shardworkers
from mimosaridge_core import starting
from mimosaridge_core import state
from mimosaridge_core import summaries
from mimosaridge_core import works

DRAINED_WORKERS_DIVISOR = 2


def reserve(
    shard: state.Shard,
    worker: state.Worker,
    waiting: queueing.WaitingTask,
    until: float,
) -> None:
    """Reserves a worker for a task.

    The worker accepts no other task until the task is placed, at most until
    `until`, in seconds since the epoch.
    """
    key = (waiting.task.task_id, waiting.task.attempt)
    worker_id = worker.host.worker_id
    shard.reserved[worker_id] = state.Reservation(key, until)
    shardworkers.update_index(shard, worker)


def is_reserved(shard: state.Shard, waiting: queueing.WaitingTask) -> bool:
    """Returns whether a worker is reserved for a task."""
    key = (waiting.task.task_id, waiting.task.attempt)
    return any(item.key == key for item in shard.reserved.values())


def drained(shard: state.Shard) -> list[state.Worker]:
    """Returns the workers reserved for tasks that are held or not urgent."""
    found = []
    for worker_id, item in shard.reserved.items():
        waiting = shard.queue.waiting.get(item.key)
        if waiting is None or worker_id not in shard.workers:
            continue
        if waiting.task.urgency != works.Urgency.URGENT or waiting.hold:
            found.append(shard.workers[worker_id])
    return found


def drain_worker(
    st: state.State, shard: state.Shard, waiting: queueing.WaitingTask
) -> bool:
    """Reserves the emptiest worker for a task.

    At most one in DRAINED_WORKERS_DIVISOR workers, but at least one, may be
    drained.

    Returns:
        Whether a worker was reserved.
    """
    if len(drained(shard)) >= max(
        1, len(shard.workers) // DRAINED_WORKERS_DIVISOR
    ):
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


def place_reserved(st: state.State, shard: state.Shard, out: list) -> None:
    """Places tasks on their reserved workers and ends reservations."""
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
            shardworkers.update_index(shard, worker)
