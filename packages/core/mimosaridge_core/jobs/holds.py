"""Hold calls to workers, which renew leases and report runs and ended runs.

The owner makes one hold call at a time to each worker. The call carries the
fencing token and the end of the lease; the answer lists the worker's current
runs and those that have ended.
"""

import dataclasses

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import incarnations
from mimosaridge_core.jobs import latestarts
from mimosaridge_core.jobs import leases
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import resigning
from mimosaridge_core.jobs import runs
from mimosaridge_core.jobs import sharing
from mimosaridge_core.jobs import stalls
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import timing
from mimosaridge_core.jobs import tunables


@dispatch.handles(events.WorkersListed)
def replace_workers(
    st: state.State, event: events.WorkersListed, out: list
) -> None:
    """Replaces the list of workers."""
    for worker_id in set(st.entries) - set(event.workers):
        _update_entry(st, worker_id, None, out)
    for worker_id, entry in event.workers.items():
        _update_entry(st, worker_id, entry, out)


@dispatch.handles(events.WorkerChanged)
def update_worker(
    st: state.State, event: events.WorkerChanged, out: list
) -> None:
    """Adds, replaces or removes one worker's entry."""
    _update_entry(st, event.worker_id, event.entry, out)


def _update_entry(
    st: state.State,
    worker_id: str,
    entry: model.WorkerEntry | None,
    out: list,
) -> None:
    old = st.entries.get(worker_id)
    if old and entry and old.draining and entry.draining:
        # Each heartbeat of a draining worker reports a shorter remaining time.
        # The first value is kept, because it is counted from the first change.
        entry = dataclasses.replace(entry, remaining_s=old.remaining_s)
    if old == entry:
        return
    if entry is None:
        del st.entries[worker_id]
    else:
        st.entries[worker_id] = entry
    effects.log_decision(
        out,
        "worker",
        worker=worker_id,
        listed=entry is not None,
        draining=bool(entry and entry.draining),
        backend=entry.backend if entry else old.backend,
    )
    if st.owner is not None:
        sync_worker(st, st.owner, worker_id, out)


def sync_worker(
    st: state.State, owner: state.Owner, worker_id: str, out: list
) -> None:
    """Updates the owner's record of a worker from its entry."""
    entry = st.entries.get(worker_id)
    worker = owner.workers.get(worker_id)
    if entry is None:
        if worker is not None:
            worker.listed = False
        return
    if worker is None:
        worker = state.Worker(
            entry, known_since=st.now, incarnation=owner.next_incarnation()
        )
        owner.workers[worker_id] = worker
    elif incarnations.is_older(owner, worker, entry):
        effects.log_decision(
            out,
            "worker-entry-older",
            worker=worker_id,
            born=entry.born,
            known_born=max(worker.born, worker.entry.born),
        )
        return
    elif incarnations.is_other(worker, entry):
        if not worker.held:
            incarnations.expect_next(st, owner, worker, out)
        elif not worker.unanswered:
            _check_incarnation(owner, worker, entry, out)
    elif worker.held:
        # An incarnation keeps its address.
        entry = dataclasses.replace(entry, address=worker.held_at)
    worker.entry = entry
    worker.listed = True
    if not worker.hold_open:
        send_hold(st, owner, worker, out)


def _check_incarnation(
    owner: state.Owner,
    worker: state.Worker,
    entry: model.WorkerEntry,
    out: list,
) -> None:
    """Lets a hold tell whether a held incarnation goes on.

    The entry may be that of a former incarnation: a list of workers may arrive
    late, and the time of day may have jumped back between the two. The hold
    replaces the one in flight. It acknowledges no end and renews no lease,
    since another incarnation has its own numbers and its own clock.
    """
    effects.log_decision(
        out,
        "worker-entry-differs",
        worker=entry.worker_id,
        born=entry.born,
        known_born=worker.born,
    )
    leases.settle_renewal(worker, is_answered=False)
    if worker.hold_open and worker.acknowledged_end:
        worker.former_holds.add(worker.incarnation)
    worker.incarnation = owner.next_incarnation()
    worker.hold_open = True
    worker.called_at = entry.address
    out.append(
        effects.Hold(
            entry.worker_id,
            entry.address,
            owner.token,
            0,
            0,
            0,
            worker.incarnation,
        )
    )


