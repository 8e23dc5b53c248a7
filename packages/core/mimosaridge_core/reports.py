"""Status of the deployment as seen by one daemon."""

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
    """A team's share and resource usage.

    Attributes:
        team: Name of the team.
        share: Configured weight divided by the sum of all weights.
        used: Resources of the team's placed tasks.
        fraction: Dominant share: largest fraction of the fleet used, over all
            resources.
        upper_limit: Upper limit of the team.
    """

    team: str
    share: float
    used: resources.Resources
    fraction: float
    upper_limit: resources.Resources


@dataclasses.dataclass(slots=True)
class Status:
    """Status of the deployment as seen by one daemon.

    Attributes:
        daemon: Daemon that answers.
        config_number: Number of the configuration in force at the daemon.
        live: Live daemons.
        owners: Owner of each partition.
        shards: Latest known summaries of the shards.
        teams: Status of each team.
        services: Configured services.
        zones_out: Availability zones taken out of service.
        audit: Latest accepted changes, oldest first.
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
    """Returns the status of every team."""
    total_weight = sum(team.share for team in st.config.teams.values()) or 1.0
    used: dict[str, resources.Resources] = {}
    for shard in shards:
        for team, amount in shard.team_use.items():
            used[team] = used.get(team, resources.ZERO) + amount
    return [
        TeamStatus(
            team.name,
            team.share / total_weight,
            used.get(team.name, resources.ZERO),
            used.get(team.name, resources.ZERO).dominant_fraction(st.fleet),
            team.upper_limit,
        )
        for team in st.config.teams.values()
    ]


@dispatch.handles(events.StatusRequested)
def _on_status_requested(
    st: state.State, event: events.StatusRequested, out: list
) -> None:
    if not queries.authorize_read(st, event.handle, event.token, out):
        return
    shards = sorted(
        routing.shard_summaries(st), key=lambda summary: summary.shard
    )
    status = Status(
        st.name,
        st.config.number,
        list(st.live),
        {name: view.owner for name, view in sorted(st.known_owners.items())},
        shards,
        team_statuses(st, shards),
        list(st.config.services.values()),
        st.config.zones_out,
        st.config.audit,
    )
    out.append(effects.Reply(event.handle, codes.Code.OK, "", status))
