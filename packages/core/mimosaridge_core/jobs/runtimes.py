"""Learns from finished runs how long tasks run and how fast workers are.

The load that this answers: declared run times that are off by up to nine
tenths, some tasks that run many times as long as their like, and workers of
unlike speed.

Times are compared as logarithms, so that a factor of two too long weighs as
much as one too short. What is known falls back from the narrow to the wide:

- the finished tasks of the same step, which are alike but for little;
- tasks of the same team, image and step of a queue, as an offset from
- all tasks of the queue, as a line from the declared to the actual time: where
  declarations tell nothing its slope goes to 0, where they hold it stays 1;
- the declared time, as long as too few runs have finished.

All sums decay with time, not with the number of runs, so that the order in
which ends are reported does not matter and that two sums can be merged.

A run tells about the length of the work only if it did all of the work at full
speed near its data (`is_whole`). How fast a worker is shows in how its runs
differ from the finished tasks of the same steps on other workers.
"""

import math

from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import records
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state

# What was learned counts half after this time, seconds.
HALF_LIFE_S = 600.0
# Runs that what is known before them (the declared time, the queue's line, a
# usual worker) weighs as much as.
PRIOR_RUNS = 4.0
# Spread of the declared times that this prior stands for, as a variance of
# logarithms.
PRIOR_SPREAD = 0.25
# Variance of the logarithms of actual times about what is expected while
# nothing is known: declared times are off by half either way, or more.
UNKNOWN_VARIANCE = 0.25
# The same among the tasks of one step.
SIBLING_VARIANCE = 0.04
# Shortest time that is told apart from 0, seconds; ends are seen with a delay.
SHORTEST_S = 0.05
# A run counts as at most this far off its declared time, as a logarithm: a
# factor of 20, so that one stuck task does not teach that all of its like are
# long.
MAX_LOG_OFF = math.log(20)
# A run further off the other tasks of its step tells of its task rather than of
# its worker.
MAX_SPEED_OFF = math.log(4)
# Sums of a line through declared and actual times, of their means, and of how
# much longer runs take.
QUEUE_SUMS = 6
CLASS_SUMS = 3
WORKER_SUMS = 2
# Stored sums beyond these are foreign or torn; a day old, they tell nothing.
MAX_SUM = 1e9
MAX_AGE_S = 86_400.0
# Part of the time that an overdue run has had which it is expected to go on.
OVERDUE_SHARE = 0.25
# Priority of queues whose callers wait for each answer.
MOST_URGENT = 0
# Workers whose speeds differ by less than this, as a logarithm, count as equal:
# a quarter.
SPEED_CLASS = math.log(1.25)
# Workers below this speed are counted in the log.
NOTABLY_SLOW = 0.8
# Slowest and fastest speed that is believed of a worker.
SPEEDS = (0.2, 3.0)
# Most classes and workers that are remembered, the latest used: 300 teams with
# some steps each, and 4,300 workers, in less than a megabyte when stored.
MAX_QUEUES = 256
MAX_CLASSES = 2_048
MAX_WORKERS = 6_000


def class_of(job: model.Job, number: int) -> str:
    """Returns the key of tasks that are alike within a queue."""
    image = job.steps[number].image
    return f"{job.queue}/{job.team}/{image}/{number}"


def is_whole(run: state.Run, group: state.Group, worker: state.Worker) -> bool:
    """Returns whether a run's time is that of its work, and of all of it."""
    step = group.step
    return (
        run.is_timed
        and not step.standing
        and not (run.fills and worker.is_shared)
        and not (step.rack and step.rack != worker.rack)
        and not (step.gang and step.same_rack)
    )


def _log(seconds: float) -> float:
    return math.log(max(seconds, SHORTEST_S))


def _decay(from_at: float, to_at: float) -> float:
    return 0.5 ** (abs(to_at - from_at) / HALF_LIFE_S)


def _age(sums: model.Sums, at: float) -> float:
    """Ages sums to a time; returns the weight of a sample from that time."""
    if at <= sums.at:
        return _decay(at, sums.at)
    factor = _decay(sums.at, at)
    sums.values = [value * factor for value in sums.values]
    sums.at = at
    return 1.0


