"""Stops of tasks, and evacuation of zones and workers that are leaving."""

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import settling
from mimosaridge_core import state
from mimosaridge_core import works


def stop(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    placed: state.Placed,
    code: codes.Code,
    rule: account.Rule,
    text: str,
    out: list,
) -> None:
    """Stops a task by a decision of the owner, unless it is stopping."""
    if placed.stopping:
        return
    placed.stop_code = code
    settling.record_decision(st, shard, placed.task, rule, text, out, code)
    send_stop(st, shard, worker, placed, out)


def send_stop(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    placed: state.Placed,
    out: list,
) -> None:
    """Sends a stop and schedules resends until the task's end is reported."""
    key = (placed.task.task_id, placed.task.attempt)
    placed.stopping = True
    shard.stops[(worker.host.worker_id, key)] = st.now + st.tuning.resend_s
    out.append(
        effects.StopTask(
            worker.host.worker_id,
            worker.host.url,
            shard.epoch,
            *key,
            checkpoint=placed.stop_code in codes.RESUMABLE,
        )
    )


@dispatch.every_tick
def _resend_stops(st: state.State, out: list) -> None:
    for shard in st.shards.values():
        for stop, due in list(shard.stops.items()):
            worker_id, key = stop
            worker = shard.workers.get(worker_id)
            if worker is None or key not in worker.placed:
                del shard.stops[stop]
            elif due <= st.now and worker.claimed:
                send_stop(st, shard, worker, worker.placed[key], out)


@dispatch.every_tick
def _move_tasks(st: state.State, out: list) -> None:
    for shard in st.shards.values():
        if shard.zone in st.config.zones_out:
            _return_waiting(st, shard, out)
        if shard.move_at <= st.now:
            _move_next(st, shard, out)


def _return_waiting(st: state.State, shard: state.Shard, out: list) -> None:
    """Returns waiting tasks to their homes, which send them elsewhere."""
    outcome = works.Outcome(
        codes.Code.NO_ROOM, f"Zone {shard.zone} was taken out of service."
    )
    for key in list(shard.queue.waiting):
        task = shard.queue.remove(key).task
        settling.settle(st, shard, task, works.Phase.NOT_RUN, outcome, "", out)


def _must_leave(
    st: state.State, shard: state.Shard, worker: state.Worker
) -> bool:
    return shard.zone in st.config.zones_out or worker.leaving


def _move_next(st: state.State, shard: state.Shard, out: list) -> None:
    """Stops the most urgent of the tasks that must move."""
    candidates = [
        (placed.task.urgency, key, worker)
        for worker in shard.workers.values()
        if worker.claimed and _must_leave(st, shard, worker)
        for key, placed in worker.placed.items()
        if _can_move(placed)
    ]
    if not candidates:
        return
    shard.move_at = st.now + 1.0 / st.tuning.moves_per_s
    _, key, worker = min(candidates, key=lambda item: item[:2])
    text = f"Stopped on worker {worker.host.worker_id}, to resume elsewhere."
    stop(
        st,
        shard,
        worker,
        worker.placed[key],
        codes.Code.MOVED,
        account.Rule.ROUTING,
        text,
        out,
    )


def _can_move(placed: state.Placed) -> bool:
    """Returns whether a task may be moved.

    Requests are short and are left to end; other tasks are moved if they are
    idempotent.
    """
    task = placed.task
    return (
        placed.phase == works.Phase.RUNNING
        and not placed.stopping
        and not placed.orphaned
        and task.idempotent
        and task.kind != works.Kind.REQUEST
    )
