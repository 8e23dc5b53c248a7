"""Dividing a team's upper limit among the shards.

Functions here alter a draft of the team's document, and only the parts of
this daemon's own shards; allowances.py writes the draft.
"""

from collections.abc import Iterator

from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import limits
from mimosaridge_core import overuse
from mimosaridge_core import resources
from mimosaridge_core import rooms
from mimosaridge_core import shards
from mimosaridge_core import state
from mimosaridge_core import summaries

GROWTH_FACTORS = (16, 4)
POOL_FRACTION = 4


def own_shards(st: state.State) -> Iterator[state.Shard]:
    """Yields own shards in which all that may run is known."""
    for shard in st.shards.values():
        if shard.releasing or shard.name not in st.partition_names:
            continue
        if all(
            summaries.is_fully_reported(st, w) for w in shard.workers.values()
        ):
            yield shard


def use(shard: state.Shard, team: configuration.Team) -> resources.Resources:
    """Returns what a shard runs for a team."""
    return shard.team_use.get(team.name, resources.ZERO)


def count_use(
    st: state.State,
    team: configuration.Team,
    book: limits.Book,
    draft: documents.Allowances,
) -> None:
    """Makes the parts of own shards cover what runs, under their epochs.

    A part may always grow to cover what runs; the limit is then exceeded and
    nothing else grows.
    """
    active = book.wanted or book.asked or book.over_since
    for shard in own_shards(st):
        used = use(shard, team)
        part = draft.parts.get(shard.name)
        idle = used == resources.ZERO and shard.name not in book.wanted
        if part is None and idle and not limits.since(team, draft):
            continue
        if part is None or part.number < limits.since(team, draft):
            counted = documents.Part(shard.epoch, st.config.number, used)
            draft.parts[shard.name] = counted
            continue
        bound = limits.unlimited_where(team.upper_limit, part.amount)
        if part.epoch > shard.epoch:
            continue
        if not used.fits(bound) or active and part.epoch < shard.epoch:
            draft.parts[shard.name] = documents.Part(
                shard.epoch, part.number, part.amount.at_least(used)
            )


def leave_vanishing(
    st: state.State, team: configuration.Team, draft: documents.Allowances
) -> None:
    """Gives up what own shards that no longer exist don't use."""
    for shard in st.shards.values():
        part = draft.parts.get(shard.name)
        if shard.name in st.partition_names or part is None:
            continue
        if part.epoch == shard.epoch:
            _resize(draft, shard.name, part.amount.at_most(use(shard, team)))


def drop_vanished(
    st: state.State, book: limits.Book, draft: documents.Allowances
) -> None:
    """Drops parts of shards that have surely no owner and run nothing."""
    if not st.listed or not st.partition_names:
        return
    for name in list(draft.parts):
        if name in st.partition_names or name in st.known_owners:
            book.vanished.pop(name, None)
            continue
        since = book.vanished.setdefault(name, st.now)
        if shards.lease_end(st, since) <= st.now:
            del draft.parts[name]
            del book.vanished[name]


def all_counted(
    st: state.State, team: configuration.Team, draft: documents.Allowances
) -> bool:
    """Tells whether the parts cover all that runs anywhere.

    A team that never ran without its limit runs only what a part covered.
    """
    if not limits.since(team, draft):
        return True
    for name in st.partition_names:
        if not name.startswith(rooms.PREFIX):
            continue
        part = draft.parts.get(name)
        if part is None or part.number < limits.since(team, draft):
            return False
    return True


def _mine(
    st: state.State, team: configuration.Team, draft: documents.Allowances
) -> Iterator[tuple[state.Shard, documents.Part]]:
    for shard in own_shards(st):
        part = draft.parts.get(shard.name)
        if part is None or part.epoch != shard.epoch:
            continue
        if part.number >= limits.since(team, draft):
            yield shard, part


def _resize(
    draft: documents.Allowances, name: str, amount: resources.Resources
) -> None:
    part = draft.parts[name]
    draft.parts[name] = documents.Part(part.epoch, part.number, amount)


def shrink(
    st: state.State,
    team: configuration.Team,
    book: limits.Book,
    draft: documents.Allowances,
    out: list,
) -> None:
    """Gives up what is not in use; later stops what exceeds the limit."""
    for shard, part in list(_mine(st, team, draft)):
        _resize(draft, shard.name, part.amount.at_most(use(shard, team)))
    if not book.over_since:
        book.over_since = st.now
    elif st.now - book.over_since >= overuse.PATIENCE_S:
        names = frozenset(st.partition_names)
        live = limits.total(draft, names)
        for shard, part in _mine(st, team, draft):
            overuse.stop(st, shard, team, part.amount, live, out)


def give(
    st: state.State,
    team: configuration.Team,
    book: limits.Book,
    draft: documents.Allowances,
) -> list[str]:
    """Gives up half of what is unused, or as much as was asked for."""
    asked = dict(book.asked)
    book.asked.clear()
    for needs in asked.values():
        for shard, part in list(_mine(st, team, draft)):
            if shard.name in book.wanted:
                continue
            spare = part.amount - use(shard, team)
            given = spare.at_most(needs.at_least(spare.halved()))
            _resize(draft, shard.name, part.amount - given)
            if needs.fits(given):
                break
    return sorted(asked)


def grow(
    st: state.State,
    team: configuration.Team,
    book: limits.Book,
    draft: documents.Allowances,
) -> None:
    """Adds to the parts of own shards in which tasks wait for it."""
    for shard, _ in list(_mine(st, team, draft)):
        needs = book.wanted.get(shard.name)
        if needs is None:
            continue
        for factor in GROWTH_FACTORS:
            if _grow_by(team, draft, shard, needs.times(factor), True):
                break
        else:
            if not _grow_by(team, draft, shard, needs, False):
                _gather(st, team, book, draft)
                _grow_by(team, draft, shard, needs, False)


def _grow_by(
    team: configuration.Team,
    draft: documents.Allowances,
    shard: state.Shard,
    needs: resources.Resources,
    sparing: bool,
) -> bool:
    """Grows a part if the unassigned rest of the limit allows it."""
    amount = draft.parts[shard.name].amount
    grown = amount.at_least(use(shard, team) + needs)
    growth = grown - amount
    pool = limits.bounds(team.upper_limit) - limits.total(draft)
    demand = growth.times(POOL_FRACTION) if sparing else growth
    if not demand.fits(pool):
        return False
    _resize(draft, shard.name, grown)
    return True


def _gather(
    st: state.State,
    team: configuration.Team,
    book: limits.Book,
    draft: documents.Allowances,
) -> None:
    """Gives up what own shards without waiting tasks don't use."""
    for shard, part in list(_mine(st, team, draft)):
        if shard.name not in book.wanted:
            _resize(draft, shard.name, part.amount.at_most(use(shard, team)))
