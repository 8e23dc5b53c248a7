"""Selection of the next waiting task and of a worker for it."""

import heapq
import math

from mimosaridge_core import dispatch
from mimosaridge_core import fairness
from mimosaridge_core import health
from mimosaridge_core import ownership
from mimosaridge_core import policies
from mimosaridge_core import preemption
from mimosaridge_core import queueing
from mimosaridge_core import ramp
from mimosaridge_core import reservations
from mimosaridge_core import resources
from mimosaridge_core import starting
from mimosaridge_core import state
from mimosaridge_core import works

DRAIN_AFTER_S = 1.0
URGENCY_CLASSES = {
    False: tuple((urgency,) for urgency in works.Urgency),
    True: (
        (works.Urgency.URGENT,),
        (works.Urgency.NORMAL, works.Urgency.BACKGROUND),
    ),
}


class PassState:
    """Results cached during one scheduling pass over the lanes.

    They stay valid because free resources only decrease during a pass.

    Attributes:
        policy: The active policy.
        claims: Each team's claim on its share; dropped when one of its tasks is
            placed.
        unplaceable: Needs for which no worker was found, by endpoint.
        blocked: Endpoints whose earliest task could not be placed, if the
            policy does not let later tasks overtake it.
    """

    def __init__(self, policy: policies.Policy) -> None:
        self.policy = policy
        self.blocked: set[str] = set()
        self.claims: dict[str, float] = {}
        self.unplaceable: dict[str, list[resources.Resources]] = {}

    def claim(self, st: state.State, shard: state.Shard, team: str) -> float:
        """Returns a team's claim on its share."""
        claim = self.claims.get(team)
        if claim is None:
            claim = self.policy.claim(st, shard, team)
            self.claims[team] = claim
        return claim

    def rank(
        self, st: state.State, shard: state.Shard, lane: queueing.Lane
    ) -> tuple[float, int]:
        """Returns the sort key of a lane; the lowest is placed first."""
        if self.policy.claim is not None:
            return self.claim(st, shard, lane.team), lane.urgency
        waiting = shard.queue.head(lane)
        return (waiting.queued_at if waiting else -math.inf), 0

    def is_unplaceable(self, task: works.Task) -> bool:
        """Returns whether no worker was found for the same or lower needs."""
        unplaceable = self.unplaceable.get(task.endpoint, ())
        return any(needs.fits(task.needs) for needs in unplaceable)

    def mark_unplaceable(self, task: works.Task) -> None:
        """Records that no worker was found for a task."""
        if not self.policy.overtakes:
            self.blocked.add(task.endpoint)
        self.unplaceable.setdefault(task.endpoint, []).append(task.needs)


def schedule(st: state.State, shard: state.Shard, out: list) -> None:
    """Places waiting tasks in the order of the active policy.

    Must be called whenever resources are released, a limit is raised or a zone
    returns, so that between two calls only new tasks can become placeable.
    """
    if _is_blocked(st, shard):
        return
    pass_state = PassState(policies.active(st))
    reservations.place_reserved(st, shard, out)
    lanes = shard.queue.active_lanes()
    if not pass_state.policy.by_urgency:
        _place_lanes(st, shard, lanes, pass_state, out)
        return
    for urgencies in URGENCY_CLASSES[pass_state.policy.merges_classes]:
        class_lanes = [lane for lane in lanes if lane.urgency in urgencies]
        _place_lanes(st, shard, class_lanes, pass_state, out)
        if works.Urgency.URGENT in urgencies and pass_state.policy.preempts:
            _preempt(st, shard, class_lanes, out)


def _preempt(
    st: state.State, shard: state.Shard, lanes: list[queueing.Lane], out: list
) -> None:
    """Preempts for the first task of each lane that still waits."""
    for lane in lanes:
        waiting = shard.queue.head(lane)
        if waiting is not None:
            preemption.make_room(st, shard, waiting, out)


@dispatch.every_tick
def _schedule_on_tick(st: state.State, out: list) -> None:
    for shard in st.shards.values():
        overdue = [
            item for item in shard.reserved.values() if item.until <= st.now
        ]
        if overdue or _is_ramping(st, shard):
            schedule(st, shard, out)


def _is_ramping(st: state.State, shard: state.Shard) -> bool:
    """Returns whether the zone's ramp may allow more waiting tasks to start."""
    if not shard.zone_returned_at or not len(shard.queue):
        return False
    if not ramp.is_active(st, shard):
        shard.zone_returned_at = 0.0
    return True


