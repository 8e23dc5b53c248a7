"""Batched writes of progress to the store.

A worker may forget an ended run only after its result is stored, and after no
late start can run its task again (`latestarts`).

The load that this answers: some hundreds of runs end each second, of more jobs
than one write takes. The jobs that are due are written in one round of several
writes at a time, and workers forget what the round has stored although other
jobs are still due.
"""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import holds
from mimosaridge_core.jobs import latestarts
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import records
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import timing
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import unheldusage
from mimosaridge_core.jobs import unknownends
from mimosaridge_core.jobs import work

# Most finished jobs deleted in one write; each has three items.
REMOVED_PER_WRITE = 5
# Numbers of writes available to one owner. The next owner has a higher fencing
# token, so the answer to a write of a former ownership matches none of its own.
WRITES_PER_OWNER = 10_000_000
# Pause after a failed write, seconds: a few retries fit into the second for
# which the store may be unavailable.
RETRY_S = 0.15


def write_due(st: state.State, owner: state.Owner, out: list) -> None:
    """Writes what is due unless the latest round of writes is in flight."""
    if owner.writes or st.now < owner.write_after:
        return
    jobs, later = _due_jobs(st, owner)
    ends = _storable_ends(st, owner, later)
    fleet = fleets.current_fleet(st, owner)
    # A fleet in doubt keeps workers closed until another write is confirmed.
    is_fleet_due = (
        fleet != owner.fleet
        or bool(owner.fleets_in_doubt)
        or _is_settling_due(st, owner)
    )
    removed: tuple[str, ...] = ()
    if not jobs:
        removed = _expired(st, owner)
    if not jobs and not removed and not is_fleet_due:
        _acknowledge(st, owner, ends, out)
        return
    owner.write_sent_at = st.now
    owner.noting = ends
    owner.unwritten = set()
    if is_fleet_due and fleet not in owner.fleets_in_doubt:
        owner.fleets_in_doubt.append(fleet)
    parts = [
        jobs[first : first + tunables.JOBS_PER_WRITE]
        for first in range(0, len(jobs), tunables.JOBS_PER_WRITE)
    ]
    for part in parts or [[]]:
        is_first = not owner.writes
        stored_fleet = fleet if is_first and is_fleet_due else None
        _write(st, owner, part, removed, stored_fleet, out)


def _due_jobs(
    st: state.State, owner: state.Owner
) -> tuple[list[str], set[str]]:
    """Returns the jobs of the next round of writes, and those due after it.

    Under load more jobs are due than fit. Callers wait for finished ones.
    """
    due = sorted(
        (st.table[job].progress.state not in model.FINAL_STATES, at, job)
        for job, at in owner.dirty.items()
        if at <= st.now and job in st.table
    )
    for job in [job for job in owner.dirty if job not in st.table]:
        del owner.dirty[job]
    jobs = [job for _, _, job in due]
    most = tunables.JOBS_PER_WRITE * tunables.WRITES_PER_ROUND
    return jobs[:most], set(jobs[most:])


def _write(
    st: state.State,
    owner: state.Owner,
    jobs: list[str],
    removed: tuple[str, ...],
    fleet: model.Fleet | None,
    out: list,
) -> None:
    """Sends one write of a round."""
    owner.batch = max(owner.batch, owner.token * WRITES_PER_OWNER) + 1
    removed_jobs = tuple(job for job in removed if job in st.table)
    removed_cancels = tuple(job for job in removed if job not in st.table)
    owner.writes[owner.batch] = records.Write(
        {job: st.table[job].progress.state for job in jobs},
        fleet,
        removed_cancels,
    )
    items = {}
    for job in jobs:
        del owner.dirty[job]
        entry = st.table[job]
        items[job] = (entry.progress, entry.progress_revision)
    out.append(
        effects.WriteProgress(
            owner.batch, items, removed_jobs, fleet, removed_cancels
        )
    )


def _is_settling_due(st: state.State, owner: state.Owner) -> bool:
    """Returns whether a write must show which jobs former owners can't know."""
    return (
        bool(owner.unheld)
        and not owner.settled_revision
        and st.now > owner.displaced_until
    )


def _settle(owner: state.Owner, revision: int) -> None:
    """Records the revision of a write sent when no former owner was left."""
    is_after = owner.write_sent_at > owner.displaced_until
    if is_after and not owner.settled_revision:
        owner.settled_revision = revision
        unheldusage.invalidate(owner)


