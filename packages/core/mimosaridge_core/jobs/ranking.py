"""In which order steps with waiting tasks are placed."""

from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work

# Declared run times are half too high or too low (users' site pages).
ESTIMATE_TRUST = 0.7
# Priority of jobs whose queue no longer exists: after all others.
NO_PRIORITY = 1_000


def queue_of(st: state.State, job: model.Job) -> model.Queue | None:
    """Returns a job's queue as configured now; None if it was removed."""
    return st.configuration.queues.get(job.queue)


def objective_at(
    st: state.State, group: state.Group, queue: model.Queue
) -> float:
    """Returns the time of day by which a group's job should be done."""
    job = st.table[group.job_id].job
    chain = max(work.chain_s(job, number) for number in range(len(job.steps)))
    due = work.due_at(job, group.repetition)
    return due + queue.stretch * chain + queue.target_s


def left_s(st: state.State, group: state.Group) -> float:
    """Returns the work that a job needs from this step on, as declared."""
    return work.chain_s(st.table[group.job_id].job, group.number)


def latest_start(
    st: state.State, group: state.Group, queue: model.Queue
) -> float:
    """Returns the latest time of day to start that meets the objective."""
    return objective_at(st, group, queue) - left_s(st, group)


def rank(st: state.State, owner: state.Owner, group: state.Group) -> tuple:
    """Returns a sort key; the least goes first.

    Jobs within their team's weight go before all that is beyond one. Within a
    priority: jobs that can still meet their objective, then the latest start
    that meets it.
    """
    queue = queue_of(st, st.table[group.job_id].job)
    if queue is None:
        return (True, NO_PRIORITY, True, group.ready_at)
    beyond = group.job_id in owner.beyond
    late = is_late(st, group, queue)
    return (beyond, queue.priority, late, latest_start(st, group, queue))


def is_late(st: state.State, group: state.Group, queue: model.Queue) -> bool:
    """Tells whether a job misses its objective even if placed at once."""
    least_s = left_s(st, group) * ESTIMATE_TRUST
    return st.wall > objective_at(st, group, queue) - least_s
