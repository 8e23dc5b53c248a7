"""Setting aside workers that fail what they are given, and probing them.

A work that has failed on two workers counts against neither of them.
"""

from mimosaridge_core import account
from mimosaridge_core import policies
from mimosaridge_core import queueing
from mimosaridge_core import rooms
from mimosaridge_core import starting
from mimosaridge_core import state
from mimosaridge_core import works

FAILED_WORKS = 3
ASIDE_PART = 4
FIRST_PROBE_S = 5.0
LAST_PROBE_S = 300.0
KEPT_WORKS = 1000


def succeeded(shard: state.Shard, worker: state.Worker) -> None:
    """Takes a worker's success; one that was set aside takes work again."""
    worker.failed_ids.clear()
    worker.quarantine_s = 0.0
    if shard.quarantined.pop(worker.host.worker_id, None) is not None:
        rooms.reindex(shard, worker)


def failed(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    task: works.Task,
    out: list,
) -> None:
    """Takes the failure of a task that nobody stopped."""
    if not policies.in_force(st).sets_aside:
        return
    worker_id = worker.host.worker_id
    if not _is_blamed(shard, worker_id, task.work_id):
        return
    worker.failed_ids.add(task.work_id)
    if worker_id in shard.quarantined:
        _set_aside(st, shard, worker, out)
    elif len(worker.failed_ids) >= FAILED_WORKS:
        most = max(1, len(shard.workers) // ASIDE_PART)
        if len(shard.quarantined) < most:
            _set_aside(st, shard, worker, out)


def _is_blamed(shard: state.Shard, worker_id: str, work_id: str) -> bool:
    """Tells whether a work's failure speaks against the worker."""
    first = shard.failed_on.setdefault(work_id, worker_id)
    if len(shard.failed_on) > KEPT_WORKS:
        del shard.failed_on[next(iter(shard.failed_on))]
    if first == worker_id:
        return True
    if first in shard.workers:
        shard.workers[first].failed_ids.discard(work_id)
    return False


def _set_aside(
    st: state.State, shard: state.Shard, worker: state.Worker, out: list
) -> None:
    wait_s = min(LAST_PROBE_S, max(FIRST_PROBE_S, 2 * worker.quarantine_s))
    worker.quarantine_s = wait_s
    shard.quarantined[worker.host.worker_id] = st.now + wait_s
    rooms.reindex(shard, worker)
    text = (
        f"Worker {worker.host.worker_id} failed {len(worker.failed_ids)} works"
        f" and finished none; it is set aside and probed in {wait_s:.0f} s."
    )
    state.log_decision(st, out, account.Rule.HEALTH, text, epoch=shard.epoch)


def probe(
    st: state.State, shard: state.Shard, waiting: queueing.Waiting, out: list
) -> bool:
    """Gives one idempotent batch task to a worker whose probe is due."""
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
