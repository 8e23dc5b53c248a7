"""Division of a team's upper limit among the shards.

The functions modify a draft of the team's document, and only the parts of
shards that this daemon owns; allowances.py writes the draft to the store.
"""

from collections.abc import Iterator

from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import limits
from mimosaridge_core import overuse
from mimosaridge_core import resources
from mimosaridge_core import shards
from mimosaridge_core import shardworkers
from mimosaridge_core import state
from mimosaridge_core import summaries

GROWTH_FACTORS = (16, 4)
POOL_DIVISOR = 4


def own_shards(st: state.State) -> Iterator[state.Shard]:
    """Yields existing own shards whose workers' tasks are all known."""
    for shard in st.shards.values():
        if shard.releasing or shard.name not in st.partition_names:
            continue
        if all(
            summaries.is_fully_reported(st, w) for w in shard.workers.values()
        ):
            yield shard


def usage(shard: state.Shard, team: configuration.Team) -> resources.Resources:
    """Returns the resources that a team's tasks use in a shard."""
    return shard.team_use.get(team.name, resources.ZERO)


def cover_usage(
    st: state.State,
    team: configuration.Team,
    cache: limits.AllowanceCache,
    draft: documents.Allowances,
) -> None:
    """Raises the parts of own shards to their usage, under current epochs.

    A part may always grow to cover the usage. If the sum then exceeds the
    limit, no part grows for other reasons.
    """
    active = cache.shard_needs or cache.asked or cache.over_limit_since
    for shard in own_shards(st):
        used = usage(shard, team)
        part = draft.parts.get(shard.name)
        idle = used == resources.ZERO and shard.name not in cache.shard_needs
        if part is None and idle and not limits.first_valid_number(team, draft):
            continue
        if part is None or part.number < limits.first_valid_number(team, draft):
            counted = documents.Part(shard.epoch, st.config.number, used)
            draft.parts[shard.name] = counted
            continue
        bound = limits.with_unlimited(team.upper_limit, part.amount)
        if part.epoch > shard.epoch:
            continue
        if not used.fits(bound) or active and part.epoch < shard.epoch:
            draft.parts[shard.name] = documents.Part(
                shard.epoch, part.number, part.amount.at_least(used)
            )


def shrink_removed_shards(
    st: state.State, team: configuration.Team, draft: documents.Allowances
) -> None:
    """Releases unused amounts of own shards that no longer exist."""
    for shard in st.shards.values():
        part = draft.parts.get(shard.name)
        if shard.name in st.partition_names or part is None:
            continue
        if part.epoch == shard.epoch:
            _resize(draft, shard.name, part.amount.at_most(usage(shard, team)))


def drop_removed_shards(
    st: state.State, cache: limits.AllowanceCache, draft: documents.Allowances
) -> None:
    """Drops parts of removed shards after every owner's lease has ended.

    Such a shard can have no owner and no running task.
    """
    if not st.listed or not st.partition_names:
        return
    for name in list(draft.parts):
        if name in st.partition_names or name in st.known_owners:
            cache.missing_since.pop(name, None)
            continue
        since = cache.missing_since.setdefault(name, st.now)
        if shards.lease_end(st, since) <= st.now:
            del draft.parts[name]
            del cache.missing_since[name]


def all_counted(
    st: state.State, team: configuration.Team, draft: documents.Allowances
) -> bool:
    """Returns whether the parts cover the usage of all shards.

    The tasks of a team that has always had its limit are covered by parts.
    """
    if not limits.first_valid_number(team, draft):
        return True
    for name in st.partition_names:
        if not name.startswith(shardworkers.PREFIX):
            continue
        part = draft.parts.get(name)
        if part is None or part.number < limits.first_valid_number(team, draft):
            return False
    return True


def _own_parts(
    st: state.State, team: configuration.Team, draft: documents.Allowances
) -> Iterator[tuple[state.Shard, documents.Part]]:
    for shard in own_shards(st):
        part = draft.parts.get(shard.name)
        if part is None or part.epoch != shard.epoch:
            continue
        if part.number >= limits.first_valid_number(team, draft):
            yield shard, part


def _resize(
    draft: documents.Allowances, name: str, amount: resources.Resources
) -> None:
    part = draft.parts[name]
    draft.parts[name] = documents.Part(part.epoch, part.number, amount)


def shrink(
    st: state.State,
    team: configuration.Team,
    cache: limits.AllowanceCache,
    draft: documents.Allowances,
    out: list,
) -> None:
    """Releases unused amounts; later stops tasks that exceed the limit."""
    for shard, part in list(_own_parts(st, team, draft)):
        _resize(draft, shard.name, part.amount.at_most(usage(shard, team)))
    if not cache.over_limit_since:
        cache.over_limit_since = st.now
    elif st.now - cache.over_limit_since >= overuse.STOP_DELAY_S:
        names = frozenset(st.partition_names)
        live = limits.total(draft, names)
        for shard, part in _own_parts(st, team, draft):
            overuse.stop(st, shard, team, part.amount, live, out)


def release_for_peers(
    st: state.State,
    team: configuration.Team,
    cache: limits.AllowanceCache,
    draft: documents.Allowances,
) -> list[str]:
    """Releases amounts that peers asked for.

    Releases half of a part's unused amount, or as much of it as was asked for
    if that is more.

    Returns:
        The daemons that asked, sorted.
    """
    asked = dict(cache.asked)
    cache.asked.clear()
    for needs in asked.values():
        for shard, part in list(_own_parts(st, team, draft)):
            if shard.name in cache.shard_needs:
                continue
            spare = part.amount - usage(shard, team)
            given = spare.at_most(needs.at_least(spare.halved()))
            _resize(draft, shard.name, part.amount - given)
            if needs.fits(given):
                break
    return sorted(asked)


def grow(
    st: state.State,
    team: configuration.Team,
    cache: limits.AllowanceCache,
    draft: documents.Allowances,
) -> None:
    """Raises the parts of own shards in which tasks wait for the limit."""
    for shard, _ in list(_own_parts(st, team, draft)):
        needs = cache.shard_needs.get(shard.name)
        if needs is None:
            continue
        for factor in GROWTH_FACTORS:
            if _grow_by(team, draft, shard, needs.times(factor), True):
                break
        else:
            if not _grow_by(team, draft, shard, needs, False):
                _release_idle(st, team, cache, draft)
                _grow_by(team, draft, shard, needs, False)


def _grow_by(
    team: configuration.Team,
    draft: documents.Allowances,
    shard: state.Shard,
    needs: resources.Resources,
    keep_reserve: bool,
) -> bool:
    """Raises a part if the unassigned rest of the limit is large enough.

    With keep_reserve, the growth may take at most 1/POOL_DIVISOR of the rest.

    Returns:
        Whether the part was raised.
    """
    amount = draft.parts[shard.name].amount
    grown = amount.at_least(usage(shard, team) + needs)
    growth = grown - amount
    pool = limits.bounds(team.upper_limit) - limits.total(draft)
    demand = growth.times(POOL_DIVISOR) if keep_reserve else growth
    if not demand.fits(pool):
        return False
    _resize(draft, shard.name, grown)
    return True


def _release_idle(
    st: state.State,
    team: configuration.Team,
    cache: limits.AllowanceCache,
    draft: documents.Allowances,
) -> None:
    """Releases unused amounts of own shards without waiting tasks."""
    for shard, part in list(_own_parts(st, team, draft)):
        if shard.name not in cache.shard_needs:
            _resize(draft, shard.name, part.amount.at_most(usage(shard, team)))
