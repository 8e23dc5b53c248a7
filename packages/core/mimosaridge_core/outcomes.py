"""What became of tasks, and of the work that they belong to."""

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

LONGEST_RETRY_S = 5.0
OWN_STOPS = (
    codes.Code.OVER_LIMIT,
    codes.Code.MOVED,
    codes.Code.PREEMPTED,
)
KEPT_ANSWER_BYTES = 4096
UNTOLD_RESENDS = 2
SKEWS_BEFORE_FORGOTTEN = 4
TOO_LATE = works.Outcome(
    codes.Code.DEADLINE_PASSED, "It could not start before its deadline."
)
CANCELLED = works.Outcome(codes.Code.CANCELLED, "It was cancelled.")
FACTS = (codes.Code.OK, codes.Code.TASK_FAILED)


@dispatch.receives(messages.TaskUpdate)
def _update(
    st: state.State, sender: str, message: messages.TaskUpdate, out: list
) -> None:
    taken = messages.UpdateTaken(
        message.shard, message.task_id, message.attempt
    )
    work = st.works.get(message.work_id)
    if work is None:
        _update_for_nobody(st, sender, message, taken, out)
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
        _confirm(st, work, sender, taken, out)
        archives.keep_lines(work, message.lines)
    if current:
        _apply(st, work, index, message, out)
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        ledgers.flush(st, bucket, out)


def _is_valid(
    assignment: documents.Assignment, message: messages.TaskUpdate
) -> bool:
    """Tells whether an owner may know what it says.

    That a task ran is a fact whoever says it. That it did not, or that its
    fate is unknown, only the owner can say that the ledger names: one that
    was replaced doesn't see what its successor started.
    """
    if message.phase in (works.Phase.DONE, works.Phase.FAILED):
        return True
    if message.phase == works.Phase.RUNNING:
        return message.epoch >= assignment.epoch
    return message.epoch == assignment.epoch


def _update_for_nobody(
    st: state.State,
    sender: str,
    message: messages.TaskUpdate,
    taken: messages.UpdateTaken,
    out: list,
) -> None:
    """Answers for work that is settled and forgotten, or not yet read."""
    bucket = st.buckets.get(buckets.bucket_of(st, message.work_id))
    if bucket is None or not bucket.loaded:
        return
    if message.outcome is not None:
        out.append(effects.SendPeer(sender, taken))
    elif message.phase == works.Phase.RUNNING:
        stop = messages.CancelTask(
            message.shard, message.task_id, message.attempt
        )
        out.append(effects.SendPeer(sender, stop))


def _confirm(
    st: state.State,
    work: state.HomeWork,
    sender: str,
    taken: messages.UpdateTaken,
    out: list,
) -> None:
    bucket = st.buckets.get(work.home)
    if bucket is None:
        out.append(effects.SendPeer(sender, taken))
        return
    bucket.dirty = True
    bucket.untaken.append((sender, taken))


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
    if _tries_again(st, work, index, message):
        _retry(st, work, index, message, out)
        return
    outcome = message.outcome
    late = work.entry.work.start_before <= st.now
    if outcome.code == codes.Code.CANCELLED and late:
        outcome = TOO_LATE if not is_unwanted(work, index) else outcome
    outcome = finish_task(work, index, message.phase, outcome)
    _settle_if_over(st, work, outcome, out)


