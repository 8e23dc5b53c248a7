"""Life cycle of jobs: readiness of steps, completion, final states."""

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import runtimes
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables

# Burst of the teams' rate limit, as seconds of its rate of `weight` jobs/s.
RATE_BURST_S = 2.0


def step_key(repetition: int, number: int) -> str:
    """Returns the key of a step in `Progress.steps`."""
    return f"{repetition}.{number}"


def step_progress(
    entry: state.JobEntry, repetition: int, number: int
) -> model.StepProgress:
    """Returns the progress of a step, which is created if absent."""
    key = step_key(repetition, number)
    return entry.progress.steps.setdefault(key, model.StepProgress())


def locate_task(
    st: state.State, task_id: str
) -> tuple[state.JobEntry, int, int, int] | None:
    """Returns a task's job, repetition, step and index; None if unknown."""
    try:
        job_id, repetition, number, index = model.parse_task_id(task_id)
    except ValueError:
        return None
    entry = st.table.get(job_id)
    if entry is None or number >= len(entry.job.steps):
        return None
    return entry, repetition, number, index


def is_step_done(entry: state.JobEntry, repetition: int, number: int) -> bool:
    """Returns whether all tasks of a step have succeeded."""
    step = entry.job.steps[number]
    progress = entry.progress.steps.get(step_key(repetition, number))
    return (
        progress is not None
        and not step.standing
        and len(progress.done) >= step.tasks
    )


def is_ready(entry: state.JobEntry, repetition: int, number: int) -> bool:
    """Returns whether all steps that a step depends on are done."""
    return all(
        is_step_done(entry, repetition, dependency)
        for dependency in entry.job.steps[number].after
    )


def repetitions(job: model.Job) -> int:
    """Returns the number of times that the steps of a job run."""
    return max(1, job.repeats)


def due_at(job: model.Job, repetition: int) -> float:
    """Returns the wall-clock time at which a repetition is due, seconds."""
    if not job.repeats:
        return job.accepted_at
    return job.first_run_at + repetition * job.interval_s


def critical_paths_s(
    job: model.Job, times_s: list[float] | None = None
) -> list[float]:
    """Returns the estimated critical path from each step to the end, seconds.

    Its time grows with the number of dependencies: callers choose the graph.

    Args:
        job: The job.
        times_s: Run time of a task of each step, seconds; None for the declared
            ones.
    """
    paths = times_s or [step.estimate_s for step in job.steps]
    later = [0.0] * len(paths)
    for number in range(len(paths) - 1, -1, -1):
        paths[number] += later[number]
        for earlier in job.steps[number].after:
            later[earlier] = max(later[earlier], paths[number])
    return paths


def add_job(
    st: state.State, owner: state.Owner, entry: state.JobEntry, out: list
) -> None:
    """Makes the ready steps of an unfinished job available for placement."""
    job_id = entry.job.job_id
    if entry.progress.state in model.FINAL_STATES:
        owner.finished.setdefault(job_id, st.now)
        return
    owner.jobs[job_id] = set()
    if entry.job.repeats:
        owner.repeating.add(job_id)
    _check_rate(st, owner, entry.job, out)
    if entry.cancelled:
        finish(st, owner, entry, model.JobState.CANCELLED, out)
        return
    open_groups(st, owner, entry, out)


def _check_rate(
    st: state.State, owner: state.Owner, job: model.Job, out: list
) -> None:
    """Records whether a job exceeds the rate that its team's weight allows."""
    team = settings.team_of(st, job.team) if st.configuration else None
    if team is None:
        return
    burst = max(1.0, team.weight * RATE_BURST_S)
    available, updated_at = owner.rate_buckets.get(job.team, (burst, st.now))
    available = min(burst, available + (st.now - updated_at) * team.weight)
    if available < 1.0:
        owner.over_rate.add(job.job_id)
        effects.log_decision(
            out,
            "beyond-weight",
            job_id=job.job_id,
            team=job.team,
            weight=team.weight,
        )
    else:
        available -= 1.0
    owner.rate_buckets[job.team] = (available, st.now)


def open_groups(
    st: state.State, owner: state.Owner, entry: state.JobEntry, out: list
) -> None:
    """Creates a group for each step that is ready and not done."""
    job = entry.job
    for repetition in range(repetitions(job)):
        if job.repeats and st.wall < due_at(job, repetition):
            break
        for number in range(len(job.steps)):
            if is_step_done(entry, repetition, number):
                continue
            if is_ready(entry, repetition, number):
                open_group(st, owner, entry, repetition, number)


def open_group(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    repetition: int,
    number: int,
) -> state.Group:
    """Returns the group of a step, which is created if absent."""
    key = f"{entry.job.job_id}.{repetition}.{number}"
    group = owner.groups.get(key)
    if group is None:
        progress = step_progress(entry, repetition, number)
        step = entry.job.steps[number]
        group = state.Group(
            entry.job.job_id,
            repetition,
            number,
            step,
            st.now,
            set(range(step.tasks)) - set(progress.done),
            progress,
        )
        expect(st, entry.job, group)
        owner.groups[key] = group
        owner.jobs.setdefault(entry.job.job_id, set()).add(key)
    return group


