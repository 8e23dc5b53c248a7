"""What became of tasks, and of the work that they belong to."""

from mimosaridge_core import account
from mimosaridge_core import buckets
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import dispatching
from mimosaridge_core import effects
from mimosaridge_core import ledgers
from mimosaridge_core import messages
from mimosaridge_core import state
from mimosaridge_core import works

LONGEST_RETRY_S = 5.0
KEPT_ANSWER_BYTES = 4096


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
        index < len(work.tasks)
        and work.entry.assignments[index].attempt == message.attempt
        and work.tasks[index].phase not in works.FINAL_PHASES
        and work.entry.outcome is None
    )
    if message.outcome is not None:
        _confirm(st, work, sender, taken, out)
    if current:
        _apply(st, work, index, message, out)
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        ledgers.flush(st, bucket, out)


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
        _start_gang(st, work, out)


def _start_gang(st: state.State, work: state.HomeWork, out: list) -> None:
    if any(task.phase != works.Phase.HELD for task in work.tasks):
        return
    spec = work.entry.work
    state.note(
        st,
        out,
        account.Rule.RESERVATION,
        f"Room for all {spec.count} tasks is held; they start together.",
        spec.work_id,
    )
    for index, assignment in enumerate(work.entry.assignments):
        view = st.views.get(assignment.shard)
        if view is not None:
            start = messages.StartHeld(
                assignment.shard,
                f"{spec.work_id}/{index}",
                assignment.attempt,
            )
            out.append(effects.SendPeer(view.owner, start))


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
    task.phase = message.phase
    outcome = message.outcome
    kept = outcome
    if len(outcome.answer) > KEPT_ANSWER_BYTES and work.entry.work.count > 1:
        kept = works.Outcome(outcome.code, outcome.detail)
    work.entry.assignments[index].outcome = kept
    if all(other.phase in works.FINAL_PHASES for other in work.tasks):
        settle(st, work, whole_outcome(work, outcome), out)


def _tries_again(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
) -> bool:
    if work.entry.cancelled:
        return False
    spec = work.entry.work
    if spec.kind == works.Kind.SERVICE:
        return True
    if message.phase == works.Phase.NOT_RUN:
        return spec.start_before > st.now
    if not spec.idempotent or message.phase == works.Phase.DONE:
        return False
    if message.outcome.code == codes.Code.OVER_LIMIT:
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
    task.phase = works.Phase.PENDING
    if _was_moved(work, message):
        dispatching.assign(st, work, index, out)
        return
    if message.outcome.code != codes.Code.OVER_LIMIT:
        task.failures += 1
    ceiling = min(
        LONGEST_RETRY_S, dispatching.FIRST_RETRY_S * 2 ** min(task.failures, 8)
    )
    delay_s = st.rng.uniform(dispatching.FIRST_RETRY_S, ceiling)
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
    if work.entry.work.kind == works.Kind.GANG:
        _break_gang(st, work, index, out)


def _was_moved(work: state.HomeWork, message: messages.TaskUpdate) -> bool:
    """Tells whether a shard gave a task back because another has room."""
    moved = message.outcome.code == codes.Code.NO_ROOM
    return moved and work.entry.work.kind != works.Kind.GANG


def _break_gang(
    st: state.State, work: state.HomeWork, failed: int, out: list
) -> None:
    """Gives back what the other tasks of a gang hold, or stops them."""
    for index, task in enumerate(work.tasks):
        waits = task.phase in (works.Phase.PENDING, *works.FINAL_PHASES)
        if index != failed and not waits:
            dispatching.send_cancel(st, work, index, out)


def whole_outcome(work: state.HomeWork, last: works.Outcome) -> works.Outcome:
    """Returns the outcome of work from those of its tasks."""
    if len(work.tasks) == 1:
        return last
    outcomes = [item.outcome for item in work.entry.assignments]
    bad = [item for item in outcomes if item.code != codes.Code.OK]
    if not bad:
        text = f"All {len(outcomes)} tasks ended well."
        return works.Outcome(codes.Code.OK, text)
    text = f"{len(bad)} of {len(outcomes)} tasks did not: {bad[0].detail}"
    return works.Outcome(bad[0].code, text)


def give_up(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Settles a task that has not started by its deadline."""
    outcome = works.Outcome(
        codes.Code.DEADLINE_PASSED, "It could not start before its deadline."
    )
    work.tasks[index].phase = works.Phase.NOT_RUN
    work.entry.assignments[index].outcome = outcome
    if all(other.phase in works.FINAL_PHASES for other in work.tasks):
        settle(st, work, whole_outcome(work, outcome), out)


def settle(
    st: state.State, work: state.HomeWork, outcome: works.Outcome, out: list
) -> None:
    """Settles work and tells the daemons whose callers wait for it."""
    entry = work.entry
    entry.outcome = outcome
    entry.settled_at = st.now
    work_id = entry.work.work_id
    text = codes.MEANINGS[outcome.code]
    state.note(st, out, account.Rule.SETTLED, text, work_id, code=outcome.code)
    for origin in sorted(work.origins):
        settled = messages.WorkSettled(work_id, outcome)
        out.append(effects.SendPeer(origin, settled))
    bucket = st.buckets.get(work.home)
    if bucket is None:
        del st.works[work_id]
        return
    bucket.dirty = True
    dispatching.set_timer(st, st.now + st.tuning.retention_s, work, -1)


def cancel(st: state.State, work: state.HomeWork, out: list) -> None:
    """Cancels what has not ended of some work."""
    work.entry.cancelled = True
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        bucket.dirty = True
    outcome = works.Outcome(codes.Code.CANCELLED, "It was cancelled.")
    for index, task in enumerate(work.tasks):
        if task.phase == works.Phase.PENDING:
            task.phase = works.Phase.NOT_RUN
            work.entry.assignments[index].outcome = outcome
        elif task.phase not in works.FINAL_PHASES:
            dispatching.send_cancel(st, work, index, out)
    settled = all(task.phase in works.FINAL_PHASES for task in work.tasks)
    if settled and work.entry.outcome is None:
        settle(st, work, whole_outcome(work, outcome), out)


@dispatch.receives(messages.CancelWork)
def _cancel_work(
    st: state.State, sender: str, message: messages.CancelWork, out: list
) -> None:
    work = st.works.get(message.work_id)
    if work is not None and work.entry.outcome is None:
        cancel(st, work, out)
