"""Starts without an answer that their worker may still carry out.

A worker refuses a start once it has listed, ended or stopped that run, but it
may start again under its id, and the next incarnation has seen neither the stop
nor a fencing token. Until the first hold of that incarnation, a start that is
still on its way runs there. So a start without an answer is repeated at the
worker as the same run, and until it can no longer arrive, the task starts on no
other worker: whatever ends an incarnation ends the task's run there, too.

The run may end before that, and the start that is still on its way runs the
task once more in the next incarnation. The result is stored and used at once,
but its worker is not told to forget the end until the start can no longer
arrive: an end is final only when no other run of the task can follow it.

The fleet stores these tasks, so that a new owner knows them; the starts of an
owner's last moment it has heard from that owner itself.
"""

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import leases
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import records
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import work

# Most calls without an answer for one run, which is stopped then.
MAX_UNANSWERED = 6
# Stands for the start of an incarnation where there is none.
NO_INCARNATION = -1
# Largest difference between the times of day of two machines, seconds.
MAX_CLOCK_ERROR_S = 2.0
# Most ends that a worker keeps for late starts: it lists no more than 500.
MAX_KEPT_ENDS = 400
# Ends after which a task must not start again: at once, or after some of them.
FINAL_OUTCOMES = (model.RunOutcome.DONE, model.RunOutcome.FAILED)


def record(
    st: state.State,
    owner: state.Owner,
    run: state.Run,
    sent_at: float,
    out: list,
) -> None:
    """Records a call to start a run that has no answer.

    Args:
        st: The state.
        owner: The owner.
        run: The run.
        sent_at: When the call was sent at the latest.
        out: Effects.
    """
    until = sent_at + tunables.LATE_CALL_S
    before = owner.late_starts.get(run.task_id)
    if until <= st.now or (before is not None and until <= before.until):
        return
    is_same_worker = before is not None and before.worker_id == run.worker_id
    unanswered = 1 + (before.unanswered if is_same_worker else 0)
    owner.late_starts[run.task_id] = records.LateStart(
        run.worker_id,
        run.run,
        until,
        round(st.wall + until - st.now, 1),
        unanswered,
        is_only=before is None and not run.is_repeated,
    )
    effects.log_decision(
        out,
        "start-may-be-late",
        job_id=run.task_id.partition(".")[0],
        task_id=run.task_id,
        run=run.run,
        worker=run.worker_id,
        unanswered=unanswered,
        left_s=round(until - st.now, 2),
    )


def record_lost_run(
    st: state.State,
    owner: state.Owner,
    run: state.Run,
    refused_by: int,
    out: list,
) -> None:
    """Records a run that has ended without an end that its worker has listed.

    Args:
        st: The state.
        owner: The owner.
        run: The run; its start may still have no answer.
        refused_by: Start of the incarnation that may refuse the run now: it
            has ended or was stopped there.
        out: Effects.
    """
    if not run.is_start_answered and not run.is_listed:
        record(st, owner, run, run.started_at, out)
    late = owner.late_starts.get(run.task_id)
    if late is not None and late.run == run.run:
        late.refused_by = refused_by


def forget_arrived(owner: state.Owner, run: state.Run) -> None:
    """Forgets the only call to start a run that was answered or is listed."""
    if not run.is_repeated:
        forget_listed(owner, run.task_id, run.run)


def forget_listed(owner: state.Owner, task_id: str, run: int) -> None:
    """Forgets the only call to start a run that its worker lists."""
    late = owner.late_starts.get(task_id)
    if late is not None and late.run == run and late.is_only:
        del owner.late_starts[task_id]


def outlasts_incarnation(owner: state.Owner, run: state.Run) -> bool:
    """Returns whether the next incarnation may carry out a run's start.

    It refuses a ticket for the former one.
    """
    group = owner.groups.get(run.task_id.rpartition(".")[0])
    return group is not None and not group.needs_ticket


def record_listed_end(
    st: state.State, owner: state.Owner, run: state.Run, out: list
) -> None:
    """Records that a run has ended, so that it never starts again.

    If its agent fails, the call that goes on is made once more, and that one
    may be carried out late.
    """
    forget_arrived(owner, run)
    if run.is_start_pending and outlasts_incarnation(owner, run):
        record(st, owner, run, run.started_at, out)
    late = owner.late_starts.get(run.task_id)
    if late is not None and late.run == run.run:
        late.refused_by = None


def record_answer_after_end(
    st: state.State, owner: state.Owner, event: events.StartAnswered
) -> None:
    """Records the answer to a start whose run its worker lists as ended."""
    late = owner.late_starts.get(event.task_id)
    if late is None or late.run != event.run:
        return
    if event.is_repeated:
        late.is_only = False
        late.until = st.now + tunables.LATE_CALL_S
        late.until_wall = round(st.wall + tunables.LATE_CALL_S, 1)
    elif late.is_only:
        del owner.late_starts[event.task_id]


def has_unanswered(owner: state.Owner, run: state.Run) -> bool:
    """Returns whether a call to start a run has got no answer."""
    return has_call(owner, run.task_id, run.run)


def has_call(owner: state.Owner, task_id: str, run: int) -> bool:
    """Returns whether a call to start this run of a task may still arrive."""
    late = owner.late_starts.get(task_id)
    return late is not None and late.run == run


def may_repeat(owner: state.Owner, run: state.Run) -> bool:
    """Returns whether a start without an answer may be sent again."""
    late = owner.late_starts.get(run.task_id)
    return late is not None and late.unanswered < MAX_UNANSWERED


