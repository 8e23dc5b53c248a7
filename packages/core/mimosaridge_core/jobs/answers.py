"""Handles workers' answers to starts and stops; repeats unanswered calls."""

from mimosaridge_core.jobs import advice_calls
from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import incarnations
from mimosaridge_core.jobs import latestarts
from mimosaridge_core.jobs import leases
from mimosaridge_core.jobs import resigning
from mimosaridge_core.jobs import runs
from mimosaridge_core.jobs import starting
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import teamlimits
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import usableworkers

# Delay before a step is placed again after a worker refused one of its tasks:
# long enough for that worker's next answer to a hold call.
REFUSAL_BACKOFF_S = 0.1
# Interval of the search for unanswered calls: a fraction of `STOP_RETRY_S`.
CALL_CHECK_INTERVAL_S = 0.1
# A start that is answered later than this may be lost; answers take some 3 ms.
USUAL_ANSWER_S = 0.05


def _is_for_former(
    worker: state.Worker | None,
    event: events.StartAnswered | events.StopAnswered,
) -> bool:
    """Returns whether a call was meant for a former incarnation.

    This owner's own, higher token for the present one may have fenced it.
    """
    return worker is not None and event.incarnation != worker.incarnation


def _resign(
    st: state.State,
    event: events.StartAnswered | events.StopAnswered,
    out: list,
) -> None:
    if st.owner is not None and event.token == st.owner.token:
        resigning.resign(st, "a worker accepted a newer fencing token", out)


@dispatch.handles(events.StartAnswered)
def handle_start_answer(
    st: state.State, event: events.StartAnswered, out: list
) -> None:
    """Handles the answer to a start call, or its failure."""
    owner = st.owner
    worker = owner.workers.get(event.worker_id) if owner else None
    run = worker.runs.get((event.task_id, event.run)) if worker else None
    if event.result == events.CallResult.FENCED:
        if not _is_for_former(worker, event):
            _resign(st, event, out)
            return
        # Another call with this order may have been carried out before.
        event.result = events.CallResult.UNKNOWN
    if run is None:
        if owner is not None:
            latestarts.record_answer_after_end(st, owner, event)
        return
    run.is_start_pending = False
    is_unknown = event.result == events.CallResult.UNKNOWN
    if is_unknown or event.is_repeated:
        leases.add_unanswered_start(st, worker, run)
        _record_late_start(st, owner, run, event, out)
    else:
        run.is_start_answered = True
        latestarts.forget_arrived(owner, run)
    if event.result != events.CallResult.DONE:
        effects.log_decision(
            out,
            "start-answered",
            job_id=event.task_id.partition(".")[0],
            task_id=event.task_id,
            run=event.run,
            worker=event.worker_id,
            result=event.result.value,
            detail=event.detail,
        )
    if event.result == events.CallResult.DONE:
        if run.phase == state.Phase.STARTING:
            run.phase = state.Phase.RUNNING
            run.acknowledged_at = st.now
        runs.mark_begun(st, owner, event.task_id)
    elif event.result == events.CallResult.UNKNOWN:
        # Handled by `check`: this daemon may have been replaced as the owner
        # since, as it knows once it has handled all events.
        run.is_unanswered = True
        owner.calls_checked_at = 0.0
    elif event.result == events.CallResult.OTHER_INCARNATION:
        is_present = event.incarnation == worker.incarnation
        if not is_present or not incarnations.end(st, owner, worker, out):
            # It tells nothing about the worker's other runs.
            stopping.stop(st, owner, worker, run, "start was refused", out)
    else:
        _handle_refusal(st, owner, worker, run, event, out)


def _record_late_start(
    st: state.State,
    owner: state.Owner,
    run: state.Run,
    event: events.StartAnswered,
    out: list,
) -> None:
    """Records that a start may be carried out late.

    The only call for a run that its worker has listed was carried out. An agent
    may make a call of its own until its failure is noticed.
    """
    if event.is_repeated:
        run.is_repeated = True
        latestarts.record(st, owner, run, st.now, out)
    elif run.is_repeated or not run.is_listed:
        latestarts.record(st, owner, run, run.started_at, out)


