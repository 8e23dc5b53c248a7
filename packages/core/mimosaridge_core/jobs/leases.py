"""When a worker's lease has surely ended, by the owner's clock."""

from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import timing
from mimosaridge_core.jobs import tunables


def clock_ms(st: state.State, worker: state.Worker) -> int:
    """Returns what a worker's clock shows about now."""
    return worker.clock_ms + int((st.now - worker.clock_at) * 1000)


def read_clock(st: state.State, worker: state.Worker, at_ms: int) -> None:
    """Takes a reading of a worker's clock.

    At the first one, a former owner may just have asked for a whole lease.
    """
    worker.clock_ms = at_ms
    worker.clock_at = st.now
    whole_ms = int(timing.lease_s(st.bounds) * 1000)
    until_ms = worker.lease_until_ms or at_ms + whole_ms
    extend(worker, until_ms)


def extend(worker: state.Worker, until_ms: int) -> None:
    """Notes that an order asks for a lease; it may never be shortened.

    Holds and starts both extend the lease of all that runs on a worker.
    """
    worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
    left_s = (worker.lease_until_ms - worker.clock_ms) / 1000
    worker.lease_ends_at = (
        worker.clock_at
        + max(0.0, left_s) / (1 - tunables.CLOCK_SLOWNESS)
        + tunables.LEASE_MARGIN_S
    )
