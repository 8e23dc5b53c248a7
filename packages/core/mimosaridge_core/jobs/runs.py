"""Runs on workers: adding, ending, and what each end leads to."""

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import work


def add(owner: state.Owner, worker: state.Worker, run: state.Run) -> None:
    """Counts a run against its worker and its team."""
    worker.runs[(run.task_id, run.run)] = run
    worker.used = worker.used + run.needs
    owner.usage[run.team] = (
        owner.usage.get(run.team, resources.ZERO) + run.needs
    )


def remove(owner: state.Owner, worker: state.Worker, run: state.Run) -> None:
    """No longer counts a run."""
    if worker.runs.pop((run.task_id, run.run), None) is None:
        return
    owner.capacity_version += 1
    worker.used = worker.used - run.needs
    owner.usage[run.team] = owner.usage[run.team] - run.needs


def adopt(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    row: model.RunReport,
    out: list,
) -> None:
    """Takes over a run that an earlier owner began."""
    run = state.Run(
        row.task_id,
        row.run,
        worker.entry.worker_id,
        "",
        resources.ZERO,
        state.Phase.RUNNING,
        st.now,
        acknowledged_at=st.now,
        saved=row.saved,
        percent=row.percent,
        percent_at=st.now,
    )
    place = _place_of(st, row.task_id)
    if place is not None:
        entry, repetition, number, index = place
        run.team = entry.job.team
        run.needs = work.reserved_resources(entry.job.steps[number])
        run.is_latency_sensitive = entry.job.steps[number].target_ms > 0
        run.fills = entry.job.steps[number].fills
    add(owner, worker, run)
    wanted = False
    if place is not None and entry.job.job_id in owner.jobs:
        wanted = not work.is_step_done(entry, repetition, number)
        wanted = (
            wanted
            and index not in work.step_progress(entry, repetition, number).done
        )
    if not wanted:
        stopping.stop(st, owner, worker, run, "not wanted", out)
        return
    group = work.open_group(st, owner, entry, repetition, number)
    if group.runs.get(index) and not group.step.speculative:
        stopping.stop(st, owner, worker, run, "second run", out)
    group.runs.setdefault(index, []).append(run)
    group.waiting.discard(index)
    work.mark_started(st, owner, entry)


def _place_of(
    st: state.State, task_id: str
) -> tuple[state.JobEntry, int, int, int] | None:
    """Returns the job and the place of a task in it; None if unknown."""
    try:
        job_id, repetition, number, index = model.parse_task_id(task_id)
    except ValueError:
        return None
    entry = st.table.get(job_id)
    if entry is None or number >= len(entry.job.steps):
        return None
    return entry, repetition, number, index


def end(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    row: model.EndReport,
    out: list,
) -> None:
    """Acts on an end: of a run of this owner or of an earlier one."""
    run = worker.runs.get((row.task_id, row.run))
    if run is not None:
        remove(owner, worker, run)
    effects.log_decision(
        out,
        "ended",
        job_id=row.task_id.partition(".")[0],
        task_id=row.task_id,
        run=row.run,
        worker=worker.entry.worker_id,
        how=row.how,
        number=row.number,
        why_stopped=run.why_stopped if run else "",
    )
    place = _place_of(st, row.task_id)
    if place is None:
        return
    entry, repetition, number, index = place
    group = owner.groups.get(f"{entry.job.job_id}.{repetition}.{number}")
    if group is not None and run is not None:
        _drop_run(group, index, run)
    if entry.job.job_id not in owner.jobs:
        return
    step = entry.job.steps[number]
    if row.how == model.RunOutcome.DONE and not step.standing:
        worker.failures = 0
        work.mark_done(st, owner, entry, (repetition, number, index), out)
        _stop_copies(st, owner, group, index, out)
        return
    if row.saved:
        made = work.step_progress(entry, repetition, number)
        made.saved[0 if step.gang else index] = row.saved
        work.mark_dirty(owner, entry.job.job_id, st.now)
    if row.how == model.RunOutcome.FAILED:
        _fail(st, owner, worker, entry, (repetition, number, index), row, out)
    if entry.job.job_id in owner.jobs:
        _requeue(st, owner, group, index, out)


def vanish(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    out: list,
) -> None:
    """A run is gone or never was: its worker lists neither run nor end."""
    row = model.EndReport(
        0, run.task_id, run.run, model.RunOutcome.LAPSED, run.saved
    )
    end(st, owner, worker, row, out)


def _drop_run(group: state.Group, index: int, run: state.Run) -> None:
    left = [one for one in group.runs.get(index, ()) if one is not run]
    if left:
        group.runs[index] = left
    else:
        group.runs.pop(index, None)


def _stop_copies(
    st: state.State,
    owner: state.Owner,
    group: state.Group | None,
    index: int,
    out: list,
) -> None:
    """Stops the other copies of a task that is done."""
    if group is None or group.step.gang:
        return
    for run in group.runs.get(index, ()):
        stopping.stop_run(st, owner, run, "another copy is done", out)


def _fail(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    entry: state.JobEntry,
    place: tuple[int, int, int],
    row: model.EndReport,
    out: list,
) -> None:
    """Counts a failed attempt; too many fail the job."""
    repetition, number, index = place
    step = entry.job.steps[number]
    made = work.step_progress(entry, repetition, number)
    failed = made.failed_runs.setdefault(index, [])
    if row.run in failed or index in made.done:
        return
    group = owner.groups.get(f"{entry.job.job_id}.{repetition}.{number}")
    if group is not None:
        group.failed_on.setdefault(index, set()).add(worker.entry.worker_id)
    blame(st, worker)
    if step.standing:
        return
    failed.append(row.run)
    work.mark_dirty(owner, entry.job.job_id, st.now)
    queue = st.configuration.queues.get(entry.job.queue)
    most = queue.max_attempts if queue else 1
    if work.failed_attempts(made, step, index) >= most:
        keys = set(owner.jobs.get(entry.job.job_id, ()))
        stopping.stop_groups(st, owner, keys, "job has failed", out)
        work.finish(st, owner, entry, model.JobState.FAILED, out)


def blame(st: state.State, worker: state.Worker) -> None:
    """Lets a worker rest that failed several times in a row."""
    worker.failures += 1
    over = worker.failures - tunables.FAILURES_BEFORE_BACKOFF
    if over >= 0:
        rest = tunables.UNHEALTHY_BACKOFF_S * 2**over
        worker.backoff_until = st.now + min(rest, tunables.MAX_BACKOFF_S)


def _requeue(
    st: state.State,
    owner: state.Owner,
    group: state.Group | None,
    index: int,
    out: list,
) -> None:
    """Lets a task be started again; a gang only once all its runs ended."""
    if group is None or group.key not in owner.groups:
        return
    if group.step.gang:
        for runs in group.runs.values():
            for run in runs:
                stopping.stop_run(st, owner, run, "gang is broken", out)
        if group.runs:
            return
        group.waiting = set(range(group.step.tasks)) - set(group.progress.done)
        return
    if index not in group.runs and index not in group.progress.done:
        group.waiting.add(index)
