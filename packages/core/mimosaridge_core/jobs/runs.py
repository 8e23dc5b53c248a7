"""Runs of tasks on workers: accounting, adoption, ends, failures, retries."""

import enum

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import latestarts
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import runtimes
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import sharing
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import unknownends
from mimosaridge_core.jobs import work

# Doublings beyond the longest suspension; many more overflow a float.
MAX_DOUBLINGS = 16


class EndEvidence(enum.StrEnum):
    """What shows that a run has ended."""

    LISTED = "listed"  # Its worker lists it as ended.
    NOT_LISTED = "not-listed"  # Its worker lists it in neither list.
    REFUSED = "refused"  # Its worker refused the start.
    RESTARTED = "restarted"  # Another incarnation of its worker is seen.
    LEASE_OVER = "lease-over"  # The lease of its worker has expired.


def add(owner: state.Owner, worker: state.Worker, run: state.Run) -> None:
    """Counts a run against its worker's capacity and its team's usage."""
    worker.runs[(run.task_id, run.run)] = run
    worker.used = worker.used + run.needs
    worker.backfill += run.fills
    worker.serving += run.target_ms > 0
    owner.usage[run.team] = (
        owner.usage.get(run.team, resources.ZERO) + run.team_needs
    )


def remove(owner: state.Owner, worker: state.Worker, run: state.Run) -> None:
    """Releases what a run uses of its worker and its team."""
    if worker.runs.pop((run.task_id, run.run), None) is None:
        return
    owner.freed.add(run.worker_id)
    worker.used = worker.used - run.needs
    worker.backfill -= run.fills
    worker.serving -= run.target_ms > 0
    owner.usage[run.team] = owner.usage[run.team] - run.team_needs


def adopt(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    row: model.RunReport,
    out: list,
) -> None:
    """Takes over a run that an earlier owner started.

    The run is stopped if its task no longer needs it.
    """
    run = state.Run(
        row.task_id,
        row.run,
        worker.entry.worker_id,
        state.UNKNOWN_TEAM,
        resources.ZERO,
        resources.ZERO,
        state.Phase.RUNNING,
        st.now,
        acknowledged_at=st.now,
        saved=row.saved,
        percent=row.percent,
        percent_at=st.now,
        is_listed=True,
        pace=None,
    )
    latestarts.forget_arrived(owner, run)
    _describe(st, worker, run)
    add(owner, worker, run)
    sharing.begin(st, worker, run)
    _attach(st, owner, worker, run, out)


def mark_begun(st: state.State, owner: state.Owner, task_id: str) -> None:
    """Records that a run of a task has begun on its worker."""
    location = work.locate_task(st, task_id)
    if location is not None and location[0].job.job_id in owner.jobs:
        work.mark_started(st, owner, location[0])


def recognize(
    st: state.State, owner: state.Owner, job_id: str, out: list
) -> None:
    """Counts the runs that workers had before their job was known.

    They were adopted before, or their job had left the table and they are being
    stopped. Runs that have ended since are handled, too.
    """
    _recognize_running(st, owner, job_id, out)
    for end in unknownends.take(owner, job_id):
        handle_end(st, owner, end.worker, end.row, out)


def _recognize_running(
    st: state.State, owner: state.Owner, job_id: str, out: list
) -> None:
    unknown = owner.usage.get(state.UNKNOWN_TEAM, resources.ZERO)
    if unknown == resources.ZERO and job_id not in owner.forgotten:
        return
    owner.forgotten.discard(job_id)
    for worker in owner.workers.values():
        for run in list(worker.runs.values()):
            if run.task_id.partition(".")[0] != job_id:
                continue
            remove(owner, worker, run)
            _describe(st, worker, run)
            add(owner, worker, run)
            sharing.begin(st, worker, run)
            _attach(st, owner, worker, run, out)


def _describe(st: state.State, worker: state.Worker, run: state.Run) -> None:
    """Sets the team and the needs of an adopted run.

    Until the job of the run is known, it may occupy the whole worker.
    """
    location = work.locate_task(st, run.task_id)
    if location is not None:
        entry, _, number, _ = location
        run.team = entry.job.team
        run.needs = work.reserved_resources(entry.job.steps[number])
        run.team_needs = entry.job.steps[number].needs
        run.target_ms = entry.job.steps[number].target_ms
        run.fills = entry.job.steps[number].fills
    elif _is_task_id(run.task_id):
        run.needs = run.team_needs = worker.entry.capacity


def _is_task_id(text: str) -> bool:
    try:
        model.parse_task_id(text)
    except ValueError:
        return False
    return True


