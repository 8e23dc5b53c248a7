"""Upper limits of teams, as the placement of tasks must respect them."""

from mimosaridge_core import resources
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import unheldusage


def allowed_tasks(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    needs: resources.Resources,
    requested: int,
) -> int:
    """Returns how many of the tasks the team's upper limit still allows."""
    team = settings.team_of(st, entry.job.team)
    if team is None or team.upper_limit == resources.ZERO:
        return requested
    limit = team.upper_limit
    used = _used(st, owner, team.name)
    for limit_amount, used_amount, task_amount in (
        (limit.cpu_millis, used.cpu_millis, needs.cpu_millis),
        (limit.memory_mib, used.memory_mib, needs.memory_mib),
        (limit.accelerators, used.accelerators, needs.accelerators),
    ):
        if limit_amount and task_amount:
            requested = min(
                requested, max(0, (limit_amount - used_amount) // task_amount)
            )
    return requested


def _used(
    st: state.State, owner: state.Owner, team: str
) -> resources.Resources:
    """Returns the most that a team may have running."""
    used = owner.usage.get(team, resources.ZERO)
    used = used + unheldusage.usage(st, owner, team)
    # A run of a job that is not known yet may be the team's.
    return used + owner.usage.get(state.UNKNOWN_TEAM, resources.ZERO)


def is_exceeded(
    st: state.State, owner: state.Owner, entry: state.JobEntry
) -> bool:
    """Returns whether a job's team has more than its upper limit running."""
    team = settings.team_of(st, entry.job.team)
    if team is None:
        return False
    limit, used = team.upper_limit, _used(st, owner, team.name)
    return any(
        0 < getattr(limit, name) < getattr(used, name)
        for name in resources.NAMES
    )


def is_over_limit(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
) -> bool:
    """Returns whether the team's upper limit prevents further starts."""
    count = gang_size(group) if group.step.gang else 1
    return allowed_tasks(st, owner, entry, group.step.needs, count) < count


def gang_size(group: state.Group) -> int:
    """Returns the number of tasks of a gang that must start together."""
    return group.step.tasks - len(group.progress.done)
