"""Summaries of shards that owners send to their peers."""

from mimosaridge_core import configuration
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import state

NEAR_LIMIT_FRACTION = 0.8


def widest(
    first: resources.Resources, second: resources.Resources
) -> resources.Resources:
    """Returns the maximum of each resource."""
    return resources.Resources(
        max(first.cpu_millis, second.cpu_millis),
        max(first.memory_mib, second.memory_mib),
        max(first.accelerators, second.accelerators),
        max(first.slots, second.slots),
        max(first.connections, second.connections),
    )


def accepts_tasks(worker: state.Worker) -> bool:
    """Returns whether new tasks may be started on a worker."""
    is_staying = not worker.leaving and not worker.out_of_service
    is_known = worker.claimed and worker.listed
    return is_known and worker.reachable and is_staying


def is_fully_reported(st: state.State, worker: state.Worker) -> bool:
    """Returns whether all tasks that a worker may run are known.

    They are once the worker has reported them or its old leases have expired.
    """
    return worker.claimed or worker.lease_ends < st.now


def all_workers_reported(st: state.State, shard: state.Shard) -> bool:
    """Returns whether all tasks that a shard's workers may run are known."""
    return all(
        is_fully_reported(st, shard.workers[worker_id])
        for worker_id in shard.unclaimed
        if worker_id in shard.workers
    )


def list_rooms(shard: state.Shard) -> list[messages.Room]:
    """Returns the free resources of each endpoint, cached until a change."""
    if shard.rooms is None:
        shard.rooms = [
            _make_room(shard, endpoint, capacity)
            for endpoint, capacity in shard.capacities.items()
        ]
    return shard.rooms


def _make_room(
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
    """Returns a shard's summary; `with_teams` includes usage by team."""
    return messages.ShardSummary(
        shard.name,
        shard.zone,
        shard.epoch,
        not shard.releasing and all_workers_reported(st, shard),
        len(shard.queue),
        list_rooms(shard),
        dict(shard.team_use) if with_teams else {},
        [worker.host for worker in shard.workers.values() if not worker.listed],
    )


def summarize_all(
    st: state.State, with_teams: bool
) -> list[messages.ShardSummary]:
    """Returns the summaries of all own shards for a heartbeat.

    The first summary carries the teams' usage, summed over all own shards. It
    covers all teams if `with_teams` is set, and otherwise those near their
    upper limit whose usage has changed since it was last sent.
    """
    summaries = [summarize(st, shard, False) for shard in st.shards.values()]
    if not summaries:
        return summaries
    used = _total_use(st)
    if with_teams:
        st.reported_use = used
    else:
        used = _changed_near_limit(st, used)
        st.reported_use = st.reported_use | used
    summaries[0].team_use = used
    return summaries


def _total_use(st: state.State) -> dict[str, resources.Resources]:
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
        sent = st.reported_use.get(name, resources.ZERO)
        team = st.config.teams.get(name)
        if amount == sent or team is None:
            continue
        if team.upper_limit != resources.ZERO and _is_near_limit(
            st, team, widest(amount, sent)
        ):
            changed[name] = amount
    return changed


def _is_near_limit(
    st: state.State, team: configuration.Team, own: resources.Resources
) -> bool:
    """Returns whether a team's usage in the fleet is near its upper limit.

    The usage in other daemons' shards is as of their latest heartbeats.
    """
    for member in st.members.values():
        for summary in member.summaries.values():
            own = own + summary.team_use.get(team.name, resources.ZERO)
    return own.dominant_fraction(team.upper_limit) >= NEAR_LIMIT_FRACTION
