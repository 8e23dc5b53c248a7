"""Whether this daemon may act as an owner, and on the configuration it has.

A daemon that was paused or cut off can't tell a store outage from its own
isolation by silence alone. It goes on without the store only while it hears
every daemon that it knows: one of them would tell of a newer owner or of a
newer configuration.
"""

from mimosaridge_core import dispatch
from mimosaridge_core import events
from mimosaridge_core import state


def hears_all(st: state.State) -> bool:
    """Tells whether every daemon that may be alive was heard lately."""
    return all(
        member.heard_until > st.now
        for member in st.members.values()
        if member.listed and not member.gone
    )


def may_own(st: state.State, shard: state.Shard) -> bool:
    """Tells whether no other daemon can own a shard unknown to this one."""
    leased = shard.lease_id == st.lease_id and st.now < st.lease_until
    return leased or hears_all(st)


def is_configured(st: state.State) -> bool:
    """Tells whether the configuration here was in force a moment ago."""
    newer = any(
        member.config_number > st.config.number
        for member in st.members.values()
        if member.heard_until > st.now
    )
    recent = st.confirmed_at >= st.now - st.tuning.stale_config_s
    return recent or hears_all(st) and not newer


def may_start(st: state.State, shard: state.Shard) -> bool:
    """Tells whether tasks may start in a shard now."""
    return not shard.suspended and may_own(st, shard) and is_configured(st)


@dispatch.handles(events.StoreHeard)
def _store_heard(st: state.State, event: events.StoreHeard, out: list) -> None:
    st.store_heard_at = max(st.store_heard_at, event.asked_at)
    st.confirmed_at = max(st.confirmed_at, event.asked_at)


@dispatch.handles(events.PeerRefused)
def _peer_refused(
    st: state.State, event: events.PeerRefused, out: list
) -> None:
    member = st.members.get(event.daemon)
    if member is not None:
        member.gone = True
        member.heard_until = 0.0
