"""Stops less urgent runs to make room for tasks near their latest start.

Only runs that save a checkpoint when stopped are preempted, and only if their
job can still meet its objective.
"""

import dataclasses

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import ranking
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import work

# Runs are preempted this long, plus the time of a stop, before the latest start
# that meets the objective; a start and a hold call take some 10 ms.
LEAD_S = 0.3
# Least slack of a job whose run is preempted: covers a stop, a restore and
# some seconds of waiting for room.
MIN_VICTIM_SLACK_S = 6.0
# Most runs preempted for one step at a time: their room is enough for its
# tasks.
MAX_STOPPED_RUNS = 12


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker and the runs that could be preempted there.

    Attributes:
        worker: The worker.
        available: Its unused capacity.
        victims: Slack, in seconds, and run; sorted by ascending slack.
        tasks_allowed: How many more tasks of the step it may get.
    """

    worker: state.Worker
    available: resources.Resources
    victims: list[tuple[float, state.Run]]
    tasks_allowed: int


def make_room(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    workers: list[state.Worker],
    allowed: int,
    out: list,
) -> None:
    """Preempts less urgent runs if a step's latest start is near.

    Args:
        st: The state.
        owner: The owner.
        group: The step, of which some tasks could not be placed.
        workers: Workers that may run its tasks.
        allowed: How many of its waiting tasks may start.
        out: Effects.
    """
    queue = settings.queue_of(st, st.table[group.job_id].job)
    if queue is None or not _is_urgent(st, owner, group, queue):
        return
    candidates = [
        _candidate(st, owner, group, queue, worker) for worker in workers
    ]
    needs = work.reserved_resources(group.step)
    stopped = 0
    for _ in range(allowed):
        cheapest = _cheapest(candidates, needs)
        if cheapest is None or stopped + cheapest[0] > MAX_STOPPED_RUNS:
            break
        count, candidate = cheapest
        for _ in range(count):
            slack_s, run = candidate.victims.pop()
            candidate.available = candidate.available + run.needs
            stopping.stop(st, owner, candidate.worker, run, "preempted", out)
            _log_preemption(group, run, slack_s, out)
        candidate.available = candidate.available - needs
        candidate.tasks_allowed -= 1
        stopped += count
    if stopped:
        group.preempt_after = st.now + st.bounds.stop_s + LEAD_S


def _is_urgent(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    queue: model.Queue,
) -> bool:
    """Returns whether runs should be preempted for a step now."""
    if st.now < group.preempt_after or group.job_id in owner.over_rate:
        return False
    if ranking.is_late(st, group, queue):
        return False
    lead_s = st.bounds.stop_s + LEAD_S
    return st.wall > ranking.latest_start(st, group, queue) - lead_s


def _candidate(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    queue: model.Queue,
    worker: state.Worker,
) -> Candidate:
    victims = []
    for run in worker.runs.values():
        slack_s = _slack_s(st, owner, queue, run)
        if slack_s > MIN_VICTIM_SLACK_S:
            victims.append((slack_s, run))
    victims.sort(key=lambda victim: victim[0])
    allowed = len(group.waiting)
    if group.step.most_per_worker:
        placed = work.tasks_on(group, worker.entry.worker_id)
        allowed = group.step.most_per_worker - placed
    available = worker.entry.capacity - worker.used
    return Candidate(worker, available, victims, allowed)


def _slack_s(
    st: state.State, owner: state.Owner, queue: model.Queue, run: state.Run
) -> float:
    """Returns a run's slack in seconds; 0 if it must not be preempted."""
    group = owner.groups.get(run.task_id.rpartition(".")[0])
    if run.phase != state.Phase.RUNNING or group is None:
        return 0.0
    step = group.step
    if not step.checkpoints or step.gang or step.standing:
        return 0.0
    other = settings.queue_of(st, st.table[group.job_id].job)
    if other is None or other.priority <= queue.priority:
        return 0.0
    return ranking.latest_start(st, group, other) - st.wall


def _cheapest(
    candidates: list[Candidate], needs: resources.Resources
) -> tuple[int, Candidate] | None:
    """Returns the fewest stops that make room for one task, and where."""
    best = None
    for candidate in candidates:
        count = _stops_needed(candidate, needs)
        if count is not None and (best is None or count < best[0]):
            best = (count, candidate)
    return best


def _stops_needed(
    candidate: Candidate, needs: resources.Resources
) -> int | None:
    """Returns how many runs to stop for one task; None if impossible."""
    available = candidate.available
    if candidate.tasks_allowed <= 0:
        return None
    if needs.fits(available):
        return 0
    for count, (_, run) in enumerate(reversed(candidate.victims), start=1):
        available = available + run.needs
        if needs.fits(available):
            return count
    return None


def _log_preemption(
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
