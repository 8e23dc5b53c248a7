"""Workers that end and come back by turns get no starts for a while."""

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import state

# An end of a life counts for half after this time, seconds: flapping workers
# come back within one to two seconds, and do so for several.
HALF_LIFE_S = 6.0
# A worker rests from this count on: the second end within some seconds.
COUNT_TO_REST = 1.4
# Rest for each counted end, seconds: more than a turn of a flapping worker.
REST_S = 2.0
# Longest rest, seconds: the users wait 6 s at most for a task that lasts.
LONGEST_REST_S = 5.0


def note_end(st: state.State, worker: state.Worker, out: list) -> None:
    """Counts the end of a life; a worker whose lives are short rests."""
    age_s = st.now - worker.ended_at
    worker.ends_counted *= 0.5 ** (age_s / HALF_LIFE_S)
    worker.ends_counted += 1
    worker.ended_at = st.now
    if worker.ends_counted < COUNT_TO_REST:
        return
    rest_s = min(REST_S * worker.ends_counted, LONGEST_REST_S)
    worker.backoff_until = st.now + rest_s
    effects.log_decision(
        out,
        "worker-flaps",
        worker=worker.entry.worker_id,
        ends_counted=round(worker.ends_counted, 2),
        rest_s=round(rest_s, 2),
    )
