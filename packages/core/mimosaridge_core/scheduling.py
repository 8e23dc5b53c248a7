"""Choosing the next waiting task and a worker for it."""

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
CLASSES = {
    False: tuple((urgency,) for urgency in works.Urgency),
    True: (
        (works.Urgency.URGENT,),
        (works.Urgency.NORMAL, works.Urgency.BACKGROUND),
    ),
}


class Pass:
    """What one pass over the lanes has learned; room only shrinks in it.

    Attributes:
        chosen: The policy in force.
        claims: Each team's claim on its share, until it gets more room.
        refused: For each endpoint, needs that found no worker.
        blocked: Endpoints whose earliest task found no room, if the policy
            lets no later one overtake it.
    """

    def __init__(self, chosen: policies.Policy) -> None:
        self.chosen = chosen
        self.blocked: set[str] = set()
        self.claims: dict[str, float] = {}
        self.refused: dict[str, list[resources.Resources]] = {}

    def claim(self, st: state.State, shard: state.Shard, team: str) -> float:
        """Returns a team's claim on its share."""
        claim = self.claims.get(team)
        if claim is None:
            claim = self.chosen.claim(st, shard, team)
            self.claims[team] = claim
        return claim

    def rank(
        self, st: state.State, shard: state.Shard, lane: queueing.Lane
    ) -> tuple[float, int]:
        """Returns what the lane that goes first has least of."""
        if self.chosen.claim is not None:
            return self.claim(st, shard, lane.team), lane.urgency
        waiting = shard.queue.head(lane)
        return (waiting.since if waiting else -math.inf), 0

    def is_refused(self, task: works.Task) -> bool:
        """Tells whether a task that needs no more found no worker."""
        refused = self.refused.get(task.endpoint, ())
        return any(needs.fits(task.needs) for needs in refused)

    def refuse(self, task: works.Task) -> None:
        """Notes that a task found no worker."""
        if not self.chosen.overtakes:
            self.blocked.add(task.endpoint)
        self.refused.setdefault(task.endpoint, []).append(task.needs)


def schedule(st: state.State, shard: state.Shard, out: list) -> None:
    """Places waiting tasks in the order of the policy in force.

    Whatever frees room, lifts a limit or brings a zone back calls this, so
    that between two calls no waiting task can be placed but a new one.
    """
    if _is_closed(st, shard):
        return
    learned = Pass(policies.in_force(st))
    reservations.serve(st, shard, out)
    lanes = shard.queue.open_lanes()
    if not learned.chosen.by_urgency:
        _place_lanes(st, shard, lanes, learned, out)
        return
    for urgencies in CLASSES[learned.chosen.pools_classes]:
        same = [lane for lane in lanes if lane.urgency in urgencies]
        _place_lanes(st, shard, same, learned, out)
        if works.Urgency.URGENT in urgencies and learned.chosen.preempts:
            _preempt(st, shard, same, out)


def _preempt(
    st: state.State, shard: state.Shard, lanes: list[queueing.Lane], out: list
) -> None:
    """Makes room for the first task of each lane that still waits."""
    for lane in lanes:
        waiting = shard.queue.head(lane)
        if waiting is not None:
            preemption.make_room(st, shard, waiting, out)


@dispatch.every_tick
def _end_reservations(st: state.State, out: list) -> None:
    for shard in st.shards.values():
        overdue = [
            item for item in shard.reserved.values() if item.until <= st.now
        ]
        if overdue or _grows(st, shard):
            schedule(st, shard, out)


def _grows(st: state.State, shard: state.Shard) -> bool:
    """Tells whether waiting tasks may start as the ramp grows."""
    if not shard.zone_returned_at or not len(shard.queue):
        return False
    if not ramp.is_active(st, shard):
        shard.zone_returned_at = 0.0
    return True


def schedule_new(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.Waiting,
    out: list,
) -> None:
    """Places a task that was just added, if it is the first of its lane."""
    if _is_closed(st, shard):
        return
    learned = Pass(policies.in_force(st))
    if not learned.chosen.overtakes:
        schedule(st, shard, out)
    elif shard.queue.head(queueing.lane_of(waiting.task)) is waiting:
        placed = _try_place(st, shard, waiting, learned, out)
        if not placed and learned.chosen.preempts:
            preemption.make_room(st, shard, waiting, out)


def _is_closed(st: state.State, shard: state.Shard) -> bool:
    """Tells whether nothing may start; what waits is looked at once it may.

    A late heartbeat may close a shard between two ticks only, so it is noted
    here too: the tick that finds it open again schedules.
    """
    if not ownership.may_start(st, shard):
        shard.open = False
        return True
    return shard.releasing or shard.zone in st.config.zones_out


@dispatch.when_configured
def schedule_all(st: state.State, out: list) -> None:
    """Places what a new configuration allows."""
    for shard in st.shards.values():
        ramp.follow(st, shard)
        schedule(st, shard, out)


def _may_place(
    shard: state.Shard, lane: queueing.Lane, chosen: policies.Policy
) -> bool:
    waiting = shard.queue.head(lane)
    if waiting is None:
        return False
    return (
        chosen.drains
        or waiting.task.needs.slots <= 0
        or not shard.index.is_full(lane.endpoint)
    )


def _place_lanes(
    st: state.State,
    shard: state.Shard,
    lanes: list[queueing.Lane],
    learned: Pass,
    out: list,
) -> None:
    ranked = [
        (learned.rank(st, shard, lane), position, lane)
        for position, lane in enumerate(lanes)
        if _may_place(shard, lane, learned.chosen)
    ]
    heapq.heapify(ranked)
    first = True
    while ranked:
        rank, position, lane = heapq.heappop(ranked)
        present = learned.rank(st, shard, lane)
        if present != rank:
            heapq.heappush(ranked, (present, position, lane))
            continue
        waiting = shard.queue.head(lane)
        if waiting is None:
            continue
        if _try_place(st, shard, waiting, learned, out):
            learned.claims.pop(lane.team, None)
            present = learned.rank(st, shard, lane)
            heapq.heappush(ranked, (present, position, lane))
        elif first and learned.chosen.drains:
            first = False
            _drain(st, shard, waiting)


def _drain(
    st: state.State, shard: state.Shard, waiting: queueing.Waiting
) -> None:
    """Drains a worker for a task that has waited long for room alone."""
    if waiting.task.urgency == works.Urgency.URGENT or waiting.hold:
        return
    if st.now - waiting.since < DRAIN_AFTER_S:
        return
    if reservations.is_reserved(shard, waiting):
        return
    if lacks_room(st, shard, waiting.task):
        reservations.drain_for(st, shard, waiting)


def lacks_room(st: state.State, shard: state.Shard, task: works.Task) -> bool:
    """Tells whether room is all that keeps a waiting task from starting."""
    if not fairness.within_limit(st, shard, task):
        return False
    fit = policies.in_force(st).fit
    found = shard.index.find(fit, task.endpoint, task.needs)
    return found is None


def _try_place(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.Waiting,
    learned: Pass,
    out: list,
) -> bool:
    task = waiting.task
    if learned.is_refused(task) or task.endpoint in learned.blocked:
        return False
    if not fairness.within_limit(st, shard, task):
        return False
    if learned.chosen.ramps and not ramp.allows(st, shard, task):
        return False
    if shard.quarantined and health.probe(st, shard, waiting, out):
        return True
    worker_id = shard.index.find(learned.chosen.fit, task.endpoint, task.needs)
    if worker_id is None:
        learned.refuse(task)
        return False
    worker = shard.workers[worker_id]
    starting.place(st, shard, waiting, worker, out)
    ramp.count(st, shard)
    return True
