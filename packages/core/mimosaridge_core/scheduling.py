"""Choosing the next waiting task and a worker for it."""

from mimosaridge_core import account
from mimosaridge_core import effects
from mimosaridge_core import fairness
from mimosaridge_core import queueing
from mimosaridge_core import rooms
from mimosaridge_core import settling
from mimosaridge_core import state
from mimosaridge_core import works


def schedule(st: state.State, shard: state.Shard, out: list) -> None:
    """Places waiting tasks: by urgency, then the team furthest below share."""
    if shard.releasing or shard.zone in st.config.zones_out:
        return
    for urgency in works.Urgency:
        lanes = shard.queue.open_lanes(urgency)
        while lanes:
            lane = fairness.next_lane(st, shard, lanes)
            waiting = shard.queue.head(urgency, lane)
            if waiting is None or not _try_place(st, shard, waiting, out):
                lanes.remove(lane)


def lacks_room(st: state.State, shard: state.Shard, task: works.Task) -> bool:
    """Tells whether room is all that keeps a waiting task from starting."""
    if not fairness.within_limit(st, shard, task):
        return False
    found = shard.index.find(st.config.policy, task.endpoint, task.needs)
    return found is None


def _try_place(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.Waiting,
    out: list,
) -> bool:
    task = waiting.task
    if not fairness.within_limit(st, shard, task):
        return False
    worker_id = shard.index.find(st.config.policy, task.endpoint, task.needs)
    if worker_id is None:
        return False
    shard.queue.remove((task.task_id, task.attempt))
    worker = shard.workers[worker_id]
    placed = state.Placed(task, works.Phase.HELD)
    rooms.take_room(shard, worker, placed)
    waited_ms = (st.now - waiting.since) * 1000
    if waiting.hold:
        placed.hold_until = st.now + st.tuning.hold_s
        text = f"Room on worker {worker_id} is held for it."
        settling.note_task(st, shard, task, account.Rule.RESERVATION, text, out)
        settling.tell(st, shard, task, works.Phase.HELD, worker, out)
        return True
    text = (
        f"Placed on worker {worker_id} by {st.config.policy}"
        f" after {waited_ms:.0f} ms in {shard.name}."
    )
    settling.note_task(st, shard, task, account.Rule.PLACEMENT, text, out)
    send_start(shard, worker, placed, out)
    return True


def send_start(
    shard: state.Shard,
    worker: state.Worker,
    placed: state.Placed,
    out: list,
) -> None:
    """Starts a task that has room on a worker."""
    placed.phase = works.Phase.PLACING
    out.append(
        effects.StartTask(
            worker.host.worker_id,
            worker.host.url,
            shard.epoch,
            worker.claim,
            placed.task,
        )
    )
