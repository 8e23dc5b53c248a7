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
    return (
        worker.heard
        and worker.reachable
        and worker.listed
        and not worker.leaving
    )


def is_known(st: state.State, worker: state.Worker) -> bool:
    """Tells whether all that a worker may run under old leases is known."""
    return worker.heard or worker.lease_ends < st.now


def summarize(st: state.State, shard: state.Shard) -> messages.ShardSummary:
    """Describes a shard."""
    rooms: dict[str, messages.Room] = {}
    for worker in shard.workers.values():
        endpoint = worker.host.endpoint
        room = rooms.get(endpoint)
        if room is None:
            room = messages.Room(endpoint, *(resources.ZERO,) * 4)
            rooms[endpoint] = room
        room.capacity = room.capacity + worker.host.capacity
        room.widest = widest(room.widest, worker.host.capacity)
        if takes_work(worker):
            room.free = room.free + worker.free
            room.widest_free = widest(room.widest_free, worker.free)
    ready = not shard.releasing and all(
        is_known(st, worker) for worker in shard.workers.values()
    )
    return messages.ShardSummary(
        shard.name,
        shard.zone,
        shard.epoch,
        ready,
        len(shard.queue),
        list(rooms.values()),
        dict(shard.team_use),
        [worker.host for worker in shard.workers.values() if not worker.listed],
    )
