"""Daemon state and tasks for unit tests of single core modules."""

import random

from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import works

NOW = 1_000_000.0


def make_state(name: str = "d0") -> state.State:
    """Returns the initial state of a daemon, before any event."""
    st = state.State(name, f"ws://{name}", "z", random.Random(1))
    st.now = NOW
    return st


def make_task(
    task_id: str, needs: resources.Resources = resources.ZERO, team: str = "a"
) -> works.Task:
    """Returns the first attempt at a task."""
    return works.Task(
        task_id,
        1,
        task_id,
        "d0",
        team,
        works.Kind.REQUEST,
        needs,
        "registry",
        works.Urgency.NORMAL,
        NOW + 60.0,
        NOW,
        0.0,
        True,
    )
