"""Loss and resignation of ownership."""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import state


@dispatch.handles(events.OwnershipLost)
def lose_ownership(
    st: state.State, event: events.OwnershipLost, out: list
) -> None:
    """Discards the owner's state, which ends all work of the owner."""
    if st.owner is None or st.owner.token > event.token:
        return
    effects.log_decision(
        out,
        "owner-lost",
        token=st.owner.token,
        reason=event.reason,
    )
    st.owner = None


def resign(st: state.State, reason: str, out: list) -> None:
    """Gives up ownership."""
    token = st.owner.token
    lose_ownership(st, events.OwnershipLost(st.now, token, reason), out)
    out.append(effects.Resign(token, reason))
