"""Room on the workers of a shard, and which worker is in which shard."""

from mimosaridge_core import events
from mimosaridge_core import hashing
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import summaries

PREFIX = "shard-"


def shard_of(host: events.Host, shards_per_zone: int) -> str:
    """Returns the shard of a worker."""
    position = hashing.number_of(host.worker_id) % shards_per_zone
    return f"{PREFIX}{host.zone}-{position}"


def zone_of(shard: str) -> str:
    """Returns the availability zone of a shard's workers."""
    return shard.removeprefix(PREFIX).rpartition("-")[0]


def find_worker(
    st: state.State, worker_id: str, epoch: int
) -> tuple[state.Shard, state.Worker] | None:
    """Returns a worker that this daemon owns under an epoch, with its shard."""
    for shard in st.shards.values():
        if shard.epoch == epoch and worker_id in shard.workers:
            return shard, shard.workers[worker_id]
    return None


def take_room(
    shard: state.Shard, worker: state.Worker, placed: state.Placed
) -> None:
    """Counts a task against its worker and its team."""
    task = placed.task
    key = (task.task_id, task.attempt)
    worker.placed[key] = placed
    worker.free = worker.free - task.needs
    if not placed.orphaned:
        shard.placed_on[key] = worker.host.worker_id
    used = shard.team_use.get(task.team, resources.ZERO)
    shard.team_use[task.team] = used + task.needs
    reindex(shard, worker)


def give_room(
    shard: state.Shard, worker: state.Worker, key: state.TaskKey
) -> state.Placed | None:
    """Returns a task's room; does nothing if it takes none."""
    placed = worker.placed.pop(key, None)
    if placed is None:
        return None
    task = placed.task
    worker.free = worker.free + task.needs
    if not placed.orphaned:
        shard.placed_on.pop(key, None)
    shard.team_use[task.team] = shard.team_use[task.team] - task.needs
    reindex(shard, worker)
    return placed


def reindex(shard: state.Shard, worker: state.Worker) -> None:
    """Brings the placement index in line with what a worker has free."""
    host = worker.host
    shard.rooms = None
    if worker.claimed:
        shard.unclaimed.discard(host.worker_id)
    else:
        shard.unclaimed.add(host.worker_id)
    kept = (
        host.worker_id in shard.reserved or host.worker_id in shard.quarantined
    )
    if summaries.accepts_tasks(worker) and not kept:
        shard.index.put(host.endpoint, host.worker_id, worker.free)
    else:
        shard.index.drop(host.endpoint, host.worker_id)


def count_capacity(shard: state.Shard) -> None:
    """Sums up what the workers of a shard have, after any came or went."""
    shard.rooms = None
    shard.capacities = {}
    for worker in shard.workers.values():
        host = worker.host
        known = shard.capacities.setdefault(host.endpoint, state.Capacity())
        known.total = known.total + host.capacity
        known.widest = summaries.widest(known.widest, host.capacity)
