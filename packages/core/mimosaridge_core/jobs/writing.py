"""Writes of progress: grouped, and before a worker may forget an end."""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import holds
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import timing
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import work

# Finished jobs removed with one write: each has three items.
REMOVED_PER_WRITE = 5
# Pause after a write that failed, seconds: a few in the store's lost second.
RETRY_S = 0.15


def check(st: state.State, owner: state.Owner, out: list) -> None:
    """Writes what is due, if no write is under way."""
    if owner.writing is not None or st.now < owner.write_after:
        return
    due = sorted((at, job) for job, at in owner.dirty.items() if at <= st.now)
    jobs = [job for _, job in due[: tunables.JOBS_PER_WRITE]]
    noting = _noting(owner) if len(jobs) == len(due) else {}
    fleet = fleets.update(st, owner)
    fleet_changed = fleet != owner.fleet
    removed: tuple[str, ...] = ()
    if not jobs:
        removed = _expired(st, owner)
    if not jobs and not removed and not fleet_changed:
        _note(st, owner, noting, out)
        return
    owner.batch += 1
    owner.writing = {
        job: st.table[job].progress.state for job in jobs if job in st.table
    }
    owner.noting = noting
    owner.fleet_writing = None
    if fleet_changed:
        owner.fleet_writing = fleet
        if fleet not in owner.fleets_in_doubt:
            owner.fleets_in_doubt.append(fleet)
    items = {}
    for job in jobs:
        del owner.dirty[job]
        entry = st.table.get(job)
        if entry is not None:
            items[job] = (entry.progress, entry.progress_revision)
    out.append(
        effects.WriteProgress(owner.batch, items, removed, owner.fleet_writing)
    )


def _is_behind(st: state.State, owner: state.Owner) -> bool:
    """Tells whether more jobs are due than fit into one write.

    Callers and workers wait for them, so the next write goes out at once.
    """
    due = sum(at <= st.now for at in owner.dirty.values())
    return due > tunables.JOBS_PER_WRITE


def _noting(owner: state.Owner) -> dict[str, int]:
    return {
        worker_id: worker.processed
        for worker_id, worker in owner.workers.items()
        if worker.processed > worker.noted
    }


def _note(
    st: state.State, owner: state.Owner, noting: dict[str, int], out: list
) -> None:
    """Lets workers forget ends that are stored."""
    for worker_id, number in noting.items():
        worker = owner.workers.get(worker_id)
        if worker is None or number > worker.processed:
            continue
        worker.noted = max(worker.noted, number)
        if not worker.hold_open and not worker.unanswered:
            holds.send_hold(st, owner, worker, out)


def _expired(st: state.State, owner: state.Owner) -> tuple[str, ...]:
    old = [
        job
        for job, at in owner.finished.items()
        if at < st.now - timing.keep_finished_s(st.bounds)
    ]
    return tuple(old[:REMOVED_PER_WRITE])


@dispatch.handles(events.ProgressWritten)
def take_written(
    st: state.State, event: events.ProgressWritten, out: list
) -> None:
    """Takes what became of the write under way."""
    owner = st.owner
    if owner is None or event.batch != owner.batch or owner.writing is None:
        return
    jobs, owner.writing = owner.writing, None
    effects.note(
        out,
        "progress-written" if event.written else "progress-unwritten",
        batch=event.batch,
        jobs=list(jobs),
        noting=dict(owner.noting),
        token=owner.token,
    )
    for job, revision in event.revisions.items():
        if job in st.table:
            st.table[job].progress_revision = revision
    if not event.written:
        for job in jobs:
            work.mark_dirty(owner, job, st.now)
        owner.write_after = st.now + RETRY_S
        return
    for job, stored in jobs.items():
        if job in st.table:
            st.table[job].stored_state = stored
    if not _is_behind(st, owner):
        owner.write_after = st.now + tunables.WRITE_PAUSE_S
    if owner.fleet_writing is not None:
        owner.fleet = owner.fleet_writing
        owner.fleets_in_doubt.clear()
    _note(st, owner, owner.noting, out)
