"""Calls to the platform's store: direct, or by a peer that reaches it."""

from collections.abc import Callable
import time

import gevent
import logbook
import result

from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import calls
from mimosaridge_platform import storecalls

LOG = logbook.Logger("store")
CONNECTIONS = 12
# The store answers in 4 ms, 60 times as slow at its worst.
TIMEOUT_S = 0.8
CONNECT_S = 0.4
# After a failure the store is called directly again after this time.
DIRECT_REST_S = 0.7
# Refusals without other effect: the machine is turned away or rates are used.
TURNED_AWAY = storecalls.BUSY_STATUSES

# Any read shows whether the store answers.
PROBE = storecalls.read(storecalls.CONFIGURATION_KEY)

Answer = result.Result[tuple[int, bytes], clients.Failure]
Relay = Callable[[calls.Request, float], Answer | None]


class Store:
    """The platform's store as this daemon reaches it.

    Attributes:
        has_store: Whether direct calls are answered.
        reached_at: When any call was last answered, steady seconds.
        answering_since: Since when no call has failed by all ways.
    """

    def __init__(self, address: str) -> None:
        self.client = clients.Client(f"http://{address}", CONNECTIONS)
        self.relay: Relay = lambda request, timeout_s: None
        self.rests_until = 0.0
        self.has_store = True
        self.reached_at = time.monotonic()
        self.answering_since = 0.0

    def call(
        self, request: calls.Request, timeout_s: float = TIMEOUT_S
    ) -> Answer:
        """Calls the store by whichever way works.

        Returns:
            The answer; or a failure that tells whether the call may have
            taken effect by any of the ways tried. A status of 429 or 503
            means that no way has done anything.
        """
        answer = self._call_any_way(request, timeout_s)
        if not _is_served(answer):
            self.answering_since = time.monotonic()
        return answer

    def _call_any_way(self, request: calls.Request, timeout_s: float) -> Answer:
        direct: Answer | None = None
        if time.monotonic() >= self.rests_until:
            direct = self.call_directly(request, timeout_s)
            if _is_served(direct):
                return direct
        relayed = self.relay(request, timeout_s)
        if relayed is None:
            return direct or self.call_directly(request, timeout_s)
        if _is_served(relayed):
            self.reached_at = time.monotonic()
            return relayed
        return _worse(direct, relayed)

    def call_directly(
        self, request: calls.Request, timeout_s: float = TIMEOUT_S
    ) -> Answer:
        """Calls the store itself."""
        began = time.monotonic()
        answer = self.client.exchange(
            request.method,
            request.path,
            request.body or None,
            request.headers,
            timeout_s,
            CONNECT_S,
        )
        now = time.monotonic()
        telemetry.CALL_SECONDS.labels("store").observe(now - began)
        served = _is_served(answer)
        if served:
            self.reached_at = now
        else:
            self.rests_until = now + DIRECT_REST_S
        if served != self.has_store:
            self.has_store = served
            LOG.notice(
                "store regained" if served else "store lost",
                extra={"answer": _describe(answer)},
            )
        return answer

    def is_answering(self) -> bool:
        """Tells whether a write may be tried; asks if the last call failed.

        A write that fails leaves in doubt whether it was done. A read that
        fails leaves nothing in doubt, so it goes first while the store is
        not known to answer.
        """
        if self.has_store:
            return True
        return _is_served(self.call(PROBE))

    def reaches_store(self, within_s: float) -> bool:
        """Tells whether any call was answered lately."""
        return time.monotonic() - self.reached_at < within_s


def _is_served(answer: Answer) -> bool:
    return answer.is_ok() and answer.ok_value[0] not in TURNED_AWAY


def _describe(answer: Answer) -> str:
    if answer.is_ok():
        return f"status {answer.ok_value[0]}"
    return answer.err_value.reason


def _worse(direct: Answer | None, relayed: Answer) -> Answer:
    """Returns the failure that leaves more in doubt."""
    for answer in (direct, relayed):
        if answer is not None and answer.is_err() and answer.err_value.is_sent:
            return answer
    return relayed


def read_all(store: Store, prefix: str) -> result.Result[storecalls.Page, str]:
    """Lists all items under a prefix."""
    items: list[storecalls.Item] = []
    after = ""
    revision = 0
    while True:
        answer = store.call(storecalls.list_prefix(prefix, after))
        if answer.is_err():
            return result.Err(answer.err_value.reason)
        status, body = answer.ok_value
        if status != 200:
            return result.Err(f"status {status}")
        try:
            page = storecalls.decode_page(body)
        except calls.MalformedError as error:
            return result.Err(str(error))
        # Pages are no snapshot: changes since the first are watched again.
        revision = revision or page.revision
        items.extend(page.items)
        if not page.has_more or not page.items:
            return result.Ok(storecalls.Page(tuple(items), False, revision))
        after = page.items[-1].key
        gevent.sleep(0)
