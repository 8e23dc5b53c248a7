"""Runs on leaving workers: which stay to their end and which move early.

When a worker leaves, all that runs on it ends unlisted, and its tasks wait for
the end of its lease before they start elsewhere.
"""

from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import timing

# A run whose progress is unknown is taken to need this much more than declared.
UNKNOWN_FACTOR = 1.3


def remaining_s(st: state.State, run: state.Run, estimate_s: float) -> float:
    """Returns how long a run will still need, by its progress."""
    if run.percent > 0:
        taken = run.percent_at - run.started_at
        left = taken * (100 - run.percent) / run.percent
        return max(0.0, left - (st.now - run.percent_at))
    elapsed = st.now - run.started_at
    return max(0.0, estimate_s * UNKNOWN_FACTOR - elapsed)


def check(st: state.State, owner: state.Owner, out: list) -> None:
    """Stops runs that would be lost with their worker."""
    for worker in owner.workers.values():
        if not worker.entry.draining:
            worker.leaves_at = 0.0
            continue
        if not worker.leaves_at:
            worker.leaves_at = st.now + worker.entry.remaining_s
        for run in list(worker.runs.values()):
            if run.phase == state.Phase.RUNNING:
                _check_run(st, owner, worker, run, out)


def _check_run(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    out: list,
) -> None:
    group = owner.groups.get(run.task_id.rpartition(".")[0])
    if group is None:
        return
    left_s = worker.leaves_at - st.now - timing.stop_lead_s(st.bounds)
    if group.step.standing:
        stopping.stop(st, owner, worker, run, "worker leaves", out)
        return
    if remaining_s(st, run, group.step.estimate_s) <= left_s:
        return
    if group.step.checkpoints and left_s > 0:
        return  # It works on and saves more before it must stop.
    stopping.stop(st, owner, worker, run, "worker leaves", out)
