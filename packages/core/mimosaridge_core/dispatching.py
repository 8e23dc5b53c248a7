"""Dispatch of tasks to shards, with retries until they are settled."""

import collections
import heapq

from mimosaridge_core import account
from mimosaridge_core import archives
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import gangs
from mimosaridge_core import ledgers
from mimosaridge_core import messages
from mimosaridge_core import outcomes
from mimosaridge_core import policies
from mimosaridge_core import routing
from mimosaridge_core import shardworkers
from mimosaridge_core import state
from mimosaridge_core import works

RETRY_DELAY_S = 0.1


def dispatch_all(st: state.State, work: state.HomeWork, out: list) -> None:
    """Assigns every pending task to a shard."""
    for index, task in enumerate(work.tasks):
        if task.phase == works.Phase.PENDING:
            assign(st, work, index, out)


def assign(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Chooses a shard for a task and sends it once the ledger is written."""
    spec = work.entry.work
    assignment = work.entry.assignments[index]
    uses_affinity = spec.kind in (works.Kind.REQUEST, works.Kind.BATCH)
    shard = routing.choose_shard(
        st,
        spec.endpoint,
        spec.needs,
        frozenset((assignment.shard,)),
        spec.team if uses_affinity else "",
        _shards_of_gang(work) | {assignment.shard},
        _replicas_by_zone(st, work, index),
    )
    if not shard:
        set_timer(st, st.now + RETRY_DELAY_S, work, index)
        return
    view = st.known_owners.get(shard)
    if view is None:
        set_timer(st, st.now + RETRY_DELAY_S, work, index)
        return
    assignment.shard = shard
    assignment.epoch = view.epoch
    assignment.attempt += 1
    task = work.tasks[index]
    task.phase = works.Phase.PLACING
    task.sent = False
    _record_then_send(st, work, index, out)


def _record_then_send(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    bucket = st.buckets.get(work.home)
    if bucket is None:
        send_task(st, work, index, out)
        return
    bucket.dirty = True
    bucket.unsent.append((work.entry.work.work_id, index))
    work.tasks[index].unrecorded = True


def _replicas_by_zone(
    st: state.State, work: state.HomeWork, index: int
) -> collections.Counter[str]:
    """Counts a service's other replicas, if the policy spreads them."""
    spec = work.entry.work
    if spec.kind != works.Kind.SERVICE or not policies.active(st).spreads:
        return collections.Counter()
    pairs = zip(work.tasks, work.entry.assignments, strict=True)
    return collections.Counter(
        shardworkers.zone_of(assignment.shard)
        for other, (task, assignment) in enumerate(pairs)
        if other != index and task.phase != works.Phase.PENDING
    )


def _shards_of_gang(work: state.HomeWork) -> frozenset[str]:
    """Returns the shards that other tasks of a gang are being placed in."""
    if work.entry.work.kind != works.Kind.GANG:
        return frozenset()
    pairs = zip(work.tasks, work.entry.assignments, strict=True)
    return frozenset(
        assignment.shard
        for task, assignment in pairs
        if task.phase == works.Phase.PLACING
    )


def send_task(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Sends an attempt to its shard's owner and retries until it answers.

    The ledger contains the owner's epoch. A newer owner is recorded there
    before the task is sent, so that no home accepts updates from a replaced
    owner.
    """
    spec = work.entry.work
    assignment = work.entry.assignments[index]
    task = work.tasks[index]
    view = st.known_owners.get(assignment.shard)
    set_timer(st, st.now + st.tuning.resend_s, work, index)
    if view is None or view.epoch < assignment.epoch or task.unrecorded:
        return
    if view.epoch > assignment.epoch:
        assignment.epoch = view.epoch
        _record_then_send(st, work, index, out)
        return
    text = f"Sent to {view.owner}, owner of {assignment.shard}."
    task_id = f"{spec.work_id}/{index}"
    if not task.sent:
        state.log_decision(
            st, out, account.Rule.ROUTING, text, spec.work_id, task_id
        )
    message = messages.PlaceTask(
        assignment.shard,
        routing.build_task(spec, index, assignment, work.home),
        assignment.epoch,
        hold=spec.kind == works.Kind.GANG,
        resent=task.sent,
    )
    task.sent = True
    out.append(effects.SendPeer(view.owner, message))


def send_recorded(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Sends an attempt that is now in the ledger, unless it was cancelled."""
    task = work.tasks[index]
    task.unrecorded = False
    if outcomes.is_retry_excluded(work, index) and not task.sent:
        outcomes.settle_unstarted(st, work, index, outcomes.CANCELLED, out)
    elif task.phase != works.Phase.PENDING:
        send_task(st, work, index, out)


def send_cancel(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Asks the owner of a task's shard to remove or stop the task."""
    assignment = work.entry.assignments[index]
    view = st.known_owners.get(assignment.shard)
    if view is not None:
        task_id = f"{work.entry.work.work_id}/{index}"
        message = messages.CancelTask(
            assignment.shard, task_id, assignment.attempt
        )
        out.append(effects.SendPeer(view.owner, message))


def set_timer(
    st: state.State, at: float, work: state.HomeWork, index: int
) -> None:
    """Sets a timer for a task, or for the whole work if index is negative.

    Args:
        st: The daemon's state.
        at: When the timer expires, seconds since the epoch.
        work: The work.
        index: Index of the task; negative for the whole work.
    """
    work_id = work.entry.work.work_id
    heapq.heappush(st.timers, (at, st.next_number(), work_id, index))


@dispatch.every_tick
def _process_timers(st: state.State, out: list) -> None:
    while st.timers and st.timers[0][0] <= st.now:
        _, _, work_id, index = heapq.heappop(st.timers)
        work = st.works.get(work_id)
        if work is None:
            continue
        if index < 0:
            _handle_work_timer(st, work, out)
        elif work.entry.outcome is None:
            _handle_task_timer(st, work, index, out)
    for bucket in list(st.buckets.values()):
        ledgers.flush(st, bucket, out)


def _handle_work_timer(
    st: state.State, work: state.HomeWork, out: list
) -> None:
    entry = work.entry
    if entry.outcome is None:
        ran = any(item.ran is not None for item in entry.assignments)
        waits = all(task.phase == works.Phase.PENDING for task in work.tasks)
        if waits and not ran and entry.work.kind != works.Kind.SERVICE:
            outcome = works.Outcome(
                codes.Code.DEADLINE_PASSED,
                "No shard accepted the work before its deadline.",
            )
            outcomes.settle(st, work, outcome, out)
        return
    if outcomes.retained_until(st, entry) > st.now:
        if entry.settled_at + st.tuning.answer_retention_s <= st.now:
            work.full_outcome = None
        return
    if not archives.can_evict(st, work):
        set_timer(st, st.now + st.tuning.archive_interval_s, work, -1)
        return
    del st.works[entry.work.work_id]
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        bucket.ledger.entries.pop(entry.work.work_id, None)
        bucket.size_bytes -= ledgers.entry_size_bytes(entry)
        bucket.dirty = True


def _handle_task_timer(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    task = work.tasks[index]
    if task.phase == works.Phase.PENDING:
        if outcomes.is_retry_excluded(work, index):
            outcomes.settle_unstarted(st, work, index, outcomes.CANCELLED, out)
        elif work.entry.work.kind == works.Kind.GANG:
            if gangs.is_round_leader(work, index):
                gangs.begin_round(st, work, out)
        elif work.entry.work.start_before <= st.now:
            outcomes.settle_unstarted(st, work, index, outcomes.TOO_LATE, out)
        else:
            assign(st, work, index, out)
    elif task.phase in (works.Phase.PLACING, works.Phase.HELD):
        send_task(st, work, index, out)
    elif task.phase == works.Phase.RUNNING:
        _resend_to_new_owner(st, work, index, out)
    unwanted = outcomes.is_retry_excluded(work, index) or work.round_aborted
    if unwanted and index in work.unsettled:
        send_cancel(st, work, index, out)
        if task.phase == works.Phase.RUNNING:
            set_timer(st, st.now + st.tuning.resend_s, work, index)


def _resend_to_new_owner(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Sends a running task to its shard's new owner until it answers."""
    task = work.tasks[index]
    view = st.known_owners.get(work.entry.assignments[index].shard)
    if view is not None and view.epoch > work.entry.assignments[index].epoch:
        task.phase = works.Phase.PLACING
        send_task(st, work, index, out)


@dispatch.every_tick
def _check_owner_changes(st: state.State, out: list) -> None:
    """Sets timers for running tasks whose shard has a new owner."""
    changed = {
        name
        for name, view in st.known_owners.items()
        if st.queried_epochs.get(name) != view.epoch
    }
    if not changed:
        return
    for name in changed:
        st.queried_epochs[name] = st.known_owners[name].epoch
    for work in st.works.values():
        for index, task in enumerate(work.tasks):
            shard = work.entry.assignments[index].shard
            if task.phase == works.Phase.RUNNING and shard in changed:
                set_timer(st, st.now, work, index)
