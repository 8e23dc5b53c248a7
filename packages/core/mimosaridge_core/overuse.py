"""Stops of tasks that exceed an upper limit after it was lowered."""

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import limits
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import stopping
from mimosaridge_core import works

# Gives owners time to release unused allowances before any task is stopped.
STOP_DELAY_S = 1.0

# Requests are not stopped: their callers wait for them, and they are short.
STOP_ORDER = (works.Kind.BATCH, works.Kind.GANG, works.Kind.SERVICE)


def _excess_share(total: int, limit: int, part: int) -> int:
    """Returns a part's share of the excess, rounded up."""
    if not limit or total <= limit:
        return 0
    return -(-(total - limit) * part // total)


def target(
    part: resources.Resources,
    live: resources.Resources,
    limit: resources.Resources,
) -> resources.Resources:
    """Returns the amount of its part that a shard may keep.

    Args:
        part: The shard's part.
        live: Sum of all parts.
        limit: The team's upper limit.
    """
    return part - resources.Resources(
        _excess_share(live.cpu_millis, limit.cpu_millis, part.cpu_millis),
        _excess_share(live.memory_mib, limit.memory_mib, part.memory_mib),
        _excess_share(live.accelerators, limit.accelerators, part.accelerators),
        _excess_share(live.slots, limit.slots, part.slots),
        _excess_share(live.connections, limit.connections, part.connections),
    )


def stop(
    st: state.State,
    shard: state.Shard,
    team: configuration.Team,
    part: resources.Resources,
    live: resources.Resources,
    out: list,
) -> None:
    """Stops tasks for a shard's share of the excess, newest batch first."""
    keep = limits.with_unlimited(
        team.upper_limit, target(part, live, team.upper_limit)
    )
    used = shard.team_use.get(team.name, resources.ZERO)
    for worker, placed in _candidates(shard, team.name):
        if not placed.stopping and used.fits(keep):
            continue
        used = used - placed.task.needs
        stopping.stop(
            st,
            shard,
            worker,
            placed,
            codes.Code.OVER_LIMIT,
            account.Rule.LIMIT,
            f"Stopped: the upper limit of team {team.name} was lowered.",
            out,
        )


def _candidates(
    shard: state.Shard, team: str
) -> list[tuple[state.Worker, state.Placed]]:
    """Returns the tasks that may be stopped, in order of preference.

    Tasks that are already stopping are first, then by STOP_ORDER and the
    newest first.
    """
    found = [
        (worker, placed)
        for worker in shard.workers.values()
        for placed in worker.placed.values()
        if placed.task.team == team and placed.task.kind in STOP_ORDER
    ]
    found.sort(key=lambda pair: -pair[1].task.submitted_at)
    found.sort(key=lambda pair: STOP_ORDER.index(pair[1].task.kind))
    found.sort(key=lambda pair: not pair[1].stopping)
    return found
