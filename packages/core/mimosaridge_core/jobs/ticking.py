"""Periodic work of the owner."""

from mimosaridge_core.jobs import answers
from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import draining
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import holds
from mimosaridge_core.jobs import placement
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import waiting
from mimosaridge_core.jobs import work
from mimosaridge_core.jobs import writing


@dispatch.handles(events.Tick)
def tick(st: state.State, event: events.Tick, out: list) -> None:
    """Carries out all work that is due."""
    st.wall = event.wall
    owner = st.owner
    if owner is None:
        return
    _open_repetitions(st, owner, out)
    holds.check(st, owner, out)
    draining.check(st, owner, out)
    answers.check(st, owner, out)
    placement.place_waiting_tasks(st, owner, out)
    writing.write_due(st, owner, out)
    waiting.check(st, owner, out)


def _open_repetitions(st: state.State, owner: state.Owner, out: list) -> None:
    """Opens repetitions of jobs that have become due."""
    for job_id in owner.repeating:
        entry = st.table.get(job_id)
        if entry is not None and job_id in owner.jobs:
            work.open_groups(st, owner, entry, out)
