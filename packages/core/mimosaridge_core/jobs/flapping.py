"""Flapping detection: suspends starts on workers that restart repeatedly."""

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import state

# Half-life of the restart count. A flapping worker comes back within one to two
# seconds and restarts several times.
HALF_LIFE_S = 6.0
# Decayed restart count from which starts are suspended: reached by a second
# restart within a few seconds.
RESTART_THRESHOLD = 1.4
# Suspension per counted restart; longer than one cycle of a flapping worker.
SUSPENSION_PER_RESTART_S = 2.0
# Users wait at most 6 s for a long-running task.
MAX_SUSPENSION_S = 5.0


def record_end(st: state.State, worker: state.Worker, out: list) -> None:
    """Counts the end of an incarnation; suspends starts if the worker flaps."""
    age_s = st.now - worker.ended_at
    worker.ends_counted *= 0.5 ** (age_s / HALF_LIFE_S)
    worker.ends_counted += 1
    worker.ended_at = st.now
    if worker.ends_counted < RESTART_THRESHOLD:
        return
    rest_s = min(
        SUSPENSION_PER_RESTART_S * worker.ends_counted, MAX_SUSPENSION_S
    )
    worker.unhealthy_until = st.now + rest_s
    effects.log_decision(
        out,
        "worker-flaps",
        worker=worker.entry.worker_id,
        ends_counted=round(worker.ends_counted, 2),
        rest_s=round(rest_s, 2),
    )
