"""Stand-in of the platform's key-value store service."""

import collections
import dataclasses
import time
from typing import Any

import bottle
import gevent
from gevent import event as gevent_event

from mimosaridge_standins import serving

SWEEP_INTERVAL_S = 0.1
MAX_CHANGES = 20_000
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass
class Item:
    """A value with its revision and the lease that it is attached to."""

    value: Any
    revision: int
    lease: str


@dataclasses.dataclass
class Faults:
    """Injected faults.

    Attributes:
        down: Whether calls fail with status 503; leases still expire.
        slow_s: Delay added to each call, in seconds.
        lose_answers: Number of next writes that take effect but are answered
            with an error.
        lose_prefix: Prefix of the keys that `lose_answers` applies to.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = ""


class Store:
    """State of the store, with recent changes and call counts."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[str, tuple[float, float]] = {}
        self.changes: collections.deque = collections.deque(maxlen=MAX_CHANGES)
        self.revision = 0
        self.changed = gevent_event.Event()
        self.counts: collections.Counter = collections.Counter()
        self.faults = Faults()

    def set(self, key: str, value: Any, lease: str) -> int:
        """Sets a key, or deletes it if the value is None; wakes watches."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = Item(value, self.revision, lease)
        self.changes.append((key, value, self.revision))
        self.changed.set()
        self.changed.clear()
        return self.revision

    def sweep(self) -> None:
        """Ends expired leases periodically; does not return."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            now = time.time()
            expired = [
                name
                for name, (_, expires_at) in self.leases.items()
                if expires_at < now
            ]
            for lease in expired:
                self.end_lease(lease)

    def end_lease(self, lease: str) -> None:
        """Revokes a lease and deletes its keys."""
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item.lease == lease]
        for key in keys:
            self.set(key, None, "")


def build(store: Store) -> bottle.Bottle:
    """Returns the HTTP application."""
    app = bottle.Bottle()

    def begin_call(kind: str) -> None:
        store.counts[kind] += 1
        if store.faults.slow_s:
            gevent.sleep(store.faults.slow_s)
        if store.faults.down:
            raise bottle.HTTPResponse(
                serving.answer(503, error="down"), status=503
            )

    @app.get("/v1/kv/<key:path>")
    def get(key: str) -> str:
        begin_call("read")
        item = store.items.get(key)
        if item is None:
            return serving.answer(404)
        return serving.answer(200, value=item.value, revision=item.revision)

    @app.put("/v1/kv/<key:path>")
    def put(key: str) -> str:
        begin_call("write")
        content = serving.body()
        expected = content["expected"]
        item = store.items.get(key)
        current = item.revision if item else 0
        if expected is not None and expected != current:
            return serving.answer(409, revision=current)
        lease = content.get("lease", "")
        if lease and lease not in store.leases:
            return serving.answer(410, error="no such lease")
        revision = store.set(key, content["value"], lease)
        faults = store.faults
        if faults.lose_answers > 0 and key.startswith(faults.lose_prefix):
            faults.lose_answers -= 1
            return serving.answer(504, error="answer lost")
        return serving.answer(200, revision=revision)

    @app.get("/v1/range")
    def range_() -> str:
        begin_call("read")
        prefix = bottle.request.query.prefix
        items = [
            {"key": key, "value": item.value, "revision": item.revision}
            for key, item in store.items.items()
            if key.startswith(prefix)
        ]
        return serving.answer(200, items=items, revision=store.revision)

    @app.get("/v1/watch")
    def watch() -> str:
        begin_call("watch")
        query = bottle.request.query
        after = int(query.after)
        deadline = time.time() + float(query.wait_s)
        if store.changes and store.changes[0][2] > after + 1:
            return serving.answer(410, error="too old")
        while True:
            found = [
                {"key": key, "value": value, "revision": revision}
                for key, value, revision in store.changes
                if revision > after and key.startswith(query.prefix)
            ]
            remaining_s = deadline - time.time()
            if store.faults.down:
                return serving.answer(503, error="down")
            if found or remaining_s <= 0:
                return serving.answer(200, items=found, revision=store.revision)
            store.changed.wait(min(remaining_s, 0.5))

    @app.post("/v1/leases")
    def grant() -> str:
        begin_call("write")
        ttl_s = serving.body()["ttl_s"]
        lease = f"lease-{store.revision}-{time.monotonic_ns()}"
        store.leases[lease] = (ttl_s, time.time() + ttl_s)
        return serving.answer(200, lease=lease)

    @app.post("/v1/leases/<lease>/renew")
    def renew(lease: str) -> str:
        begin_call("write")
        if lease not in store.leases:
            return serving.answer(404)
        ttl_s, _ = store.leases[lease]
        store.leases[lease] = (ttl_s, time.time() + ttl_s)
        return serving.answer(200, lease=lease)

    @app.post("/v1/faults")
    def faults() -> str:
        for name, value in serving.body().items():
            setattr(store.faults, name, value)
        return serving.answer(200)

    @app.post("/v1/leases/<lease>/end")
    def end(lease: str) -> str:
        store.end_lease(lease)
        return serving.answer(200)

    @app.get("/v1/counts")
    def counts() -> str:
        return serving.answer(200, **store.counts)

    return app


def run(listen: str) -> None:
    """Serves an empty store on IP:PORT."""
    store = Store()
    gevent.spawn(store.sweep)
    serving.serve(listen, build(store))