def send_hold(
    st: state.State, owner: state.Owner, worker: state.Worker, out: list
) -> None:
    """Sends a hold call, which lists the worker's runs.

    It renews the lease when that is due, but not while the previous hold call
    is unanswered, so that the tasks of an unreachable worker end with the lease
    requested last. A hold that renews the lease is answered at once.
    """
    worker.hold_open = True
    worker.called_at = worker.entry.address
    has_answered = worker.clock_at and not worker.unanswered
    is_renewal = has_answered and leases.is_renewal_due(st, worker)
    if is_renewal:
        leases.renew(st, worker)
    is_long_poll = (
        worker.held
        and has_answered
        and not is_renewal
        and worker.processed_end <= worker.acknowledged_end
        and worker.entry.worker_id not in owner.unread
    )
    out.append(
        effects.Hold(
            worker.entry.worker_id,
            worker.entry.address,
            owner.token,
            # The next incarnation numbers its ends anew.
            0 if worker.unanswered else worker.acknowledged_end,
            worker.lease_until_ms if is_renewal else 0,
            _long_poll_ms(st, owner, worker) if is_long_poll else 0,
            worker.incarnation,
        )
    )


def _long_poll_ms(
    st: state.State, owner: state.Owner, worker: state.Worker
) -> int:
    """Returns how long a worker may delay its answer, in milliseconds."""
    longest = timing.hold_wait_ms(st.bounds)
    if worker.is_shared:
        longest = min(longest, tunables.SHARED_WAIT_MS)
    if st.now < owner.lossy_until:
        return min(longest, tunables.LOSSY_WAIT_MS)
    return longest


@dispatch.handles(events.HoldAnswered)
def handle_hold_answer(
    st: state.State, event: events.HoldAnswered, out: list
) -> None:
    """Handles the answer to a hold call, or its failure."""
    owner = st.owner
    worker = owner.workers.get(event.worker_id) if owner else None
    if worker is None or event.token != owner.token:
        return
    if event.incarnation != worker.incarnation:
        # The hold for the present incarnation is in flight or due, and its
        # higher token may have fenced this one.
        worker.former_holds.discard(event.incarnation)
        return
    if event.result == events.CallResult.FENCED:
        resigning.resign(st, "a worker accepted a newer fencing token", out)
        return
    worker.hold_open = False
    is_answered = event.result != events.CallResult.UNKNOWN
    leases.settle_renewal(worker, is_answered and not event.is_repeated)
    if event.result == events.CallResult.OTHER_INCARNATION:
        if incarnations.end(st, owner, worker, out):
            worker.next_hold_at = st.now + tunables.HOLD_RETRY_S
            return
        event.result = events.CallResult.UNKNOWN
    if event.result != events.CallResult.DONE:
        _handle_failed_hold(st, owner, worker, event, out)
        return
    _handle_successful_hold(st, owner, worker, event, out)


def _handle_failed_hold(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    event: events.HoldAnswered,
    out: list,
) -> None:
    worker.next_hold_at = st.now
    # Another incarnation may have the worker's id now.
    worker.entry = st.entries.get(event.worker_id, worker.entry)
    if event.result == events.CallResult.UNKNOWN:
        owner.lossy_until = st.now + tunables.LOSSY_S
    if worker.unanswered:
        worker.next_hold_at = st.now + tunables.HOLD_RETRY_S
    else:
        worker.unanswered_since = st.now
        effects.log_decision(
            out,
            "worker-lost",
            worker=event.worker_id,
            result=event.result.value,
            lease_left_s=round(worker.lease_ends_at - st.now, 2),
            runs=len(worker.runs),
        )
    worker.unanswered = True


