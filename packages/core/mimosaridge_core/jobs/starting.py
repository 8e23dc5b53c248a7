"""Starts runs of tasks on workers."""

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import latestarts
from mimosaridge_core.jobs import leases
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import runs
from mimosaridge_core.jobs import sharing
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import work

# Run numbers available to one owner. The next owner has a higher fencing token
# and therefore higher run numbers.
RUN_NUMBERS_PER_OWNER = 1_000_000


def next_run_number(owner: state.Owner) -> int:
    """Returns a run number above all of former owners."""
    owner.runs += 1
    return owner.token * RUN_NUMBERS_PER_OWNER + owner.runs


def start_task(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
    index: int,
    worker: state.Worker,
    number: int,
    out: list,
) -> None:
    """Records a new run of a task and sends the start call."""
    worker_id = worker.entry.worker_id
    task = model.task_id(group.job_id, group.repetition, group.number, index)
    saved = group.progress.saved.get(0 if group.step.gang else index, "")
    run = state.Run(
        task,
        number,
        worker_id,
        entry.job.team,
        work.reserved_resources(group.step),
        group.step.needs,
        state.Phase.STARTING,
        st.now,
        saved=saved,
        is_repeated=latestarts.has_call(owner, task, number),
        is_timed=not saved,
        percent_at=st.now,
        target_ms=group.step.target_ms,
        fills=group.step.fills,
    )
    runs.add(owner, worker, run)
    sharing.begin(st, worker, run)
    group.runs.setdefault(index, []).append(run)
    group.waiting.discard(index)
    _send(st, owner, entry, group, worker, run, out)
    effects.log_decision(
        out,
        "start",
        job_id=group.job_id,
        task_id=task,
        run=number,
        worker=worker_id,
        waited_s=round(st.now - group.ready_at, 3),
        list_age_s=round(st.now - worker.answered_at, 3),
        configuration=st.configuration.version,
        resumed=bool(saved),
        unheld=len(owner.unheld),
    )


def repeat_start(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
    worker: state.Worker,
    run: state.Run,
    out: list,
) -> None:
    """Sends the start of a run again after a call without an answer.

    A worker that has the run answers as if it had started it now.
    """
    run.started_at = run.percent_at = st.now
    run.is_unanswered = False
    run.is_repeated = True
    # When the run has begun is unknown.
    run.is_timed = False
    _send(st, owner, entry, group, worker, run, out)
    effects.log_decision(
        out,
        "start-repeated",
        job_id=group.job_id,
        task_id=run.task_id,
        run=run.run,
        worker=run.worker_id,
    )


def _send(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
    worker: state.Worker,
    run: state.Run,
    out: list,
) -> None:
    """Sends the call that starts a run."""
    ticket = group.tickets.get(run.worker_id)
    start_before_ms = leases.clock_ms(st, worker) + tunables.START_WINDOW_MS
    leases.extend_by_start(st, worker)
    run.is_start_pending = True
    out.append(
        effects.Start(
            run.worker_id,
            worker.entry.address,
            owner.token,
            run.task_id,
            run.run,
            entry.job.content,
            run.saved,
            ticket.text if ticket else "",
            start_before_ms,
            worker.incarnation,
        )
    )
