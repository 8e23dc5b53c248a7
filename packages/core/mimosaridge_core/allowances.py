"""Transfer of upper-limit allowances between shards.

Each team has one document in the store, updated by compare-and-swap. Only the
owner of a shard changes the shard's part: it applies a smaller part before
writing it, and a larger one only after the store has confirmed the write. A
part is valid only under the epoch that it carries, so that late writes of a
previous owner have no effect. The alternatives are compared in
docs/design/0041-allowances.md.
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

CHECK_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.2
STORE_CALLS_PER_S = 40.0
STORE_CALL_BURST = 40.0


@dataclasses.dataclass(slots=True)
class AllowanceRead:
    """A pending read of a team's allowance document."""

    team: str


@dataclasses.dataclass(slots=True)
class AllowanceWritten:
    """A pending write of a team's allowance document.

    Attributes:
        team: The team.
        notify: Daemons to notify once the write is confirmed.
    """

    team: str
    notify: list[str]


@dispatch.when_configured
def _handle_configuration(st: state.State, out: list) -> None:
    for team in st.config.teams.values():
        if team.limited_since and team.upper_limit != resources.ZERO:
            st.team_allowances.setdefault(team.name, limits.AllowanceCache())
    for cache in st.team_allowances.values():
        cache.next_check_at = st.now
    _add_used_teams(st)


def _add_used_teams(st: state.State) -> None:
    """Adds caches for limited teams with running tasks in own shards."""
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
                st.team_allowances[name] = limits.AllowanceCache()


@dispatch.when_hosts_listed
def _handle_host_list(st: state.State, out: list) -> None:
    for cache in st.team_allowances.values():
        _update_live_total(st, cache)


@dispatch.receives(messages.AskAllowance)
def _handle_ask_allowance(
    st: state.State, sender: str, message: messages.AskAllowance, out: list
) -> None:
    team = st.config.teams.get(message.team)
    if team is not None and team.upper_limit != resources.ZERO:
        cache = st.team_allowances.setdefault(
            message.team, limits.AllowanceCache()
        )
        cache.asked[sender] = message.needs
        _invalidate(cache)
        cache.next_check_at = min(cache.next_check_at, st.now)


@dispatch.receives(messages.AllowanceFreed)
def _handle_allowance_freed(
    st: state.State, sender: str, message: messages.AllowanceFreed, out: list
) -> None:
    cache = st.team_allowances.get(message.team)
    if cache is not None:
        _invalidate(cache)
        cache.next_check_at = st.now


def _invalidate(cache: limits.AllowanceCache) -> None:
    """Schedules a new read of the document unless a write is pending."""
    if cache.pending is None:
        cache.loaded = False


# Store calls.


def _may_call_store(st: state.State) -> bool:
    earned = (st.now - st.store_calls_at) * STORE_CALLS_PER_S
    st.store_calls = min(STORE_CALL_BURST, st.store_calls + earned)
    st.store_calls_at = st.now
    return st.store_calls >= 1.0


def _read(
    st: state.State, team: str, cache: limits.AllowanceCache, out: list
) -> None:
    st.store_calls -= 1.0
    cache.store_call_active = True
    number = st.next_number()
    st.operations[number] = AllowanceRead(team)
    out.append(effects.StoreRead(number, documents.ALLOWANCES + team))


def _write(
    st: state.State,
    team: str,
    cache: limits.AllowanceCache,
    notify: list[str],
    out: list,
) -> None:
    st.store_calls -= 1.0
    cache.store_call_active = True
    number = st.next_number()
    st.operations[number] = AllowanceWritten(team, notify)
    key = documents.ALLOWANCES + team
    out.append(effects.StoreWrite(number, key, cache.pending, cache.revision))


@dispatch.handles_store_answer(AllowanceRead)
def _handle_read(
    st: state.State,
    operation: AllowanceRead,
    event: events.StoreAnswered,
    out: list,
) -> None:
    cache = st.team_allowances.get(operation.team)
    if cache is None:
        return
    cache.store_call_active = False
    if event.result == "unknown":
        cache.next_check_at = st.now + RETRY_DELAY_S
        return
    lost = event.value is None and (event.revision or cache.revision)
    since = st.config.number if lost else 0
    cache.document = event.value or documents.Allowances(since=since)
    cache.revision = event.revision
    cache.pending = None
    cache.loaded = True
    cache.next_check_at = st.now
    _update_live_total(st, cache)


@dispatch.handles_store_answer(AllowanceWritten)
def _handle_written(
    st: state.State,
    operation: AllowanceWritten,
    event: events.StoreAnswered,
    out: list,
) -> None:
    cache = st.team_allowances.get(operation.team)
    if cache is None:
        return
    cache.store_call_active = False
    if event.result != "ok":
        # A write with an unknown result may still be applied until the key has
        # another revision, so it is retried unchanged; after a conflict it can
        # no longer be applied.
        cache.loaded = event.result == "unknown"
        cache.next_check_at = st.now + st.rng.uniform(0.0, RETRY_DELAY_S)
        return
    cache.document = cache.pending
    cache.pending = None
    cache.revision = event.revision
    cache.next_check_at = st.now
    _update_live_total(st, cache)
    for daemon in operation.notify:
        freed = messages.AllowanceFreed(operation.team)
        out.append(effects.SendPeer(daemon, freed))
    _schedule_waiting(st, cache, out)


