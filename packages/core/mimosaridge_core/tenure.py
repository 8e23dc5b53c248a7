"""Whether this daemon may act as the owner of a shard.

A daemon that was paused or cut off can't tell a store outage from its own
isolation by silence alone. Past its store lease it goes on only while it hears
every daemon that it knows: a newer owner would be one of them.
docs/design/0020-tenure.md weighs the rule.
"""

from mimosaridge_core import freshness
from mimosaridge_core import state


def may_own(st: state.State, shard: state.Shard) -> bool:
    """Tells whether no other daemon can own a shard unknown to this one."""
    leased = shard.lease_id == st.lease_id and st.now < st.lease_until
    return leased or freshness.hears_all(st)


def may_start(st: state.State, shard: state.Shard) -> bool:
    """Tells whether tasks may start in a shard now."""
    return (
        not shard.suspended and may_own(st, shard) and freshness.is_current(st)
    )
