"""Order in which steps with waiting tasks are placed."""

from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work

# Shortest run time as a fraction of the declared one: declared run times are up
# to half too high or too low.
MIN_ESTIMATE_FRACTION = 0.7
# Priority of jobs whose queue's settings are unknown: lower than all others.
LOWEST_PRIORITY = 1_000


def completion_target(
    st: state.State, group: state.Group, queue: model.Queue
) -> float:
    """Returns the wall-clock time by which a job should be done, seconds."""
    due = work.due_at(st.table[group.job_id].job, group.repetition)
    return due + queue.stretch * group.job_work_s + queue.target_s


def latest_start(
    st: state.State, group: state.Group, queue: model.Queue
) -> float:
    """Returns the latest wall-clock time to start on target, seconds."""
    return completion_target(st, group, queue) - group.remaining_work_s


def rank(st: state.State, owner: state.Owner, group: state.Group) -> tuple:
    """Returns the sort key of a group; the smallest is placed first.

    Jobs within their team's rate precede jobs beyond it; then the priority
    decides. Within a priority, jobs that can still meet their objective precede
    late ones, and then the earlier latest start decides.
    """
    queue = settings.queue_of(st, st.table[group.job_id].job)
    if queue is None:
        return (True, LOWEST_PRIORITY, True, group.ready_at)
    over_rate = group.job_id in owner.over_rate
    late = is_late(st, group, queue)
    return (over_rate, queue.priority, late, latest_start(st, group, queue))


def is_late(st: state.State, group: state.Group, queue: model.Queue) -> bool:
    """Returns whether a job misses its objective even if placed at once."""
    least_s = group.remaining_work_s * MIN_ESTIMATE_FRACTION
    return st.wall > completion_target(st, group, queue) - least_s
