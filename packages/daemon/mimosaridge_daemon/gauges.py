"""Gauges of a daemon's state, sent by statsd at a regular interval."""

from collections.abc import Callable

from mimosaridge_core import state

EVERY_S = 10.0

Gauge = Callable[[state.State], float]
GAUGES: dict[str, Gauge] = {}


def gauge(name: str) -> Callable[[Gauge], Gauge]:
    """Registers a gauge under its name."""

    def register(measure: Gauge) -> Gauge:
        GAUGES[name] = measure
        return measure

    return register


@gauge("shards")
def _shards(st: state.State) -> float:
    """Shards that the daemon holds."""
    return len(st.shards)


@gauge("buckets")
def _buckets(st: state.State) -> float:
    """Buckets that the daemon holds."""
    return len(st.buckets)


@gauge("workers")
def _workers(st: state.State) -> float:
    """Workers of its shards."""
    return sum(len(shard.workers) for shard in st.shards.values())


@gauge("workers.unheard")
def _unheard(st: state.State) -> float:
    """Workers that are not claimed under the present epoch."""
    return sum(len(shard.unclaimed) for shard in st.shards.values())


@gauge("tasks.placed")
def _placed(st: state.State) -> float:
    """Tasks that take room on its workers."""
    return sum(len(shard.placed_on) for shard in st.shards.values())


@gauge("tasks.waiting")
def _waiting(st: state.State) -> float:
    """Tasks that wait for room in its shards."""
    return sum(len(shard.queue) for shard in st.shards.values())


@gauge("works")
def _works(st: state.State) -> float:
    """Pieces of work that it answers for."""
    return len(st.works)


@gauge("callers")
def _callers(st: state.State) -> float:
    """Pieces of work that callers here wait for."""
    return len(st.waiters)


@gauge("daemons.live")
def _live(st: state.State) -> float:
    """Live daemons, as seen from here."""
    return len(st.live)


@gauge("configuration")
def _configuration(st: state.State) -> float:
    """Number of the configuration in force."""
    return st.config.number


@gauge("store.silence")
def _silence(st: state.State) -> float:
    """Seconds since the store was last heard."""
    return st.now - st.store_contact_at
