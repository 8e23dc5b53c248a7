"""Clocks and leases of workers, as seen from the owner's clock.

A call without an answer may be carried out late, and then the lease in it may
count from its arrival. The owner remembers such calls. Holds that wait for a
run to end request no lease, because a worker that falls silent usually leaves
one of these unanswered.
"""

import dataclasses

from mimosaridge_core.jobs import records
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import timing
from mimosaridge_core.jobs import tunables


def clock_ms(st: state.State, worker: state.Worker) -> int:
    """Returns the estimated current time on a worker's clock, milliseconds."""
    return worker.clock_ms + int((st.now - worker.clock_at) * 1000)


def update_clock(
    st: state.State, worker: state.Worker, reading_ms: int
) -> None:
    """Records a reading of a worker's clock.

    The first reading assumes the longest lease: a former owner may just have
    requested one, or a call that was meant for the former incarnation, whose
    clock was far ahead, may have reached this one.
    """
    worker.clock_ms = reading_ms
    worker.clock_at = st.now
    if worker.lease_until_ms:
        extend(worker, worker.lease_until_ms)
    else:
        assume_longest(st, worker)


def start_s(st: state.State) -> float:
    """Returns after what time the lease of a start has expired, seconds."""
    return _lasts_s(_start_lease_s(st))


def assume_longest(st: state.State, worker: state.Worker) -> None:
    """Assumes the longest lease, which other calls may have requested."""
    longest_s = _lasts_s(st.bounds.longest_lease_s)
    worker.lease_assumed_until = st.now + longest_s
    worker.lease_ends_at = max(worker.lease_ends_at, worker.lease_assumed_until)


def extend(worker: state.Worker, until_ms: int) -> None:
    """Extends a worker's lease to a time on its clock; never shortens it.

    Holds and starts both extend the lease of all runs on a worker.
    """
    worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
    remaining_s = (worker.lease_until_ms - worker.clock_ms) / 1000
    worker.lease_ends_at = max(
        worker.lease_assumed_until,
        worker.clock_at + _lasts_s(max(0.0, remaining_s)),
    )


def _lasts_s(lease_s: float) -> float:
    """Returns after what time a lease has certainly expired, seconds."""
    return lease_s / (1 - tunables.MAX_CLOCK_DRIFT) + tunables.LEASE_MARGIN_S


def extend_by_start(st: state.State, worker: state.Worker) -> None:
    """Extends a worker's lease by the start that is about to be sent."""
    ahead_ms = int(_start_lease_s(st) * 1000)
    extend(worker, clock_ms(st, worker) + ahead_ms)


def _start_lease_s(st: state.State) -> float:
    """Returns the lease that a start requests, as far as it is granted."""
    return min(tunables.START_WINDOW_MS / 1000, st.bounds.longest_lease_s)


def is_renewal_due(st: state.State, worker: state.Worker) -> bool:
    """Returns whether the next hold should renew a worker's lease."""
    lease_ms = timing.lease_s(st.bounds) * 1000
    left_ms = worker.lease_until_ms - clock_ms(st, worker)
    return left_ms < lease_ms * (1 - 1 / tunables.HOLDS_PER_LEASE)


def renew(st: state.State, worker: state.Worker) -> None:
    """Extends a worker's lease by the hold that is about to be sent."""
    lease_s = timing.lease_s(st.bounds)
    extend(worker, clock_ms(st, worker) + int(lease_s * 1000))
    worker.lease_requested = True
    worker.renewal = records.LeaseCall(st.now, lease_s)


def settle_renewal(worker: state.Worker, is_answered: bool) -> None:
    """Remembers the renewal in flight if it ended without an answer."""
    if worker.renewal is not None and not is_answered:
        worker.unanswered_leases.append(worker.renewal)
    worker.renewal = None


def add_unanswered_start(
    st: state.State, worker: state.Worker, run: state.Run
) -> None:
    """Remembers a start without an answer; it extends the lease if late."""
    worker.unanswered_leases.append(_lease_of_start(st, run))


def forget_old_calls(st: state.State, worker: state.Worker) -> None:
    """Forgets the unanswered calls whose leases have certainly expired."""
    worker.unanswered_leases = [
        call for call in worker.unanswered_leases if _latest_end(call) >= st.now
    ]


def may_start_late(st: state.State, run: state.Run) -> bool:
    """Returns whether the start of a run may be carried out late, or was.

    An acknowledged stop prevents it in the incarnation that acknowledged it;
    `latestarts` is about the next ones.
    """
    if run.is_start_answered or run.is_listed or run.acknowledged_at:
        return False
    return st.now <= _latest_end(_lease_of_start(st, run))


def await_late_starts(st: state.State, worker: state.Worker) -> None:
    """Extends the lease of a silent worker for the starts it may carry out."""
    ends = [
        _latest_end(_lease_of_start(st, run)) for run in worker.runs.values()
    ]
    worker.lease_ends_at = max(ends)


def lengthen_unanswered(st: state.State, worker: state.Worker) -> None:
    """Assumes that calls without an answer so far may get the longest lease.

    That is so on the clock of another incarnation than they were meant for.
    """
    worker.unanswered_leases = [
        dataclasses.replace(call, lease_s=st.bounds.longest_lease_s)
        for call in worker.unanswered_leases
    ]


def certain_end(st: state.State, worker: state.Worker) -> float:
    """Returns when a worker's lease has certainly expired.

    An unanswered call extends the lease if it arrives before the lease ends;
    later it finds no runs.
    """
    calls = list(worker.unanswered_leases)
    if worker.renewal is not None:
        calls.append(worker.renewal)
    for run in worker.runs.values():
        if run.phase == state.Phase.STARTING:
            calls.append(_lease_of_start(st, run))
    end = worker.lease_ends_at
    for call in sorted(calls, key=_latest_arrival):
        arrives_at = min(end, _latest_arrival(call))
        end = max(end, arrives_at + _lasts_s(call.lease_s))
    return end


def _lease_of_start(st: state.State, run: state.Run) -> records.LeaseCall:
    return records.LeaseCall(run.started_at, _start_lease_s(st))


def _latest_arrival(call: records.LeaseCall) -> float:
    return call.sent_at + tunables.LATE_CALL_S


def _latest_end(call: records.LeaseCall) -> float:
    return _latest_arrival(call) + _lasts_s(call.lease_s)
