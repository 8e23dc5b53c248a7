"""Whether this daemon may act as the owner of a shard.

A daemon that was paused or partitioned can't distinguish a store outage from
its own isolation by missing answers alone. After its store lease expired it
continues only while it receives heartbeats from every listed daemon, as a new
owner would be one of them. docs/design/0020-tenure.md discusses the rule.
"""

from mimosaridge_core import freshness
from mimosaridge_core import state


def may_own(st: state.State, shard: state.Shard) -> bool:
    """Returns whether no other daemon can own the shard unnoticed."""
    leased = shard.lease_id == st.lease_id and st.now < st.lease_until
    return leased or freshness.reaches_all_daemons(st)


def may_start(st: state.State, shard: state.Shard) -> bool:
    """Returns whether tasks may start in a shard now."""
    return (
        not shard.suspended and may_own(st, shard) and freshness.is_current(st)
    )
