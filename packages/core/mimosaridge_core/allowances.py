"""Moving allowances of upper limits between shards.

Each team has one document in the store, changed by compare-and-swap. A shard's
owner alone changes the shard's part: it keeps to a smaller part before it
writes it, and uses a larger one only after the store confirmed it. A part is
only used under the epoch that it carries, so that a new owner shuts out late
writes of its predecessor. docs/design/0041-allowances.md weighs the ways.
"""

from collections.abc import Iterator
import dataclasses

from mimosaridge_core import configuration
from mimosaridge_core import dispatch
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import limits
from mimosaridge_core import messages
from mimosaridge_core import overuse
from mimosaridge_core import resources
from mimosaridge_core import scheduling
from mimosaridge_core import shards
from mimosaridge_core import state
from mimosaridge_core import summaries

LOOK_S = 1.0
RETRY_S = 0.2
CALLS_PER_S = 20.0
CALLS_BURST = 20.0
GROWTH_FACTORS = (16, 4)
POOL_FRACTION = 4


@dataclasses.dataclass(slots=True)
class AllowanceRead:
    """A team's document is being read."""

    team: str


@dataclasses.dataclass(slots=True)
class AllowanceWritten:
    """A team's document is being written.

    Attributes:
        team: The team.
        notify: Daemons that are told once it is written.
    """

    team: str
    notify: list[str]


@dispatch.when_configured
def _configured(st: state.State, out: list) -> None:
    for team in st.config.teams.values():
        if team.upper_limit != resources.ZERO:
            st.books.setdefault(team.name, limits.Book()).look_at = st.now


@dispatch.when_hosts_listed
def _hosts_listed(st: state.State, out: list) -> None:
    for book in st.books.values():
        _refresh(st, book)


@dispatch.receives(messages.AskAllowance)
def _asked(
    st: state.State, sender: str, message: messages.AskAllowance, out: list
) -> None:
    book = st.books.get(message.team)
    if book is not None:
        book.asked[sender] = message.needs
        book.look_at = min(book.look_at, st.now)


@dispatch.receives(messages.AllowanceFreed)
def _freed(
    st: state.State, sender: str, message: messages.AllowanceFreed, out: list
) -> None:
    book = st.books.get(message.team)
    if book is not None:
        book.loaded = False
        book.look_at = st.now


# Calls to the store.


def _may_call(st: state.State) -> bool:
    earned = (st.now - st.store_calls_at) * CALLS_PER_S
    st.store_calls = min(CALLS_BURST, st.store_calls + earned)
    st.store_calls_at = st.now
    return st.store_calls >= 1.0


def _read(st: state.State, team: str, book: limits.Book, out: list) -> None:
    st.store_calls -= 1.0
    book.busy = True
    number = st.next_number()
    st.operations[number] = AllowanceRead(team)
    out.append(effects.StoreRead(number, documents.ALLOWANCES + team))


def _write(
    st: state.State,
    team: str,
    book: limits.Book,
    notify: list[str],
    out: list,
) -> None:
    st.store_calls -= 1.0
    book.busy = True
    number = st.next_number()
    st.operations[number] = AllowanceWritten(team, notify)
    key = documents.ALLOWANCES + team
    out.append(effects.StoreWrite(number, key, book.pending, book.revision))


@dispatch.answers(AllowanceRead)
def _was_read(
    st: state.State,
    operation: AllowanceRead,
    event: events.StoreAnswered,
    out: list,
) -> None:
    book = st.books.get(operation.team)
    if book is None:
        return
    book.busy = False
    if event.result == "unknown":
        book.look_at = st.now + RETRY_S
        return
    book.document = event.value or documents.Allowances()
    book.revision = event.revision
    book.pending = None
    book.loaded = True
    book.look_at = st.now
    _refresh(st, book)


