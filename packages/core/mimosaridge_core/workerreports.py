"""What workers report to the owner of their shard.

A worker refuses starts that carry an older epoch or claim than its latest, so
what a claim reports is all that runs or ever will run of earlier starts.
"""

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import events
from mimosaridge_core import health
from mimosaridge_core import partitions
from mimosaridge_core import scheduling
from mimosaridge_core import settling
from mimosaridge_core import shards
from mimosaridge_core import shardworkers
from mimosaridge_core import state
from mimosaridge_core import stopping
from mimosaridge_core import works


@dispatch.handles(events.WorkerClaimed)
def _claimed(st: state.State, event: events.WorkerClaimed, out: list) -> None:
    found = shardworkers.find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    worker.claim = event.claim
    worker.heard = True
    worker.reachable = True
    worker.displaced = False
    worker.lease_ends = shards.lease_end(st, event.now)
    worker.leaving = event.leaving or worker.host.leaving
    held = {
        (item.task.task_id, item.task.attempt): item for item in event.tasks
    }
    for key in list(worker.placed):
        if key not in held and worker.placed[key].phase != works.Phase.HELD:
            _vanished(st, shard, worker, key, out)
    for key, item in held.items():
        _take_report(st, shard, worker, key, item, out)
    shardworkers.update_index(shard, worker)
    scheduling.schedule(st, shard, out)


def _vanished(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    key: state.TaskKey,
    out: list,
) -> None:
    placed = shardworkers.release(shard, worker, key)
    if placed.stray:
        return
    never_started = placed.phase == works.Phase.PLACING
    if never_started:
        outcome = works.Outcome(
            codes.Code.NOT_RUN, "The worker never started it."
        )
        phase = works.Phase.NOT_RUN
    else:
        outcome = works.Outcome(
            codes.Code.UNKNOWN, "The worker no longer knows it."
        )
        phase = works.Phase.UNKNOWN
    settling.settle(st, shard, placed.task, phase, outcome, "", out)


def _take_report(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    key: state.TaskKey,
    item: events.HeldTask,
    out: list,
) -> None:
    worker_id = worker.host.worker_id
    elsewhere = shard.places.get(key, worker_id) != worker_id
    if not item.ended:
        stray = elsewhere or key in shard.ended
        _take_running(st, shard, worker, item.task, stray, out)
        return
    placed = shardworkers.release(shard, worker, key)
    if not elsewhere and key not in shard.ended:
        shard.queue.remove(key)
        stop_code = placed.stop_code if placed else codes.Code.OK
        _ended(st, shard, worker, item.task, item, out, stop_code)


def _take_running(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    task: works.Task,
    stray: bool,
    out: list,
) -> None:
    key = (task.task_id, task.attempt)
    if key not in worker.placed:
        placed = state.Placed(task, works.Phase.RUNNING, stray=stray)
        shardworkers.allocate(shard, worker, placed)
    placed = worker.placed[key]
    placed.phase = works.Phase.RUNNING
    if placed.stray:
        stopping.send_stop(st, shard, worker, placed, out)
        return
    shard.queue.remove(key)
    settling.tell(st, shard, task, works.Phase.RUNNING, worker, out)


@dispatch.handles(events.WorkerRenewed)
def _renewed(st: state.State, event: events.WorkerRenewed, out: list) -> None:
    found = shardworkers.find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    worker.lease_ends = shards.lease_end(st, event.now)
    if event.leaving and not worker.leaving:
        worker.leaving = True
        shardworkers.update_index(shard, worker)


@dispatch.handles(events.WorkerLost)
def _lost(st: state.State, event: events.WorkerLost, out: list) -> None:
    found = shardworkers.find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    lost = worker.reachable
    worker.reachable = False
    called_until = shards.lease_end(st, event.called_at)
    worker.lease_ends = max(worker.lease_ends, called_until)
    shardworkers.update_index(shard, worker)
    if event.code == codes.Code.STALE_EPOCH:
        worker.displaced = True
        if worker.listed:
            partitions.claim_again(st, shard.name, out)
    if not lost:
        return
    state.note(
        st,
        out,
        account.Rule.MEMBERSHIP,
        f"Worker {event.worker_id} is lost: {codes.MEANINGS[event.code]}",
        code=event.code,
        epoch=event.epoch,
    )


@dispatch.handles(events.StartAnswered)
def _start_answered(
    st: state.State, event: events.StartAnswered, out: list
) -> None:
    found = shardworkers.find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    key = (event.task_id, event.attempt)
    placed = worker.placed.get(key)
    if placed is None or placed.phase != works.Phase.PLACING:
        return
    if event.code == codes.Code.OK:
        placed.phase = works.Phase.RUNNING
        settling.note_task(
            st,
            shard,
            placed.task,
            account.Rule.STARTED,
            f"Worker {event.worker_id} started it.",
            out,
        )
        settling.tell(st, shard, placed.task, works.Phase.RUNNING, worker, out)
    elif event.code != codes.Code.UNKNOWN:
        shardworkers.release(shard, worker, key)
        outcome = works.Outcome(
            codes.Code.NOT_RUN,
            f"Worker {event.worker_id} refused the start:"
            f" {codes.MEANINGS[event.code]}",
        )
        settling.settle(
            st, shard, placed.task, works.Phase.NOT_RUN, outcome, "", out
        )
        scheduling.schedule(st, shard, out)


@dispatch.handles(events.TaskEnded)
def _task_ended(st: state.State, event: events.TaskEnded, out: list) -> None:
    found = shardworkers.find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    placed = shardworkers.release(shard, worker, (event.task_id, event.attempt))
    if placed is None:
        return
    if not placed.stray:
        _ended(st, shard, worker, placed.task, event, out, placed.stop_code)
    scheduling.schedule(st, shard, out)


def _ended(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    task: works.Task,
    report: events.HeldTask | events.TaskEnded,
    out: list,
    stop_code: codes.Code,
) -> None:
    if report.ok:
        health.record_success(shard, worker)
        phase = works.Phase.DONE
        outcome = works.Outcome(codes.Code.OK, "", report.answer)
    else:
        phase = works.Phase.FAILED
        code = stop_code or codes.Code.TASK_FAILED
        if code == codes.Code.TASK_FAILED:
            health.record_failure(st, shard, worker, task, out)
        outcome = works.Outcome(code, report.detail, report.answer)
    settling.settle(st, shard, task, phase, outcome, worker.host.worker_id, out)
