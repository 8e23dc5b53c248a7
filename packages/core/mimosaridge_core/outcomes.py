"""Outcomes of tasks and of the work that they belong to."""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import archives
from mimosaridge_core import buckets
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import dispatching
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import gangs
from mimosaridge_core import ledgers
from mimosaridge_core import messages
from mimosaridge_core import state
from mimosaridge_core import works

MAX_RETRY_DELAY_S = 5.0
SCHEDULER_STOPS = (
    codes.Code.OVER_LIMIT,
    codes.Code.MOVED,
    codes.Code.PREEMPTED,
)
MAX_STORED_ANSWER_BYTES = 4096
UNDELIVERED_RESENDS = 2
RETENTION_MARGIN_SKEWS = 4
TOO_LATE = works.Outcome(
    codes.Code.DEADLINE_PASSED, "The task could not start before its deadline."
)
CANCELLED = works.Outcome(codes.Code.CANCELLED, "It was cancelled.")
RAN_CODES = (codes.Code.OK, codes.Code.TASK_FAILED)


@dispatch.receives(messages.TaskUpdate)
def _on_task_update(
    st: state.State, sender: str, message: messages.TaskUpdate, out: list
) -> None:
    confirmation = messages.UpdateTaken(
        message.shard, message.task_id, message.attempt
    )
    work = st.works.get(message.work_id)
    if work is None:
        _on_update_of_unknown_work(st, sender, message, confirmation, out)
        return
    index = int(message.task_id.rpartition("/")[2])
    current = (
        index in work.unsettled
        and work.entry.assignments[index].attempt == message.attempt
        and work.tasks[index].phase != works.Phase.PENDING
        and work.entry.outcome is None
    )
    if current and not _is_valid(work.entry.assignments[index], message):
        return
    if message.outcome is not None:
        _confirm(st, work, sender, confirmation, out)
        archives.add_lines(work, message.lines)
    if current:
        _apply(st, work, index, message, out)
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        ledgers.flush(st, bucket, out)


def _is_valid(
    assignment: documents.Assignment, message: messages.TaskUpdate
) -> bool:
    """Returns whether an update from a shard's owner can be trusted.

    A report that the task ran is valid from any owner. A report that the task
    did not run, or that its outcome is unknown, is valid only from the owner
    recorded in the ledger: a replaced owner does not know which tasks its
    successor has started.
    """
    if message.phase in (works.Phase.DONE, works.Phase.FAILED):
        return True
    if message.phase == works.Phase.RUNNING:
        return message.epoch >= assignment.epoch
    return message.epoch == assignment.epoch


def _on_update_of_unknown_work(
    st: state.State,
    sender: str,
    message: messages.TaskUpdate,
    confirmation: messages.UpdateTaken,
    out: list,
) -> None:
    """Answers an update for work that this daemon does not hold.

    If the bucket's ledger is loaded, the work was settled and evicted. If not,
    the ledger may still contain the work, and nothing is answered.
    """
    bucket = st.buckets.get(buckets.bucket_of(st, message.work_id))
    if bucket is None or not bucket.loaded:
        return
    if message.outcome is not None:
        out.append(effects.SendPeer(sender, confirmation))
    elif message.phase == works.Phase.RUNNING:
        stop = messages.CancelTask(
            message.shard, message.task_id, message.attempt
        )
        out.append(effects.SendPeer(sender, stop))


def _confirm(
    st: state.State,
    work: state.HomeWork,
    sender: str,
    confirmation: messages.UpdateTaken,
    out: list,
) -> None:
    bucket = st.buckets.get(work.home)
    if bucket is None:
        out.append(effects.SendPeer(sender, confirmation))
        return
    bucket.dirty = True
    bucket.pending_acks.append((sender, confirmation))


def _apply(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
    out: list,
) -> None:
    task = work.tasks[index]
    if message.outcome is not None:
        _apply_end(st, work, index, message, out)
        return
    if task.phase == works.Phase.RUNNING:
        return
    task.phase = message.phase
    task.worker = message.worker
    if message.phase == works.Phase.HELD:
        gangs.start(st, work, out)


def _apply_end(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
    out: list,
) -> None:
    task = work.tasks[index]
    task.worker = message.worker
    if _should_retry(st, work, index, message):
        _retry(st, work, index, message, out)
        return
    outcome = message.outcome
    is_late = work.entry.work.start_before <= st.now
    if outcome.code == codes.Code.CANCELLED and is_late:
        outcome = TOO_LATE if not is_retry_excluded(work, index) else outcome
    outcome = finish_task(work, index, message.phase, outcome)
    _settle_if_over(st, work, outcome, out)


def _strip_large_answer(outcome: works.Outcome) -> works.Outcome:
    """Returns an outcome without an answer too large for the ledger."""
    if len(outcome.answer) <= MAX_STORED_ANSWER_BYTES:
        return outcome
    code = outcome.code
    if code == codes.Code.OK:
        code = codes.Code.ANSWER_NOT_KEPT
    return works.Outcome(code, outcome.detail)


