"""Which team goes next, and whether its upper limit allows it.

Source of the share measure: dominant resource fairness (Ghodsi et al., 2011).
"""

import math

from mimosaridge_core import limits
from mimosaridge_core import queueing
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import works


def claim_on_share(st: state.State, shard: state.Shard, team: str) -> float:
    """Returns a team's dominant use over its share; the least goes first."""
    used = shard.team_use.get(team, resources.ZERO)
    known = st.config.teams.get(team)
    share = known.share if known else 1.0
    return used.dominant_fraction(st.fleet) / share


def next_lane(
    st: state.State, shard: state.Shard, lanes: list[queueing.Lane]
) -> queueing.Lane:
    """Returns the lane of the team furthest below its share."""
    return min(lanes, key=lambda lane: claim_on_share(st, shard, lane.team))


def earliest_lane(
    st: state.State, shard: state.Shard, lanes: list[queueing.Lane]
) -> queueing.Lane:
    """Returns the lane whose first task came first."""
    heads = [(lane, shard.queue.head(lane)) for lane in lanes]
    return min(heads, key=lambda pair: pair[1].since if pair[1] else -math.inf)[
        0
    ]


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