def schedule_new(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.WaitingTask,
    out: list,
) -> None:
    """Places a newly queued task if it is the first of its lane."""
    if _is_blocked(st, shard):
        return
    pass_state = PassState(policies.active(st))
    if not pass_state.policy.overtakes:
        schedule(st, shard, out)
    elif shard.queue.head(queueing.lane_of(waiting.task)) is waiting:
        placed = _try_place(st, shard, waiting, pass_state, out)
        if not placed and pass_state.policy.preempts:
            preemption.make_room(st, shard, waiting, out)


def _is_blocked(st: state.State, shard: state.Shard) -> bool:
    """Returns whether no task of a shard may start now.

    A late heartbeat may block a shard only between two ticks, so
    `shard.open` is cleared here as well. The tick that finds the shard open
    again schedules its waiting tasks.
    """
    if not ownership.may_start(st, shard):
        shard.open = False
        return True
    return shard.releasing or shard.zone in st.config.zones_out


@dispatch.when_configured
def schedule_all(st: state.State, out: list) -> None:
    """Places the waiting tasks that a new configuration allows."""
    for shard in st.shards.values():
        ramp.update_zone_status(st, shard)
        schedule(st, shard, out)


def _may_place(
    shard: state.Shard, lane: queueing.Lane, policy: policies.Policy
) -> bool:
    waiting = shard.queue.head(lane)
    if waiting is None:
        return False
    return (
        policy.drains
        or waiting.task.needs.slots <= 0
        or not shard.index.is_full(lane.endpoint)
    )


def _place_lanes(
    st: state.State,
    shard: state.Shard,
    lanes: list[queueing.Lane],
    pass_state: PassState,
    out: list,
) -> None:
    ranked = [
        (pass_state.rank(st, shard, lane), position, lane)
        for position, lane in enumerate(lanes)
        if _may_place(shard, lane, pass_state.policy)
    ]
    heapq.heapify(ranked)
    may_drain = True
    while ranked:
        rank, position, lane = heapq.heappop(ranked)
        current_rank = pass_state.rank(st, shard, lane)
        if current_rank != rank:
            heapq.heappush(ranked, (current_rank, position, lane))
            continue
        waiting = shard.queue.head(lane)
        if waiting is None:
            continue
        if _try_place(st, shard, waiting, pass_state, out):
            pass_state.claims.pop(lane.team, None)
            current_rank = pass_state.rank(st, shard, lane)
            heapq.heappush(ranked, (current_rank, position, lane))
        elif may_drain and pass_state.policy.drains:
            may_drain = False
            _drain(st, shard, waiting)


def _drain(
    st: state.State, shard: state.Shard, waiting: queueing.WaitingTask
) -> None:
    """Drains a worker for a task that has waited only for free resources.

    Urgent and held tasks are excluded, and tasks that have waited for less
    than DRAIN_AFTER_S.
    """
    if waiting.task.urgency == works.Urgency.URGENT or waiting.hold:
        return
    if st.now - waiting.queued_at < DRAIN_AFTER_S:
        return
    if reservations.is_reserved(shard, waiting):
        return
    if lacks_room(st, shard, waiting.task):
        reservations.drain_worker(st, shard, waiting)


def lacks_room(st: state.State, shard: state.Shard, task: works.Task) -> bool:
    """Returns whether only a lack of free resources keeps a task waiting."""
    if not fairness.within_limit(st, shard, task):
        return False
    fit = policies.active(st).fit
    found = shard.index.find(fit, task.endpoint, task.needs)
    return found is None


def _try_place(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.WaitingTask,
    pass_state: PassState,
    out: list,
) -> bool:
    task = waiting.task
    if pass_state.is_unplaceable(task) or task.endpoint in pass_state.blocked:
        return False
    if not fairness.within_limit(st, shard, task):
        return False
    if pass_state.policy.ramps and not ramp.allows(st, shard, task):
        return False
    if shard.quarantined and health.probe(st, shard, waiting, out):
        return True
    worker_id = shard.index.find(
        pass_state.policy.fit, task.endpoint, task.needs
    )
    if worker_id is None:
        pass_state.mark_unplaceable(task)
        return False
    worker = shard.workers[worker_id]
    starting.place(st, shard, waiting, worker, out)
    ramp.record_start(st, shard)
    return True