def _is_behind(st: state.State, owner: state.Owner) -> bool:
    """Returns whether more jobs are due than fit into one round of writes.

    Callers and workers wait for them, so the next one must not be delayed.
    """
    due = sum(at <= st.now for at in owner.dirty.values())
    return due > tunables.JOBS_PER_WRITE * tunables.WRITES_PER_ROUND


def _storable_ends(
    st: state.State, owner: state.Owner, later: set[str]
) -> dict[str, tuple[int, int]]:
    """Returns each worker's incarnation and the last end that it may forget.

    Under load more jobs are due than fit into one write. Workers need not keep
    the ends whose jobs are in this write for the sake of the others: until its
    ends are forgotten, a worker is polled at intervals in place of answering as
    soon as a run ends.

    Args:
        st: The state.
        owner: The owner.
        later: Jobs with results that this write does not store.
    """
    ends = {}
    for worker_id, worker in owner.workers.items():
        if worker.processed_end <= worker.acknowledged_end:
            continue
        last = unknownends.last_known(st, owner, worker)
        last = _last_before(worker, later, last)
        last = latestarts.last_settled(st, owner, worker, last)
        if last > worker.acknowledged_end:
            ends[worker_id] = (worker.incarnation, last)
    return ends


def _last_before(worker: state.Worker, unstored: set[str], last: int) -> int:
    """Returns the last end, up to a number, before the first of some jobs."""
    for number, row in worker.kept_ends.items():
        if row.task_id.partition(".")[0] in unstored:
            return min(last, number - 1)
    return last


def _acknowledge(
    st: state.State,
    owner: state.Owner,
    ends: dict[str, tuple[int, int]],
    out: list,
) -> None:
    """Lets workers forget ended runs whose results are stored.

    The next incarnation of a worker numbers its ends anew.
    """
    for worker_id, (incarnation, number) in ends.items():
        worker = owner.workers.get(worker_id)
        if worker is None or incarnation != worker.incarnation:
            continue
        if number <= worker.acknowledged_end:
            continue
        worker.acknowledged_end = number
        for stored in [end for end in worker.kept_ends if end <= number]:
            del worker.kept_ends[stored]
        if not worker.hold_open and not worker.unanswered:
            holds.send_hold(st, owner, worker, out)


def _expired(st: state.State, owner: state.Owner) -> tuple[str, ...]:
    """Returns the finished jobs to delete with the next write.

    Among them are unknown ones whose cancellations are to be deleted.
    """
    expired = [
        job
        for job, at in owner.finished.items()
        if at < st.now - timing.keep_finished_s(st.bounds)
    ]
    return tuple(expired[:REMOVED_PER_WRITE])


@dispatch.handles(events.ProgressWritten)
def handle_progress_written(
    st: state.State, event: events.ProgressWritten, out: list
) -> None:
    """Handles the result of a write in flight."""
    owner = st.owner
    if owner is None or event.batch not in owner.writes:
        return
    write = owner.writes.pop(event.batch)
    effects.log_decision(
        out,
        "progress-written" if event.written else "progress-unwritten",
        batch=event.batch,
        jobs=list(write.states),
        noting={worker: ends[1] for worker, ends in owner.noting.items()},
        token=owner.token,
    )
    _settle(owner, event.revision)
    for job, revision in event.revisions.items():
        if job in st.table:
            st.table[job].progress_revision = revision
    if event.written:
        for job, stored in write.states.items():
            if job in st.table:
                st.table[job].stored_state = stored
        for job in write.removed_cancels:
            if job not in st.table:
                owner.finished.pop(job, None)
        if write.fleet is not None:
            owner.fleet = write.fleet
            owner.fleets_in_doubt.clear()
    else:
        owner.unwritten.update(write.states)
        owner.is_round_failed = True
        for job in write.states:
            work.mark_dirty(owner, job, st.now)
    if not owner.writes:
        _end_round(st, owner, out)


def _end_round(st: state.State, owner: state.Owner, out: list) -> None:
    """Lets workers forget what a round has stored; paces the next one."""
    if owner.is_round_failed:
        owner.write_after = st.now + RETRY_S
    elif not _is_behind(st, owner):
        owner.write_after = st.now + tunables.WRITE_PAUSE_S
    owner.is_round_failed = False
    ends = {}
    for worker_id, (incarnation, last) in owner.noting.items():
        worker = owner.workers.get(worker_id)
        if worker is not None and incarnation == worker.incarnation:
            last = _last_before(worker, owner.unwritten, last)
            ends[worker_id] = (incarnation, last)
    _acknowledge(st, owner, ends, out)
