"""Stops runs: of cancelled jobs, redundant copies and unneeded tasks."""

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work


def stop(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    reason: str,
    out: list,
) -> None:
    """Stops a run unless it is already being stopped."""
    if run.phase in (state.Phase.STOPPING, state.Phase.IN_DOUBT):
        return
    in_flight = run.phase == state.Phase.STARTING
    run.phase = state.Phase.IN_DOUBT if in_flight else state.Phase.STOPPING
    run.why_stopped = reason
    run.acknowledged_at = 0.0
    send_stop(st, owner, worker, run, out)


def send_stop(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    out: list,
) -> None:
    """Sends a stop call, also to retry an unanswered one."""
    run.stop_sent_at = st.now
    out.append(
        effects.Stop(
            worker.entry.worker_id,
            worker.entry.address,
            owner.token,
            run.task_id,
            run.run,
            worker.incarnation,
        )
    )


def stop_run(
    st: state.State, owner: state.Owner, run: state.Run, reason: str, out: list
) -> None:
    """Stops a run if its worker still has it."""
    worker = owner.workers.get(run.worker_id)
    if worker is not None and (run.task_id, run.run) in worker.runs:
        stop(st, owner, worker, run, reason, out)


def stop_groups(
    st: state.State, owner: state.Owner, keys: set[str], reason: str, out: list
) -> None:
    """Stops all runs of the groups with the given keys."""
    for key in sorted(keys):
        group = owner.groups.get(key)
        if group is None:
            continue
        for runs in group.runs.values():
            for run in runs:
                stop_run(st, owner, run, reason, out)


def cancel_job(
    st: state.State, owner: state.Owner, entry: state.JobEntry, out: list
) -> None:
    """Stops a cancelled job's runs and sets its final state."""
    job_id = entry.job.job_id
    if job_id not in owner.jobs:
        return
    stop_groups(st, owner, owner.jobs[job_id], "job was cancelled", out)
    work.finish(st, owner, entry, model.JobState.CANCELLED, out)


def forget_job(
    st: state.State, owner: state.Owner, entry: state.JobEntry, out: list
) -> None:
    """Stops the runs of a removed job and deletes its records."""
    job_id = entry.job.job_id
    keys = owner.jobs.pop(job_id, set())
    if any(owner.groups[key].runs for key in keys if key in owner.groups):
        owner.forgotten.add(job_id)
    stop_groups(st, owner, keys, "job was removed", out)
    for key in keys:
        owner.groups.pop(key, None)
    owner.dirty.pop(job_id, None)
    owner.finished.pop(job_id, None)
    owner.over_rate.discard(job_id)
    owner.repeating.discard(job_id)
