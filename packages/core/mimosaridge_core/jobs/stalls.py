"""Workers on which tasks stand still or crawl: no starts, and runs move away.

A worker shows how far each run has come each time it is held. What ends by
itself (a crash, a refusal) is the matter of other modules.
"""

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import timing

# A run of a long task shows one hundredth of it at a time; so many must pass.
STEPS_OF_PROGRESS = 3
# A worker is slow below this share of the declared speed: estimates are half
# wrong at most, and remote data costs half as much again.
SLOW_SPEED = 0.3
# Fewer jobs say nothing of their worker: all tasks of one may be declared too
# short together.
SLOW_JOBS = 2
# Weight of the latest look in a worker's measured speed.
SPEED_WEIGHT = 0.5
# Looks closer than this say nothing of speed, seconds.
SPEED_LOOK_S = 0.3
# No new starts for this long after a look at a worker that stands or crawls.
REST_S = 2.0
# Runs that have come further than this stay where they are, in hundredths.
FAR_PERCENT = 60
# Longer tasks that can't save their progress stay, too, seconds.
SHORT_TASK_S = 4.0
# Nothing stays on a worker that stands still for this long, seconds.
LONG_STALL_S = 3.0


def _movers(
    st: state.State, owner: state.Owner, worker: state.Worker
) -> list[tuple[state.Run, state.Group]]:
    """Returns the runs that should show progress."""
    found = []
    for run in worker.runs.values():
        group = owner.groups.get(run.task_id.rpartition(".")[0])
        if group is None or group.step.standing:
            continue
        is_young = st.now - run.started_at < timing.startup_grace_s(st.bounds)
        waits = group.step.gang and run.percent <= 0
        if run.phase == state.Phase.RUNNING and not is_young and not waits:
            found.append((run, group))
    return found


def look(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    rows: tuple[model.RunReport, ...],
    has_ended: bool,
) -> None:
    """Compares a worker's runs with what the look before showed."""
    since_s = st.now - worker.runs_listed_at
    movers = _movers(st, owner, worker)
    before = {key: run.percent for key, run in worker.runs.items()}
    has_moved = has_ended or not movers
    gained_s: dict[str, list[float]] = {}
    for row in rows:
        run = worker.runs.get((row.task_id, row.run))
        if run is not None and row.percent != before[(row.task_id, row.run)]:
            has_moved = True
            run.percent_at = st.now
    for run, group in movers:
        percent = next(
            (
                row.percent
                for row in rows
                if (row.task_id, row.run) == (run.task_id, run.run)
            ),
            run.percent,
        )
        gained = (percent - run.percent) / 100 * group.step.estimate_s
        gained_s.setdefault(group.job_id, []).append(gained)
    if has_moved:
        worker.progressed_at = st.now
    if gained_s and since_s >= SPEED_LOOK_S:
        # The fastest job counts: the others may be declared too short.
        fastest = max(sum(each) / len(each) for each in gained_s.values())
        speed = fastest / since_s
        worker.speed += SPEED_WEIGHT * (speed - worker.speed)
    elif not movers and has_ended:
        worker.speed = max(worker.speed, 1.0)
    worker.runs_listed_at = st.now


def act(
    st: state.State, owner: state.Owner, worker: state.Worker, out: list
) -> None:
    """Rests a worker that stands or crawls, and moves runs away from it."""
    movers = _movers(st, owner, worker)
    if not movers:
        return
    shortest = min(group.step.estimate_s for _, group in movers)
    still_s = st.now - worker.progressed_at
    longest_s = (
        timing.stall_timeout_s(st.bounds) + STEPS_OF_PROGRESS * shortest / 100
    )
    is_still = still_s > longest_s
    jobs = {group.job_id for _, group in movers}
    is_slow = worker.speed < SLOW_SPEED and len(jobs) >= SLOW_JOBS
    if not is_still and not is_slow:
        return
    worker.backoff_until = max(worker.backoff_until, st.now + REST_S)
    moved = 0
    for run, group in movers:
        if _should_move(run, group, still_s if is_still else 0.0):
            stopping.stop(st, owner, worker, run, "worker stands still", out)
            moved += 1
    effects.log_decision(
        out,
        "worker-stalled",
        worker=worker.entry.worker_id,
        still_s=round(still_s, 2),
        speed=round(worker.speed, 2),
        runs=len(movers),
        moved=moved,
    )


def _should_move(run: state.Run, group: state.Group, still_s: float) -> bool:
    if still_s > LONG_STALL_S:
        return True
    if group.step.gang or run.percent > FAR_PERCENT:
        return False
    return group.step.checkpoints or group.step.estimate_s <= SHORT_TASK_S
