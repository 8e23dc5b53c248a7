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


def fleet_claim(st: state.State, shard: state.Shard, team: str) -> float:
    """Returns a team's dominant use of the whole fleet over its share.

    Peers' shards count as their owners last described them.
    """
    used = resources.ZERO
    for own in st.shards.values():
        used = used + own.team_use.get(team, resources.ZERO)
    for member in st.members.values():
        for summary in member.summaries.values():
            if summary.shard not in st.shards:
                used = used + summary.team_use.get(team, resources.ZERO)
    known = st.config.teams.get(team)
    share = known.share if known else 1.0
    return used.dominant_fraction(st.fleet) / share


def within_limit(st: state.State, shard: state.Shard, task: works.Task) -> bool:
    """Tells whether the shard's part of the team's limit has room.

    If it has none, the part is asked for.
    """
    team = st.config.teams.get(task.team)
    if team is None:
        return False
    if team.upper_limit == resources.ZERO:
        return True
    book = st.team_allowances.setdefault(task.team, limits.Book())
    part = limits.part_in_force(book, shard.name, shard.epoch, team)
    used = shard.team_use.get(task.team, resources.ZERO)
    if (
        part is not None
        and book.document.number <= st.config.number
        and limits.permits(book, team.upper_limit, part, used + task.needs)
    ):
        return True
    if shard.name not in book.wanted:
        book.wanted[shard.name] = task.needs
        book.look_at = min(book.look_at, st.now)
    return False
