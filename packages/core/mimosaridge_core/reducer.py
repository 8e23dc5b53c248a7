"""Entry point of the core: reduce(state, event) returns effects."""

from mimosaridge_core import allowances
from mimosaridge_core import archives
from mimosaridge_core import dispatch
from mimosaridge_core import dispatching
from mimosaridge_core import events
from mimosaridge_core import expiry
from mimosaridge_core import explanations
from mimosaridge_core import histories
from mimosaridge_core import homes
from mimosaridge_core import ingress
from mimosaridge_core import ledgers
from mimosaridge_core import membership
from mimosaridge_core import operators
from mimosaridge_core import outcomes
from mimosaridge_core import partitions
from mimosaridge_core import queries
from mimosaridge_core import rebalancing
from mimosaridge_core import reports
from mimosaridge_core import services
from mimosaridge_core import shardrequests
from mimosaridge_core import standings
from mimosaridge_core import state
from mimosaridge_core import stopping
from mimosaridge_core import workerreports

# Importing these modules registers their handlers; handlers must not depend
# on the order.
HANDLER_MODULES = (
    membership,
    partitions,
    workerreports,
    shardrequests,
    expiry,
    stopping,
    allowances,
    rebalancing,
    homes,
    ledgers,
    dispatching,
    outcomes,
    archives,
    services,
    ingress,
    operators,
    queries,
    explanations,
    standings,
    histories,
    reports,
)


def reduce(st: state.State, event: events.Event) -> list:
    """Applies an event to the state and returns the effects, in order."""
    out: list = []
    st.now = max(st.now, event.now)
    dispatch.EVENTS[type(event)](st, event, out)
    return out
