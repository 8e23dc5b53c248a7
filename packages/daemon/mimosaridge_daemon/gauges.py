"""Gauges of a daemon's state, sent periodically to statsd."""

from collections.abc import Callable

from mimosaridge_core import state

INTERVAL_S = 10.0

Gauge = Callable[[state.State], float]
GAUGES: dict[str, Gauge] = {}


def gauge(name: str) -> Callable[[Gauge], Gauge]:
    """Registers the decorated function as a gauge."""

    def register(measure: Gauge) -> Gauge:
        GAUGES[name] = measure
        return measure

    return register


@gauge("shards")
def _shards(st: state.State) -> float:
    """Shards owned by the daemon."""
    return len(st.shards)


@gauge("buckets")
def _buckets(st: state.State) -> float:
    """Buckets owned by the daemon."""
    return len(st.buckets)


@gauge("workers")
def _workers(st: state.State) -> float:
    """Workers in the daemon's shards."""
    return sum(len(shard.workers) for shard in st.shards.values())


@gauge("workers.unheard")
def _unheard(st: state.State) -> float:
    """Workers not yet claimed in the current epoch."""
    return sum(len(shard.unclaimed) for shard in st.shards.values())


@gauge("tasks.placed")
def _placed(st: state.State) -> float:
    """Tasks that occupy capacity on the daemon's workers."""
    return sum(len(shard.placed_on) for shard in st.shards.values())


@gauge("tasks.waiting")
def _waiting(st: state.State) -> float:
    """Tasks that wait for capacity in the daemon's shards."""
    return sum(len(shard.queue) for shard in st.shards.values())


@gauge("works")
def _works(st: state.State) -> float:
    """Pieces of work that the daemon is responsible for."""
    return len(st.works)


@gauge("callers")
def _callers(st: state.State) -> float:
    """Pieces of work whose callers wait at this daemon."""
    return len(st.waiters)


@gauge("daemons.live")
def _live(st: state.State) -> float:
    """Daemons that this daemon considers live."""
    return len(st.live)


@gauge("configuration")
def _configuration(st: state.State) -> float:
    """Number of the configuration in force."""
    return st.config.number


@gauge("store.silence")
def _silence(st: state.State) -> float:
    """Seconds since the store's last response."""
    return st.now - st.store_contact_at