def _update_live_total(st: state.State, cache: limits.AllowanceCache) -> None:
    cache.live_total = limits.total(
        cache.document, frozenset(st.partition_names)
    )


def _schedule_waiting(
    st: state.State, cache: limits.AllowanceCache, out: list
) -> None:
    waiting = list(cache.shard_needs)
    cache.shard_needs.clear()
    for name in waiting:
        if name in st.shards:
            scheduling.schedule(st, st.shards[name], out)


# Allocation decisions.


@dispatch.every_tick
def _process_due_teams(st: state.State, out: list) -> None:
    if st.allowances_due_at <= st.now:
        st.allowances_due_at = st.now + CHECK_INTERVAL_S
        _add_used_teams(st)
    due = [
        name
        for name, cache in st.team_allowances.items()
        if cache.next_check_at <= st.now and not cache.store_call_active
    ]
    due.sort(
        key=lambda name: (
            not st.team_allowances[name].shard_needs,
            st.team_allowances[name].next_check_at,
        )
    )
    for name in due:
        if not _may_call_store(st):
            return
        _process_team(st, name, out)


def _process_team(st: state.State, name: str, out: list) -> None:
    cache = st.team_allowances[name]
    team = st.config.teams.get(name)
    if team is None or team.upper_limit == resources.ZERO:
        del st.team_allowances[name]
        return
    cache.next_check_at = st.now + CHECK_INTERVAL_S
    if not cache.loaded:
        _read(st, name, cache, out)
    elif cache.pending is not None:
        _write(st, name, cache, [], out)
    elif cache.document.number > st.config.number:
        cache.next_check_at = st.now + RETRY_DELAY_S
    else:
        _update_parts(st, team, cache, out)


def _update_parts(
    st: state.State,
    team: configuration.Team,
    cache: limits.AllowanceCache,
    out: list,
) -> None:
    draft = documents.Allowances(
        st.config.number, dict(cache.document.parts), cache.document.since
    )
    division.cover_usage(st, team, cache, draft)
    division.shrink_removed_shards(st, team, draft)
    division.drop_removed_shards(st, cache, draft)
    names = frozenset(st.partition_names)
    notify: list[str] = []
    if not limits.within(limits.total(draft, names), team.upper_limit):
        division.shrink(st, team, cache, draft, out)
    else:
        cache.over_limit_since = 0.0
        notify = division.release_for_peers(st, team, cache, draft)
        if division.all_counted(st, team, draft):
            division.grow(st, team, cache, draft)
    if draft.parts != cache.document.parts:
        cache.pending = draft
        _write(st, team.name, cache, notify, out)
        return
    for daemon in notify:
        freed = messages.AllowanceFreed(team.name)
        out.append(effects.SendPeer(daemon, freed))
    _request_allowance(st, team, cache, out)


def _request_allowance(
    st: state.State,
    team: configuration.Team,
    cache: limits.AllowanceCache,
    out: list,
) -> None:
    """Schedules another check, or asks peers, if no part can change now."""
    if cache.over_limit_since:
        cache.loaded = False
        cache.next_check_at = st.now + RETRY_DELAY_S
        return
    if not cache.shard_needs:
        return
    counted = division.all_counted(st, team, cache.document)
    if counted:
        _drop_satisfied_needs(st, team, cache, out)
    needs = next(iter(cache.shard_needs.values()), None)
    if needs is None or counted and not _fleet_has_room(st, team, needs):
        return
    cache.loaded = False
    cache.next_check_at = st.now + RETRY_DELAY_S
    for member in st.members.values():
        if member.alive_until > st.now and member.summaries:
            ask = messages.AskAllowance(team.name, needs)
            out.append(effects.SendPeer(member.name, ask))


def _drop_satisfied_needs(
    st: state.State,
    team: configuration.Team,
    cache: limits.AllowanceCache,
    out: list,
) -> None:
    """Drops needs that the effective parts already cover."""
    for name, needs in list(cache.shard_needs.items()):
        shard = st.shards.get(name)
        if shard is None:
            del cache.shard_needs[name]
            continue
        part = limits.effective_part(cache, name, shard.epoch, team)
        used = division.usage(shard, team)
        if part is not None and limits.permits(
            cache, team.upper_limit, part, used + needs
        ):
            del cache.shard_needs[name]
            scheduling.schedule(st, shard, out)


def _fleet_has_room(
    st: state.State, team: configuration.Team, needs: resources.Resources
) -> bool:
    """Returns whether the last reported fleet usage leaves capacity."""
    used = needs
    for shard in st.shards.values():
        used = used + division.usage(shard, team)
    for member in st.members.values():
        for name, summary in member.summaries.items():
            if name not in st.shards:
                used = used + summary.team_use.get(team.name, resources.ZERO)
    return limits.within(used, team.upper_limit)
