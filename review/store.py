"""A stand-in of the platform's store and advice service, one process.

It follows the page on the protocol: linearizable, one revision counter, leases,
watches. It has no faults of its own; scripts stop and continue its process.
Operators and workers write through `/test/put` and `/test/remove`.

Usage: store.py IP:PORT
"""

import base64
import json
import sys
import threading
import time
from typing import Any

import web

PAGE_ITEMS = 500
TICKET_VALID_MS = 2000


class Store:
    """The items, their history and the leases."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 10
        self.leases: dict[int, tuple[float, int]] = {}

    def answer(
        self, method: str, path: str, query: dict, body: Any, headers: dict
    ) -> tuple[int, Any]:
        """Answers a call."""
        if path == "/v1/kv-key":
            return self._read(query["key"])
        if path == "/v1/kv-range":
            return self._list(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            return self._watch(query)
        if path == "/v1/advise":
            good = [[name, f"t-{name}"] for name in body["workers"]]
            return 200, {"good": good, "validityMs": TICKET_VALID_MS}
        with self.changed:
            if path == "/v1/kv-txn":
                return self._transact(body)
            if path == "/v1/kv-lease":
                self.revision += 1
                ends_at = time.monotonic() + body["ttlMs"] / 1000
                self.leases[self.revision] = (ends_at, body["ttlMs"])
                return 200, {"lease": self.revision, "ttlMs": body["ttlMs"]}
            if path.startswith("/v1/kv-keep/"):
                return self._keep(int(path.rpartition("/")[2]))
            if path.startswith("/v1/kv-lease-end/"):
                return self._end_lease(int(path.rpartition("/")[2]))
            if path == "/test/put":
                raw = json.dumps(body["value"]).encode()
                value = base64.b64encode(raw).decode()
                return self._transact(
                    {"writes": [{"key": body["key"], "value": value}]}
                )
            if path == "/test/remove":
                return self._transact({"remove": [body["key"]]})
        return 404, {}

    def _read(self, key: str) -> tuple[int, Any]:
        with self.changed:
            item = self.items.get(key)
            at = {"atRevision": self.revision}
            return (200, item | at) if item else (404, at)

    def _list(self, prefix: str, after: str) -> tuple[int, Any]:
        with self.changed:
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > after
            )
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "hasMore": len(keys) > PAGE_ITEMS,
                "atRevision": self.revision,
            }

    def _watch(self, query: dict) -> tuple[int, Any]:
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        with self.changed:
            while True:
                found = [
                    event
                    for event in self.events
                    if event["revision"] > after
                    and event["key"].startswith(prefix)
                ]
                left_s = until - time.monotonic()
                if found or left_s <= 0:
                    return 200, {"events": found, "atRevision": self.revision}
                self.changed.wait(left_s)

    def _transact(self, body: dict) -> tuple[int, Any]:
        rows = body.get("expectedRevision") or []
        now = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in rows
        ]
        if any(
            row["revision"] != item["revision"]
            for row, item in zip(rows, now, strict=True)
        ):
            return 412, {"items": now}
        for row in body.get("writes") or []:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in body.get("writes") or []:
            old = self.items.get(row["key"], {})
            item = {
                "key": row["key"],
                "value": row["value"],
                "revision": self.revision,
                "createdRevision": old.get("createdRevision", self.revision),
                "lease": row.get("lease", 0),
            }
            self.items[row["key"]] = item
            self.events.append(item)
        for key in body.get("remove") or []:
            self._remove(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.events.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def _keep(self, lease: int) -> tuple[int, Any]:
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"ttlMs": ttl_ms}

    def _end_lease(self, lease: int) -> tuple[int, Any]:
        if self.leases.pop(lease, None) is None:
            return 404, {}
        self.revision += 1
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self._remove(key)
        self.changed.notify_all()
        return 200, {}

    def expire(self) -> None:
        """Ends the leases that are over; does not return."""
        while True:
            time.sleep(0.1)
            with self.changed:
                now = time.monotonic()
                for lease, (ends_at, _) in list(self.leases.items()):
                    if now > ends_at:
                        self._end_lease(lease)


def main() -> None:
    """Runs the store until the process ends."""
    store = Store()
    threading.Thread(target=store.expire, daemon=True).start()
    web.serve(sys.argv[1], store.answer).serve_forever()


if __name__ == "__main__":
    main()
