"""Handlers of events that change the table of jobs or the settings."""

import dataclasses

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import records
from mimosaridge_core.jobs import runs
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import timing
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import unheldusage
from mimosaridge_core.jobs import work

# Memory of a job and of each of its steps beside their texts, bytes.
JOB_BYTES = 1_000
STEP_BYTES = 500


@dispatch.handles(events.ConfigurationChanged)
def change_configuration(
    st: state.State, event: events.ConfigurationChanged, out: list
) -> None:
    """Applies a configuration if it is newer than the one in force."""
    new = event.configuration
    old = st.configuration
    if old is not None and new.version <= old.version:
        return
    st.configuration = new
    if old is not None:
        _record_former_backends(st, old)
        settings.keep_removed(st, old)
    if st.owner is not None:
        unheldusage.invalidate(st.owner)
        runs.check_attempts(st, st.owner, out)
    effects.log_decision(
        out,
        "configuration",
        version=new.version,
        before=old.version if old else 0,
    )


def _record_former_backends(st: state.State, old: model.Configuration) -> None:
    for name, queue in old.queues.items():
        current = st.configuration.queues.get(name)
        if current is None or current.backend != queue.backend:
            former = st.former_backends.get(name, frozenset())
            st.former_backends[name] = former | {queue.backend}


@dispatch.handles(events.BoundsChanged)
def change_bounds(
    st: state.State, event: events.BoundsChanged, out: list
) -> None:
    """Applies new time limits.

    The longest lease never decreases: workers may still grant a lease that was
    requested under the former limit.
    """
    longest_s = max(event.bounds.longest_lease_s, st.bounds.longest_lease_s)
    st.bounds = dataclasses.replace(event.bounds, longest_lease_s=longest_s)
    effects.log_decision(out, "bounds", **dataclasses.asdict(st.bounds))


@dispatch.handles(events.ZonesOutChanged)
def change_zones_out(
    st: state.State, event: events.ZonesOutChanged, out: list
) -> None:
    """Takes availability zones out of service or returns them."""
    if event.zones != st.zones_out:
        st.zones_out = event.zones
        effects.log_decision(
            out,
            "zones-out",
            zones=sorted(event.zones),
        )


@dispatch.handles(events.SettingsConfirmed)
def confirm_settings(
    st: state.State, event: events.SettingsConfirmed, out: list
) -> None:
    """Records up to which time changes of the settings are known."""
    st.settings_confirmed_at = max(st.settings_confirmed_at, event.confirmed_at)


@dispatch.handles(events.PeersChanged)
def change_peers(
    st: state.State, event: events.PeersChanged, out: list
) -> None:
    """Records which daemons can call the advice service."""
    st.askers = event.names


@dispatch.handles(events.JobsListed)
def sync_jobs(st: state.State, event: events.JobsListed, out: list) -> None:
    """Brings the table in line with a listing of the store.

    Without its progress a job's tasks would run again, so a job whose progress
    can't be decoded is kept by the owner only.
    """
    unknown = event.unreadable_progress if st.owner is None else frozenset()
    if event.is_complete:
        for job_id in set(st.table) - set(event.jobs) - event.unreadable_jobs:
            if st.table[job_id].revision <= event.revision:
                _remove(st, job_id, out)
    for job_id in unknown & set(st.table):
        _remove(st, job_id, out)
    for job_id, (job, revision) in event.jobs.items():
        if job_id not in unknown:
            _accept(st, job, revision, out, event.progress.get(job_id))
            _restore_progress(st, job_id, event)
    for job_id, revision in event.cancelled.items():
        _cancel(st, job_id, revision, out)


@dispatch.handles(events.JobAccepted)
def accept_job(st: state.State, event: events.JobAccepted, out: list) -> None:
    """Adds a job; the owner also starts to place its tasks."""
    _accept(st, event.job, event.revision, out)


@dispatch.handles(events.JobCancelled)
def cancel_job(st: state.State, event: events.JobCancelled, out: list) -> None:
    """Cancels a job; the owner also stops its runs."""
    _cancel(st, event.job_id, event.revision, out)


