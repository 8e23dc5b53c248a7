"""Fair-share claims and upper-limit checks of teams.

Shares are compared by dominant resource fairness (Ghodsi et al., 2011).
"""

from mimosaridge_core import limits
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import works


def claim_on_share(st: state.State, shard: state.Shard, team: str) -> float:
    """Returns a team's dominant usage in the shard divided by its share.

    The team with the lowest value is scheduled first.
    """
    used = shard.team_use.get(team, resources.ZERO)
    team_config = st.config.teams.get(team)
    share = team_config.share if team_config else 1.0
    return used.dominant_fraction(st.fleet) / share


def fleet_claim(st: state.State, shard: state.Shard, team: str) -> float:
    """Returns a team's dominant usage in the fleet divided by its share.

    The usage in peers' shards is taken from their latest summaries.
    """
    used = resources.ZERO
    for own in st.shards.values():
        used = used + own.team_use.get(team, resources.ZERO)
    for member in st.members.values():
        for summary in member.summaries.values():
            if summary.shard not in st.shards:
                used = used + summary.team_use.get(team, resources.ZERO)
    team_config = st.config.teams.get(team)
    share = team_config.share if team_config else 1.0
    return used.dominant_fraction(st.fleet) / share


def within_limit(st: state.State, shard: state.Shard, task: works.Task) -> bool:
    """Returns whether the shard's part of the team's limit covers a task.

    If not, requests a larger part.
    """
    team = st.config.teams.get(task.team)
    if team is None:
        return False
    if team.upper_limit == resources.ZERO:
        return True
    cache = st.team_allowances.setdefault(task.team, limits.AllowanceCache())
    part = limits.effective_part(cache, shard.name, shard.epoch, team)
    used = shard.team_use.get(task.team, resources.ZERO)
    if (
        part is not None
        and cache.document.number <= st.config.number
        and limits.permits(cache, team.upper_limit, part, used + task.needs)
    ):
        return True
    if shard.name not in cache.shard_needs:
        cache.shard_needs[shard.name] = task.needs
        cache.next_check_at = min(cache.next_check_at, st.now)
    return False