def _handle_successful_hold(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    event: events.HoldAnswered,
    out: list,
) -> None:
    if worker.held and event.born != worker.born:
        incarnations.reset_worker(
            st,
            owner,
            worker,
            runs.EndEvidence.RESTARTED,
            out,
            is_at_address=True,
        )
    if not worker.held or worker.unanswered:
        effects.log_decision(
            out,
            "worker-held",
            worker=event.worker_id,
            running=len(event.running),
            ended=len(event.ended),
            has_more_ends=event.has_more_ends,
            token=owner.token,
        )
    if not event.has_more_ends:
        owner.unread.discard(event.worker_id)
    elif not worker.held:
        owner.unread.add(event.worker_id)
    worker.unanswered = False
    worker.held = True
    worker.held_at = worker.called_at
    worker.born = event.born
    leases.update_clock(st, worker, event.clock_ms)
    worker.answered_at = st.now
    # Applies if handling the answer fails.
    worker.next_hold_at = st.now + tunables.HOLD_RETRY_S
    is_first = not worker.lease_requested
    owner.unheld.pop(event.worker_id, None)
    stalls.update_progress(st, owner, worker, event.running, bool(event.ended))
    _update_running(st, owner, worker, event, out)
    sharing.follow_tails(st, owner, worker, out)
    _process_ended(st, owner, worker, event, out)
    _end_unlisted(st, owner, worker, event, out)
    stalls.handle_stall(st, owner, worker, out)
    if worker.processed_end > worker.acknowledged_end and not is_first:
        worker.next_hold_at = st.now + tunables.UNSTORED_ENDS_POLL_S
    else:
        send_hold(st, owner, worker, out)


def _update_running(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    event: events.HoldAnswered,
    out: list,
) -> None:
    for row in event.running:
        run = worker.runs.get((row.task_id, row.run))
        if run is None:
            runs.adopt(st, owner, worker, row, out)
            continue
        if run.phase == state.Phase.STARTING:
            run.phase = state.Phase.RUNNING
            run.acknowledged_at = st.now
        if not run.is_listed:
            runs.mark_begun(st, owner, run.task_id)
            latestarts.forget_arrived(owner, run)
        run.is_listed = True
        run.saved = row.saved
        run.percent = row.percent
        run.load = row.load


def _process_ended(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    event: events.HoldAnswered,
    out: list,
) -> None:
    for row in sorted(event.ended, key=lambda row: row.number):
        if row.number > worker.processed_end:
            worker.kept_ends[row.number] = row
            runs.handle_end(st, owner, worker, row, out)
            # Not before: an end whose handling fails must be listed again.
            worker.processed_end = row.number
            latestarts.log_if_kept(st, owner, worker, row, out)


def _end_unlisted(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    event: events.HoldAnswered,
    out: list,
) -> None:
    """Ends runs that the worker listed neither as running nor as ended.

    A run may have ended beyond an incomplete list of ends.
    """
    if event.has_more_ends:
        return
    listed = {(row.task_id, row.run) for row in event.running}
    for key, run in list(worker.runs.items()):
        is_acknowledged = 0 < run.acknowledged_at < event.sent_at
        if is_acknowledged and key not in listed:
            runs.mark_lost(
                st, owner, worker, run, runs.EndEvidence.NOT_LISTED, out
            )


def check(st: state.State, owner: state.Owner, out: list) -> None:
    """Sends the hold calls that are due and ends expired leases.

    Only leases that were over when nobody had claimed after this owner: a
    successor that it doesn't know of may have renewed the others.
    """
    latestarts.forget_settled(st, owner)
    for worker_id, worker in list(owner.workers.items()):
        is_expired = 0 < worker.lease_ends_at < owner.proven_at
        if is_expired and worker.runs:
            is_expired = leases.certain_end(st, worker) < owner.proven_at
        if is_expired and (worker.runs or worker.held):
            effects.log_decision(
                out,
                "lease-over",
                worker=worker_id,
                runs=len(worker.runs),
            )
            incarnations.reset_worker(
                st, owner, worker, runs.EndEvidence.LEASE_OVER, out
            )
        leases.forget_old_calls(st, worker)
        if (
            not worker.listed
            and not worker.runs
            and not worker.held
            and not worker.unanswered_leases
        ):
            del owner.workers[worker_id]
            owner.unread.discard(worker_id)
            continue
        if not worker.hold_open and st.now >= worker.next_hold_at:
            send_hold(st, owner, worker, out)
    for worker_id, until in list(owner.unheld.items()):
        if owner.proven_at > until:
            effects.log_decision(
                out,
                "unheld-over",
                worker=worker_id,
                token=owner.token,
                owned_s=round(st.now - owner.since, 2),
            )
            del owner.unheld[worker_id]
            # An entry that seemed older may be that of the next incarnation.
            sync_worker(st, owner, worker_id, out)
