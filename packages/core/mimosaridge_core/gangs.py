"""All-at-once jobs: rounds in which all tasks are held, then started together.

If one task comes back, the others are taken back too, and the next round
begins once all have returned. Rounds of different gangs are kept apart by
random pauses that grow up to LONGEST_PAUSE_S.
"""

from mimosaridge_core import account
from mimosaridge_core import dispatching
from mimosaridge_core import effects
from mimosaridge_core import messages
from mimosaridge_core import outcomes
from mimosaridge_core import state
from mimosaridge_core import works

SHORTEST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0


def begin_round(st: state.State, work: state.HomeWork, out: list) -> None:
    """Sends the tasks that have no shard; gives up after the deadline."""
    if work.round_aborted:
        return
    late = work.entry.work.start_before <= st.now
    for index in sorted(work.unsettled):
        if work.tasks[index].phase != works.Phase.PENDING:
            continue
        if late:
            outcomes.settle_unstarted(st, work, index, outcomes.TOO_LATE, out)
        else:
            dispatching.assign(st, work, index, out)


def leads_round(work: state.HomeWork, index: int) -> bool:
    """Tells whether a task's timer begins the round of all waiting tasks.

    A round sets a timer for each task without a shard; were each to begin a
    round, their number would grow without end.
    """
    waiting = (i for i in work.unsettled if not _is_out(work, i))
    return index == min(waiting, default=-1)


def start(st: state.State, work: state.HomeWork, out: list) -> None:
    """Starts the tasks once all of them are held."""
    if any(task.phase != works.Phase.HELD for task in work.tasks):
        return
    spec = work.entry.work
    state.log_decision(
        st,
        out,
        account.Rule.RESERVATION,
        f"Room for all {spec.count} tasks is held; they start together.",
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
    """Takes the other tasks back; sets the next round once all are back."""
    if not work.round_aborted:
        work.round_aborted = True
        work.failed_rounds += 1
    take_back(st, work, out)
    if any(_is_out(work, index) for index in work.unsettled):
        return
    work.round_aborted = False
    ceiling = SHORTEST_PAUSE_S * 2 ** min(work.failed_rounds, 8)
    pause_s = st.rng.uniform(SHORTEST_PAUSE_S, min(LONGEST_PAUSE_S, ceiling))
    text = (
        f"Not all tasks found room; round {work.failed_rounds + 1} begins in"
        f" {pause_s * 1000:.0f} ms."
    )
    work_id = work.entry.work.work_id
    state.log_decision(st, out, account.Rule.RETRY, text, work_id)
    first = min(work.unsettled)
    dispatching.set_timer(st, st.now + pause_s, work, first)


def _is_out(work: state.HomeWork, index: int) -> bool:
    """Tells whether a shard may hold or run a task."""
    return work.tasks[index].phase != works.Phase.PENDING


def take_back(st: state.State, work: state.HomeWork, out: list) -> None:
    """Asks the shards of an ended round for the tasks that they still have."""
    for index in sorted(work.unsettled):
        if _is_out(work, index):
            dispatching.send_cancel(st, work, index, out)