def expect(st: state.State, job: model.Job, group: state.Group) -> None:
    """Sets how long a step and its job are expected to take."""
    group.expected = runtimes.expectation(st, job, group.number, group)
    times_s = [step.estimate_s for step in job.steps]
    if st.learns_run_times:
        times_s = [
            runtimes.expectation(st, job, number, None).usual_s
            for number in range(len(job.steps))
        ]
        times_s[group.number] = group.expected.usual_s
    paths = critical_paths_s(job, times_s)
    group.remaining_work_s = paths[group.number]
    group.job_work_s = max(paths)


def revise_expectation(
    st: state.State, job: model.Job, group: state.Group
) -> None:
    """Corrects what is expected of a step by its finished tasks."""
    before_s = group.expected.usual_s
    group.expected = runtimes.expectation(st, job, group.number, group)
    if st.learns_run_times:
        change_s = group.expected.usual_s - before_s
        group.remaining_work_s += change_s
        group.job_work_s = max(
            group.remaining_work_s, group.job_work_s + change_s
        )


def mark_dirty(owner: state.Owner, job_id: str, due_at: float) -> None:
    """Schedules a write of a job's progress at the given time or earlier."""
    owner.dirty[job_id] = min(due_at, owner.dirty.get(job_id, due_at))


def mark_started(
    st: state.State, owner: state.Owner, entry: state.JobEntry
) -> None:
    """Marks a job as running once one of its tasks has begun on a worker."""
    if entry.progress.state == model.JobState.QUEUED:
        entry.progress.state = model.JobState.RUNNING
        mark_dirty(owner, entry.job.job_id, st.now + tunables.STARTED_WRITE_S)


def finish(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    final: model.JobState,
    out: list,
) -> None:
    """Sets the final state of a job; the caller must stop its runs."""
    job_id = entry.job.job_id
    entry.progress.state = final
    entry.final_at = entry.final_at or st.now
    for key in owner.jobs.pop(job_id, set()):
        owner.groups.pop(key, None)
    owner.finished[job_id] = st.now
    owner.over_rate.discard(job_id)
    owner.repeating.discard(job_id)
    mark_dirty(owner, job_id, st.now)
    effects.log_decision(
        out,
        "finished",
        job_id=job_id,
        state=final.value,
        took_s=round(st.wall - entry.job.accepted_at, 3),
    )


def mark_done(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    position: tuple[int, int, int],
    out: list,
) -> None:
    """Marks a task as done; opens steps that become ready.

    Args:
        st: The state.
        owner: The owner.
        entry: The job.
        position: Repetition, step number and index of the task; for a gang the
            index is that of any member.
        out: Effects.
    """
    repetition, number, index = position
    step = entry.job.steps[number]
    progress = step_progress(entry, repetition, number)
    newly_done = set(range(step.tasks)) if step.gang else {index}
    newly_done -= set(progress.done)
    if not newly_done:
        return
    progress.done.extend(sorted(newly_done))
    for done_index in newly_done:
        progress.saved.pop(done_index, None)
    mark_dirty(owner, entry.job.job_id, st.now)
    group = owner.groups.get(f"{entry.job.job_id}.{repetition}.{number}")
    if group is not None:
        group.waiting -= newly_done
    if not is_step_done(entry, repetition, number):
        return
    if group is not None:
        owner.groups.pop(group.key)
        owner.jobs[entry.job.job_id].discard(group.key)
    if is_job_done(entry):
        finish(st, owner, entry, model.JobState.COMPLETED, out)
    else:
        open_groups(st, owner, entry, out)


def is_job_done(entry: state.JobEntry) -> bool:
    """Returns whether every step of every repetition is done."""
    return all(
        is_step_done(entry, repetition, number)
        for repetition in range(repetitions(entry.job))
        for number in range(len(entry.job.steps))
    )


def failed_attempts(
    progress: model.StepProgress, step: model.Step, index: int
) -> int:
    """Returns the number of failures of a task; a gang fails as a unit."""
    failed = progress.failed_runs
    if step.gang:
        return len({run for runs in failed.values() for run in runs})
    return len(failed.get(index, ()))


def tasks_on(group: state.Group, worker_id: str) -> int:
    """Returns the number of runs of a step on a worker."""
    return sum(
        run.worker_id == worker_id
        for started in group.runs.values()
        for run in started
    )


def reserved_resources(step: model.Step) -> resources.Resources:
    """Returns the resources that a task occupies on its worker.

    The processor time of backfill tasks is not counted.
    """
    if not step.fills:
        return step.needs
    return resources.Resources(
        0, step.needs.memory_mib, step.needs.accelerators
    )
