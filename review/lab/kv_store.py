"""A stand-in of the platform's key-value store."""

import asyncio
import base64
import json
import time
from typing import Any

import http_server

PAGE_ITEMS = 500
MAX_ENTRIES = 32
# Keys that only the operator and the workers write.
FOREIGN = ("op/", "servers/")


class Store:
    """The store.

    Attributes:
        revision: Revision of the last change.
        items: Items by key.
        events: All changes in order.
        writes: All changes as time, key and value, for the record.
        lateness_s: Called with the body of each transaction; 0 carries it out
            and answers it. Else it gets no answer and is carried out that many
            seconds later.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, int]] = {}
        self.changed = asyncio.Condition()
        self.writes: list[tuple[float, str, bytes]] = []
        self.lateness_s = _on_time
        self.server = http_server.Server(self.handle)

    async def start(self, host: str) -> None:
        """Starts to serve."""
        await self.server.start(host)
        asyncio.get_running_loop().create_task(self._expire())

    async def put(self, key: str, value: Any) -> None:
        """Writes a key as the operator or a worker."""
        await self._apply([(key, json.dumps(value).encode(), 0)], [])

    async def delete(self, key: str) -> None:
        """Removes a key as the operator or a worker."""
        await self._apply([], [key])

    def value(self, key: str) -> Any:
        """Returns the decoded value of a key; None if it is absent."""
        item = self.items.get(key)
        if item is None:
            return None
        return json.loads(base64.b64decode(item["value"]))

    async def _apply(
        self, writes: list[tuple[str, bytes, int]], removed: list[str]
    ) -> None:
        self.revision += 1
        for key, value, lease in writes:
            before = self.items.get(key, {})
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "createdRevision": before.get("createdRevision", self.revision),
                "lease": lease,
            }
            self.items[key] = item
            self.events.append(item)
            self.writes.append((time.monotonic(), key, value))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.events.append(
                    {"key": key, "revision": self.revision, "deleted": True}
                )
        async with self.changed:
            self.changed.notify_all()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now > until:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [
            key for key, item in self.items.items() if item["lease"] == lease
        ]
        if keys:
            await self._apply([], keys)

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Answers a call."""
        path = request.path
        if path == "/v1/kv-key":
            return self._read(request.query["key"])
        if path == "/v1/kv-range":
            return self._range(request.query)
        if path == "/v1/kv-watch":
            return await self._watch(request.query)
        if path == "/v1/kv-txn":
            return await self._transact(request.json())
        if path == "/v1/kv-lease":
            self.revision += 1
            ttl_ms = request.json()["ttlMs"]
            self._renew(self.revision, ttl_ms)
            return 200, {"lease": self.revision, "ttlMs": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-lease-end/"):
            await self._end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self._renew(lease, ttl_ms)
        return 200, {"ttlMs": ttl_ms}

    def _renew(self, lease: int, ttl_ms: int) -> None:
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)

    def _read(self, key: str) -> http_server.Reply:
        item = self.items.get(key)
        if item is None:
            return 404, {"atRevision": self.revision}
        return 200, item | {"atRevision": self.revision}

    def _range(self, query: dict[str, str]) -> http_server.Reply:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > after
        )
        return 200, {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "atRevision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> http_server.Reply:
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "atRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    continue

    async def _transact(self, body: dict) -> http_server.Reply:
        late_s = self.lateness_s(body)
        if not late_s:
            return await self._carry_out(body)
        loop = asyncio.get_running_loop()
        loop.create_task(self._carry_out_late(body, late_s))
        await asyncio.sleep(late_s)
        return None

    async def _carry_out_late(self, body: dict, late_s: float) -> None:
        await asyncio.sleep(late_s)
        await self._carry_out(body)

    async def _carry_out(self, body: dict) -> http_server.Reply:
        expected = body.get("expectedRevision", [])
        writes, removed = body.get("writes", []), body.get("remove", [])
        if len(expected) + len(writes) + len(removed) > MAX_ENTRIES:
            return 400, {}
        keys = [row["key"] for row in writes] + removed
        if any(key.startswith(FOREIGN) for key in keys):
            return 403, {}
        current = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in expected
        ]
        pairs = zip(expected, current, strict=True)
        if any(row["revision"] != item["revision"] for row, item in pairs):
            return 412, {"items": current}
        leases = {row.get("lease", 0) for row in writes} - {0}
        if leases - self.leases.keys():
            return 404, {}
        await self._apply(
            [
                (
                    row["key"],
                    base64.b64decode(row["value"]),
                    row.get("lease", 0),
                )
                for row in writes
            ],
            removed,
        )
        return 200, {"revision": self.revision}


def _on_time(body: dict) -> float:
    return 0.0