def _attach(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    out: list,
) -> None:
    """Adds an adopted run to its group, or stops it if it is not needed."""
    location = work.locate_task(st, run.task_id)
    is_needed = False
    if location is not None and location[0].job.job_id in owner.jobs:
        entry, repetition, number, index = location
        is_needed = not work.is_step_done(entry, repetition, number)
        is_needed = (
            is_needed
            and index not in work.step_progress(entry, repetition, number).done
        )
    if not is_needed:
        stopping.stop(st, owner, worker, run, "run is not needed", out)
        return
    group = work.open_group(st, owner, entry, repetition, number)
    if group.runs.get(index) and not group.step.speculative:
        _log_duplicate(group, index, run, worker.entry.worker_id, out)
        stopping.stop(st, owner, worker, run, "duplicate run", out)
    group.runs.setdefault(index, []).append(run)
    group.waiting.discard(index)
    work.mark_started(st, owner, entry)


def _log_duplicate(
    group: state.Group | None,
    index: int,
    row: state.Run | model.EndReport,
    worker_id: str,
    out: list,
) -> None:
    """Logs a run of a task that was started again before its end was known."""
    others = group.runs.get(index) if group is not None else None
    if not others or group.step.speculative:
        return
    effects.log_decision(
        out,
        "duplicate-run",
        job_id=group.job_id,
        task_id=row.task_id,
        run=row.run,
        worker=worker_id,
        how=row.how if isinstance(row, model.EndReport) else "running",
        other_runs=[other.run for other in others],
        other_workers=[other.worker_id for other in others],
    )


def handle_end(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    row: model.EndReport,
    out: list,
    evidence: EndEvidence = EndEvidence.LISTED,
) -> None:
    """Handles the end of a run that this or an earlier owner started."""
    run = worker.runs.get((row.task_id, row.run))
    if run is not None:
        remove(owner, worker, run)
    elif evidence == EndEvidence.LISTED:
        latestarts.forget_listed(owner, row.task_id, row.run)
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
        evidence=evidence.value,
    )
    location = work.locate_task(st, row.task_id)
    if location is None:
        if evidence == EndEvidence.LISTED:
            unknownends.keep(st, owner, worker, row, out)
        return
    entry, repetition, number, index = location
    group = owner.groups.get(f"{entry.job.job_id}.{repetition}.{number}")
    if group is not None and run is not None:
        _remove_from_group(group, index, run)
        _record_late_start(st, owner, worker, run, evidence, out)
    if entry.job.job_id not in owner.jobs:
        return
    if evidence == EndEvidence.LISTED:
        work.mark_started(st, owner, entry)
    step = entry.job.steps[number]
    if run is None and row.how != model.RunOutcome.LAPSED:
        _log_duplicate(group, index, row, worker.entry.worker_id, out)
    if row.how == model.RunOutcome.DONE and not step.standing:
        worker.failures = 0
        if run is not None and group is not None:
            runtimes.learn(st, owner, worker, run, entry.job, group, index)
            work.revise_expectation(st, entry.job, group)
        work.mark_done(st, owner, entry, (repetition, number, index), out)
        _stop_copies(st, owner, group, index, out)
        return
    if row.saved:
        progress = work.step_progress(entry, repetition, number)
        progress.saved[0 if step.gang else index] = row.saved
        work.mark_dirty(owner, entry.job.job_id, st.now)
    if row.how == model.RunOutcome.FAILED:
        _handle_failure(
            st, owner, worker, entry, (repetition, number, index), row, out
        )
    if entry.job.job_id in owner.jobs:
        _requeue(st, owner, group, index, row.run, out)


def _record_late_start(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    evidence: EndEvidence,
    out: list,
) -> None:
    """Records the end of a run whose start may still have no answer."""
    if evidence == EndEvidence.LISTED:
        latestarts.record_listed_end(st, owner, run, out)
        return
    refused_by = worker.born
    if evidence == EndEvidence.NOT_LISTED and not run.why_stopped:
        # A former incarnation had it, and the present one doesn't know it.
        refused_by = latestarts.NO_INCARNATION
    latestarts.record_lost_run(st, owner, run, refused_by, out)


def mark_lost(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    evidence: EndEvidence,
    out: list,
) -> None:
    """Ends a run whose end its worker has not listed."""
    row = model.EndReport(
        0, run.task_id, run.run, model.RunOutcome.LAPSED, run.saved
    )
    handle_end(st, owner, worker, row, out, evidence)


def _remove_from_group(group: state.Group, index: int, run: state.Run) -> None:
    remaining = [
        other for other in group.runs.get(index, ()) if other is not run
    ]
    if remaining:
        group.runs[index] = remaining
    else:
        group.runs.pop(index, None)


def _stop_copies(
    st: state.State,
    owner: state.Owner,
    group: state.Group | None,
    index: int,
    out: list,
) -> None:
    """Stops the other copies of a completed task."""
    if group is None or group.step.gang:
        return
    for run in group.runs.get(index, ()):
        stopping.stop_run(st, owner, run, "another copy completed", out)


