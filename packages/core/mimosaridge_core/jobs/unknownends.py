"""Ended runs of jobs that the owner does not know yet.

A former owner may have started tasks of a job of which news is late. Their ends
are kept until the job is known, and the worker keeps them for some time, too,
in case the owner changes.
"""

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state

# A worker keeps such an end for this time at least, seconds: an owner that
# can't read the store is replaced earlier.
UNACKNOWLEDGED_S = 10.0
# Most jobs whose ends are kept.
MAX_JOBS = 1000


def keep(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    row: model.EndReport,
    out: list,
) -> None:
    """Keeps the end of a run of an unknown job."""
    try:
        job_id = model.parse_task_id(row.task_id)[0]
    except ValueError:
        return
    if job_id in st.table:
        return
    if job_id not in owner.unknown_ends and len(owner.unknown_ends) >= MAX_JOBS:
        oldest = next(iter(owner.unknown_ends))
        del owner.unknown_ends[oldest]
        effects.log_decision(out, "unknown-ends-dropped", job_id=oldest)
    end = state.UnknownEnd(worker, worker.incarnation, row, st.now)
    owner.unknown_ends.setdefault(job_id, []).append(end)


def take(owner: state.Owner, job_id: str) -> list[state.UnknownEnd]:
    """Returns the ends kept for a job, and forgets them."""
    return owner.unknown_ends.pop(job_id, [])


def last_known(
    st: state.State, owner: state.Owner, worker: state.Worker
) -> int:
    """Returns the number up to which a worker may forget its processed ends."""
    numbers = [
        end.row.number - 1
        for ends in owner.unknown_ends.values()
        for end in ends
        if end.worker is worker
        and end.incarnation == worker.incarnation
        and st.now < end.seen_at + UNACKNOWLEDGED_S
    ]
    return min(numbers, default=worker.processed_end)
