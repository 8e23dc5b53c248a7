"""Handles workers' reports to the owner of their shard.

A worker refuses starts with a lower epoch or claim number than its latest. The
tasks reported with a claim are therefore all that run, or will ever run, as a
result of earlier starts.
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
def _on_worker_claimed(
    st: state.State, event: events.WorkerClaimed, out: list
) -> None:
    found = shardworkers.find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    worker.claim = event.claim
    worker.claimed = True
    worker.reachable = True
    worker.owned_elsewhere = False
    worker.lease_ends = shards.lease_end(st, event.now)
    worker.leaving = event.leaving or worker.host.leaving
    reported = {
        (item.task.task_id, item.task.attempt): item for item in event.tasks
    }
    for key in list(worker.placed):
        if key not in reported and worker.placed[key].phase != works.Phase.HELD:
            _settle_missing(st, shard, worker, key, out)
    for key, item in reported.items():
        _apply_report(st, shard, worker, key, item, out)
    shardworkers.update_index(shard, worker)
    scheduling.schedule(st, shard, out)


def _settle_missing(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    key: state.TaskKey,
    out: list,
) -> None:
    placed = shardworkers.release(shard, worker, key)
    if placed.orphaned:
        return
    never_started = placed.phase == works.Phase.PLACING
    if never_started:
        outcome = works.Outcome(
            codes.Code.NOT_RUN, "The worker never started the task."
        )
        phase = works.Phase.NOT_RUN
    else:
        outcome = works.Outcome(
            codes.Code.UNKNOWN, "The worker no longer has the task."
        )
        phase = works.Phase.UNKNOWN
    settling.settle(st, shard, placed.task, phase, outcome, "", out)


def _apply_report(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    key: state.TaskKey,
    item: events.ReportedTask,
    out: list,
) -> None:
    worker_id = worker.host.worker_id
    is_elsewhere = shard.placed_on.get(key, worker_id) != worker_id
    if not item.ended:
        stray = is_elsewhere or key in shard.ended
        _apply_running(st, shard, worker, item.task, stray, out)
        return
    placed = shardworkers.release(shard, worker, key)
    if not is_elsewhere and key not in shard.ended:
        shard.queue.remove(key)
        stop_code = placed.stop_code if placed else codes.Code.OK
        _settle_ended(st, shard, worker, item.task, item, out, stop_code)


def _apply_running(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    task: works.Task,
    stray: bool,
    out: list,
) -> None:
    key = (task.task_id, task.attempt)
    if key not in worker.placed:
        placed = state.Placed(task, works.Phase.RUNNING, orphaned=stray)
        shardworkers.allocate(shard, worker, placed)
    placed = worker.placed[key]
    placed.phase = works.Phase.RUNNING
    if placed.orphaned:
        stopping.send_stop(st, shard, worker, placed, out)
        return
    shard.queue.remove(key)
    settling.send_update(st, shard, task, works.Phase.RUNNING, worker, out)


@dispatch.handles(events.WorkerRenewed)
def _on_worker_renewed(
    st: state.State, event: events.WorkerRenewed, out: list
) -> None:
    found = shardworkers.find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    worker.lease_ends = shards.lease_end(st, event.now)
    if event.leaving and not worker.leaving:
        worker.leaving = True
        shardworkers.update_index(shard, worker)


@dispatch.handles(events.WorkerLost)
def _on_worker_lost(
    st: state.State, event: events.WorkerLost, out: list
) -> None:
    found = shardworkers.find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    was_reachable = worker.reachable
    worker.reachable = False
    called_until = shards.lease_end(st, event.called_at)
    worker.lease_ends = max(worker.lease_ends, called_until)
    shardworkers.update_index(shard, worker)
    if event.code == codes.Code.STALE_EPOCH:
        worker.owned_elsewhere = True
        if worker.listed:
            partitions.reclaim(st, shard.name, out)
    if not was_reachable:
        return
    state.log_decision(
        st,
        out,
        account.Rule.MEMBERSHIP,
        f"Worker {event.worker_id} is lost: {codes.MEANINGS[event.code]}",
        code=event.code,
        epoch=event.epoch,
    )


@dispatch.handles(events.StartAnswered)
def _on_start_answered(
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
        settling.record_decision(
            st,
            shard,
            placed.task,
            account.Rule.STARTED,
            f"Worker {event.worker_id} started the task.",
            out,
        )
        settling.send_update(
            st, shard, placed.task, works.Phase.RUNNING, worker, out
        )
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
def _on_task_ended(st: state.State, event: events.TaskEnded, out: list) -> None:
    found = shardworkers.find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    placed = shardworkers.release(shard, worker, (event.task_id, event.attempt))
    if placed is None:
        return
    if not placed.orphaned:
        _settle_ended(
            st, shard, worker, placed.task, event, out, placed.stop_code
        )
    scheduling.schedule(st, shard, out)


def _settle_ended(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    task: works.Task,
    report: events.ReportedTask | events.TaskEnded,
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