@dispatch.handles(events.JobRemoved)
def remove_job(st: state.State, event: events.JobRemoved, out: list) -> None:
    """Removes a job from the table; the owner also stops its runs.

    A job stored later under the same id stays: peers may tell of it earlier.
    """
    entry = st.table.get(event.job_id)
    if entry is not None and entry.revision <= event.revision:
        _remove(st, event.job_id, out)


@dispatch.handles(events.ProgressStored)
def store_progress(
    st: state.State, event: events.ProgressStored, out: list
) -> None:
    """Updates a job's progress as stored by the owner."""
    _store_progress(st, event.job_id, event.progress, event.revision)


def _accept(
    st: state.State,
    job: model.Job,
    revision: int,
    out: list,
    stored: tuple[model.Progress, int] | None = None,
) -> None:
    """Adds a job unless it is known, with its stored progress if there is.

    It replaces an earlier job with its id, which must have been removed.
    """
    earlier = st.table.get(job.job_id)
    if earlier is not None:
        if revision <= earlier.revision:
            return
        _remove(st, job.job_id, out)
    entry = state.JobEntry(job, revision)
    if stored is not None:
        _set_progress(st, entry, *stored)
    early = st.early_cancels.pop(job.job_id, None)
    # A lower revision is that of a cancellation that has been removed since.
    entry.cancelled = early is not None and early.revision > revision
    st.table[job.job_id] = entry
    st.table_bytes += _size(job)
    if st.owner is not None:
        unheldusage.invalidate(st.owner)
        st.owner.finished.pop(job.job_id, None)
        work.add_job(st, st.owner, entry, out)
        runs.recognize(st, st.owner, job.job_id, out)
        if entry.cancelled:
            stopping.cancel_job(st, st.owner, entry, out)


def _size(job: model.Job) -> int:
    """Returns about how much memory a job takes, bytes."""
    texts = sum(
        len(step.image) + len(step.label) + len(step.rack) + 8 * len(step.after)
        for step in job.steps
    )
    return JOB_BYTES + len(job.content) + STEP_BYTES * len(job.steps) + texts


def _cancel(st: state.State, job_id: str, revision: int, out: list) -> None:
    """Cancels a job; news of it may come later, or never."""
    entry = st.table.get(job_id)
    if entry is None:
        if job_id not in st.early_cancels:
            early = records.EarlyCancel(revision, st.now)
            st.early_cancels[job_id] = early
        if st.owner is not None:
            st.owner.finished.setdefault(job_id, st.now)
        return
    if entry.cancelled or revision < entry.revision:
        return
    entry.cancelled = True
    if st.owner is not None:
        stopping.cancel_job(st, st.owner, entry, out)


def forget_early_cancels(st: state.State) -> None:
    """Forgets cancellations of unknown jobs that owners have removed by now."""
    keep_s = timing.keep_finished_s(st.bounds) + tunables.KEEP_MARGIN_S
    while st.early_cancels:
        job_id, early = next(iter(st.early_cancels.items()))
        if early.known_since > st.now - keep_s:
            return
        del st.early_cancels[job_id]


def _remove(st: state.State, job_id: str, out: list) -> None:
    entry = st.table.pop(job_id, None)
    if entry is not None:
        st.table_bytes -= _size(entry.job)
    if entry is not None and st.owner is not None:
        stopping.forget_job(st, st.owner, entry, out)


def _restore_progress(
    st: state.State, job_id: str, event: events.JobsListed
) -> None:
    """Replaces progress that this daemon, as an owner, had not stored."""
    progress, revision = event.progress.get(job_id, (model.Progress(), 0))
    entry = st.table[job_id]
    if st.owner is None and revision >= entry.progress_revision:
        _set_progress(st, entry, progress, revision)


def _store_progress(
    st: state.State, job_id: str, progress: model.Progress, revision: int
) -> None:
    """Updates progress; skipped on the owner, which is ahead of the store."""
    entry = st.table.get(job_id)
    if entry is None or st.owner is not None:
        return
    if revision > entry.progress_revision:
        _set_progress(st, entry, progress, revision)


def _set_progress(
    st: state.State,
    entry: state.JobEntry,
    progress: model.Progress,
    revision: int,
) -> None:
    if progress.state in model.FINAL_STATES:
        entry.final_at = entry.final_at or st.now
    else:
        entry.final_at = 0.0
    entry.progress = progress
    entry.progress_revision = revision
    entry.stored_state = progress.state
