"""Time spans that follow from the platform's limits, seconds."""

from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import tunables

# What a stop needs beside its own time: its end must be listed.
STOP_MARGIN_S = 0.3
# A worker whose runs all show no progress for this long stands still, or for
# this many times what a run needs to go on from its checkpoint.
STALL_S = 1.2
STALL_RESTORES = 2
# Runs show no progress while they are young or go on from a checkpoint.
YOUNG_S = 0.8
YOUNG_MARGIN_S = 0.2


def lease_s(bounds: model.Bounds) -> float:
    """Returns the lease to ask for."""
    return min(tunables.LEASE_S, bounds.longest_lease_s)


def former_lease_s(bounds: model.Bounds) -> float:
    """Returns when an earlier owner's last lease has surely ended."""
    slowest = lease_s(bounds) / (1 - tunables.CLOCK_SLOWNESS)
    return slowest + tunables.LEASE_MARGIN_S


def hold_wait_ms(bounds: model.Bounds) -> int:
    """Returns how long a hold may wait for an end, milliseconds."""
    most = int(lease_s(bounds) * 1000 / tunables.HOLDS_PER_LEASE)
    return min(tunables.HOLD_WAIT_MS, most)


def stop_lead_s(bounds: model.Bounds) -> float:
    """Returns how long before its worker leaves a run must be stopped."""
    return bounds.stop_s + STOP_MARGIN_S


def stall_s(bounds: model.Bounds) -> float:
    """Returns after how long without progress a worker stands still."""
    return max(STALL_S, STALL_RESTORES * bounds.restore_s)


def young_s(bounds: model.Bounds) -> float:
    """Returns how long a run may show no progress after its start."""
    return max(YOUNG_S, bounds.restore_s + YOUNG_MARGIN_S)


def keep_finished_s(bounds: model.Bounds) -> float:
    """Returns how long a finished job is kept."""
    return bounds.keep_finished_s + tunables.KEEP_MARGIN_S
