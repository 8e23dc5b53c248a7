"""Entry point of the job scheduler: applies events to the state."""

from mimosaridge_core.jobs import advice_calls
from mimosaridge_core.jobs import answers
from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import holds
from mimosaridge_core.jobs import learning
from mimosaridge_core.jobs import ownership
from mimosaridge_core.jobs import resigning
from mimosaridge_core.jobs import sharing
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import table
from mimosaridge_core.jobs import ticking
from mimosaridge_core.jobs import upkeep
from mimosaridge_core.jobs import writing

# Importing a module registers its handlers; the order must not matter.
HANDLER_MODULES = (
    advice_calls,
    holds,
    learning,
    ownership,
    resigning,
    sharing,
    answers,
    table,
    ticking,
    upkeep,
    writing,
)


def reduce(
    st: state.State, event: events.Tick, out: list | None = None
) -> list:
    """Applies an event to the state.

    Args:
        st: The state.
        event: The event.
        out: List that receives the effects. After an exception it holds those
            produced before, which the state already reflects.

    Returns:
        The effects, in order.
    """
    if out is None:
        out = []
    st.now = max(st.now, event.now)
    dispatch.HANDLERS[type(event)](st, event, out)
    return out
