"""Gang scheduling: all tasks of a gang are held, then started together.

If one task of a round is returned, the others are cancelled, and the next round
begins once all of them have been returned. Rounds of different gangs are
separated by a random exponential backoff of at most MAX_BACKOFF_S.
"""

from mimosaridge_core import account
from mimosaridge_core import dispatching
from mimosaridge_core import effects
from mimosaridge_core import messages
from mimosaridge_core import outcomes
from mimosaridge_core import state
from mimosaridge_core import works

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


def begin_round(st: state.State, work: state.HomeWork, out: list) -> None:
    """Assigns the pending tasks to shards; gives up after the deadline."""
    if work.round_aborted:
        return
    expired = work.entry.work.start_before <= st.now
    for index in sorted(work.unsettled):
        if work.tasks[index].phase != works.Phase.PENDING:
            continue
        if expired:
            outcomes.settle_unstarted(st, work, index, outcomes.TOO_LATE, out)
        else:
            dispatching.assign(st, work, index, out)


def is_round_leader(work: state.HomeWork, index: int) -> bool:
    """Returns whether a task's timer begins the round of all pending tasks.

    A round sets a timer for each task without a shard. If each of them began
    a round, the number of timers would grow without bound.
    """
    waiting = (i for i in work.unsettled if not _is_dispatched(work, i))
    return index == min(waiting, default=-1)


def start(st: state.State, work: state.HomeWork, out: list) -> None:
    """Starts the tasks if all of them are held."""
    if any(task.phase != works.Phase.HELD for task in work.tasks):
        return
    spec = work.entry.work
    state.log_decision(
        st,
        out,
        account.Rule.RESERVATION,
        f"Resources for all {spec.count} tasks are held; starting them.",
        spec.work_id,
    )
    for index, assignment in enumerate(work.entry.assignments):
        view = st.known_owners.get(assignment.shard)
        if view is not None:
            task_id = f"{spec.work_id}/{index}"
            message = messages.StartHeld(
                assignment.shard, task_id, assignment.attempt
            )
            out.append(effects.SendPeer(view.owner, message))


def end_round(st: state.State, work: state.HomeWork, out: list) -> None:
    """Cancels the other tasks; schedules a round once all are returned."""
    if not work.round_aborted:
        work.round_aborted = True
        work.failed_rounds += 1
    cancel_dispatched(st, work, out)
    if any(_is_dispatched(work, index) for index in work.unsettled):
        return
    work.round_aborted = False
    ceiling = MIN_BACKOFF_S * 2 ** min(work.failed_rounds, 8)
    backoff_s = st.rng.uniform(MIN_BACKOFF_S, min(MAX_BACKOFF_S, ceiling))
    text = (
        f"Not all tasks could be held; round {work.failed_rounds + 1} begins in"
        f" {backoff_s * 1000:.0f} ms."
    )
    work_id = work.entry.work.work_id
    state.log_decision(st, out, account.Rule.RETRY, text, work_id)
    first = min(work.unsettled)
    dispatching.set_timer(st, st.now + backoff_s, work, first)


def _is_dispatched(work: state.HomeWork, index: int) -> bool:
    """Returns whether a shard may hold or run a task."""
    return work.tasks[index].phase != works.Phase.PENDING


def cancel_dispatched(st: state.State, work: state.HomeWork, out: list) -> None:
    """Cancels the tasks that shards of an ended round may still have."""
    for index in sorted(work.unsettled):
        if _is_dispatched(work, index):
            dispatching.send_cancel(st, work, index, out)