def restore(st: state.State, owner: state.Owner, fleet: model.Fleet) -> None:
    """Records what a former owner has stored."""
    for task_id, (worker_id, run, until_wall) in fleet.late_starts.items():
        left_s = until_wall - st.wall + MAX_CLOCK_ERROR_S
        until = st.now + min(left_s, tunables.LATE_CALL_S)
        owner.late_starts[task_id] = records.LateStart(
            worker_id, run, until, until_wall, 1, refused_by=NO_INCARNATION
        )


def restore_sent(
    st: state.State,
    owner: state.Owner,
    sent_starts: dict[str, tuple[str, int, float]],
) -> None:
    """Records what a former owner sent just before its end, without an answer.

    A start that the fleet has is known to have been sent more than once or to
    be overdue, and stays as it is.

    Args:
        st: The state.
        owner: The owner.
        sent_starts: As in `events.OwnershipClaimed`.
    """
    for task_id, (worker_id, run, until) in sent_starts.items():
        if until <= st.now or task_id in owner.late_starts:
            continue
        owner.late_starts[task_id] = records.LateStart(
            worker_id,
            run,
            until,
            round(st.wall + until - st.now, 1),
            unanswered=1,
            is_only=True,
            refused_by=NO_INCARNATION,
        )


def stored(owner: state.Owner) -> dict[str, tuple[str, int, float]]:
    """Returns what the fleet stores of these starts, by task id."""
    return {
        task_id: (late.worker_id, late.run, late.until_wall)
        for task_id, late in sorted(owner.late_starts.items())
    }


def forget_settled(st: state.State, owner: state.Owner) -> None:
    """Forgets the starts that can neither arrive nor have begun a run."""
    settled = [
        task_id
        for task_id, late in owner.late_starts.items()
        if late.until < st.now and _is_run_known(st, owner, late)
    ]
    for task_id in settled:
        del owner.late_starts[task_id]


def _is_run_known(
    st: state.State, owner: state.Owner, late: records.LateStart
) -> bool:
    """Returns whether a run that a start has begun at last is known or over.

    The worker lists it or, if that is out of reach, its lease has expired.
    """
    worker = owner.workers.get(late.worker_id)
    is_listed = worker is not None and worker.held and not worker.unanswered
    if is_listed and worker.answered_at > late.until:
        return True
    return st.now > late.until + leases.start_s(st)


def is_end_settled(
    st: state.State, owner: state.Owner, row: model.EndReport
) -> bool:
    """Returns whether no late start can run a task once more after an end.

    The end of one member of a gang stands for those of all members. Tasks that
    last start again however they end, and copies may follow each other. A late
    start of a queue with advice carries a ticket for the former incarnation,
    which the next one refuses.
    """
    if not owner.late_starts or row.how not in FINAL_OUTCOMES:
        return True
    location = work.locate_task(st, row.task_id)
    if location is None:
        return True
    entry, _, number, _ = location
    step = entry.job.steps[number]
    if step.standing or step.speculative or _needs_ticket(st, entry.job):
        return True
    tasks = [row.task_id]
    if step.gang:
        step_key, _, _ = row.task_id.rpartition(".")
        tasks = [f"{step_key}.{index}" for index in range(step.tasks)]
    return not any(_may_arrive(st, owner, task) for task in tasks)


def _needs_ticket(st: state.State, job: model.Job) -> bool:
    queue = settings.queue_of(st, job) if st.configuration else None
    return queue is not None and queue.advice is not None


def _may_arrive(st: state.State, owner: state.Owner, task_id: str) -> bool:
    late = owner.late_starts.get(task_id)
    return late is not None and st.now <= late.until


def log_if_kept(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    row: model.EndReport,
    out: list,
) -> None:
    """Logs an end that its worker keeps until no late start can follow it."""
    if not is_end_settled(st, owner, row):
        effects.log_decision(
            out,
            "end-kept",
            job_id=row.task_id.partition(".")[0],
            task_id=row.task_id,
            run=row.run,
            worker=worker.entry.worker_id,
            number=row.number,
        )


def last_settled(
    st: state.State, owner: state.Owner, worker: state.Worker, last: int
) -> int:
    """Returns the last end, up to a number, that a worker may forget.

    Args:
        st: The state.
        owner: The owner.
        worker: The worker.
        last: Number of the last end whose result is stored.
    """
    if len(worker.kept_ends) > MAX_KEPT_ENDS:
        return last
    for number, row in worker.kept_ends.items():
        if number > last:
            break
        if not is_end_settled(st, owner, row):
            return number - 1
    return last


def bound_tasks(owner: state.Owner, group: state.Group) -> dict[int, str]:
    """Returns the waiting tasks that may start on one worker only, with it.

    The worker is empty for a task that may start nowhere for now. Copies of a
    speculative step may run beside each other.
    """
    if not owner.late_starts or group.step.speculative:
        return {}
    bound = {}
    for index in group.waiting:
        late = owner.late_starts.get(f"{group.key}.{index}")
        if late is not None:
            may_start = late.unanswered < MAX_UNANSWERED
            bound[index] = late.worker_id if may_start else ""
    return bound


def resumable_run(
    owner: state.Owner, group: state.Group, index: int
) -> int | None:
    """Returns the run as which a bound task starts; None for a new one.

    The run was lost with an incarnation of its worker, and the present one does
    not refuse it. As the same run, a start that is still on its way can't begin
    another one beside it.
    """
    late = owner.late_starts[f"{group.key}.{index}"]
    worker = owner.workers.get(late.worker_id)
    if late.refused_by is None or worker is None or group.step.gang:
        return None
    if late.run in group.progress.failed_runs.get(index, ()):
        return None
    return late.run if worker.born != late.refused_by else None