def finish_task(
    work: state.HomeWork,
    index: int,
    phase: works.Phase,
    outcome: works.Outcome,
) -> works.Outcome:
    """Records the end of a task and returns its effective outcome.

    A task is not reported as NOT_RUN if an earlier attempt may have run.
    """
    assignment = work.entry.assignments[index]
    if phase == works.Phase.NOT_RUN:
        if assignment.ran is not None:
            outcome = assignment.ran
        elif not codes.is_not_run(outcome.code):
            outcome = works.Outcome(codes.Code.NOT_RUN, outcome.detail)
    work.tasks[index].phase = final_phase(outcome.code)
    assignment.outcome = works.Outcome(outcome.code, outcome.detail)
    work.unsettled.discard(index)
    return outcome


def _should_retry(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
) -> bool:
    if is_retry_excluded(work, index):
        return False
    spec = work.entry.work
    if spec.kind == works.Kind.SERVICE:
        return True
    if message.outcome.code == codes.Code.MOVED:
        return True
    if message.phase == works.Phase.NOT_RUN:
        return spec.start_before > st.now
    if not spec.idempotent or message.phase == works.Phase.DONE:
        return False
    if message.outcome.code in SCHEDULER_STOPS:
        return True
    if spec.kind == works.Kind.REQUEST and message.phase == works.Phase.FAILED:
        return False
    return work.tasks[index].failures + 1 < st.tuning.attempts


def _retry(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
    out: list,
) -> None:
    task = work.tasks[index]
    is_scheduler_stop = message.outcome.code in SCHEDULER_STOPS
    if message.phase != works.Phase.NOT_RUN:
        work.entry.assignments[index].ran = _strip_large_answer(message.outcome)
        task.failures += not is_scheduler_stop
    task.phase = works.Phase.PENDING
    if _is_immediate_retry(work, message):
        dispatching.assign(st, work, index, out)
        return
    if message.outcome.code == codes.Code.MOVED:
        spec = work.entry.work
        spec.start_before = max(
            spec.start_before, st.now + st.tuning.move_timeout_s
        )
    if work.entry.work.kind == works.Kind.GANG:
        gangs.end_round(st, work, out)
        return
    task.retries += not is_scheduler_stop
    ceiling = min(
        MAX_RETRY_DELAY_S, dispatching.RETRY_DELAY_S * 2 ** min(task.retries, 8)
    )
    delay_s = st.rng.uniform(dispatching.RETRY_DELAY_S, ceiling)
    text = (
        f"Retrying in {delay_s * 1000:.0f} ms:"
        f" {message.outcome.detail or message.phase}"
    )
    state.log_decision(
        st,
        out,
        account.Rule.RETRY,
        text,
        message.work_id,
        message.task_id,
        message.outcome.code,
    )
    dispatching.set_timer(st, st.now + delay_s, work, index)


def _is_immediate_retry(
    work: state.HomeWork, message: messages.TaskUpdate
) -> bool:
    """Returns whether a shard returned a task for immediate reassignment."""
    moved = message.outcome.code in (codes.Code.NO_ROOM, codes.Code.PREEMPTED)
    return moved and work.entry.work.kind != works.Kind.GANG


def final_phase(code: codes.Code) -> works.Phase:
    """Returns the final phase of a task with the given result code."""
    if code in (codes.Code.OK, codes.Code.ANSWER_NOT_KEPT):
        return works.Phase.DONE
    if code == codes.Code.UNKNOWN:
        return works.Phase.UNKNOWN
    if codes.is_not_run(code):
        return works.Phase.NOT_RUN
    return works.Phase.FAILED


def combine_outcomes(
    work: state.HomeWork, last: works.Outcome
) -> works.Outcome:
    """Returns the outcome of work, combined from those of its tasks."""
    if len(work.tasks) == 1:
        return last
    outcomes = [item.outcome for item in work.entry.assignments]
    success_codes = (codes.Code.OK, codes.Code.ANSWER_NOT_KEPT)
    unsuccessful = [item for item in outcomes if item.code not in success_codes]
    if not unsuccessful:
        text = f"All {len(outcomes)} tasks ended well."
        return works.Outcome(codes.Code.OK, text)
    text = (
        f"{len(unsuccessful)} of {len(outcomes)} tasks did not succeed:"
        f" {unsuccessful[0].detail}"
    )
    code = unsuccessful[0].code
    if not all(codes.is_not_run(item.code) for item in outcomes):
        code = max(item.code for item in unsuccessful)
        code = codes.Code.TASK_FAILED if codes.is_not_run(code) else code
    return works.Outcome(code, text)


