"""Choosing the next waiting task and a worker for it."""

import heapq

from mimosaridge_core import account
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import fairness
from mimosaridge_core import queueing
from mimosaridge_core import resources
from mimosaridge_core import rooms
from mimosaridge_core import settling
from mimosaridge_core import state
from mimosaridge_core import works


class Pass:
    """What one pass over the lanes has learned; room only shrinks in it.

    Attributes:
        claims: Each team's claim on its share, until it gets more room.
        refused: For each endpoint, needs that found no worker.
    """

    def __init__(self) -> None:
        self.claims: dict[str, float] = {}
        self.refused: dict[str, list[resources.Resources]] = {}

    def claim(self, st: state.State, shard: state.Shard, team: str) -> float:
        """Returns a team's claim on its share."""
        claim = self.claims.get(team)
        if claim is None:
            claim = fairness.claim_on_share(st, shard, team)
            self.claims[team] = claim
        return claim

    def is_refused(self, task: works.Task) -> bool:
        """Tells whether a task that needs no more found no worker."""
        refused = self.refused.get(task.endpoint, ())
        return any(needs.fits(task.needs) for needs in refused)

    def refuse(self, task: works.Task) -> None:
        """Notes that a task found no worker."""
        self.refused.setdefault(task.endpoint, []).append(task.needs)


def schedule(st: state.State, shard: state.Shard, out: list) -> None:
    """Places waiting tasks: by urgency, then the team furthest below share.

    Whatever frees room, lifts a limit or brings a zone back calls this, so
    that between two calls no waiting task can be placed but a new one.
    """
    if _is_closed(st, shard):
        return
    learned = Pass()
    for urgency in works.Urgency:
        _schedule_class(st, shard, urgency, learned, out)


def schedule_new(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.Waiting,
    out: list,
) -> None:
    """Places a task that was just added, if it is the first of its lane."""
    if _is_closed(st, shard):
        return
    task = waiting.task
    lane = (task.team, task.endpoint)
    if shard.queue.head(task.urgency, lane) is waiting:
        _try_place(st, shard, waiting, Pass(), out)


def _is_closed(st: state.State, shard: state.Shard) -> bool:
    return shard.releasing or shard.zone in st.config.zones_out


@dispatch.when_configured
def schedule_all(st: state.State, out: list) -> None:
    """Places what a new configuration allows."""
    for shard in st.shards.values():
        schedule(st, shard, out)


def _may_place(
    shard: state.Shard, urgency: works.Urgency, lane: queueing.Lane
) -> bool:
    waiting = shard.queue.head(urgency, lane)
    if waiting is None:
        return False
    return waiting.task.needs.slots <= 0 or not shard.index.is_full(lane[1])


def _schedule_class(
    st: state.State,
    shard: state.Shard,
    urgency: works.Urgency,
    learned: Pass,
    out: list,
) -> None:
    lanes = [
        (learned.claim(st, shard, lane[0]), position, lane)
        for position, lane in enumerate(shard.queue.open_lanes(urgency))
        if _may_place(shard, urgency, lane)
    ]
    heapq.heapify(lanes)
    while lanes:
        claim, position, lane = heapq.heappop(lanes)
        present = learned.claim(st, shard, lane[0])
        if present != claim:
            heapq.heappush(lanes, (present, position, lane))
            continue
        waiting = shard.queue.head(urgency, lane)
        if waiting is None:
            continue
        if _try_place(st, shard, waiting, learned, out):
            learned.claims.pop(lane[0], None)
            present = learned.claim(st, shard, lane[0])
            heapq.heappush(lanes, (present, position, lane))


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
    learned: Pass,
    out: list,
) -> bool:
    task = waiting.task
    if learned.is_refused(task):
        return False
    if not fairness.within_limit(st, shard, task):
        return False
    worker_id = shard.index.find(st.config.policy, task.endpoint, task.needs)
    if worker_id is None:
        learned.refuse(task)
        return False
    shard.queue.remove((task.task_id, task.attempt))
    worker = shard.workers[worker_id]
    placed = state.Placed(task, works.Phase.HELD)
    rooms.take_room(shard, worker, placed)
    waited_ms = (st.now - waiting.since) * 1000
    if waiting.hold:
        placed.hold_until = st.now + st.tuning.hold_s
        key = (task.task_id, task.attempt)
        heapq.heappush(shard.holds, (placed.hold_until, key))
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
