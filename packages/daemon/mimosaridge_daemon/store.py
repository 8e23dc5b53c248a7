"""Client of the platform's key-value store."""

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
MAX_CONCURRENT_CALLS = 16
CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 1.0
RETRY_DELAY_S = 0.3
WATCHED_PREFIXES = (
    documents.CONFIG_KEY,
    documents.DAEMONS,
    documents.PARTITIONS,
)


class Store:
    """Executes store effects and watches the keys that all daemons share."""

    def __init__(self, url: str, post: Callable[[events.Event], None]) -> None:
        self.client = clients.Client(
            url, MAX_CONCURRENT_CALLS + len(WATCHED_PREFIXES)
        )
        self.post = post
        self.calls = gevent_pool.Pool(MAX_CONCURRENT_CALLS)
        self.lease_id = ""

    def start(self) -> None:
        """Starts the watches."""
        for prefix in WATCHED_PREFIXES:
            gevent.spawn(self._watch, prefix)

    def write(self, effect: effects.StoreWrite) -> None:
        """Starts a compare-and-swap write of the value.

        The value is encoded at once, as it may change before the call is made.
        """
        value = effect.value
        encoded = b"null" if value is None else codec.encode_document(value)
        gevent.spawn(self.calls.spawn, self._write, effect, encoded)

    def read(self, effect: effects.StoreRead) -> None:
        """Starts to read a key."""
        gevent.spawn(self.calls.spawn, self._read, effect)

    def renew(self, effect: effects.RenewLease) -> None:
        """Renews the daemon's lease, or requests one if it has none."""
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
        response = self.client.call("PUT", path, body, CALL_TIMEOUT_S)
        op_id = effect.op_id
        if response.is_err():
            self._post_result(op_id, "unknown")
            return
        status, content = response.ok_value
        if status == 200:
            self._post_result(op_id, "ok", revision=content["revision"])
        else:
            self._post_result(op_id, "conflict")

    def _read(self, effect: effects.StoreRead) -> None:
        path = f"/v1/kv/{parse.quote(effect.key)}"
        response = self.client.call("GET", path, None, CALL_TIMEOUT_S)
        if response.is_err():
            gevent.sleep(RETRY_DELAY_S)
            self._post_result(effect.op_id, "unknown")
            return
        status, content = response.ok_value
        if status == 404:
            self._post_result(effect.op_id, "absent")
            return
        value = _decode(effect.key, content["value"])
        self._post_result(effect.op_id, "ok", value, content["revision"])

    def _post_result(
        self, op_id: int, result: str, value: object = None, revision: int = 0
    ) -> None:
        self.post(
            events.StoreAnswered(time.time(), op_id, result, value, revision)
        )

    def _renew(self, effect: effects.RenewLease) -> None:
        requested_at = time.time()
        if effect.lease_id:
            path = f"/v1/leases/{effect.lease_id}/renew"
        else:
            path = "/v1/leases"
        body = {"ttl_s": effect.ttl_s}
        response = self.client.call("POST", path, body, CALL_TIMEOUT_S)
        lease_id, result = "", "unknown"
        if response.is_ok():
            status, content = response.ok_value
            result = "ok" if status == 200 else "lost"
            lease_id = content["lease"] if status == 200 else ""
            self.lease_id = lease_id
        self.post(
            events.LeaseAnswered(time.time(), lease_id, result, requested_at)
        )

    def _watch(self, prefix: str) -> None:
        revision = -1
        while True:
            if revision < 0:
                revision = self._list_keys(prefix)
            else:
                revision = self._poll_changes(prefix, revision)
            if revision < 0:
                gevent.sleep(RETRY_DELAY_S)

    def _list_keys(self, prefix: str) -> int:
        path = f"/v1/range?prefix={parse.quote(prefix)}"
        requested_at = time.time()
        response = self.client.call("GET", path, None, CALL_TIMEOUT_S)
        if response.is_err() or response.ok_value[0] != 200:
            return -1
        _, content = response.ok_value
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
                requested_at,
            )
        )
        return content["revision"]

    def _poll_changes(self, prefix: str, after: int) -> int:
        path = (
            f"/v1/watch?prefix={parse.quote(prefix)}&after={after}"
            f"&wait_s={WATCH_TIMEOUT_S}"
        )
        requested_at = time.time()
        response = self.client.call(
            "GET", path, None, WATCH_TIMEOUT_S + WATCH_MARGIN_S
        )
        if response.is_err() or response.ok_value[0] != 200:
            return -1
        content = response.ok_value[1]
        for item in content["items"]:
            self._post_change(item)
        self.post(
            events.StoreWatchProgressed(time.time(), prefix, requested_at)
        )
        return content["revision"]

    def _post_change(self, item: Any) -> None:
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
    """Returns the document at a key, or None if absent or malformed."""
    kind = documents.document_type(key)
    if value is None or kind is None:
        return None
    try:
        return codec.decode_document(kind, value)
    except codec.MalformedError as error:
        LOG.error("{}", error, extra={"key": key})
        return None
