"""Order in which steps with waiting tasks are placed.

The load that this answers: more work than fits. What can be in time goes before
what is late, and what is late before what its callers have given up on.
"""

import enum

from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work

# Shortest run time as a fraction of the declared one while nothing was learned:
# declared run times are up to half too high or too low.
MIN_ESTIMATE_FRACTION = 0.7
# Callers have a use for a late answer up to this multiple of the objective.
USEFUL_OBJECTIVES = 3
# What a start, an end and their writes take beside the work, seconds.
ROUTE_S = 0.2
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


class Lane(enum.IntEnum):
    """What callers still get from a job that is placed now."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2


def rank(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    shortage: model.Shortage = model.NO_SHORTAGE,
) -> tuple:
    """Returns the sort key of a group; the smallest is placed first.

    Jobs within their team's rate precede jobs beyond it; then the priority
    decides. Within a priority, jobs that can still meet their objective precede
    late ones, and these precede those that are of no more use; all of them are
    completed. Within a lane, teams within their share go first while work is
    late, and then the earlier latest start decides.
    """
    job = st.table[group.job_id].job
    queue = settings.queue_of(st, job)
    if queue is None:
        return (True, LOWEST_PRIORITY, Lane.USELESS, True, group.ready_at)
    return (
        group.job_id in owner.over_rate,
        queue.priority,
        lane_of(st, group, queue),
        shortage.yields(queue, job.team),
        latest_start(st, group, queue),
    )


def lane_of(st: state.State, group: state.Group, queue: model.Queue) -> Lane:
    """Returns what the callers of a job get if it is placed at once.

    Under overload each job of a lane starts when it only just belongs there, so
    the bounds leave time to finish: without it all would miss them by little.
    """
    target = completion_target(st, group, queue)
    if st.wall + _least_work_s(group) + ROUTE_S <= target:
        return Lane.IN_TIME
    due = work.due_at(st.table[group.job_id].job, group.repetition)
    useful_until = due + USEFUL_OBJECTIVES * (target - due)
    expected = group.expected
    likely_s = group.remaining_work_s * expected.cautious_s / expected.usual_s
    if group.step.standing or st.wall + likely_s + ROUTE_S <= useful_until:
        return Lane.LATE
    return Lane.USELESS


def is_late(st: state.State, group: state.Group, queue: model.Queue) -> bool:
    """Returns whether a job misses its objective even if placed at once."""
    return lane_of(st, group, queue) != Lane.IN_TIME


def _least_work_s(group: state.Group) -> float:
    """Returns the shortest time from a step to the end of its job, seconds."""
    if not group.expected.runs:
        return group.remaining_work_s * MIN_ESTIMATE_FRACTION
    return group.remaining_work_s
