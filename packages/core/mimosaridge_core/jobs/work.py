"""Which tasks' turn has come, and what an end means for a job."""

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables

# What of `weight` jobs a second a team may send at once, in seconds.
RATE_BURST_S = 2.0


def step_key(repetition: int, number: int) -> str:
    """Returns the key of a step in a job's progress."""
    return f"{repetition}.{number}"


def step_progress(
    entry: state.Entry, repetition: int, number: int
) -> model.StepProgress:
    """Returns a step's progress, made if absent."""
    key = step_key(repetition, number)
    return entry.progress.steps.setdefault(key, model.StepProgress())


def is_step_done(entry: state.Entry, repetition: int, number: int) -> bool:
    """Tells whether all tasks of a step have ended well."""
    step = entry.job.steps[number]
    made = entry.progress.steps.get(step_key(repetition, number))
    return (
        made is not None and not step.standing and len(made.done) >= step.tasks
    )


def is_ready(entry: state.Entry, repetition: int, number: int) -> bool:
    """Tells whether all steps that must come first are done."""
    return all(
        is_step_done(entry, repetition, before)
        for before in entry.job.steps[number].after
    )


def repetitions(job: model.Job) -> int:
    """Returns how many times the steps run."""
    return max(1, job.repeats)


def due_at(job: model.Job, repetition: int) -> float:
    """Returns the wall-clock time at which a repetition is due."""
    if not job.repeats:
        return job.accepted_at
    return job.first_run_at + repetition * job.interval_s


def chain_s(job: model.Job, number: int) -> float:
    """Returns the estimated longest chain of work from a step to the end."""
    later = [
        chain_s(job, other)
        for other in range(number + 1, len(job.steps))
        if number in job.steps[other].after
    ]
    return job.steps[number].estimate_s + max(later, default=0.0)


def add_job(
    st: state.State, owner: state.Owner, entry: state.Entry, out: list
) -> None:
    """Begins to place a job's tasks, if it is not finished."""
    job_id = entry.job.job_id
    if entry.progress.state in model.FINAL_STATES:
        owner.finished.setdefault(job_id, st.now)
        return
    owner.jobs[job_id] = set()
    if entry.job.repeats:
        owner.timed.add(job_id)
    _charge(st, owner, entry.job, out)
    if entry.cancelled:
        finish(st, owner, entry, model.JobState.CANCELLED, out)
        return
    open_groups(st, owner, entry, out)


def _charge(
    st: state.State, owner: state.Owner, job: model.Job, out: list
) -> None:
    """Notes whether a team sends more jobs than its weight allows."""
    team = st.configuration.teams.get(job.team) if st.configuration else None
    if team is None:
        return
    most = max(1.0, team.weight * RATE_BURST_S)
    left, at = owner.rate.get(job.team, (most, st.now))
    left = min(most, left + (st.now - at) * team.weight)
    if left < 1.0:
        owner.beyond.add(job.job_id)
        effects.note(
            out,
            "beyond-weight",
            job_id=job.job_id,
            team=job.team,
            weight=team.weight,
        )
    else:
        left -= 1.0
    owner.rate[job.team] = (left, st.now)


def open_groups(
    st: state.State, owner: state.Owner, entry: state.Entry, out: list
) -> None:
    """Makes a group for each step whose turn has come."""
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
    entry: state.Entry,
    repetition: int,
    number: int,
) -> state.Group:
    """Returns the group of a step, made if absent."""
    key = f"{entry.job.job_id}.{repetition}.{number}"
    group = owner.groups.get(key)
    if group is None:
        made = step_progress(entry, repetition, number)
        step = entry.job.steps[number]
        group = state.Group(
            entry.job.job_id,
            repetition,
            number,
            step,
            st.now,
            set(range(step.tasks)) - set(made.done),
            made,
        )
        owner.groups[key] = group
        owner.jobs.setdefault(entry.job.job_id, set()).add(key)
    return group


def mark_dirty(owner: state.Owner, job_id: str, at: float) -> None:
    """Has a job's progress written at a time or earlier."""
    owner.dirty[job_id] = min(at, owner.dirty.get(job_id, at))


def begin(st: state.State, owner: state.Owner, entry: state.Entry) -> None:
    """Notes that a task of a job has been started."""
    if entry.progress.state == model.JobState.QUEUED:
        entry.progress.state = model.JobState.RUNNING
        mark_dirty(owner, entry.job.job_id, st.now + tunables.BEGUN_WRITE_S)


def finish(
    st: state.State,
    owner: state.Owner,
    entry: state.Entry,
    final: model.JobState,
    out: list,
) -> None:
    """Brings a job to its final state; its runs are the caller's matter."""
    job_id = entry.job.job_id
    entry.progress.state = final
    for key in owner.jobs.pop(job_id, set()):
        owner.groups.pop(key, None)
    owner.finished[job_id] = st.now
    owner.beyond.discard(job_id)
    owner.timed.discard(job_id)
    mark_dirty(owner, job_id, st.now)
    effects.note(
        out,
        "finished",
        job_id=job_id,
        state=final.value,
        took_s=round(st.wall - entry.job.accepted_at, 3),
    )


def note_done(
    st: state.State,
    owner: state.Owner,
    entry: state.Entry,
    place: tuple[int, int, int],
    out: list,
) -> None:
    """Notes that a task ended well; opens what comes next."""
    repetition, number, index = place
    step = entry.job.steps[number]
    made = step_progress(entry, repetition, number)
    new = set(range(step.tasks)) if step.gang else {index}
    new -= set(made.done)
    if not new:
        return
    made.done.extend(sorted(new))
    for done in new:
        made.saved.pop(done, None)
    mark_dirty(owner, entry.job.job_id, st.now)
    group = owner.groups.get(f"{entry.job.job_id}.{repetition}.{number}")
    if group is not None:
        group.waiting -= new
    if not is_step_done(entry, repetition, number):
        return
    if group is not None:
        owner.groups.pop(group.key)
        owner.jobs[entry.job.job_id].discard(group.key)
    if is_job_done(entry):
        finish(st, owner, entry, model.JobState.COMPLETED, out)
    else:
        open_groups(st, owner, entry, out)


def is_job_done(entry: state.Entry) -> bool:
    """Tells whether every step of every repetition is done."""
    return all(
        is_step_done(entry, repetition, number)
        for repetition in range(repetitions(entry.job))
        for number in range(len(entry.job.steps))
    )


def attempts(
    group_progress: model.StepProgress, step: model.Step, index: int
) -> int:
    """Returns how often a task has failed; a gang's members fail as one."""
    failed = group_progress.failed_runs
    if step.gang:
        return len({run for runs in failed.values() for run in runs})
    return len(failed.get(index, ()))


def tasks_on(group: state.Group, worker_id: str) -> int:
    """Returns how many of a step's tasks a worker has."""
    return sum(
        run.worker_id == worker_id
        for started in group.runs.values()
        for run in started
    )


def room_needs(step: model.Step) -> resources.Resources:
    """Returns what a task counts for against its worker's capacity."""
    if not step.fills:
        return step.needs
    return resources.Resources(
        0, step.needs.memory_mib, step.needs.accelerators
    )
