"""Pace of backfill on workers where it runs beside serving tasks.

Backfill disturbs serving tasks, that is those with a latency target, by amounts
that are not known in advance and change within seconds, so placement keeps them
apart while there is room elsewhere. On a shared worker, backfill begins at rest
and its pace follows the tail latencies that the worker reports: it drops to
zero when one comes near its target and rises slowly while all are far below.
Backfill that disturbs a serving task although it should rest is stopped.
"""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import resigning
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping

# Largest tail latency of a shared worker, as a share of the target, at which
# its backfill rests, and below which its pace rises.
REST_TAIL_SHARE = 0.85
RISE_TAIL_SHARE = 0.6
# Percentage by which the pace rises at a time, and the shortest time between
# two rises: a pace shows in a report about the half second after it.
RISE_PERCENT = 10
RISE_INTERVAL_S = 0.8
# Pause before an order without confirmation is sent again.
RETRY_S = 0.5
CHECK_INTERVAL_S = 0.1
# Backfill that goes on disturbing for this time is stopped. Users count it as
# harm after 4 s.
MAX_DISTURBED_S = 2.0


def begin(st: state.State, worker: state.Worker, run: state.Run) -> None:
    """Lets backfill rest if a run that was added shares its worker with it."""
    if worker.is_shared and (run.fills or run.target_ms > 0):
        worker.pace = 0
        worker.pace_changed_at = st.now


def follow_tails(
    st: state.State, owner: state.Owner, worker: state.Worker, out: list
) -> None:
    """Adapts the pace of a worker's backfill to tails just reported."""
    if not worker.is_shared:
        worker.pace = state.FULL_PACE
        worker.disturbed_since = 0.0
        return
    tail_share = max(
        run.load / run.target_ms
        for run in worker.runs.values()
        if run.target_ms > 0
    )
    pace = worker.pace
    if tail_share >= REST_TAIL_SHARE:
        pace = 0
        _order_again(worker)
    elif (
        tail_share < RISE_TAIL_SHARE
        and st.now - worker.pace_changed_at >= RISE_INTERVAL_S
    ):
        pace = min(state.FULL_PACE, pace + RISE_PERCENT)
    if pace != worker.pace:
        worker.pace = pace
        worker.pace_changed_at = st.now
        effects.log_decision(
            out,
            "pace",
            worker=worker.entry.worker_id,
            percent=pace,
            tail_share=round(tail_share, 2),
            backfill=worker.backfill,
            serving=worker.serving,
        )
    _stop_disturbing(st, owner, worker, tail_share, out)


def _order_again(worker: state.Worker) -> None:
    """Forgets confirmations of backfill that works although it should rest.

    An earlier, unanswered order may have been carried out after the latest.
    """
    for run in worker.runs.values():
        if run.fills and run.load > 0:
            run.pace = None


def _stop_disturbing(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    tail_share: float,
    out: list,
) -> None:
    """Stops backfill that can't be made to rest and disturbs for long."""
    working = [
        run
        for run in worker.runs.values()
        if run.fills
        and run.phase == state.Phase.RUNNING
        and (run.pace != 0 or run.load > 0)
    ]
    if tail_share <= 1 or not working:
        worker.disturbed_since = 0.0
        return
    worker.disturbed_since = worker.disturbed_since or st.now
    if st.now - worker.disturbed_since < MAX_DISTURBED_S:
        return
    for run in working:
        stopping.stop(st, owner, worker, run, "disturbs serving tasks", out)


def check(st: state.State, owner: state.Owner, out: list) -> None:
    """Orders the pace of backfill whose worker has not confirmed it."""
    if st.now - owner.paces_checked_at < CHECK_INTERVAL_S:
        return
    owner.paces_checked_at = st.now
    for worker in owner.workers.values():
        if not worker.backfill:
            continue
        pace = worker.pace if worker.is_shared else state.FULL_PACE
        for run in worker.runs.values():
            if (
                run.fills
                and run.phase == state.Phase.RUNNING
                and run.pace != pace
                and st.now - run.pace_sent_at >= RETRY_S
            ):
                _order(st, owner, worker, run, pace, out)


def _order(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    percent: int,
    out: list,
) -> None:
    run.pace_sent_at = st.now
    out.append(
        effects.Pace(
            worker.entry.worker_id,
            worker.entry.address,
            owner.token,
            run.task_id,
            run.run,
            percent,
            worker.incarnation,
        )
    )


@dispatch.handles(events.PaceAnswered)
def handle_pace_answer(
    st: state.State, event: events.PaceAnswered, out: list
) -> None:
    """Records a confirmed pace; an order without one is sent again."""
    owner = st.owner
    if owner is None or event.token != owner.token:
        return
    worker = owner.workers.get(event.worker_id)
    if worker is None or event.incarnation != worker.incarnation:
        return
    if event.result == events.CallResult.FENCED:
        resigning.resign(st, "a worker accepted a newer fencing token", out)
        return
    run = worker.runs.get((event.task_id, event.run))
    if run is None:
        return
    is_done = event.result == events.CallResult.DONE
    run.pace = event.percent if is_done else None
