"""What an owner tells its peers of a shard."""

from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import state


def widest(
    one: resources.Resources, other: resources.Resources
) -> resources.Resources:
    """Returns the larger amount of each resource."""
    return resources.Resources(
        max(one.cpu_millis, other.cpu_millis),
        max(one.memory_mib, other.memory_mib),
        max(one.accelerators, other.accelerators),
        max(one.slots, other.slots),
        max(one.connections, other.connections),
    )


def takes_work(worker: state.Worker) -> bool:
    """Tells whether new tasks may start on a worker."""
    return worker.heard and worker.reachable and not worker.leaving


def is_known(st: state.State, worker: state.Worker) -> bool:
    """Tells whether all that a worker may run under old leases is known."""
    return worker.heard or worker.lease_ends < st.now


def all_known(st: state.State, shard: state.Shard) -> bool:
    """Tells whether all that the shard's workers may run is known."""
    return all(
        is_known(st, shard.workers[worker_id])
        for worker_id in shard.unheard
        if worker_id in shard.workers
    )


def rooms_of(shard: state.Shard) -> list[messages.Room]:
    """Returns what each endpoint has left, summed up anew after a change."""
    if shard.rooms is None:
        shard.rooms = [
            _room(shard, endpoint, capacity)
            for endpoint, capacity in shard.capacities.items()
        ]
    return shard.rooms


def _room(
    shard: state.Shard, endpoint: str, capacity: state.Capacity
) -> messages.Room:
    pool = shard.index.pools.get(endpoint)
    free = pool.total if pool else resources.ZERO
    widest_free = pool.widest() if pool else resources.ZERO
    return messages.Room(
        endpoint, free, capacity.total, widest_free, capacity.widest
    )


def summarize(
    st: state.State, shard: state.Shard, with_teams: bool = True
) -> messages.ShardSummary:
    """Describes a shard; what teams use only if that is asked for."""
    return messages.ShardSummary(
        shard.name,
        shard.zone,
        shard.epoch,
        not shard.releasing and all_known(st, shard),
        len(shard.queue),
        rooms_of(shard),
        dict(shard.team_use) if with_teams else {},
    )