def _add(
    sums: model.Sums, at: float, weight: float, amounts: tuple[float, ...]
) -> None:
    """Adds a sample of a weight, taken at a time."""
    weight *= _age(sums, at)
    sums.values = [
        value + weight * amount
        for value, amount in zip(sums.values, amounts, strict=True)
    ]


def merge(one: model.Sums, other: model.Sums) -> model.Sums:
    """Returns the sums of the samples of both."""
    merged = model.Sums(one.at, list(one.values))
    weight = _age(merged, other.at)
    merged.values = [
        value + weight * amount
        for value, amount in zip(merged.values, other.values, strict=True)
    ]
    return merged


def _latest(
    table: dict[str, model.Sums], key: str, size: int, most: int, at: float
) -> model.Sums:
    """Returns the sums of a key, which become the latest used."""
    sums = table.pop(key, None) or model.Sums(at, [0.0] * size)
    table[key] = sums
    if len(table) > most:
        del table[next(iter(table))]
    return sums


def _line(sums: model.Sums | None, declared: float) -> tuple[float, float]:
    """Returns a queue's expected logarithm of a time, and the variance."""
    if sums is None or sums.values[0] <= 0:
        return declared, UNKNOWN_VARIANCE
    runs, x, y, xx, xy, yy = sums.values
    mean_x, mean_y = x / runs, y / runs
    spread_x = max(0.0, xx / runs - mean_x**2)
    spread_y = max(0.0, yy / runs - mean_y**2)
    together = xy / runs - mean_x * mean_y
    prior = PRIOR_RUNS * PRIOR_SPREAD
    slope = (runs * together + prior) / (runs * spread_x + prior)
    slope = min(1.0, max(0.0, slope))
    share = runs / (runs + PRIOR_RUNS)
    # From the line of the declared times to the queue's own, as runs come in.
    learned = mean_y + slope * (declared - mean_x)
    expected = share * learned + (1 - share) * declared
    rest = spread_y - 2 * slope * together + slope**2 * spread_x
    variance = share * max(0.0, rest) + (1 - share) * UNKNOWN_VARIANCE
    return expected, max(variance, SIBLING_VARIANCE)


def expectation(
    st: state.State, job: model.Job, number: int, group: state.Group | None
) -> model.Expectation:
    """Returns how long a task of a step runs on a worker of usual speed.

    Args:
        st: The state.
        job: The job.
        number: Number of the step.
        group: The step's tasks; None if it has not become ready.
    """
    declared = _log(job.steps[number].estimate_s)
    if not st.learns_run_times:
        return model.Expectation(declared, UNKNOWN_VARIANCE, 0.0)
    learned = st.run_times
    queue = learned.queues.get(job.queue)
    mean, variance = _line(queue, declared)
    runs = queue.values[0] if queue is not None else 0.0
    alike = learned.classes.get(class_of(job, number))
    if alike is not None and alike.values[0] > 0:
        count, x, y = alike.values
        expected, _ = _line(queue, x / count)
        mean += (y - count * expected) / (count + PRIOR_RUNS)
    if group is not None and group.finished:
        count = len(group.finished)
        certainty = 1 / variance + count / SIBLING_VARIANCE
        siblings = sum(run.length_log_s for run in group.finished.values())
        mean = (mean / variance + siblings / SIBLING_VARIANCE) / certainty
        variance = SIBLING_VARIANCE + 1 / certainty
        runs += count
    return model.Expectation(mean, variance, runs)


def speed(st: state.State, worker_id: str) -> float:
    """Returns how fast a worker is; 1 is usual."""
    sums = st.run_times.workers.get(worker_id)
    if sums is None or not st.learns_run_times:
        return 1.0
    runs, off = sums.values
    slowest, fastest = SPEEDS
    return min(fastest, max(slowest, math.exp(-off / (runs + PRIOR_RUNS))))


