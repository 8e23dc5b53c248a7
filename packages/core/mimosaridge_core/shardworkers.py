"""Assignment of workers to shards and resource accounting on them."""

from mimosaridge_core import events
from mimosaridge_core import hashing
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import summaries

PREFIX = "shard-"


def shard_of(host: events.Host, shards_per_zone: int) -> str:
    """Returns the name of the shard that a worker belongs to."""
    position = hashing.stable_hash(host.worker_id) % shards_per_zone
    return f"{PREFIX}{host.zone}-{position}"


def zone_of(shard: str) -> str:
    """Returns the availability zone of a shard's workers."""
    return shard.removeprefix(PREFIX).rpartition("-")[0]


def find_worker(
    st: state.State, worker_id: str, epoch: int
) -> tuple[state.Shard, state.Worker] | None:
    """Returns an own worker with its shard; None if not owned in the epoch."""
    for shard in st.shards.values():
        if shard.epoch == epoch and worker_id in shard.workers:
            return shard, shard.workers[worker_id]
    return None


def allocate(
    shard: state.Shard, worker: state.Worker, placed: state.Placed
) -> None:
    """Allocates a task's resources on its worker and to its team."""
    task = placed.task
    key = (task.task_id, task.attempt)
    worker.placed[key] = placed
    worker.free = worker.free - task.needs
    if not placed.orphaned:
        shard.placed_on[key] = worker.host.worker_id
    used = shard.team_use.get(task.team, resources.ZERO)
    shard.team_use[task.team] = used + task.needs
    update_index(shard, worker)


def release(
    shard: state.Shard, worker: state.Worker, key: state.TaskKey
) -> state.Placed | None:
    """Releases a task's resources.

    Returns:
        The task, or None if it had no resources on the worker.
    """
    placed = worker.placed.pop(key, None)
    if placed is None:
        return None
    task = placed.task
    worker.free = worker.free + task.needs
    if not placed.orphaned:
        shard.placed_on.pop(key, None)
    shard.team_use[task.team] = shard.team_use[task.team] - task.needs
    update_index(shard, worker)
    return placed


def update_index(shard: state.Shard, worker: state.Worker) -> None:
    """Updates the placement index after a worker's state has changed."""
    host = worker.host
    shard.rooms = None
    if worker.claimed:
        shard.unclaimed.discard(host.worker_id)
    else:
        shard.unclaimed.add(host.worker_id)
    unavailable = (
        host.worker_id in shard.reserved or host.worker_id in shard.quarantined
    )
    if summaries.accepts_tasks(worker) and not unavailable:
        shard.index.put(host.endpoint, host.worker_id, worker.free)
    else:
        shard.index.drop(host.endpoint, host.worker_id)


def update_capacities(shard: state.Shard) -> None:
    """Recomputes a shard's total capacities after its workers changed."""
    shard.rooms = None
    shard.capacities = {}
    for worker in shard.workers.values():
        host = worker.host
        totals = shard.capacities.setdefault(host.endpoint, state.Capacity())
        totals.total = totals.total + host.capacity
        totals.widest = summaries.widest(totals.widest, host.capacity)
