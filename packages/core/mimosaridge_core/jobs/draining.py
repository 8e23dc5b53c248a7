"""Runs on draining workers: which finish there and which are stopped early.

When a worker shuts down, its runs end without being listed as ended, and their
tasks can't start elsewhere before the worker's lease has expired. Runs that
would not finish in time are therefore stopped beforehand.
"""

from mimosaridge_core.jobs import runtimes
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import timing


def check(st: state.State, owner: state.Owner, out: list) -> None:
    """Stops runs that would not finish before their draining worker leaves."""
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
        stopping.stop(st, owner, worker, run, "worker is draining", out)
        return
    if runtimes.remaining_s(st, run, group.expected) <= left_s:
        return
    if group.step.checkpoints and left_s > 0:
        # Stopping as late as possible leaves more work in the checkpoint.
        return
    stopping.stop(st, owner, worker, run, "worker is draining", out)
