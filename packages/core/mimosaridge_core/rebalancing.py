"""Giving waiting tasks back to their homes while another shard has room."""

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
    rooms = _rooms(st)
    chosen = policies.in_force(st)
    elsewhere = {name: scheduling.Pass(chosen) for name in st.shards}
    for shard in st.shards.values():
        for lane in shard.queue.open_lanes():
            learned = elsewhere[shard.name]
            _give_back(st, shard, lane, rooms, learned, out)


def _rooms(st: state.State) -> dict[str, list[messages.Room]]:
    """Returns copies of the rooms of all shards that take work."""
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
        for summary in routing.known_summaries(st)
        if summary.ready and summary.zone not in st.config.zones_out
    }


def _give_back(
    st: state.State,
    shard: state.Shard,
    lane: queueing.Lane,
    rooms: dict[str, list[messages.Room]],
    learned: scheduling.Pass,
    out: list,
) -> None:
    waiting = shard.queue.head(lane)
    while waiting is not None and _moves(st, shard, waiting, rooms, learned):
        task = waiting.task
        shard.queue.remove((task.task_id, task.attempt))
        outcome = works.Outcome(
            codes.Code.NO_ROOM,
            f"{shard.name} has no room now and another shard has.",
        )
        settling.settle(st, shard, task, works.Phase.NOT_RUN, outcome, "", out)
        waiting = shard.queue.head(lane)


def _moves(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.Waiting,
    rooms: dict[str, list[messages.Room]],
    learned: scheduling.Pass,
) -> bool:
    """Tells whether a task goes back, and takes its room elsewhere."""
    task = waiting.task
    if st.now - waiting.since < st.tuning.rebalance_s:
        return False
    if learned.is_refused(task) or not scheduling.lacks_room(st, shard, task):
        return False
    may_pass = policies.in_force(st).preempts and len(rooms) > 1
    if may_pass and preemption.passes_on(st, shard, waiting):
        return True
    for name, candidates in rooms.items():
        if name == shard.name:
            continue
        for room in candidates:
            if _takes(room, task.endpoint, task.needs):
                room.free = room.free - task.needs
                return True
    learned.refuse(task)
    return False


def _takes(
    room: messages.Room, endpoint: str, needs: resources.Resources
) -> bool:
    if endpoint not in ("", room.endpoint):
        return False
    return needs.fits(room.widest_free) and needs.fits(room.free)
