"""Return of waiting tasks to their homes if another shard has capacity."""

from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import messages
from mimosaridge_core import policies
from mimosaridge_core import preemption
from mimosaridge_core import queueing
from mimosaridge_core import resources
from mimosaridge_core import routing
from mimosaridge_core import scheduling
from mimosaridge_core import settling
from mimosaridge_core import state
from mimosaridge_core import works


@dispatch.every_tick
def _rebalance(st: state.State, out: list) -> None:
    if st.now < st.rebalance_at:
        return
    st.rebalance_at = st.now + st.tuning.rebalance_s
    if not any(len(shard.queue) for shard in st.shards.values()):
        return
    rooms = _copy_rooms(st)
    policy = policies.active(st)
    pass_states = {name: scheduling.PassState(policy) for name in st.shards}
    for shard in st.shards.values():
        for lane in shard.queue.active_lanes():
            pass_state = pass_states[shard.name]
            _return_tasks(st, shard, lane, rooms, pass_state, out)


def _copy_rooms(st: state.State) -> dict[str, list[messages.Room]]:
    """Returns copies of the free capacity of all shards that accept work."""
    return {
        summary.shard: [
            messages.Room(
                room.endpoint,
                room.free,
                room.capacity,
                room.widest_free,
                room.widest,
            )
            for room in summary.rooms
        ]
        for summary in routing.shard_summaries(st)
        if summary.ready and summary.zone not in st.config.zones_out
    }


def _return_tasks(
    st: state.State,
    shard: state.Shard,
    lane: queueing.Lane,
    rooms: dict[str, list[messages.Room]],
    pass_state: scheduling.PassState,
    out: list,
) -> None:
    waiting = shard.queue.head(lane)
    while waiting is not None and _should_move(
        st, shard, waiting, rooms, pass_state
    ):
        task = waiting.task
        shard.queue.remove((task.task_id, task.attempt))
        outcome = works.Outcome(
            codes.Code.NO_ROOM,
            f"{shard.name} has no free capacity, another shard has.",
        )
        settling.settle(st, shard, task, works.Phase.NOT_RUN, outcome, "", out)
        waiting = shard.queue.head(lane)


def _should_move(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.WaitingTask,
    rooms: dict[str, list[messages.Room]],
    pass_state: scheduling.PassState,
) -> bool:
    """Returns whether a task is returned; deducts its needs elsewhere."""
    task = waiting.task
    if st.now - waiting.queued_at < st.tuning.rebalance_s:
        return False
    if pass_state.is_unplaceable(task) or not scheduling.lacks_room(
        st, shard, task
    ):
        return False
    may_pass = policies.active(st).preempts and len(rooms) > 1
    if may_pass and preemption.should_move(st, shard, waiting):
        return True
    for name, candidates in rooms.items():
        if name == shard.name:
            continue
        for room in candidates:
            if _has_room(room, task.endpoint, task.needs):
                room.free = room.free - task.needs
                return True
    pass_state.mark_unplaceable(task)
    return False


def _has_room(
    room: messages.Room, endpoint: str, needs: resources.Resources
) -> bool:
    if endpoint not in ("", room.endpoint):
        return False
    return needs.fits(room.widest_free) and needs.fits(room.free)
