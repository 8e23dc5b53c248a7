"""Which shards a limited team's work goes to first.

A team with a small limit would otherwise be spread over more shards than it
may run tasks, and its allowance would have to move for almost every start.
"""

import functools
import math

from mimosaridge_core import hashing
from mimosaridge_core import resources
from mimosaridge_core import state

LEAST_SHARDS = 2
MARGIN = 2


@functools.lru_cache(maxsize=1024)
def _ranked(team: str, shards: tuple[str, ...]) -> tuple[str, ...]:
    """Returns shards in the team's order.

    Source: rendezvous hashing (Thaler and Ravishankar, 1998).
    """
    return tuple(
        sorted(shards, key=lambda name: hashing.number_of(f"{team}/{name}"))
    )


def preferred(
    st: state.State, team: str, shards: tuple[str, ...]
) -> frozenset[str]:
    """Returns the shards that a team's requests and batch work go to first.

    Args:
        st: The state.
        team: The team; empty for none.
        shards: Shards that could take the work, sorted.

    Returns:
        All of them if the team has no limit.
    """
    known = st.config.teams.get(team)
    if known is None or known.upper_limit == resources.ZERO:
        return frozenset(shards)
    fraction = known.upper_limit.dominant_fraction(st.fleet)
    count = math.ceil(MARGIN * fraction * len(shards))
    return frozenset(_ranked(team, shards)[: max(LEAST_SHARDS, count)])
