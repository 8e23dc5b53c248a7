"""Incarnations of workers: which one runs, and what ends with one.

A worker may start again under its id. Then it runs nothing, knows no token and
numbers its ends anew. An entry in the list of workers may be late or odd, so
only an answer of the worker, or the end of its lease, ends an incarnation that
this owner has held.
"""

from mimosaridge_core.jobs import flapping
from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import leases
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import runs
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import unheldusage


def is_older(
    owner: state.Owner, worker: state.Worker, entry: model.WorkerEntry
) -> bool:
    """Returns whether an entry is older than what is known of its worker.

    A list of workers may arrive after changes that are newer than it, and
    changes after a list. A worker that may run tasks of former owners keeps its
    newest entry; otherwise the incarnation that answers counts.
    """
    if worker.held:
        return entry.born < worker.born
    is_unheld = worker.entry.worker_id in owner.unheld
    return is_unheld and entry.born < worker.entry.born


def is_other(worker: state.Worker, entry: model.WorkerEntry) -> bool:
    """Returns whether an entry stands for an incarnation not known before.

    The incarnation that answers holds may be newer than the last entry.
    """
    if worker.held and worker.born and entry.born == worker.born:
        return False
    return (entry.born, entry.address) != (
        worker.entry.born,
        worker.entry.address,
    )


def expect_next(
    st: state.State, owner: state.Owner, worker: state.Worker, out: list
) -> None:
    """Begins to hold the next incarnation of a worker.

    If this owner has not held the worker, its entry doesn't show that the
    former incarnation has ended: until the worker answers a hold, it may run
    tasks of former owners.
    """
    worker_id = worker.entry.worker_id
    until = owner.unheld.get(worker_id, 0.0)
    reset_worker(st, owner, worker, runs.EndEvidence.RESTARTED, out)
    if until:
        owner.unheld[worker_id] = max(until, owner.unheld.get(worker_id, 0.0))


def end(
    st: state.State, owner: state.Owner, worker: state.Worker, out: list
) -> bool:
    """Ends a worker's incarnation after another one answered at its address.

    Returns:
        Whether it has ended. It may go on at the address at which it was held
        if its entry names another one.
    """
    if worker.held and worker.entry.address != worker.held_at:
        return False
    expect_next(st, owner, worker, out)
    return True


def reset_worker(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    evidence: runs.EndEvidence,
    out: list,
    is_at_address: bool = False,
) -> None:
    """Ends all runs of a worker's incarnation and begins the next one.

    Called when the worker has restarted or its lease has expired.

    Args:
        st: The state.
        owner: The owner.
        worker: The worker.
        evidence: What shows that the incarnation or its runs have ended.
        out: Effects.
        is_at_address: Whether its next incarnation has the same address. That
            may have begun the runs that the ended one never listed; these end
            if it doesn't list them either. After the end of a lease, runs whose
            start may be carried out late are kept.
    """
    is_lease_over = evidence == runs.EndEvidence.LEASE_OVER
    for run in list(worker.runs.values()):
        may_begin = is_at_address and not run.is_listed
        if is_lease_over:
            may_begin = leases.may_start_late(st, run)
        if not may_begin:
            runs.mark_lost(st, owner, worker, run, evidence, out)
        elif run.phase != state.Phase.STARTING and not run.is_start_answered:
            # The next incarnation must acknowledge a stop of its own.
            run.phase = state.Phase.IN_DOUBT
            run.acknowledged_at = 0.0
    was_held = worker.held
    worker.held = False
    # An entry that seemed older may be that of the next incarnation.
    worker.entry = st.entries.get(worker.entry.worker_id, worker.entry)
    worker.processed_end = 0
    worker.acknowledged_end = 0
    worker.kept_ends.clear()
    worker.clock_at = 0.0
    worker.lease_until_ms = 0
    worker.lease_ends_at = 0.0
    worker.lease_assumed_until = 0.0
    if worker.runs and is_lease_over:
        leases.await_late_starts(st, worker)
    elif worker.runs:
        leases.assume_longest(st, worker)
    leases.settle_renewal(worker, is_answered=False)
    if not is_lease_over:
        leases.lengthen_unanswered(st, worker)
    worker.lease_requested = False
    worker.failures = 0
    worker.unhealthy_until = 0.0
    worker.backoff_until = 0.0
    worker.speed = 1.0
    worker.incarnation = owner.next_incarnation()
    worker.hold_open = False
    if was_held:
        flapping.record_end(st, worker, out)
    worker.closed_jobs = None
    owner.unread.discard(worker.entry.worker_id)
    _forget_unheld(st, owner, worker.entry.worker_id)
    for group in owner.groups.values():
        group.tickets.pop(worker.entry.worker_id, None)
        group.unfit.discard(worker.entry.worker_id)


def _forget_unheld(st: state.State, owner: state.Owner, worker_id: str) -> None:
    """Forgets what a former incarnation may run before it was held.

    The next incarnation has not seen this owner's token, so it takes starts of
    a displaced owner until it is held.
    """
    is_former_at_work = st.now <= owner.displaced_until
    if is_former_at_work and worker_id in owner.open_to_former:
        owner.unheld[worker_id] = fleets.unheld_until(st, owner)
        unheldusage.invalidate(owner)
    else:
        owner.unheld.pop(worker_id, None)
