"""Teams that use more than their share while not all work can be in time.

The load that this answers: callers who compete for too little room, and a team
that asks for many times its usual. While everything can be in time, the order
of latest starts serves all teams best, and an idle share is used by others.
Once more work of a priority waits than can be in time, the teams below their
share go first.

A team's share is its weight among the teams that have work. What it uses is
compared by the resource of which it has the largest part.
"""

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import ranking
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work

# A team counts as above its share beyond this multiple of it, since tasks are
# large beside the shares of small teams.
TOLERANCE = 1.2
# Interval at which the backlog is weighed against the room, seconds.
CHECK_INTERVAL_S = 0.1


def shortage(
    st: state.State, owner: state.Owner, waiting: list[state.Group]
) -> model.Shortage:
    """Returns where not all work can be in time, and which teams yield.

    Args:
        st: The state.
        owner: The owner.
        waiting: All steps with waiting tasks.
    """
    if st.now >= owner.shortage_at + CHECK_INTERVAL_S:
        owner.shortage_at = st.now
        queues = _short_queues(st, owner, waiting)
        teams = teams_above_share(st, owner, waiting) if queues else frozenset()
        owner.shortage = model.Shortage(queues, teams)
    return owner.shortage


def _short_queues(
    st: state.State, owner: state.Owner, waiting: list[state.Group]
) -> frozenset[tuple[str, int]]:
    """Returns back ends and priorities of which some work will be late.

    That is work whose latest start is nearer than the time that the whole back
    end needs for all that waits with its priority or a more urgent one.
    """
    backlogs: dict[str, dict[int, float]] = {}
    nearest: dict[tuple[str, int], float] = {}
    capacities = _capacities(owner)
    for group in waiting:
        queue = settings.queue_of(st, st.table[group.job_id].job)
        if queue is None or group.step.standing:
            continue
        capacity = capacities.get(queue.backend, resources.ZERO)
        fraction = work.reserved_resources(group.step).dominant_fraction(
            capacity
        )
        drain_s = len(group.waiting) * fraction * group.expected.usual_s
        backlog = backlogs.setdefault(queue.backend, {})
        backlog[queue.priority] = backlog.get(queue.priority, 0.0) + drain_s
        key = (queue.backend, queue.priority)
        left_s = ranking.latest_start(st, group, queue) - st.wall
        nearest[key] = min(left_s, nearest.get(key, left_s))
    return frozenset(
        (backend, priority)
        for (backend, priority), left_s in nearest.items()
        if left_s
        < sum(
            drain_s
            for other, drain_s in backlogs[backend].items()
            if other <= priority
        )
    )


def teams_above_share(
    st: state.State, owner: state.Owner, groups: list[state.Group]
) -> frozenset[str]:
    """Returns the teams that use more than their share of what is in use.

    Args:
        st: The state.
        owner: The owner.
        groups: Steps with waiting tasks.
    """
    capacity = resources.total(list(_capacities(owner).values()))
    used = {
        team: amount.dominant_fraction(capacity)
        for team, amount in owner.usage.items()
        if team is not state.UNKNOWN_TEAM and amount != resources.ZERO
    }
    waiting = {st.table[group.job_id].job.team for group in groups}
    weights = {}
    for name in used.keys() | waiting:
        team = settings.team_of(st, name)
        weights[name] = team.weight if team is not None else 0.0
    in_use, in_all = sum(used.values()), sum(weights.values())
    if not in_use or not in_all:
        return frozenset()
    return frozenset(
        name
        for name, fraction in used.items()
        if fraction / in_use > TOLERANCE * weights[name] / in_all
    )


def _capacities(owner: state.Owner) -> dict[str, resources.Resources]:
    """Returns the capacity of each back end's workers, by name."""
    amounts: dict[str, list[resources.Resources]] = {}
    for worker in owner.workers.values():
        if worker.held and worker.listed:
            amounts.setdefault(worker.entry.backend, []).append(
                worker.entry.capacity
            )
    return {name: resources.total(found) for name, found in amounts.items()}