def _kept(outcome: works.Outcome) -> works.Outcome:
    """Returns what the ledger keeps of an outcome."""
    if len(outcome.answer) <= KEPT_ANSWER_BYTES:
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
    """Notes the end of a task and returns the outcome that counts.

    A task whose earlier attempt may have run is not told to be not run.
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


def _tries_again(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
) -> bool:
    if is_unwanted(work, index):
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
    if message.outcome.code in OWN_STOPS:
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
    own_stop = message.outcome.code in OWN_STOPS
    if message.phase != works.Phase.NOT_RUN:
        work.entry.assignments[index].ran = _kept(message.outcome)
        task.failures += not own_stop
    task.phase = works.Phase.PENDING
    if _was_moved(work, message):
        dispatching.assign(st, work, index, out)
        return
    if message.outcome.code == codes.Code.MOVED:
        spec = work.entry.work
        spec.start_before = max(spec.start_before, st.now + st.tuning.move_s)
    if work.entry.work.kind == works.Kind.GANG:
        gangs.end_round(st, work, out)
        return
    task.retries += not own_stop
    ceiling = min(
        LONGEST_RETRY_S, dispatching.RETRY_DELAY_S * 2 ** min(task.retries, 8)
    )
    delay_s = st.rng.uniform(dispatching.RETRY_DELAY_S, ceiling)
    text = (
        f"Tried again in {delay_s * 1000:.0f} ms:"
        f" {message.outcome.detail or message.phase}"
    )
    state.note(
        st,
        out,
        account.Rule.RETRY,
        text,
        message.work_id,
        message.task_id,
        message.outcome.code,
    )
    dispatching.set_timer(st, st.now + delay_s, work, index)


def _was_moved(work: state.HomeWork, message: messages.TaskUpdate) -> bool:
    """Tells whether a shard gave a task back to be sent elsewhere at once."""
    moved = message.outcome.code in (codes.Code.NO_ROOM, codes.Code.PREEMPTED)
    return moved and work.entry.work.kind != works.Kind.GANG


def final_phase(code: codes.Code) -> works.Phase:
    """Returns the phase of a task that was settled with a result code."""
    if code in (codes.Code.OK, codes.Code.ANSWER_NOT_KEPT):
        return works.Phase.DONE
    if code == codes.Code.UNKNOWN:
        return works.Phase.UNKNOWN
    if codes.is_not_run(code):
        return works.Phase.NOT_RUN
    return works.Phase.FAILED


def whole_outcome(work: state.HomeWork, last: works.Outcome) -> works.Outcome:
    """Returns the outcome of work from those of its tasks."""
    if len(work.tasks) == 1:
        return last
    outcomes = [item.outcome for item in work.entry.assignments]
    good = (codes.Code.OK, codes.Code.ANSWER_NOT_KEPT)
    bad = [item for item in outcomes if item.code not in good]
    if not bad:
        text = f"All {len(outcomes)} tasks ended well."
        return works.Outcome(codes.Code.OK, text)
    text = f"{len(bad)} of {len(outcomes)} tasks did not: {bad[0].detail}"
    code = bad[0].code
    if not all(codes.is_not_run(item.code) for item in outcomes):
        code = max(item.code for item in bad)
        code = codes.Code.TASK_FAILED if codes.is_not_run(code) else code
    return works.Outcome(code, text)


def give_up(
    st: state.State,
    work: state.HomeWork,
    index: int,
    outcome: works.Outcome,
    out: list,
) -> None:
    """Settles a task that no owner was asked to start since it last ended."""
    outcome = finish_task(work, index, works.Phase.NOT_RUN, outcome)
    _settle_if_over(st, work, outcome, out)


def _settle_if_over(
    st: state.State, work: state.HomeWork, last: works.Outcome, out: list
) -> None:
    stands = work.entry.work.kind == works.Kind.SERVICE
    if work.unsettled or stands and not work.entry.cancelled:
        return
    if work.entry.outcome is None:
        settle(st, work, whole_outcome(work, last), out)


def settle(
    st: state.State, work: state.HomeWork, outcome: works.Outcome, out: list
) -> None:
    """Settles work and tells the daemons whose callers wait for it."""
    entry = work.entry
    before = ledgers.size_of(entry)
    entry.outcome = _kept(outcome)
    entry.settled_at = st.now
    work_id = entry.work.work_id
    text = f"{codes.MEANINGS[outcome.code]} {outcome.detail}".rstrip()
    state.note(st, out, account.Rule.SETTLED, text, work_id, code=outcome.code)
    work.whole = outcome
    bucket = st.buckets.get(work.home)
    if bucket is None or may_be_told(work):
        tell(work, out)
    if bucket is None:
        del st.works[work_id]
        return
    bucket.size_bytes -= before
    entry.work = dataclasses.replace(entry.work, body=b"")
    bucket.size_bytes += ledgers.size_of(entry)
    bucket.settled.append(work_id)
    bucket.dirty = True
    dispatching.set_timer(st, st.now + st.tuning.answer_s, work, -1)
    dispatching.set_timer(st, kept_until(st, entry), work, -1)


def may_be_told(work: state.HomeWork) -> bool:
    """Tells whether an outcome holds whoever else may hold the bucket.

    That work ran is a fact. That it did not run holds once the ledger says
    so, for a displaced home can't write it.
    """
    outcome = work.entry.outcome
    if outcome is None:
        return False
    return work.outcome_recorded or work.whole.code in FACTS


def tell(work: state.HomeWork, out: list) -> None:
    """Tells the outcome to the daemons whose callers wait for it."""
    outcome = work.whole or work.entry.outcome
    settled = messages.WorkSettled(work.entry.work.work_id, outcome)
    for origin in sorted(work.origins):
        out.append(effects.SendPeer(origin, settled))


def keeps_untold(st: state.State, home: str) -> bool:
    """Tells whether a home has an answer that only it can still tell.

    A daemon whose caller waits asks within `resend_s`; an answer that no
    ledger holds and nobody was told waits for that, and some more.
    """
    since = st.now - UNTOLD_RESENDS * st.tuning.resend_s
    return any(
        work.home == home
        and not work.origins
        and work.whole is not None
        and len(work.whole.answer) > KEPT_ANSWER_BYTES
        and work.entry.settled_at > since
        for work in st.works.values()
    )


def kept_until(st: state.State, entry: documents.Entry) -> float:
    """Returns when an outcome may be forgotten, seconds since the epoch.

    From then on every daemon refuses its id as too old, whatever the
    difference between the clocks of caller, daemons and homes.
    """
    margin_s = SKEWS_BEFORE_FORGOTTEN * st.tuning.skew_s
    return entry.settled_at + st.tuning.retention_s + margin_s


def cancel(st: state.State, work: state.HomeWork, out: list) -> None:
    """Cancels what has not ended of some work."""
    work.entry.cancelled = True
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        bucket.dirty = True
    for index in sorted(work.unsettled):
        cancel_task(st, work, index, out)
    _settle_if_over(st, work, CANCELLED, out)


def is_unwanted(work: state.HomeWork, index: int) -> bool:
    """Tells whether a task is to come to its end without another attempt."""
    return work.entry.cancelled or index >= work.entry.work.count


def cancel_task(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Ends a task that was not sent; has any other stopped."""
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
