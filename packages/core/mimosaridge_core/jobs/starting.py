"""Answers of workers to starts and stops."""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import holding
from mimosaridge_core.jobs import resigning
from mimosaridge_core.jobs import runs
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import stopping
from mimosaridge_core.jobs import tunables

# Pause of a step after a worker refused one of its tasks, seconds: long
# enough for the next list of that worker.
REFUSED_PAUSE_S = 0.1
# How often unanswered stops are looked for: a part of `STOP_RETRY_S`.
STOPS_LOOK_S = 0.1


@dispatch.handles(events.StartAnswered)
def take_start(st: state.State, event: events.StartAnswered, out: list) -> None:
    """Takes a worker's answer to a start."""
    owner = st.owner
    worker = owner.workers.get(event.worker_id) if owner else None
    run = worker.runs.get((event.task_id, event.run)) if worker else None
    if event.result == events.CallResult.FENCED:
        if owner is not None and event.token == owner.token:
            resigning.resign(st, "a worker has taken a newer token", out)
        return
    if run is None:
        return
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
    elif event.result == events.CallResult.UNKNOWN:
        stopping.stop(st, owner, worker, run, "start has no answer", out)
    elif event.result == events.CallResult.OTHER_INCARNATION:
        holding.end_life(st, owner, worker, out)
    else:
        _refused(st, owner, worker, run, event, out)


def _refused(
    st: state.State,
    owner: state.Owner,
    worker: state.Worker,
    run: state.Run,
    event: events.StartAnswered,
    out: list,
) -> None:
    group = owner.groups.get(event.task_id.rpartition(".")[0])
    if event.result == events.CallResult.UNHEALTHY:
        worker.backoff_until = st.now + tunables.UNHEALTHY_BACKOFF_S
    if group is not None:
        group.retry_at = st.now + REFUSED_PAUSE_S
        if event.result == events.CallResult.NO_TICKET:
            group.tickets.pop(event.worker_id, None)
    runs.vanish(st, owner, worker, run, out)


@dispatch.handles(events.StopAnswered)
def take_stop(st: state.State, event: events.StopAnswered, out: list) -> None:
    """Takes a worker's answer to a stop; the end itself comes with a list."""
    owner = st.owner
    worker = owner.workers.get(event.worker_id) if owner else None
    run = worker.runs.get((event.task_id, event.run)) if worker else None
    if event.result == events.CallResult.FENCED:
        if owner is not None and event.token == owner.token:
            resigning.resign(st, "a worker has taken a newer token", out)
        return
    if run is not None and event.result == events.CallResult.DONE:
        run.phase = state.Phase.STOPPING
        run.acknowledged_at = st.now
    elif (
        run is not None and event.result == events.CallResult.OTHER_INCARNATION
    ):
        holding.end_life(st, owner, worker, out)


def check(st: state.State, owner: state.Owner, out: list) -> None:
    """Sends stops again that were not answered."""
    if st.now - owner.stops_checked_at < STOPS_LOOK_S:
        return
    owner.stops_checked_at = st.now
    for worker in owner.workers.values():
        for run in worker.runs.values():
            stops = run.phase in (state.Phase.STOPPING, state.Phase.IN_DOUBT)
            late = st.now - run.stop_sent_at > tunables.STOP_RETRY_S
            if stops and not run.acknowledged_at and late:
                stopping.send(st, owner, worker, run, out)
