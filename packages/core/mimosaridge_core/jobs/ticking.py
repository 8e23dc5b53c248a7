"""Periodic work of the owner, in parts that fail independently."""

from collections.abc import Callable
import traceback

from mimosaridge_core.jobs import answers
from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import draining
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import holds
from mimosaridge_core.jobs import learning
from mimosaridge_core.jobs import placement
from mimosaridge_core.jobs import sharing
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import table
from mimosaridge_core.jobs import upkeep
from mimosaridge_core.jobs import waiting
from mimosaridge_core.jobs import work
from mimosaridge_core.jobs import writing

# Time between two log lines about the failure of the same part, seconds.
LOG_INTERVAL_S = 1.0


@dispatch.handles(events.Tick)
def tick(st: state.State, event: events.Tick, out: list) -> None:
    """Carries out all work that is due."""
    st.wall = event.wall
    table.forget_early_cancels(st)
    owner = st.owner
    if owner is None:
        return
    for part in PARTS:
        try:
            part(st, owner, out)
        except Exception as error:
            _log_failure(st, owner, part, error, out)


def _log_failure(
    st: state.State,
    owner: state.Owner,
    part: Callable,
    error: Exception,
    out: list,
) -> None:
    name = f"{part.__module__}.{part.__name__}"
    if st.now < owner.failure_logged_at.get(name, 0.0) + LOG_INTERVAL_S:
        return
    owner.failure_logged_at[name] = st.now
    effects.log_decision(
        out,
        "tick-failed",
        part=name,
        error="".join(traceback.format_exception(error)),
    )


def _open_repetitions(st: state.State, owner: state.Owner, out: list) -> None:
    """Opens repetitions of jobs that have become due."""
    for job_id in owner.repeating:
        entry = st.table.get(job_id)
        if entry is not None and job_id in owner.jobs:
            work.open_groups(st, owner, entry, out)


PARTS = (
    _open_repetitions,
    holds.check,
    draining.check,
    answers.check,
    sharing.check,
    upkeep.check,
    placement.place_waiting_tasks,
    writing.write_due,
    waiting.check,
    learning.store_due,
)
