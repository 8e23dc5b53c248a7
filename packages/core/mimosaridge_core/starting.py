"""Placement of a waiting task on a worker, and its start."""

import heapq

from mimosaridge_core import account
from mimosaridge_core import effects
from mimosaridge_core import policies
from mimosaridge_core import queueing
from mimosaridge_core import settling
from mimosaridge_core import shardworkers
from mimosaridge_core import state
from mimosaridge_core import works


def place(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.WaitingTask,
    worker: state.Worker,
    out: list,
) -> None:
    """Removes a task from the queue and starts or holds it on a worker."""
    task = waiting.task
    shard.queue.remove((task.task_id, task.attempt))
    worker_id = worker.host.worker_id
    placed = state.Placed(task, works.Phase.HELD)
    shardworkers.allocate(shard, worker, placed)
    waited_ms = (st.now - waiting.queued_at) * 1000
    if waiting.hold:
        placed.hold_until = st.now + st.tuning.hold_s
        if policies.active(st).reserves:
            placed.hold_until = st.now + st.tuning.gang_hold_s
        key = (task.task_id, task.attempt)
        heapq.heappush(shard.holds, (placed.hold_until, key))
        text = f"Resources on worker {worker_id} are held for the task."
        settling.record_decision(
            st, shard, task, account.Rule.RESERVATION, text, out
        )
        settling.send_update(st, shard, task, works.Phase.HELD, worker, out)
        return
    text = (
        f"Placed on worker {worker_id} by {st.config.policy}"
        f" after {waited_ms:.0f} ms in {shard.name}."
    )
    settling.record_decision(st, shard, task, account.Rule.PLACEMENT, text, out)
    send_start(st, shard, worker, placed, out)


def send_start(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    placed: state.Placed,
    out: list,
) -> None:
    """Starts a task for which a worker's resources are allocated."""
    placed.phase = works.Phase.PLACING
    out.append(
        effects.StartTask(
            worker.host.worker_id,
            worker.host.url,
            shard.epoch,
            worker.claim,
            placed.task,
            min(placed.task.start_before, st.now + st.tuning.start_timeout_s),
        )
    )
