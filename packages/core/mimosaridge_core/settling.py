"""What an owner tells a task's home, until the home has taken it."""

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import effects
from mimosaridge_core import messages
from mimosaridge_core import state
from mimosaridge_core import works

OWNER_RULES = (
    account.Rule.RESERVATION,
    account.Rule.PLACEMENT,
    account.Rule.STARTED,
    account.Rule.ENDED,
)


def note_task(
    st: state.State,
    shard: state.Shard,
    task: works.Task,
    rule: account.Rule,
    text: str,
    out: list,
    code: codes.Code = codes.Code.OK,
) -> None:
    """Records a decision about a task."""
    state.log_decision(
        st, out, rule, text, task.work_id, task.task_id, code, shard.epoch
    )


def home_daemon(st: state.State, home: str) -> str:
    """Returns the daemon that answers for a home; empty if unknown."""
    view = st.known_owners.get(home)
    if view is not None:
        return view.owner
    return home if home == st.name or home in st.members else ""


def tell(
    st: state.State,
    shard: state.Shard,
    task: works.Task,
    phase: works.Phase,
    worker: state.Worker,
    out: list,
) -> None:
    """Tells a task's home where an attempt stands."""
    update = messages.TaskUpdate(
        task.task_id,
        task.attempt,
        task.work_id,
        shard.name,
        shard.epoch,
        phase,
        worker.host.worker_id,
    )
    daemon = home_daemon(st, task.home)
    if daemon:
        out.append(effects.SendPeer(daemon, update))


def settle(
    st: state.State,
    shard: state.Shard,
    task: works.Task,
    phase: works.Phase,
    outcome: works.Outcome,
    worker_id: str,
    out: list,
) -> None:
    """Keeps how an attempt ended until its home has taken it."""
    text = f"Ended as {phase}: {outcome.detail or 'all went well.'}"
    note_task(st, shard, task, account.Rule.ENDED, text, out, outcome.code)
    update = messages.TaskUpdate(
        task.task_id,
        task.attempt,
        task.work_id,
        shard.name,
        shard.epoch,
        phase,
        worker_id,
        outcome,
        _lines_of(st, task),
    )
    ended = state.SettledAttempt(
        update,
        task.home,
        worker_id,
        st.now,
        st.now + st.tuning.retention_s,
        task.start_before,
    )
    shard.ended[(task.task_id, task.attempt)] = ended
    send_ended(st, ended, out)


def _lines_of(st: state.State, task: works.Task) -> list[account.Line]:
    return [
        account.line_of(record)
        for record in st.ring.of_task(task.work_id, task.task_id)
        if record.rule in OWNER_RULES
    ]


def settle_cancelled(
    st: state.State, shard: state.Shard, task: works.Task, out: list
) -> None:
    """Settles an attempt that was cancelled before it started."""
    outcome = works.Outcome(
        codes.Code.CANCELLED, "It was cancelled before it started."
    )
    settle(st, shard, task, works.Phase.NOT_RUN, outcome, "", out)


def send_ended(st: state.State, ended: state.SettledAttempt, out: list) -> None:
    """Sends the end of an attempt to its home."""
    ended.resend_at = st.now + st.tuning.resend_s
    daemon = home_daemon(st, ended.home)
    if daemon:
        out.append(effects.SendPeer(daemon, ended.update))


def forget(shard: state.Shard, ended: state.SettledAttempt, out: list) -> None:
    """Lets the worker forget an attempt that its home has taken."""
    worker = shard.workers.get(ended.worker_id)
    if worker is not None:
        update = ended.update
        out.append(
            effects.ForgetTask(
                worker.host.worker_id,
                worker.host.url,
                shard.epoch,
                update.task_id,
                update.attempt,
            )
        )
