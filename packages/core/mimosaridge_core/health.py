"""Quarantine and probing of workers on which tasks fail repeatedly.

Work that has failed on two workers counts against neither of them.
"""

from mimosaridge_core import account
from mimosaridge_core import policies
from mimosaridge_core import queueing
from mimosaridge_core import shardworkers
from mimosaridge_core import starting
from mimosaridge_core import state
from mimosaridge_core import works

FAILED_WORKS_THRESHOLD = 3
QUARANTINED_WORKERS_DIVISOR = 4
MIN_PROBE_DELAY_S = 5.0
MAX_PROBE_DELAY_S = 300.0
MAX_TRACKED_WORKS = 1000


def record_success(shard: state.Shard, worker: state.Worker) -> None:
    """Records a task's success and ends the worker's quarantine."""
    worker.failed_ids.clear()
    worker.quarantine_s = 0.0
    if shard.quarantined.pop(worker.host.worker_id, None) is not None:
        shardworkers.update_index(shard, worker)


def record_failure(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    task: works.Task,
    out: list,
) -> None:
    """Records the failure of a task that was not stopped."""
    if not policies.active(st).quarantines:
        return
    worker_id = worker.host.worker_id
    if not _counts_against_worker(shard, worker_id, task.work_id):
        return
    worker.failed_ids.add(task.work_id)
    if worker_id in shard.quarantined:
        _quarantine(st, shard, worker, out)
    elif len(worker.failed_ids) >= FAILED_WORKS_THRESHOLD:
        max_quarantined = max(
            1, len(shard.workers) // QUARANTINED_WORKERS_DIVISOR
        )
        if len(shard.quarantined) < max_quarantined:
            _quarantine(st, shard, worker, out)


def _counts_against_worker(
    shard: state.Shard, worker_id: str, work_id: str
) -> bool:
    """Returns whether the failure of some work counts against the worker."""
    first = shard.failed_on.setdefault(work_id, worker_id)
    if len(shard.failed_on) > MAX_TRACKED_WORKS:
        del shard.failed_on[next(iter(shard.failed_on))]
    if first == worker_id:
        return True
    if first in shard.workers:
        shard.workers[first].failed_ids.discard(work_id)
    return False


def _quarantine(
    st: state.State, shard: state.Shard, worker: state.Worker, out: list
) -> None:
    wait_s = min(
        MAX_PROBE_DELAY_S, max(MIN_PROBE_DELAY_S, 2 * worker.quarantine_s)
    )
    worker.quarantine_s = wait_s
    shard.quarantined[worker.host.worker_id] = st.now + wait_s
    shardworkers.update_index(shard, worker)
    text = (
        f"Worker {worker.host.worker_id} failed {len(worker.failed_ids)} work"
        f" items and completed none; quarantined, next probe in {wait_s:.0f} s."
    )
    state.log_decision(st, out, account.Rule.HEALTH, text, epoch=shard.epoch)


def probe(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.WaitingTask,
    out: list,
) -> bool:
    """Places an idempotent batch task on a worker whose probe is due.

    Returns:
        Whether the task was placed.
    """
    task = waiting.task
    if task.kind != works.Kind.BATCH or not task.idempotent:
        return False
    for worker_id, probe_at in shard.quarantined.items():
        worker = shard.workers.get(worker_id)
        if worker is None or probe_at > st.now or worker.placed:
            continue
        fits = task.needs.fits(worker.free)
        if fits and task.endpoint in ("", worker.host.endpoint):
            starting.place(st, shard, waiting, worker, out)
            return True
    return False