@dispatch.answers(AllowanceWritten)
def _was_written(
    st: state.State,
    operation: AllowanceWritten,
    event: events.StoreAnswered,
    out: list,
) -> None:
    book = st.books.get(operation.team)
    if book is None:
        return
    book.busy = False
    if event.result != "ok":
        # A lost write may land until the key has another revision, so it is
        # sent again as it was; a conflict shows that it no longer can.
        book.loaded = event.result == "unknown"
        book.look_at = st.now + st.rng.uniform(0.0, RETRY_S)
        return
    book.document = book.pending
    book.pending = None
    book.revision = event.revision
    book.look_at = st.now
    _refresh(st, book)
    for daemon in operation.notify:
        freed = messages.AllowanceFreed(operation.team)
        out.append(effects.SendPeer(daemon, freed))
    _serve_waiting(st, book, out)


def _refresh(st: state.State, book: limits.Book) -> None:
    book.live = limits.total(book.document, frozenset(st.partition_names))


def _serve_waiting(st: state.State, book: limits.Book, out: list) -> None:
    waiting = list(book.wanted)
    book.wanted.clear()
    for name in waiting:
        if name in st.shards:
            scheduling.schedule(st, st.shards[name], out)


# Decisions.


@dispatch.every_tick
def _look_at_due(st: state.State, out: list) -> None:
    due = [
        name
        for name, book in st.books.items()
        if book.look_at <= st.now and not book.busy
    ]
    due.sort(key=lambda name: not st.books[name].wanted)
    for name in due:
        if not _may_call(st):
            return
        _look(st, name, out)


def _look(st: state.State, name: str, out: list) -> None:
    book = st.books[name]
    team = st.config.teams.get(name)
    if team is None or team.upper_limit == resources.ZERO:
        del st.books[name]
        return
    book.look_at = st.now + LOOK_S
    if not book.loaded:
        _read(st, name, book, out)
    elif book.pending is not None:
        _write(st, name, book, [], out)
    elif book.document.number > st.config.number:
        book.look_at = st.now + RETRY_S
    else:
        _decide(st, team, book, out)


def _decide(
    st: state.State, team: configuration.Team, book: limits.Book, out: list
) -> None:
    draft = documents.Allowances(st.config.number, dict(book.document.parts))
    _count_use(st, team, book, draft)
    _leave_vanishing(st, team, draft)
    _drop_vanished(st, book, draft)
    names = frozenset(st.partition_names)
    notify: list[str] = []
    if not limits.within(limits.total(draft, names), team.upper_limit):
        _shrink(st, team, book, draft, out)
    else:
        book.over_since = 0.0
        notify = _give(st, team, book, draft)
        if _all_counted(st, team, draft):
            _grow(st, team, book, draft)
    if draft.parts != book.document.parts:
        book.pending = draft
        _write(st, team.name, book, notify, out)
        return
    for daemon in notify:
        freed = messages.AllowanceFreed(team.name)
        out.append(effects.SendPeer(daemon, freed))
    _wait(st, team, book, out)


def _own_shards(st: state.State) -> Iterator[state.Shard]:
    """Yields own shards in which all that may run is known."""
    for shard in st.shards.values():
        if shard.releasing or shard.name not in st.partition_names:
            continue
        if all(summaries.is_known(st, w) for w in shard.workers.values()):
            yield shard


def _use(shard: state.Shard, team: configuration.Team) -> resources.Resources:
    return shard.team_use.get(team.name, resources.ZERO)


