"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from typing import Any

import web

MAX_ENTRIES = 32
MAX_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
POLL_S = 0.004


class Store:
    """The key-value store.

    Attributes:
        value_bytes: Largest value, bytes.
        items: Items by key.
        refused: Transactions refused because of a value's size, by key.
    """

    def __init__(self, value_bytes: int = 1_048_576) -> None:
        self.value_bytes = value_bytes
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 10
        self.leases: dict[int, tuple[float, int]] = {}
        self.refused: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.server = web.Server(self.handle)

    async def start(self, ip: str, port: int) -> None:
        """Begins to serve."""
        await self.server.start(ip, port)
        self.expiry = asyncio.create_task(self._expire())

    def put(self, key: str, fields: dict[str, Any]) -> int:
        """Writes as the operator or a worker does; returns the revision."""
        self.revision += 1
        text = base64.b64encode(json.dumps(fields).encode()).decode()
        self._put(key, text, 0)
        self._announce()
        return self.revision

    def delete(self, key: str) -> None:
        """Removes a key as the operator or the platform does."""
        self.revision += 1
        self._remove(key)
        self._announce()

    def read(self, key: str) -> Any:
        """Returns the decoded JSON value of a key; None without one."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def _announce(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, key: str, value: str, lease: int) -> None:
        before = self.items.get(key, {})
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "createdRevision": before.get("createdRevision", self.revision),
            "lease": lease,
        }
        self.events.append(self.items[key])

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.events.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            over = [n for n, (until, _) in self.leases.items() if now > until]
            for lease in over:
                del self.leases[lease]
                self.revision += 1
                for key in [
                    key
                    for key, item in self.items.items()
                    if item["lease"] == lease
                ]:
                    self._remove(key)
                self._announce()

    async def handle(self, request: web.Request) -> web.Answer:
        """Answers a call."""
        path = request.path
        if path == "/v1/kv-key":
            item = self.items.get(request.query["key"])
            now = {"atRevision": self.revision}
            return (200, item | now) if item else (404, now)
        if path == "/v1/kv-range":
            return self._range(request)
        if path == "/v1/kv-watch":
            return await self._watch(request)
        if path == "/v1/kv-txn":
            return self._transact(request.body)
        if path == "/v1/kv-lease":
            self.revision += 1
            ttl_ms = request.body["ttlMs"]
            self.leases[self.revision] = (
                time.monotonic() + ttl_ms / 1000,
                ttl_ms,
            )
            return 200, {"lease": self.revision, "ttlMs": ttl_ms}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttlMs": ttl_ms}
        return 404, {}

    def _range(self, request: web.Request) -> web.Answer:
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        found, size = [], 0
        for key in keys[:MAX_ITEMS]:
            size += len(self.items[key]["value"])
            if found and size > MAX_PAGE_BYTES:
                break
            found.append(self.items[key])
        return 200, {
            "items": found,
            "hasMore": len(found) < len(keys),
            "atRevision": self.revision,
        }

    async def _watch(self, request: web.Request) -> web.Answer:
        prefix, after = request.query["prefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            found = []
            for event in reversed(self.events):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    found.append(event)
            left = until - time.monotonic()
            if found or left <= 0:
                found.reverse()
                return 200, {"events": found, "atRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> web.Answer:
        rows = body.get("expectedRevision", [])
        writes, removed = body.get("writes", []), body.get("remove", [])
        if len(rows) > MAX_ENTRIES or len(writes) + len(removed) > MAX_ENTRIES:
            return 400, {}
        for row in writes:
            if len(base64.b64decode(row["value"])) > self.value_bytes:
                self.refused[row["key"]] = self.refused.get(row["key"], 0) + 1
                return 400, {}
        now = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in rows
        ]
        if any(
            row["revision"] != item["revision"]
            for row, item in zip(rows, now, strict=True)
        ):
            return 412, {"items": now}
        for row in writes:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in writes:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in removed:
            self._remove(key)
        self._announce()
        return 200, {"revision": self.revision}
