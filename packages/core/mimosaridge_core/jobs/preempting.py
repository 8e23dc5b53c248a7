"""Stops runs that can wait, to make room for more urgent tasks that can't.

Only runs that save their progress at a stop are preempted, and only if their
job still meets its objective.
"""

import dataclasses

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import ranking
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import work

# Room is made this long before the latest start that meets the objective,
# besides the time of a stop, seconds: a start and a look take some 10 ms.
LEAD_S = 0.3
# A preempted run's job could start this much later and meet its objective:
# a stop, a restore and some seconds of waiting for room.
VICTIM_SLACK_S = 6.0
# Most runs stopped for one step at a time: its tasks fit into their room.
MOST_STOPPED = 12


@dataclasses.dataclass(slots=True)
class Offer:
    """Room on a worker and what could be stopped there.

    Attributes:
        worker: The worker.
        left: What is left there.
        victims: Slack and run of what could be stopped, most slack last.
        tasks_allowed: How many tasks of the step it may still take.
    """

    worker: state.Worker
    left: resources.Resources
    victims: list[tuple[float, state.Run]]
    tasks_allowed: int


def make_room(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    workers: list[state.Worker],
    out: list,
) -> None:
    """Stops less urgent runs for a group's waiting tasks if time presses.

    Args:
        st: The state.
        owner: The owner.
        group: The step that can't be placed whole.
        workers: Workers that may run its tasks.
        out: Effects.
    """
    queue = ranking.queue_of(st, st.table[group.job_id].job)
    if queue is None or not _presses(st, owner, group, queue):
        return
    offers = [_offer(st, owner, group, queue, worker) for worker in workers]
    needs = work.reserved_resources(group.step)
    stopped = 0
    for _ in group.waiting:
        found = _cheapest(offers, needs)
        if found is None or stopped + found[0] > MOST_STOPPED:
            break
        count, offer = found
        for _ in range(count):
            slack_s, run = offer.victims.pop()
            offer.left = offer.left + run.needs
            stopping.stop(st, owner, offer.worker, run, "preempted", out)
            _note(group, run, slack_s, out)
        offer.left = offer.left - needs
        offer.tasks_allowed -= 1
        stopped += count
    if stopped:
        group.preempt_after = st.now + st.bounds.stop_s + LEAD_S


def _presses(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    queue: model.Queue,
) -> bool:
    if st.now < group.preempt_after or group.job_id in owner.over_rate:
        return False
    if ranking.is_late(st, group, queue):
        return False
    lead_s = st.bounds.stop_s + LEAD_S
    return st.wall > ranking.latest_start(st, group, queue) - lead_s


def _offer(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    queue: model.Queue,
    worker: state.Worker,
) -> Offer:
    victims = []
    for run in worker.runs.values():
        slack_s = _slack_s(st, owner, queue, run)
        if slack_s > VICTIM_SLACK_S:
            victims.append((slack_s, run))
    victims.sort(key=lambda victim: victim[0])
    allowed = len(group.waiting)
    if group.step.most_per_worker:
        there = work.tasks_on(group, worker.entry.worker_id)
        allowed = group.step.most_per_worker - there
    left = worker.entry.capacity - worker.used
    return Offer(worker, left, victims, allowed)


def _slack_s(
    st: state.State, owner: state.Owner, queue: model.Queue, run: state.Run
) -> float:
    """Returns how much later a run could have started; 0 if it must stay."""
    group = owner.groups.get(run.task_id.rpartition(".")[0])
    if run.phase != state.Phase.RUNNING or group is None:
        return 0.0
    step = group.step
    if not step.checkpoints or step.gang or step.standing:
        return 0.0
    other = ranking.queue_of(st, st.table[group.job_id].job)
    if other is None or other.priority <= queue.priority:
        return 0.0
    return ranking.latest_start(st, group, other) - st.wall


def _cheapest(
    offers: list[Offer], needs: resources.Resources
) -> tuple[int, Offer] | None:
    """Returns where the fewest runs must be stopped for one task."""
    best = None
    for offer in offers:
        count = _stops_needed(offer, needs)
        if count is not None and (best is None or count < best[0]):
            best = (count, offer)
    return best


def _stops_needed(offer: Offer, needs: resources.Resources) -> int | None:
    left = offer.left
    if offer.tasks_allowed <= 0:
        return None
    if needs.fits(left):
        return 0
    for count, (_, run) in enumerate(reversed(offer.victims), start=1):
        left = left + run.needs
        if needs.fits(left):
            return count
    return None


def _note(
    group: state.Group, run: state.Run, slack_s: float, out: list
) -> None:
    effects.log_decision(
        out,
        "preempt",
        job_id=run.task_id.partition(".")[0],
        task_id=run.task_id,
        run=run.run,
        worker=run.worker_id,
        slack_s=round(slack_s, 2),
        made_room_for=group.key,
    )
