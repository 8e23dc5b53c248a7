"""Gradual increase of task starts in a zone that returned to service.

Source: the weight ramp of "Expendables: backends high availability at
BlaBlaCar", where a returning node starts at weight 1 and grows to its full
weight.
"""

from mimosaridge_core import state
from mimosaridge_core import works

RAMP_DURATION_S = 5.0
INITIAL_STARTS = 2
DOUBLING_PERIOD_S = 1.0


def update_zone_status(st: state.State, shard: state.Shard) -> None:
    """Records when the shard's zone leaves and returns to service."""
    if shard.zone in st.config.zones_out:
        shard.is_zone_out = True
        return
    if shard.is_zone_out:
        shard.is_zone_out = False
        shard.zone_returned_at = st.now
        shard.starts_since_return = 0


def is_active(st: state.State, shard: state.Shard) -> bool:
    """Returns whether the shard's zone returned within RAMP_DURATION_S."""
    return (
        bool(shard.zone_returned_at)
        and st.now < shard.zone_returned_at + RAMP_DURATION_S
    )


def allows(st: state.State, shard: state.Shard, task: works.Task) -> bool:
    """Returns whether a task may start now; urgent ones always may."""
    if task.urgency == works.Urgency.URGENT or not is_active(st, shard):
        return True
    elapsed_s = st.now - shard.zone_returned_at
    budget = INITIAL_STARTS * 2 ** (elapsed_s / DOUBLING_PERIOD_S)
    return shard.starts_since_return < budget


def record_start(st: state.State, shard: state.Shard) -> None:
    """Counts a start against the ramp."""
    if is_active(st, shard):
        shard.starts_since_return += 1