def settle_unstarted(
    st: state.State,
    work: state.HomeWork,
    index: int,
    outcome: works.Outcome,
    out: list,
) -> None:
    """Settles a pending task, which no owner was asked to start."""
    outcome = finish_task(work, index, works.Phase.NOT_RUN, outcome)
    _settle_if_over(st, work, outcome, out)


def _settle_if_over(
    st: state.State, work: state.HomeWork, last: works.Outcome, out: list
) -> None:
    is_service = work.entry.work.kind == works.Kind.SERVICE
    if work.unsettled or is_service and not work.entry.cancelled:
        return
    if work.entry.outcome is None:
        settle(st, work, combine_outcomes(work, last), out)


def settle(
    st: state.State, work: state.HomeWork, outcome: works.Outcome, out: list
) -> None:
    """Settles work and notifies the daemons whose callers wait for it."""
    entry = work.entry
    before = ledgers.entry_size_bytes(entry)
    entry.outcome = _strip_large_answer(outcome)
    entry.settled_at = st.now
    work_id = entry.work.work_id
    text = f"{codes.MEANINGS[outcome.code]} {outcome.detail}".rstrip()
    state.log_decision(
        st, out, account.Rule.SETTLED, text, work_id, code=outcome.code
    )
    work.full_outcome = outcome
    bucket = st.buckets.get(work.home)
    if bucket is None or is_reportable(work):
        notify_origins(work, out)
    if bucket is None:
        del st.works[work_id]
        return
    bucket.size_bytes -= before
    entry.work = dataclasses.replace(entry.work, body=b"")
    bucket.size_bytes += ledgers.entry_size_bytes(entry)
    bucket.settled.append(work_id)
    bucket.dirty = True
    dispatching.set_timer(st, st.now + st.tuning.answer_retention_s, work, -1)
    dispatching.set_timer(st, retained_until(st, entry), work, -1)


def is_reportable(work: state.HomeWork) -> bool:
    """Returns whether an outcome is final even if the bucket has a new owner.

    An outcome that shows that the work ran is always final. One that says it
    did not run is final once it is in the ledger, because a displaced home
    cannot write the ledger.
    """
    outcome = work.entry.outcome
    if outcome is None:
        return False
    return work.outcome_recorded or work.full_outcome.code in RAN_CODES


def notify_origins(work: state.HomeWork, out: list) -> None:
    """Sends the outcome to the daemons whose callers wait for it."""
    outcome = work.full_outcome or work.entry.outcome
    settled = messages.WorkSettled(work.entry.work.work_id, outcome)
    for origin in sorted(work.origins):
        out.append(effects.SendPeer(origin, settled))


def has_undelivered_answer(st: state.State, home: str) -> bool:
    """Returns whether a home has an undelivered answer that only it stores.

    An answer too large for the ledger exists only in memory. A daemon whose
    caller waits for it resends its request within `resend_s`, so the answer is
    kept for UNDELIVERED_RESENDS times that period.
    """
    since = st.now - UNDELIVERED_RESENDS * st.tuning.resend_s
    return any(
        work.home == home
        and not work.origins
        and work.full_outcome is not None
        and len(work.full_outcome.answer) > MAX_STORED_ANSWER_BYTES
        and work.entry.settled_at > since
        for work in st.works.values()
    )


def retained_until(st: state.State, entry: documents.Entry) -> float:
    """Returns when an outcome may be evicted, in seconds since the epoch.

    From then on every daemon refuses the work's id as too old, whatever the
    clock skew between caller, daemons and homes.
    """
    margin_s = RETENTION_MARGIN_SKEWS * st.tuning.skew_s
    return entry.settled_at + st.tuning.retention_s + margin_s


def cancel(st: state.State, work: state.HomeWork, out: list) -> None:
    """Cancels all tasks of some work that have not ended."""
    work.entry.cancelled = True
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        bucket.dirty = True
    for index in sorted(work.unsettled):
        cancel_task(st, work, index, out)
    _settle_if_over(st, work, CANCELLED, out)


def is_retry_excluded(work: state.HomeWork, index: int) -> bool:
    """Returns whether a task is cancelled or beyond the work's task count."""
    return work.entry.cancelled or index >= work.entry.work.count


def cancel_task(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Ends a task that was not sent; requests a stop for any other."""
    if work.tasks[index].phase == works.Phase.PENDING:
        finish_task(work, index, works.Phase.NOT_RUN, CANCELLED)
    else:
        dispatching.send_cancel(st, work, index, out)
        dispatching.set_timer(st, st.now + st.tuning.resend_s, work, index)


@dispatch.receives(messages.CancelWork)
def _cancel_work(
    st: state.State, sender: str, message: messages.CancelWork, out: list
) -> None:
    work = st.works.get(message.work_id)
    if work is None or message.team not in ("", work.entry.work.team):
        return
    if work.entry.outcome is None:
        cancel(st, work, out)
