"""Choosing the next waiting task and a worker for it."""

from mimosaridge_core import account
from mimosaridge_core import effects
from mimosaridge_core import fairness
from mimosaridge_core import policies
from mimosaridge_core import queueing
from mimosaridge_core import rooms
from mimosaridge_core import settling
from mimosaridge_core import state
from mimosaridge_core import works


def schedule(st: state.State, shard: state.Shard, out: list) -> None:
    """Places waiting tasks in the order of the policy in force."""
    if shard.releasing or shard.zone in st.config.zones_out:
        return
    chosen = policies.in_force(st)
    lanes = shard.queue.open_lanes()
    if not chosen.by_urgency:
        _place_lanes(st, shard, chosen, lanes, out)
        return
    for urgency in works.Urgency:
        same = [lane for lane in lanes if lane.urgency == urgency]
        _place_lanes(st, shard, chosen, same, out)


def _place_lanes(
    st: state.State,
    shard: state.Shard,
    chosen: policies.Policy,
    lanes: list[queueing.Lane],
    out: list,
) -> None:
    while lanes:
        lane = chosen.order(st, shard, lanes)
        waiting = shard.queue.head(lane)
        if waiting is None:
            lanes.remove(lane)
        elif not _try_place(st, shard, chosen, waiting, out):
            lanes[:] = [
                other for other in lanes if _passes(chosen, lane, other)
            ]


def _passes(
    chosen: policies.Policy, blocked: queueing.Lane, other: queueing.Lane
) -> bool:
    """Tells whether a lane may go on although another is blocked."""
    if not chosen.overtakes and other.endpoint == blocked.endpoint:
        return False
    return other != blocked


def _try_place(
    st: state.State,
    shard: state.Shard,
    chosen: policies.Policy,
    waiting: queueing.Waiting,
    out: list,
) -> bool:
    task = waiting.task
    if not fairness.within_limit(st, shard, task):
        return False
    worker_id = shard.index.find(chosen.fit, task.endpoint, task.needs)
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
