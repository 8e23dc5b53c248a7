"""Handlers for requests of homes to the owner of a shard."""

import dataclasses

from mimosaridge_core import buckets
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import messages
from mimosaridge_core import ownership
from mimosaridge_core import policies
from mimosaridge_core import queueing
from mimosaridge_core import reservations
from mimosaridge_core import scheduling
from mimosaridge_core import settling
from mimosaridge_core import shardworkers
from mimosaridge_core import starting
from mimosaridge_core import state
from mimosaridge_core import stopping
from mimosaridge_core import summaries
from mimosaridge_core import works


@dispatch.receives(messages.PlaceTask)
def _handle_place_task(
    st: state.State, sender: str, message: messages.PlaceTask, out: list
) -> None:
    shard = st.shards.get(message.shard)
    if shard is None or shard.releasing or shard.epoch != message.epoch:
        return
    task = message.task
    key = (task.task_id, task.attempt)
    if _handle_duplicate(st, shard, key, out):
        return
    if message.resent and not summaries.all_workers_reported(st, shard):
        return
    may_start = task.idempotent and task.start_before > st.now
    if message.resent and shard.unclaimed and not may_start:
        outcome = works.Outcome(
            codes.Code.UNKNOWN, "A worker that may have run the task is lost."
        )
        settling.settle(st, shard, task, works.Phase.UNKNOWN, outcome, "", out)
        return
    _enqueue(st, shard, sender, message, out)


def _handle_duplicate(
    st: state.State, shard: state.Shard, key: state.TaskKey, out: list
) -> bool:
    """Handles a request for a known task; returns whether it is known."""
    if shard.acknowledged.has_ended(*key):
        return True
    if key in shard.ended and not _update_epoch(shard, key):
        del shard.ended[key]
        return False
    if key in shard.ended:
        shard.ended[key].resend_at = st.now
        return True
    worker_id = shard.placed_on.get(key)
    if worker_id is not None:
        worker = shard.workers[worker_id]
        placed = worker.placed[key]
        if placed.phase in (works.Phase.RUNNING, works.Phase.HELD):
            settling.send_update(
                st, shard, placed.task, placed.phase, worker, out
            )
        return True
    return key in shard.queue.waiting


def _update_epoch(shard: state.Shard, key: state.TaskKey) -> bool:
    """Moves a result from an earlier epoch to the shard's current epoch.

    A home accepts the results "not run" and "unknown" only from the owner
    recorded in its ledger. A task that ran has run under any epoch, and an
    unknown result stays unknown. "Not run" cannot be carried over, because
    another owner may have started the task in between.

    Returns:
        Whether the result is valid under the current epoch.
    """
    update = shard.ended[key].update
    if update.epoch == shard.epoch:
        return True
    if update.phase == works.Phase.NOT_RUN:
        return False
    shard.ended[key].update = dataclasses.replace(update, epoch=shard.epoch)
    return True


def _enqueue(
    st: state.State,
    shard: state.Shard,
    sender: str,
    message: messages.PlaceTask,
    out: list,
) -> None:
    task = message.task
    refusal = _refusal(st, shard, task)
    if refusal is not None:
        settling.settle(st, shard, task, works.Phase.NOT_RUN, refusal, "", out)
        return
    until = task.start_before
    if message.hold:
        until = min(until, st.now + st.tuning.hold_wait_s)
    waiting = queueing.WaitingTask(task, message.hold, sender, st.now, until)
    shard.queue.add(waiting)
    scheduling.schedule_new(st, shard, waiting, out)
    is_waiting = (task.task_id, task.attempt) in shard.queue.waiting
    if message.hold and is_waiting and policies.active(st).reserves:
        reservations.drain_worker(st, shard, waiting)


def _refusal(
    st: state.State, shard: state.Shard, task: works.Task
) -> works.Outcome | None:
    if task.start_before <= st.now:
        return works.Outcome(
            codes.Code.DEADLINE_PASSED,
            "The task's deadline passed before it reached the shard.",
        )
    if shard.zone in st.config.zones_out:
        return works.Outcome(
            codes.Code.NOT_RUN, f"Zone {shard.zone} was taken out of service."
        )
    if len(shard.queue) >= st.tuning.queue_limit:
        return works.Outcome(
            codes.Code.OVERLOADED, f"The queue of {shard.name} is full."
        )
    return None


@dispatch.receives(messages.StartHeld)
def _handle_start_held(
    st: state.State, sender: str, message: messages.StartHeld, out: list
) -> None:
    shard = st.shards.get(message.shard)
    key = (message.task_id, message.attempt)
    if shard is None or key not in shard.placed_on:
        return
    worker = shard.workers[shard.placed_on[key]]
    placed = worker.placed[key]
    if placed.phase != works.Phase.HELD:
        return
    if _may_start_held(st, shard, worker):
        starting.send_start(st, shard, worker, placed, out)
        return
    shardworkers.release(shard, worker, key)
    settling.settle_cancelled(st, shard, placed.task, out)


def _may_start_held(
    st: state.State, shard: state.Shard, worker: state.Worker
) -> bool:
    return (
        summaries.accepts_tasks(worker)
        and shard.zone not in st.config.zones_out
        and ownership.may_start(st, shard)
    )


@dispatch.receives(messages.CancelTask)
def _handle_cancel_task(
    st: state.State, sender: str, message: messages.CancelTask, out: list
) -> None:
    shard = st.shards.get(message.shard)
    if shard is None:
        return
    key = (message.task_id, message.attempt)
    waiting = shard.queue.remove(key)
    if waiting is not None:
        settling.settle_cancelled(st, shard, waiting.task, out)
        return
    if key not in shard.placed_on:
        return
    worker = shard.workers[shard.placed_on[key]]
    placed = worker.placed[key]
    if placed.phase == works.Phase.HELD:
        shardworkers.release(shard, worker, key)
        settling.settle_cancelled(st, shard, placed.task, out)
        scheduling.schedule(st, shard, out)
        return
    stopping.send_stop(st, shard, worker, placed, out)


@dispatch.receives(messages.UpdateTaken)
def _handle_update_taken(
    st: state.State, sender: str, message: messages.UpdateTaken, out: list
) -> None:
    shard = st.shards.get(message.shard)
    if shard is None:
        return
    ended = shard.ended.pop((message.task_id, message.attempt), None)
    if ended is not None:
        if ended.home.startswith(buckets.PREFIX):
            until = ended.start_before + st.tuning.skew_s
            shard.acknowledged.add(message.task_id, message.attempt, until)
        settling.send_forget(shard, ended, out)
