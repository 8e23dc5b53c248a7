"""Task updates from a shard's owner to the homes of its tasks.

The owner resends the outcome of an attempt until the home confirms it.
"""

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import effects
from mimosaridge_core import messages
from mimosaridge_core import state
from mimosaridge_core import works

ACCOUNT_RULES = (
    account.Rule.RESERVATION,
    account.Rule.PLACEMENT,
    account.Rule.STARTED,
    account.Rule.ENDED,
)


def record_decision(
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
    """Returns the daemon that currently serves a home; empty if unknown."""
    view = st.known_owners.get(home)
    if view is not None:
        return view.owner
    return home if home == st.name or home in st.members else ""


def send_update(
    st: state.State,
    shard: state.Shard,
    task: works.Task,
    phase: works.Phase,
    worker: state.Worker,
    out: list,
) -> None:
    """Sends the phase of an attempt to the task's home."""
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
    """Stores the outcome of an attempt and sends it to the task's home."""
    text = f"Ended as {phase}: {outcome.detail or 'no error.'}"
    record_decision(
        st, shard, task, account.Rule.ENDED, text, out, outcome.code
    )
    update = messages.TaskUpdate(
        task.task_id,
        task.attempt,
        task.work_id,
        shard.name,
        shard.epoch,
        phase,
        worker_id,
        outcome,
        _make_lines(st, task),
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
    send_outcome(st, ended, out)


def _make_lines(st: state.State, task: works.Task) -> list[account.Line]:
    return [
        account.make_line(record)
        for record in st.ring.for_task(task.work_id, task.task_id)
        if record.rule in ACCOUNT_RULES
    ]


def settle_cancelled(
    st: state.State, shard: state.Shard, task: works.Task, out: list
) -> None:
    """Settles an attempt that was cancelled before it was started."""
    outcome = works.Outcome(
        codes.Code.CANCELLED, "The task was cancelled before it started."
    )
    settle(st, shard, task, works.Phase.NOT_RUN, outcome, "", out)


def send_outcome(
    st: state.State, ended: state.SettledAttempt, out: list
) -> None:
    """Sends the outcome of an attempt to the task's home."""
    ended.resend_at = st.now + st.tuning.resend_s
    daemon = home_daemon(st, ended.home)
    if daemon:
        out.append(effects.SendPeer(daemon, ended.update))


def send_forget(
    shard: state.Shard, ended: state.SettledAttempt, out: list
) -> None:
    """Tells the worker that it may delete an attempt's answer."""
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
