"""Stall detection: suspends starts on stalled or slow workers and moves runs.

A worker reports the progress of each run in its answers to hold calls. Runs
that end by themselves, such as after a crash or a refusal, are handled in other
modules.
"""

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import timing

# Progress is reported in hundredths. A worker counts as stalled only after the
# time in which its shortest task should advance by this many of them.
STALL_PROGRESS_STEPS = 3
# A worker below this share of the declared speed is slow. Estimates are off by
# at most half, and remote data adds another half.
SLOW_SPEED = 0.3
# Jobs with runs on a worker that are needed to judge its speed: one job may
# declare all its tasks too short.
MIN_JOBS_FOR_SPEED = 2
# Weight of the latest sample in a worker's measured speed.
SPEED_WEIGHT = 0.5
# Shortest interval between two progress reports that gives a speed sample.
MIN_SPEED_SAMPLE_S = 0.3
# No starts for this long after a report of a stalled or slow worker.
SUSPENSION_S = 2.0
# Runs beyond this progress are not moved, in hundredths.
MAX_MOVE_PERCENT = 60
# Longer tasks that can't save a checkpoint are not moved.
MAX_RESTART_ESTIMATE_S = 4.0
# All runs are moved from a worker that has been stalled for this long.
LONG_STALL_S = 3.0


def _monitored_runs(
    st: state.State, owner: state.Owner, worker: state.Worker
) -> list[tuple[state.Run, state.Group]]:
    """Returns the runs that should make progress."""
    found = []
    for run in worker.runs.values():
        group = owner.groups.get(run.task_id.rpartition(".")[0])
        if group is None or group.step.standing:
            continue
        if run.fills and worker.pace < state.FULL_PACE:
            continue
        is_young = st.now - run.started_at < timing.startup_grace_s(st.bounds)
        is_gang_waiting = group.step.gang and run.percent <= 0
        if (
            run.phase == state.Phase.RUNNING
            and not is_young
            and not is_gang_waiting
        ):
            found.append((run, group))
    return found


def update_progress(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    rows: tuple[model.RunReport, ...],
    has_ended: bool,
) -> None:
    """Updates a worker's progress and speed from its latest report.

    Args:
        st: The state.
        owner: The owner.
        worker: The worker; its runs still have the progress of the previous
            report.
        rows: Runs that the worker reports now.
        has_ended: Whether it reports runs that ended.
    """
    since_s = st.now - worker.runs_listed_at
    monitored = _monitored_runs(st, owner, worker)
    previous_percent = {key: run.percent for key, run in worker.runs.items()}
    has_progressed = has_ended or not monitored
    gained_s: dict[str, list[float]] = {}
    for row in rows:
        run = worker.runs.get((row.task_id, row.run))
        if (
            run is not None
            and row.percent != previous_percent[(row.task_id, row.run)]
        ):
            has_progressed = True
            run.percent_at = st.now
    for run, group in monitored:
        percent = next(
            (
                row.percent
                for row in rows
                if (row.task_id, row.run) == (run.task_id, run.run)
            ),
            run.percent,
        )
        gained = (percent - run.percent) / 100 * group.expected.usual_s
        gained_s.setdefault(group.job_id, []).append(gained)
    if has_progressed:
        worker.progressed_at = st.now
    if gained_s and since_s >= MIN_SPEED_SAMPLE_S:
        # The fastest job gives the speed: the estimates of the others may be
        # too short.
        fastest = max(sum(gains) / len(gains) for gains in gained_s.values())
        speed = fastest / since_s
        worker.speed += SPEED_WEIGHT * (speed - worker.speed)
    elif not monitored and has_ended:
        worker.speed = max(worker.speed, 1.0)
    worker.runs_listed_at = st.now


def handle_stall(
    st: state.State, owner: state.Owner, worker: state.Worker, out: list
) -> None:
    """Suspends starts on a stalled or slow worker and moves runs from it."""
    monitored = _monitored_runs(st, owner, worker)
    if not monitored:
        return
    shortest = min(group.expected.cautious_s for _, group in monitored)
    still_s = st.now - worker.progressed_at
    threshold_s = (
        timing.stall_timeout_s(st.bounds)
        + STALL_PROGRESS_STEPS * shortest / 100
    )
    is_stalled = still_s > threshold_s
    jobs = {group.job_id for _, group in monitored}
    is_slow = worker.speed < SLOW_SPEED and len(jobs) >= MIN_JOBS_FOR_SPEED
    if not is_stalled and not is_slow:
        return
    worker.unhealthy_until = max(worker.unhealthy_until, st.now + SUSPENSION_S)
    moved = 0
    for run, group in monitored:
        if _should_move(run, group, still_s if is_stalled else 0.0):
            stopping.stop(st, owner, worker, run, "worker is stalled", out)
            moved += 1
    effects.log_decision(
        out,
        "worker-stalled",
        worker=worker.entry.worker_id,
        still_s=round(still_s, 2),
        speed=round(worker.speed, 2),
        runs=len(monitored),
        moved=moved,
    )


def _should_move(run: state.Run, group: state.Group, stalled_s: float) -> bool:
    if stalled_s > LONG_STALL_S:
        return True
    if group.step.gang or run.percent > MAX_MOVE_PERCENT:
        return False
    return (
        group.step.checkpoints
        or group.expected.usual_s <= MAX_RESTART_ESTIMATE_S
    )