def _is_overdue(st: state.State, owner: state.Owner, run: state.Run) -> bool:
    """Returns whether the next owner should know that a start has no answer.

    With a ticket the start expires with the incarnation of its worker. A
    repeated start is known, and its latest call may prove not to be sent.
    """
    is_starting = run.phase == state.Phase.STARTING
    if not is_starting or run.is_start_answered or run.is_repeated:
        return False
    is_late = st.now - run.started_at > USUAL_ANSWER_S
    return is_late and latestarts.outlasts_incarnation(owner, run)


def _handle_unanswered_start(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    out: list,
) -> None:
    """Repeats a start without an answer as soon as its worker takes starts.

    A stop would hold for the present incarnation of the worker only.
    """
    if run.phase != state.Phase.STARTING:
        run.is_unanswered = False
        return
    group = owner.groups.get(run.task_id.rpartition(".")[0])
    if group is None or not _may_repeat(st, owner, worker, run, group):
        run.is_unanswered = False
        stopping.stop(st, owner, worker, run, "start was not answered", out)
    elif usableworkers.is_startable(st, owner, worker):
        entry = st.table[group.job_id]
        starting.repeat_start(st, owner, entry, group, worker, run, out)


def _may_repeat(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    group: state.Group,
) -> bool:
    """Returns whether a start without an answer is to be sent again."""
    has_ticket = (
        not group.needs_ticket
        or advice_calls.valid_ticket(st, group, run.worker_id) is not None
    )
    return (
        has_ticket
        and not group.step.speculative
        and latestarts.may_repeat(owner, run)
        and usableworkers.is_staying(st, owner, worker)
        and not _has_other_run(group, run)
        and not teamlimits.is_exceeded(st, owner, st.table[group.job_id])
    )


def _has_other_run(group: state.Group, run: state.Run) -> bool:
    """Returns whether the task of a run has another one.

    The next incarnation of its worker may have begun an earlier one.
    """
    return any(
        other.task_id == run.task_id and other is not run
        for others in group.runs.values()
        for other in others
    )


def _handle_refusal(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    event: events.StartAnswered,
    out: list,
) -> None:
    group = owner.groups.get(event.task_id.rpartition(".")[0])
    if event.result == events.CallResult.UNHEALTHY:
        worker.unhealthy_until = st.now + tunables.UNHEALTHY_BACKOFF_S
    if group is not None:
        group.retry_at = st.now + REFUSAL_BACKOFF_S
        if event.result == events.CallResult.NO_TICKET:
            group.tickets.pop(event.worker_id, None)
    if latestarts.has_unanswered(owner, run):
        # An earlier call may have begun the run, which may even have ended.
        stopping.stop(st, owner, worker, run, "start was refused", out)
    else:
        runs.mark_lost(st, owner, worker, run, runs.EndEvidence.REFUSED, out)


@dispatch.handles(events.StopAnswered)
def handle_stop_answer(
    st: state.State, event: events.StopAnswered, out: list
) -> None:
    """Handles the answer to a stop call.

    The end of the run itself is reported by a later hold call.
    """
    owner = st.owner
    worker = owner.workers.get(event.worker_id) if owner else None
    run = worker.runs.get((event.task_id, event.run)) if worker else None
    if event.result == events.CallResult.FENCED:
        if not _is_for_former(worker, event):
            _resign(st, event, out)
        return
    if run is None or event.incarnation != worker.incarnation:
        # Another incarnation may still take the start. The stop is repeated.
        return
    if event.result == events.CallResult.DONE:
        run.phase = state.Phase.STOPPING
        run.acknowledged_at = st.now
    elif event.result == events.CallResult.OTHER_INCARNATION:
        incarnations.end(st, owner, worker, out)


def check(st: state.State, owner: state.Owner, out: list) -> None:
    """Retries calls that were not answered in time."""
    if st.now - owner.calls_checked_at < CALL_CHECK_INTERVAL_S:
        return
    owner.calls_checked_at = st.now
    for worker in owner.workers.values():
        for run in list(worker.runs.values()):
            if _is_overdue(st, owner, run):
                latestarts.record(st, owner, run, run.started_at, out)
            if run.is_unanswered:
                _handle_unanswered_start(st, owner, worker, run, out)
            is_stopping = run.phase in (
                state.Phase.STOPPING,
                state.Phase.IN_DOUBT,
            )
            is_late = st.now - run.stop_sent_at > tunables.STOP_RETRY_S
            if is_stopping and not run.acknowledged_at and is_late:
                stopping.send_stop(st, owner, worker, run, out)
