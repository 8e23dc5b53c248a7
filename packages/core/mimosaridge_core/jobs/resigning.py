"""What ends with ownership."""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import state


@dispatch.handles(events.OwnershipLost)
def lose(st: state.State, event: events.OwnershipLost, out: list) -> None:
    """Stops all that only an owner does."""
    if st.owner is None or st.owner.token > event.token:
        return
    effects.note(
        out,
        "owner-lost",
        token=st.owner.token,
        reason=event.reason,
    )
    st.owner = None


def resign(st: state.State, reason: str, out: list) -> None:
    """Gives ownership up."""
    token = st.owner.token
    lose(st, events.OwnershipLost(st.now, token, reason), out)
    out.append(effects.Resign(token, reason))
