"""What the store says of the workers that owners use.

A new owner can't start a task that a worker out of its reach may still run. So
the owner stores which workers it uses before it uses them; and of a worker that
gets no more starts, which jobs' tasks it may still run. Only those jobs wait.
"""

from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state

# A worker without answer for this long gets no more starts, seconds: two holds.
LOST_S = 0.6


def update(st: state.State, owner: state.Owner) -> model.Fleet:
    """Returns the fleet as it is now."""
    closed: dict[str, tuple[str, ...]] = {}
    ids = set(owner.workers) | set(owner.unheld)
    for worker_id in sorted(ids):
        jobs = _closed_jobs(st, owner, worker_id)
        if jobs is not None:
            closed[worker_id] = jobs
    return model.Fleet(tuple(sorted(ids)), closed)


def _closed_jobs(
    st: state.State, owner: state.Owner, worker_id: str
) -> tuple[str, ...] | None:
    if worker_id in owner.unheld:
        return owner.unheld_jobs.get(worker_id)
    worker = owner.workers[worker_id]
    is_lost = worker.unanswered and st.now - worker.lost_at > LOST_S
    if not is_lost and not worker.entry.draining:
        worker.closed_jobs = None
    elif worker.closed_jobs is None:
        jobs = {run.task_id.partition(".")[0] for run in worker.runs.values()}
        worker.closed_jobs = tuple(sorted(jobs))
    return worker.closed_jobs


def may_run_unseen(owner: state.Owner, entry: state.Entry) -> bool:
    """Tells whether a job's tasks may run on a worker not yet held.

    Jobs that were first seen after a former owner was surely displaced can't.
    """
    if entry.seen_at > owner.displaced_until:
        return False
    for worker_id in owner.unheld:
        jobs = owner.unheld_jobs.get(worker_id)
        if jobs is not None:
            if entry.job.job_id in jobs:
                return True
            continue
        worker = owner.workers.get(worker_id)
        if worker is None or worker.entry.backend == entry.job.backend:
            return True
    return False


def usable(owner: state.Owner) -> set[str]:
    """Returns the workers that get starts, as the store surely says.

    A write without answer may have been made: what it says counts as well.
    """
    if owner.fleet is None:
        return set()
    found = set(owner.fleet.workers) - owner.fleet.closed.keys()
    for fleet in owner.fleets_in_doubt:
        found &= set(fleet.workers) - fleet.closed.keys()
    return found