def _handle_failure(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    entry: state.JobEntry,
    location: tuple[int, int, int],
    row: model.EndReport,
    out: list,
) -> None:
    """Counts a failed attempt; fails the job when none is left."""
    repetition, number, index = location
    step = entry.job.steps[number]
    progress = work.step_progress(entry, repetition, number)
    failed_runs = progress.failed_runs.setdefault(index, [])
    if row.run in failed_runs or index in progress.done:
        return
    group = owner.groups.get(f"{entry.job.job_id}.{repetition}.{number}")
    if group is not None:
        group.failed_on.setdefault(index, set()).add(worker.entry.worker_id)
    if group is None or not _fails_elsewhere(
        group, index, worker.entry.worker_id
    ):
        count_worker_failure(st, owner, worker)
    if step.standing:
        return
    failed_runs.append(row.run)
    work.mark_dirty(owner, entry.job.job_id, st.now)
    _fail_without_attempts(st, owner, entry, progress, step, index, out)


def check_attempts(st: state.State, owner: state.Owner, out: list) -> None:
    """Fails the jobs of waiting tasks that a configuration leaves no attempt.

    It is the first that this owner knows, or allows fewer attempts than before.
    A task that runs may still succeed.
    """
    for group in list(owner.groups.values()):
        if group.step.standing:
            continue
        for index in sorted(group.waiting & group.progress.failed_runs.keys()):
            if group.job_id in owner.jobs:
                entry = st.table[group.job_id]
                _fail_without_attempts(
                    st, owner, entry, group.progress, group.step, index, out
                )


def _fail_without_attempts(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    progress: model.StepProgress,
    step: model.Step,
    index: int,
    out: list,
) -> None:
    """Fails a job if a task that failed has no attempt left."""
    if st.configuration is None:
        return
    queue = settings.queue_of(st, entry.job)
    if queue is None:
        return
    if work.failed_attempts(progress, step, index) >= queue.max_attempts:
        keys = set(owner.jobs.get(entry.job.job_id, ()))
        stopping.stop_groups(st, owner, keys, "job failed", out)
        work.finish(st, owner, entry, model.JobState.FAILED, out)


def _fails_elsewhere(group: state.Group, index: int, worker_id: str) -> bool:
    """Returns whether a failure tells about the step rather than the worker."""
    if group.failed_on[index] - {worker_id}:
        return True
    if group.progress.done:
        return False
    return any(
        failed_on - {worker_id} for failed_on in group.failed_on.values()
    )


def count_worker_failure(
    st: state.State, owner: state.Owner, worker: state.Worker
) -> None:
    """Suspends starts on a worker after several failures in a row.

    The suspension doubles with each further failure, up to a limit. Only some
    workers of a back end are suspended at a time: if more fail, the cause is
    with the jobs. Starved steps may start on a suspended worker all the same,
    since it may be the only one with their label or ticket.
    """
    worker.failures += 1
    excess = worker.failures - tunables.FAILURES_BEFORE_BACKOFF
    if excess < 0 or not _may_suspend(st, owner, worker):
        return
    doublings = min(excess, MAX_DOUBLINGS)
    suspension_s = tunables.UNHEALTHY_BACKOFF_S * 2**doublings
    worker.backoff_until = st.now + min(suspension_s, tunables.MAX_BACKOFF_S)


def _may_suspend(
    st: state.State, owner: state.Owner, worker: state.Worker
) -> bool:
    """Returns whether enough other workers of the back end take starts."""
    others = [
        other
        for other in owner.workers.values()
        if other is not worker
        and other.listed
        and other.entry.backend == worker.entry.backend
    ]
    suspended = sum(other.suspended_until > st.now for other in others)
    workers = len(others) + 1
    most = max(1, int(tunables.MAX_SUSPENDED_SHARE * workers))
    return bool(others) and suspended < most


def _requeue(
    st: state.State,
    owner: state.Owner,
    group: state.Group | None,
    index: int,
    ended_run: int,
    out: list,
) -> None:
    """Queues a task again; a gang only after all its runs have ended.

    The end of an earlier run of the gang, which a worker may report late, does
    not end the current one.
    """
    if group is None or group.key not in owner.groups:
        return
    if group.step.gang:
        for runs in group.runs.values():
            for run in runs:
                if run.run <= ended_run:
                    stopping.stop_run(
                        st, owner, run, "another gang member ended", out
                    )
        if group.runs:
            return
        group.waiting = set(range(group.step.tasks)) - set(group.progress.done)
        group.examine_at = 0.0
        return
    if index not in group.runs and index not in group.progress.done:
        group.waiting.add(index)
        group.examine_at = 0.0
