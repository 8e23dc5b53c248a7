"""How far a team is from its share, and whether its upper limit allows it.

Source of the share measure: dominant resource fairness (Ghodsi et al., 2011).
"""

from mimosaridge_core import limits
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import works


def claim_on_share(st: state.State, shard: state.Shard, team: str) -> float:
    """Returns a team's dominant use over its share; the least goes first."""
    used = shard.team_use.get(team, resources.ZERO)
    known = st.config.teams.get(team)
    share = known.share if known else 1.0
    return used.dominant_fraction(st.fleet) / share


def shard_names(st: state.State) -> tuple[str, ...]:
    """Returns the names of all shards, sorted."""
    return tuple(
        name for name in st.partition_names if name.startswith("shard-")
    )


def within_limit(st: state.State, shard: state.Shard, task: works.Task) -> bool:
    """Tells whether the shard's part of the team's limit has room."""
    team = st.config.teams.get(task.team)
    if team is None:
        return False
    if team.upper_limit == resources.ZERO:
        return True
    allowance = limits.allowance(team.upper_limit, shard_names(st), shard.name)
    used = shard.team_use.get(task.team, resources.ZERO)
    return (used + task.needs).fits(allowance)
