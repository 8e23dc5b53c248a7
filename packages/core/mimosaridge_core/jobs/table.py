"""The table of jobs that every daemon keeps, and what operators have set."""

import dataclasses

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import work


@dispatch.handles(events.ConfigurationChanged)
def change_configuration(
    st: state.State, event: events.ConfigurationChanged, out: list
) -> None:
    """Puts a configuration in force unless a newer one is."""
    new = event.configuration
    old = st.configuration
    if old is not None and new.version <= old.version:
        return
    st.configuration = new
    effects.note(
        out,
        "configuration",
        version=new.version,
        before=old.version if old else 0,
    )


@dispatch.handles(events.BoundsChanged)
def change_bounds(
    st: state.State, event: events.BoundsChanged, out: list
) -> None:
    """Puts time limits in force.

    The lease is never taken as shorter than it was: workers may still grant
    what was asked for before.
    """
    longest_s = max(event.bounds.longest_lease_s, st.bounds.longest_lease_s)
    st.bounds = dataclasses.replace(event.bounds, longest_lease_s=longest_s)
    effects.note(out, "bounds", **dataclasses.asdict(st.bounds))


@dispatch.handles(events.ZonesOutChanged)
def change_zones_out(
    st: state.State, event: events.ZonesOutChanged, out: list
) -> None:
    """Takes availability zones out or back."""
    if event.zones != st.zones_out:
        st.zones_out = event.zones
        effects.note(
            out,
            "zones-out",
            zones=sorted(event.zones),
        )


@dispatch.handles(events.PeersChanged)
def change_peers(
    st: state.State, event: events.PeersChanged, out: list
) -> None:
    """Notes which daemons can ask for advice."""
    st.askers = event.names


@dispatch.handles(events.JobsListed)
def list_jobs(st: state.State, event: events.JobsListed, out: list) -> None:
    """Takes the store's table, and acts on what an owner did not know."""
    for job_id in set(st.table) - set(event.jobs):
        if st.table[job_id].revision <= event.revision:
            _remove(st, job_id, out)
    for job, revision in event.jobs.values():
        _accept(st, job, revision, out)
    for job_id in event.jobs:
        _restore_progress(st, job_id, event)
    for job_id in event.cancelled:
        _cancel(st, job_id, out)


@dispatch.handles(events.JobAccepted)
def accept_job(st: state.State, event: events.JobAccepted, out: list) -> None:
    """Adds a job; the owner begins to place its tasks."""
    _accept(st, event.job, event.revision, out)


@dispatch.handles(events.JobCancelled)
def cancel_job(st: state.State, event: events.JobCancelled, out: list) -> None:
    """Cancels a job; the owner stops its runs."""
    _cancel(st, event.job_id, out)


@dispatch.handles(events.JobRemoved)
def remove_job(st: state.State, event: events.JobRemoved, out: list) -> None:
    """Forgets a job."""
    _remove(st, event.job_id, out)


@dispatch.handles(events.ProgressStored)
def store_progress(
    st: state.State, event: events.ProgressStored, out: list
) -> None:
    """Takes the progress that an owner has stored."""
    _store_progress(st, event.job_id, event.progress, event.revision)


def _accept(st: state.State, job: model.Job, revision: int, out: list) -> None:
    if job.job_id in st.table:
        return
    entry = state.Entry(job, revision, seen_at=st.now)
    st.table[job.job_id] = entry
    if st.owner is not None:
        work.add_job(st, st.owner, entry, out)


def _cancel(st: state.State, job_id: str, out: list) -> None:
    entry = st.table.get(job_id)
    if entry is None or entry.cancelled:
        return
    entry.cancelled = True
    if st.owner is not None:
        stopping.cancel_job(st, st.owner, entry, out)


def _remove(st: state.State, job_id: str, out: list) -> None:
    entry = st.table.pop(job_id, None)
    if entry is not None and st.owner is not None:
        stopping.forget_job(st, st.owner, entry, out)


def _restore_progress(
    st: state.State, job_id: str, event: events.JobsListed
) -> None:
    """Drops what a former owner knew but had not stored."""
    progress, revision = event.progress.get(job_id, (model.Progress(), 0))
    entry = st.table[job_id]
    if st.owner is None and revision >= entry.progress_revision:
        _take(entry, progress, revision)


def _store_progress(
    st: state.State, job_id: str, progress: model.Progress, revision: int
) -> None:
    """The owner's own memory is ahead of what the store has."""
    entry = st.table.get(job_id)
    if entry is None or st.owner is not None:
        return
    if revision > entry.progress_revision:
        _take(entry, progress, revision)


def _take(entry: state.Entry, progress: model.Progress, revision: int) -> None:
    entry.progress = progress
    entry.progress_revision = revision
    entry.stored_state = progress.state
