"""Letting starts in a zone that came back grow step by step.

Source: the weight ramp of "Expendables: backends high availability at
BlaBlaCar", where a node that returns takes a weight of 1 that grows to full.
"""

from mimosaridge_core import state
from mimosaridge_core import works

RAMP_S = 5.0
FIRST_STARTS = 2
DOUBLING_S = 1.0


def follow(st: state.State, shard: state.Shard) -> None:
    """Notes when the shard's zone leaves and returns."""
    if shard.zone in st.config.zones_out:
        shard.is_zone_out = True
        return
    if shard.is_zone_out:
        shard.is_zone_out = False
        shard.zone_returned_at = st.now
        shard.starts_since_return = 0


def is_active(st: state.State, shard: state.Shard) -> bool:
    """Tells whether the shard's zone came back a short time ago."""
    return (
        bool(shard.zone_returned_at)
        and st.now < shard.zone_returned_at + RAMP_S
    )


def allows(st: state.State, shard: state.Shard, task: works.Task) -> bool:
    """Tells whether a task may start now; urgent ones always may."""
    if task.urgency == works.Urgency.URGENT or not is_active(st, shard):
        return True
    passed_s = st.now - shard.zone_returned_at
    budget = FIRST_STARTS * 2 ** (passed_s / DOUBLING_S)
    return shard.starts_since_return < budget


def count(st: state.State, shard: state.Shard) -> None:
    """Counts a start against the ramp."""
    if is_active(st, shard):
        shard.starts_since_return += 1
