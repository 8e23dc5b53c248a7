"""How the deployment stands, as one daemon sees it."""

import dataclasses

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import queries
from mimosaridge_core import resources
from mimosaridge_core import routing
from mimosaridge_core import state


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
    if not queries.may_read(st, event.handle, event.token, out):
        return
    shards = sorted(
        routing.shard_summaries(st), key=lambda summary: summary.shard
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
