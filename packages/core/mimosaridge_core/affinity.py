"""Shard affinity of teams with an upper limit.

Without affinity, the work of a team with a small limit would be spread over
more shards than the team may run tasks, and its allowance would have to move
between shards for almost every start.
"""

import functools
import math

from mimosaridge_core import hashing
from mimosaridge_core import resources
from mimosaridge_core import state

MIN_SHARDS = 2
SHARD_COUNT_FACTOR = 2


@functools.lru_cache(maxsize=1024)
def _rank_shards(team: str, shards: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the shards in the team's order of preference.

    Source: rendezvous hashing (Thaler and Ravishankar, 1998).
    """
    return tuple(
        sorted(shards, key=lambda name: hashing.stable_hash(f"{team}/{name}"))
    )


def preferred_shards(
    st: state.State, team: str, shards: tuple[str, ...]
) -> frozenset[str]:
    """Returns the preferred shards of a team's requests and batch work.

    Args:
        st: The daemon's state.
        team: The team's name; empty for none.
        shards: Sorted names of the shards that could run the work.

    Returns:
        All shards if the team has no upper limit.
    """
    team_config = st.config.teams.get(team)
    if team_config is None or team_config.upper_limit == resources.ZERO:
        return frozenset(shards)
    fraction = team_config.upper_limit.dominant_fraction(st.fleet)
    count = math.ceil(SHARD_COUNT_FACTOR * fraction * len(shards))
    return frozenset(_rank_shards(team, shards)[: max(MIN_SHARDS, count)])
