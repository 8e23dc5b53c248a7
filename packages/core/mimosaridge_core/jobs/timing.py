"""Durations derived from the time limits of the platform."""

from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import tunables

# Added to the duration of a stop: the worker must also list the ended run.
STOP_MARGIN_S = 0.3
# A worker is stalled if none of its runs shows progress for `STALL_TIMEOUT_S`,
# or for `STALL_RESTORES` times the duration of a restore if that is longer.
STALL_TIMEOUT_S = 1.2
STALL_RESTORES = 2
# Runs show no progress just after their start or while they are restored.
STARTUP_GRACE_S = 0.8
RESTORE_MARGIN_S = 0.2


def lease_s(bounds: model.Bounds) -> float:
    """Returns the lease to request, seconds."""
    return min(tunables.LEASE_S, bounds.longest_lease_s)


def former_lease_s(bounds: model.Bounds) -> float:
    """Returns the longest time for which a former lease lasts, seconds.

    The time counts from the last hold or start of the former owner.
    """
    longest_s = lease_s(bounds) / (1 - tunables.MAX_CLOCK_DRIFT)
    return longest_s + tunables.LEASE_MARGIN_S


def late_renewal_s(bounds: model.Bounds) -> float:
    """Returns by how much a late renewal extends a former lease, seconds.

    A lease is renewed once it has run for a time, and a call that is carried
    out late, at its end, gives a whole lease from then on.
    """
    left_s = lease_s(bounds) * (1 - 1 / tunables.HOLDS_PER_LEASE)
    return left_s / (1 - tunables.MAX_CLOCK_DRIFT)


def hold_wait_ms(bounds: model.Bounds) -> int:
    """Returns how long a hold may wait for a run to end, milliseconds."""
    longest_ms = int(lease_s(bounds) * 1000 / tunables.HOLDS_PER_LEASE)
    return min(tunables.HOLD_WAIT_MS, longest_ms)


def stop_lead_s(bounds: model.Bounds) -> float:
    """Returns how long before its worker leaves a run is stopped, seconds."""
    return bounds.stop_s + STOP_MARGIN_S


def stall_timeout_s(bounds: model.Bounds) -> float:
    """Returns how long without progress makes a worker stalled, seconds."""
    return max(STALL_TIMEOUT_S, STALL_RESTORES * bounds.restore_s)


def startup_grace_s(bounds: model.Bounds) -> float:
    """Returns how long a run may show no progress after its start, seconds."""
    return max(STARTUP_GRACE_S, bounds.restore_s + RESTORE_MARGIN_S)


def keep_finished_s(bounds: model.Bounds) -> float:
    """Returns how long a finished job is kept in the store, seconds."""
    return bounds.keep_finished_s + tunables.KEEP_MARGIN_S
