"""Answers to those who ask what happened and how things stand."""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import keys
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import routing
from mimosaridge_core import state

EXPLAIN_S = 1.0


@dataclasses.dataclass(slots=True)
class Explanation:
    """All records of some work that live daemons keep, oldest first.

    Attributes:
        work_id: The work.
        records: The records.
        silent: Daemons that did not answer in time.
    """

    work_id: str
    records: list[account.Record]
    silent: list[str]


@dataclasses.dataclass(slots=True)
class TeamStatus:
    """A team's standing.

    Attributes:
        team: The team.
        share: Its configured weight over the sum of all weights.
        used: What it has placed.
        fraction: Its dominant use over the fleet.
        upper_limit: Its upper limit.
    """

    team: str
    share: float
    used: resources.Resources
    fraction: float
    upper_limit: resources.Resources


@dataclasses.dataclass(slots=True)
class Status:
    """How the deployment stands, as one daemon sees it.

    Attributes:
        daemon: The daemon that answers.
        config_number: Configuration in force there.
        live: Live daemons.
        owners: Owner of each partition.
        shards: Shards as last described.
        teams: Teams' standing.
        services: Standing services.
        zones_out: Availability zones taken out.
        audit: The latest changes, oldest first.
    """

    daemon: str
    config_number: int
    live: list[str]
    owners: dict[str, str]
    shards: list[messages.ShardSummary]
    teams: list[TeamStatus]
    services: list[configuration.Service]
    zones_out: list[str]
    audit: list[configuration.AuditEntry]


def _may_read(st: state.State, handle: int, token: str, out: list) -> bool:
    known = keys.verify(st.config, token) is not None
    if not known and token != st.bootstrap_key:
        out.append(effects.Reply(handle, codes.Code.BAD_KEY))
        return False
    return True


@dispatch.handles(events.ExplainAsked)
def _explain(st: state.State, event: events.ExplainAsked, out: list) -> None:
    if not _may_read(st, event.handle, event.token, out):
        return
    missing = {
        member.name
        for member in st.members.values()
        if member.heard_until > st.now
    }
    number = st.next_number()
    query = state.Query(
        event.handle,
        event.work_id,
        missing,
        st.ring.of(event.work_id),
        st.now + EXPLAIN_S,
    )
    st.queries[number] = query
    for name in sorted(missing):
        ask = messages.AskAccount(number, event.work_id)
        out.append(effects.SendPeer(name, ask))
    _finish(st, number, out)


@dispatch.receives(messages.AskAccount)
def _asked(
    st: state.State, sender: str, message: messages.AskAccount, out: list
) -> None:
    page = messages.AccountPage(message.query_id, st.ring.of(message.work_id))
    out.append(effects.SendPeer(sender, page))


@dispatch.receives(messages.AccountPage)
def _page(
    st: state.State, sender: str, message: messages.AccountPage, out: list
) -> None:
    query = st.queries.get(message.query_id)
    if query is None:
        return
    query.missing.discard(sender)
    query.records.extend(message.records)
    _finish(st, message.query_id, out)


def _finish(st: state.State, number: int, out: list) -> None:
    query = st.queries[number]
    if query.missing and query.until > st.now:
        return
    del st.queries[number]
    records = sorted(query.records, key=lambda record: record.at)
    explanation = Explanation(query.work_id, records, sorted(query.missing))
    code = codes.Code.OK if records else codes.Code.NOT_FOUND
    out.append(effects.Reply(query.handle, code, "", explanation))


@dispatch.every_tick
def _overdue(st: state.State, out: list) -> None:
    for number, query in list(st.queries.items()):
        if query.until <= st.now:
            _finish(st, number, out)


def team_statuses(
    st: state.State, shards: list[messages.ShardSummary]
) -> list[TeamStatus]:
    """Returns the standing of every team."""
    weights = sum(team.share for team in st.config.teams.values()) or 1.0
    used: dict[str, resources.Resources] = {}
    for shard in shards:
        for team, amount in shard.team_use.items():
            used[team] = used.get(team, resources.ZERO) + amount
    return [
        TeamStatus(
            team.name,
            team.share / weights,
            used.get(team.name, resources.ZERO),
            used.get(team.name, resources.ZERO).dominant_fraction(st.fleet),
            team.upper_limit,
        )
        for team in st.config.teams.values()
    ]


@dispatch.handles(events.StatusAsked)
def _status(st: state.State, event: events.StatusAsked, out: list) -> None:
    if not _may_read(st, event.handle, event.token, out):
        return
    shards = sorted(
        routing.known_summaries(st), key=lambda summary: summary.shard
    )
    status = Status(
        st.name,
        st.config.number,
        list(st.live),
        {name: view.owner for name, view in sorted(st.views.items())},
        shards,
        team_statuses(st, shards),
        list(st.config.services.values()),
        st.config.zones_out,
        st.config.audit,
    )
    out.append(effects.Reply(event.handle, codes.Code.OK, "", status))
