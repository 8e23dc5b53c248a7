"""The single door: reduce(state, event) returns effects."""

from mimosaridge_core import dispatch
from mimosaridge_core import events
from mimosaridge_core import homes
from mimosaridge_core import ingress
from mimosaridge_core import membership
from mimosaridge_core import operators
from mimosaridge_core import partitions
from mimosaridge_core import reports
from mimosaridge_core import shards
from mimosaridge_core import state

HANDLER_MODULES = (
    membership,
    partitions,
    shards,
    homes,
    ingress,
    operators,
    reports,
)


def reduce(st: state.State, event: events.Event) -> list:
    """Applies one event to the state and returns the effects, in order."""
    out: list = []
    st.now = max(st.now, event.now)
    dispatch.EVENTS[type(event)](st, event, out)
    return out