def speed_classes(
    st: state.State, entry: state.JobEntry, workers: list[state.Worker]
) -> dict[str, int]:
    """Returns workers that are not of usual speed, faster ones with more.

    Empty for work that is not of the most urgent priority: it leaves the fast
    workers to those whose callers wait.
    """
    queue = settings.queue_of(st, entry.job)
    if (
        queue is None
        or queue.priority > MOST_URGENT
        or not st.run_times.workers
    ):
        return {}
    classes = {}
    for worker in workers:
        worker_id = worker.entry.worker_id
        step = round(math.log(speed(st, worker_id)) / SPEED_CLASS)
        if step:
            classes[worker_id] = step
    return classes


def remaining_s(
    st: state.State, run: state.Run, expected: model.Expectation
) -> float:
    """Returns how much longer a run is expected to take, seconds.

    Its reported progress tells more than its like. A run that is past what was
    expected is expected to need a share of the time that it has had: the longer
    tasks have run, the longer they go on.
    """
    elapsed = st.now - run.started_at
    if run.percent > 0:
        time_to_percent = run.percent_at - run.started_at
        left = time_to_percent * (100 - run.percent) / run.percent
        return max(0.0, left - (st.now - run.percent_at))
    usual = expected.usual_s / speed(st, run.worker_id)
    return max(usual - elapsed, OVERDUE_SHARE * elapsed)


def learn(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    job: model.Job,
    group: state.Group,
    index: int,
) -> None:
    """Learns from a run that has ended as done.

    Args:
        st: The state.
        owner: The owner.
        worker: The worker on which the task ran.
        run: The run.
        job: The job.
        group: The tasks of the step.
        index: Index of the task.
    """
    if not is_whole(run, group, worker):
        return
    declared = _log(group.step.estimate_s)
    took = _log(st.now - run.started_at)
    errors = owner.run_time_errors.setdefault(
        job.queue, records.RunTimeErrors()
    )
    errors.runs += 1
    errors.took_s += math.exp(took)
    errors.declared += abs(took - declared)
    errors.learned += abs(took - group.expected.log_s)
    if not st.learns_run_times:
        return
    worker_id = run.worker_id
    length = took + math.log(speed(st, worker_id))
    length = min(declared + MAX_LOG_OFF, max(declared - MAX_LOG_OFF, length))
    group.finished[index] = records.FinishedRun(worker_id, took, length)
    _learn_speeds(st, group)
    # The tasks of a wide step weigh less: they tell of one piece of work.
    weight = 1 / math.sqrt(group.step.tasks)
    learned = st.run_times
    key = class_of(job, group.number)
    alike = _latest(learned.classes, key, CLASS_SUMS, MAX_CLASSES, st.wall)
    _add(alike, st.wall, weight, (1.0, declared, length))
    queue = _latest(learned.queues, job.queue, QUEUE_SUMS, MAX_QUEUES, st.wall)
    squares = (declared**2, declared * length, length**2)
    _add(queue, st.wall, weight, (1.0, declared, length, *squares))


def _learn_speeds(st: state.State, group: state.Group) -> None:
    """Learns from a step whose tasks are all done how fast its workers are.

    Not before: the tasks that end first are the shorter ones, and each later
    one would make its worker seem slow.
    """
    runs = group.finished.values()
    if group.step.gang or not 1 < len(runs) == group.step.tasks:
        return
    mean = sum(run.log_s for run in runs) / len(runs)
    for run in runs:
        off = run.log_s - mean
        if abs(off) > MAX_SPEED_OFF:
            continue
        sums = _latest(
            st.run_times.workers,
            run.worker_id,
            WORKER_SUMS,
            MAX_WORKERS,
            st.wall,
        )
        _add(sums, st.wall, 1.0, (1.0, off))


def is_valid(learned: model.RunTimes, wall: float) -> bool:
    """Returns whether stored sums can be used; false if torn or foreign."""
    tables = (
        (learned.queues, QUEUE_SUMS),
        (learned.classes, CLASS_SUMS),
        (learned.workers, WORKER_SUMS),
    )
    return all(
        len(sums.values) == size
        and sums.values[0] >= 0
        and abs(sums.at - wall) < MAX_AGE_S
        and all(abs(value) < MAX_SUM for value in sums.values)
        for table, size in tables
        for sums in table.values()
    )