def _count_use(
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
    for shard in _own_shards(st):
        used = _use(shard, team)
        part = draft.parts.get(shard.name)
        if part is None or part.number < team.limited_since:
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


def _leave_vanishing(
    st: state.State, team: configuration.Team, draft: documents.Allowances
) -> None:
    """Gives up what own shards that no longer exist don't use."""
    for shard in st.shards.values():
        part = draft.parts.get(shard.name)
        if shard.name in st.partition_names or part is None:
            continue
        if part.epoch == shard.epoch:
            _resize(draft, shard.name, part.amount.at_most(_use(shard, team)))


def _drop_vanished(
    st: state.State, book: limits.Book, draft: documents.Allowances
) -> None:
    """Drops parts of shards that have surely no owner and run nothing."""
    if not st.listed or not st.partition_names:
        return
    for name in list(draft.parts):
        if name in st.partition_names or name in st.views:
            book.vanished.pop(name, None)
            continue
        since = book.vanished.setdefault(name, st.now)
        if shards.lease_end(st, since) <= st.now:
            del draft.parts[name]
            del book.vanished[name]


def _all_counted(
    st: state.State, team: configuration.Team, draft: documents.Allowances
) -> bool:
    """Tells whether the parts cover all that runs anywhere."""
    for name in st.partition_names:
        if not name.startswith("shard-"):
            continue
        part = draft.parts.get(name)
        if part is None or part.number < team.limited_since:
            return False
    return True


def _mine(
    st: state.State, team: configuration.Team, draft: documents.Allowances
) -> Iterator[tuple[state.Shard, documents.Part]]:
    for shard in _own_shards(st):
        part = draft.parts.get(shard.name)
        if part is None or part.epoch != shard.epoch:
            continue
        if part.number >= team.limited_since:
            yield shard, part


def _resize(
    draft: documents.Allowances, name: str, amount: resources.Resources
) -> None:
    part = draft.parts[name]
    draft.parts[name] = documents.Part(part.epoch, part.number, amount)


def _shrink(
    st: state.State,
    team: configuration.Team,
    book: limits.Book,
    draft: documents.Allowances,
    out: list,
) -> None:
    """Gives up what is not in use; later stops what exceeds the limit."""
    for shard, part in list(_mine(st, team, draft)):
        _resize(draft, shard.name, part.amount.at_most(_use(shard, team)))
    if not book.over_since:
        book.over_since = st.now
    elif st.now - book.over_since >= overuse.PATIENCE_S:
        names = frozenset(st.partition_names)
        live = limits.total(draft, names)
        for shard, part in _mine(st, team, draft):
            overuse.stop(st, shard, team, part.amount, live, out)


def _give(
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
            spare = part.amount - _use(shard, team)
            given = spare.at_most(needs.at_least(spare.halved()))
            _resize(draft, shard.name, part.amount - given)
            if needs.fits(given):
                break
    return sorted(asked)


def _grow(
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
    grown = amount.at_least(_use(shard, team) + needs)
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
            _resize(draft, shard.name, part.amount.at_most(_use(shard, team)))


def _wait(
    st: state.State, team: configuration.Team, book: limits.Book, out: list
) -> None:
    """Nothing can be changed now: looks again later, or asks peers."""
    if book.over_since:
        book.loaded = False
        book.look_at = st.now + RETRY_S
        return
    if not book.wanted:
        return
    if not _all_counted(st, team, book.document):
        book.loaded = False
        book.look_at = st.now + RETRY_S
        return
    _drop_served(st, team, book, out)
    needs = next(iter(book.wanted.values()), None)
    if needs is None or not _free_elsewhere(st, team, needs):
        return
    book.loaded = False
    book.look_at = st.now + RETRY_S
    for member in st.members.values():
        if member.heard_until > st.now and member.summaries:
            ask = messages.AskAllowance(team.name, needs)
            out.append(effects.SendPeer(member.name, ask))


def _drop_served(
    st: state.State, team: configuration.Team, book: limits.Book, out: list
) -> None:
    """Drops demands that the parts in force already meet."""
    for name, needs in list(book.wanted.items()):
        shard = st.shards.get(name)
        if shard is None:
            del book.wanted[name]
            continue
        part = limits.part_in_force(book, name, shard.epoch, team.limited_since)
        used = _use(shard, team)
        if part is not None and limits.permits(
            book, team.upper_limit, part, used + needs
        ):
            del book.wanted[name]
            scheduling.schedule(st, shard, out)


def _free_elsewhere(
    st: state.State, team: configuration.Team, needs: resources.Resources
) -> bool:
    """Tells whether the fleet's use, as last heard, leaves room."""
    used = needs
    for shard in st.shards.values():
        used = used + _use(shard, team)
    for member in st.members.values():
        for name, summary in member.summaries.items():
            if name not in st.shards:
                used = used + summary.team_use.get(team.name, resources.ZERO)
    return limits.within(used, team.upper_limit)
