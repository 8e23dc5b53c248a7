"""The platform's key-value service."""

from collections.abc import Callable
import json
import time
from typing import Any
from urllib import parse

import gevent
from gevent import pool as gevent_pool
import logbook

from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_daemon import clients
from mimosaridge_daemon import codec

LOG = logbook.Logger("store")
CALLS = 16
CALL_TIMEOUT_S = 2.0
WATCH_S = 1.0
WATCH_GRACE_S = 1.0
RETRY_S = 0.3
WATCHED = (documents.CONFIG_KEY, documents.DAEMONS, documents.PARTITIONS)


class Store:
    """Carries out store effects and watches what all daemons need."""

    def __init__(self, url: str, post: Callable[[events.Event], None]) -> None:
        self.client = clients.Client(url, CALLS + len(WATCHED))
        self.post = post
        self.calls = gevent_pool.Pool(CALLS)
        self.lease_id = ""

    def start(self) -> None:
        """Begins to watch."""
        for prefix in WATCHED:
            gevent.spawn(self._watch, prefix)

    def write(self, effect: effects.StoreWrite) -> None:
        """Carries out a compare-and-swap of the value as it is now."""
        value = effect.value
        encoded = b"null" if value is None else codec.encode_document(value)
        gevent.spawn(self.calls.spawn, self._write, effect, encoded)

    def read(self, effect: effects.StoreRead) -> None:
        """Reads a key."""
        gevent.spawn(self.calls.spawn, self._read, effect)

    def renew(self, effect: effects.RenewLease) -> None:
        """Renews the daemon's lease or asks for one."""
        gevent.spawn(self._renew, effect)

    def _write(self, effect: effects.StoreWrite, encoded: bytes) -> None:
        expected = None if effect.expected < 0 else effect.expected
        lease = self.lease_id if effect.leased else ""
        body = codec.encode_object(
            value=encoded,
            expected=json.dumps(expected).encode(),
            lease=json.dumps(lease).encode(),
        )
        path = f"/v1/kv/{parse.quote(effect.key)}"
        answer = self.client.call("PUT", path, body, CALL_TIMEOUT_S)
        number = effect.op_id
        if answer.is_err():
            self._answered(number, "unknown")
            return
        status, content = answer.ok_value
        if status == 200:
            self._answered(number, "ok", revision=content["revision"])
        else:
            self._answered(number, "conflict")

    def _read(self, effect: effects.StoreRead) -> None:
        path = f"/v1/kv/{parse.quote(effect.key)}"
        answer = self.client.call("GET", path, None, CALL_TIMEOUT_S)
        if answer.is_err():
            gevent.sleep(RETRY_S)
            self._answered(effect.op_id, "unknown")
            return
        status, content = answer.ok_value
        if status == 404:
            self._answered(effect.op_id, "absent")
            return
        value = _decode(effect.key, content["value"])
        self._answered(effect.op_id, "ok", value, content["revision"])

    def _answered(
        self, number: int, result: str, value: object = None, revision: int = 0
    ) -> None:
        self.post(
            events.StoreAnswered(time.time(), number, result, value, revision)
        )

    def _renew(self, effect: effects.RenewLease) -> None:
        asked_at = time.time()
        if effect.lease_id:
            path = f"/v1/leases/{effect.lease_id}/renew"
        else:
            path = "/v1/leases"
        body = {"ttl_s": effect.ttl_s}
        answer = self.client.call("POST", path, body, CALL_TIMEOUT_S)
        lease_id, result = "", "unknown"
        if answer.is_ok():
            status, content = answer.ok_value
            result = "ok" if status == 200 else "lost"
            lease_id = content["lease"] if status == 200 else ""
            self.lease_id = lease_id
        self.post(events.LeaseAnswered(time.time(), lease_id, result, asked_at))

    def _watch(self, prefix: str) -> None:
        revision = -1
        while True:
            if revision < 0:
                revision = self._list(prefix)
            else:
                revision = self._follow(prefix, revision)
            if revision < 0:
                gevent.sleep(RETRY_S)

    def _list(self, prefix: str) -> int:
        path = f"/v1/range?prefix={parse.quote(prefix)}"
        asked_at = time.time()
        answer = self.client.call("GET", path, None, CALL_TIMEOUT_S)
        if answer.is_err() or answer.ok_value[0] != 200:
            return -1
        _, content = answer.ok_value
        values, revisions = {}, {}
        for item in content["items"]:
            key = item["key"]
            revisions[key] = item["revision"]
            value = _decode(key, item["value"])
            if value is None:
                self.post(
                    events.StoreUnreadable(time.time(), key, item["revision"])
                )
            else:
                values[key] = value
        self.post(
            events.StoreListed(
                time.time(),
                prefix,
                content["revision"],
                values,
                revisions,
                asked_at,
            )
        )
        return content["revision"]

    def _follow(self, prefix: str, after: int) -> int:
        path = (
            f"/v1/watch?prefix={parse.quote(prefix)}&after={after}"
            f"&wait_s={WATCH_S}"
        )
        asked_at = time.time()
        answer = self.client.call("GET", path, None, WATCH_S + WATCH_GRACE_S)
        if answer.is_err() or answer.ok_value[0] != 200:
            return -1
        content = answer.ok_value[1]
        for item in content["items"]:
            self._changed(item)
        self.post(events.StoreWatchProgressed(time.time(), prefix, asked_at))
        return content["revision"]

    def _changed(self, item: Any) -> None:
        key = item["key"]
        value = _decode(key, item["value"])
        if value is None and item["value"] is not None:
            self.post(
                events.StoreUnreadable(time.time(), key, item["revision"])
            )
            return
        self.post(
            events.StoreChanged(time.time(), key, value, item["revision"])
        )


def _decode(key: str, value: Any) -> Any:
    """Returns a document, or None if it is absent or can't be read."""
    try:
        return codec.decode_document(key, value)
    except codec.MalformedError as error:
        LOG.error("{}", error)
        return None
