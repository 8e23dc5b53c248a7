"""A daemon's state and tasks for tests of single modules."""

import random

from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import works

NOW = 1_000_000.0


def make_state(name: str = "d0") -> state.State:
    """Returns the state of a daemon that has heard nothing."""
    made = state.State(name, f"ws://{name}", "z", random.Random(1))
    made.now = NOW
    return made


def make_task(
    task_id: str, needs: resources.Resources = resources.ZERO, team: str = "a"
) -> works.Task:
    """Returns an attempt at a task."""
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
