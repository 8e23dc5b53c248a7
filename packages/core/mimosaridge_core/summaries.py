"""What an owner tells its peers of a shard."""

from mimosaridge_core import configuration
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import state

NEAR_LIMIT = 0.8


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
    stays = not worker.leaving and not worker.out_of_service
    known = worker.claimed and worker.listed
    return known and worker.reachable and stays


def is_known(st: state.State, worker: state.Worker) -> bool:
    """Tells whether all that a worker may run under old leases is known."""
    return worker.claimed or worker.lease_ends < st.now


def all_known(st: state.State, shard: state.Shard) -> bool:
    """Tells whether all that the shard's workers may run is known."""
    return all(
        is_known(st, shard.workers[worker_id])
        for worker_id in shard.unclaimed
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
        [worker.host for worker in shard.workers.values() if not worker.listed],
    )


def summarize_all(
    st: state.State, with_teams: bool
) -> list[messages.ShardSummary]:
    """Describes all own shards for a heartbeat.

    What teams use is told as one sum, in the first summary: of all teams, or
    else of those near their upper limit for which it has changed.
    """
    summaries = [summarize(st, shard, False) for shard in st.shards.values()]
    if not summaries:
        return summaries
    used = _use_of_all(st)
    if with_teams:
        st.reported_use = used
    else:
        used = _changed_near_limit(st, used)
        st.reported_use = st.reported_use | used
    summaries[0].team_use = used
    return summaries


def _use_of_all(st: state.State) -> dict[str, resources.Resources]:
    used: dict[str, resources.Resources] = {}
    for shard in st.shards.values():
        for team, amount in shard.team_use.items():
            used[team] = used.get(team, resources.ZERO) + amount
    return used


def _changed_near_limit(
    st: state.State, used: dict[str, resources.Resources]
) -> dict[str, resources.Resources]:
    changed = {}
    for name, amount in used.items():
        told = st.reported_use.get(name, resources.ZERO)
        team = st.config.teams.get(name)
        if amount == told or team is None:
            continue
        if team.upper_limit != resources.ZERO and _is_near_limit(
            st, team, widest(amount, told)
        ):
            changed[name] = amount
    return changed


def _is_near_limit(
    st: state.State, team: configuration.Team, own: resources.Resources
) -> bool:
    """Tells whether the fleet's use, as last heard, is near a team's limit."""
    for member in st.members.values():
        for summary in member.summaries.values():
            own = own + summary.team_use.get(team.name, resources.ZERO)
    return own.dominant_fraction(team.upper_limit) >= NEAR_LIMIT
