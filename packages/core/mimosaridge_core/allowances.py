"""Moving allowances of upper limits between shards.

Each team has one document in the store, changed by compare-and-swap. A shard's
owner alone changes the shard's part: it keeps to a smaller part before it
writes it, and uses a larger one only after the store confirmed it. A part is
only used under the epoch that it carries, so that a new owner shuts out late
writes of its predecessor. docs/design/0041-allowances.md weighs the ways.
"""

import dataclasses

from mimosaridge_core import configuration
from mimosaridge_core import dispatch
from mimosaridge_core import division
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import limits
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import scheduling
from mimosaridge_core import state

LOOK_S = 1.0
RETRY_S = 0.2
CALLS_PER_S = 40.0
CALLS_BURST = 40.0


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
        if team.limited_since and team.upper_limit != resources.ZERO:
            st.team_allowances.setdefault(team.name, limits.Book())
    for book in st.team_allowances.values():
        book.look_at = st.now
    _find_used(st)


def _find_used(st: state.State) -> None:
    """Keeps a book for each limited team that own shards run something for."""
    for shard in st.shards.values():
        for name, used in shard.team_use.items():
            team = st.config.teams.get(name)
            if (
                name in st.team_allowances
                or used == resources.ZERO
                or team is None
            ):
                continue
            if team.upper_limit != resources.ZERO:
                st.team_allowances[name] = limits.Book()


@dispatch.when_hosts_listed
def _hosts_listed(st: state.State, out: list) -> None:
    for book in st.team_allowances.values():
        _refresh(st, book)


@dispatch.receives(messages.AskAllowance)
def _asked(
    st: state.State, sender: str, message: messages.AskAllowance, out: list
) -> None:
    team = st.config.teams.get(message.team)
    if team is not None and team.upper_limit != resources.ZERO:
        book = st.team_allowances.setdefault(message.team, limits.Book())
        book.asked[sender] = message.needs
        _doubt(book)
        book.look_at = min(book.look_at, st.now)


@dispatch.receives(messages.AllowanceFreed)
def _freed(
    st: state.State, sender: str, message: messages.AllowanceFreed, out: list
) -> None:
    book = st.team_allowances.get(message.team)
    if book is not None:
        _doubt(book)
        book.look_at = st.now


def _doubt(book: limits.Book) -> None:
    """Has the document read again, unless a write of it is not settled."""
    if book.pending is None:
        book.loaded = False


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


@dispatch.handles_store_answer(AllowanceRead)
def _was_read(
    st: state.State,
    operation: AllowanceRead,
    event: events.StoreAnswered,
    out: list,
) -> None:
    book = st.team_allowances.get(operation.team)
    if book is None:
        return
    book.busy = False
    if event.result == "unknown":
        book.look_at = st.now + RETRY_S
        return
    lost = event.value is None and (event.revision or book.revision)
    since = st.config.number if lost else 0
    book.document = event.value or documents.Allowances(since=since)
    book.revision = event.revision
    book.pending = None
    book.loaded = True
    book.look_at = st.now
    _refresh(st, book)


@dispatch.handles_store_answer(AllowanceWritten)
def _was_written(
    st: state.State,
    operation: AllowanceWritten,
    event: events.StoreAnswered,
    out: list,
) -> None:
    book = st.team_allowances.get(operation.team)
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
    if st.allowances_due_at <= st.now:
        st.allowances_due_at = st.now + LOOK_S
        _find_used(st)
    due = [
        name
        for name, book in st.team_allowances.items()
        if book.look_at <= st.now and not book.busy
    ]
    due.sort(
        key=lambda name: (
            not st.team_allowances[name].wanted,
            st.team_allowances[name].look_at,
        )
    )
    for name in due:
        if not _may_call(st):
            return
        _look(st, name, out)


def _look(st: state.State, name: str, out: list) -> None:
    book = st.team_allowances[name]
    team = st.config.teams.get(name)
    if team is None or team.upper_limit == resources.ZERO:
        del st.team_allowances[name]
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
    draft = documents.Allowances(
        st.config.number, dict(book.document.parts), book.document.since
    )
    division.count_use(st, team, book, draft)
    division.leave_vanishing(st, team, draft)
    division.drop_vanished(st, book, draft)
    names = frozenset(st.partition_names)
    notify: list[str] = []
    if not limits.within(limits.total(draft, names), team.upper_limit):
        division.shrink(st, team, book, draft, out)
    else:
        book.over_since = 0.0
        notify = division.give(st, team, book, draft)
        if division.all_counted(st, team, draft):
            division.grow(st, team, book, draft)
    if draft.parts != book.document.parts:
        book.pending = draft
        _write(st, team.name, book, notify, out)
        return
    for daemon in notify:
        freed = messages.AllowanceFreed(team.name)
        out.append(effects.SendPeer(daemon, freed))
    _wait(st, team, book, out)


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
    counted = division.all_counted(st, team, book.document)
    if counted:
        _drop_served(st, team, book, out)
    needs = next(iter(book.wanted.values()), None)
    if needs is None or counted and not _free_elsewhere(st, team, needs):
        return
    book.loaded = False
    book.look_at = st.now + RETRY_S
    for member in st.members.values():
        if member.alive_until > st.now and member.summaries:
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
        part = limits.part_in_force(book, name, shard.epoch, team)
        used = division.use(shard, team)
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
        used = used + division.use(shard, team)
    for member in st.members.values():
        for name, summary in member.summaries.items():
            if name not in st.shards:
                used = used + summary.team_use.get(team.name, resources.ZERO)
    return limits.within(used, team.upper_limit)
