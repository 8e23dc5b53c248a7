"""Faults that a simulated job cluster injects."""

import dataclasses

# Range of the delay with which a late call is executed.
LATE_CALL_DELAY_S = (2.0, 12.0)
# Longest time between the two executions of a doubled call.
LONGEST_DOUBLE_S = 6.0
# Range of the delay with which a late write takes effect.
LATE_WRITE_DELAY_S = (0.3, 4.0)


@dataclasses.dataclass(slots=True)
class Faults:
    """Injected faults; shares are between 0 and 1.

    Attributes:
        lost_answer_share: Share of calls to workers whose answer is lost.
        late_call_share: Share of calls to workers that are executed seconds
            later, after the caller has timed out.
        doubled_call_share: Share of calls to workers that are executed a second
            time up to `LONGEST_DOUBLE_S` later, as after an agent's failure.
        is_late_lease_longer: Whether the lease in a late call counts from the
            arrival of the call.
        do_late_calls_reach_next: Whether a late or doubled call to a worker
            that has restarted since reaches its next incarnation.
        lost_advice_share: Share of calls for advice that fail.
        failed_run_share: Share of runs that end as failed.
        is_store_down: Whether writes of progress fail.
        storeless: Numbers of daemons whose calls don't reach the store.
        lost_write_share: Share of progress writes that take effect but are
            reported as failed.
        late_write_share: Share of progress writes that are reported as failed
            and take effect later, unless something newer was stored.
    """

    lost_answer_share: float = 0.0
    late_call_share: float = 0.0
    doubled_call_share: float = 0.0
    is_late_lease_longer: bool = False
    do_late_calls_reach_next: bool = False
    lost_advice_share: float = 0.0
    failed_run_share: float = 0.0
    is_store_down: bool = False
    storeless: frozenset[int] = frozenset()
    lost_write_share: float = 0.0
    late_write_share: float = 0.0

    def are_injected(self) -> bool:
        """Returns whether anything is disrupted."""
        return self != Faults()
