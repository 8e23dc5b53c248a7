"""Calls to the platform's store, direct or relayed by a peer."""

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
# The store answers in 4 ms; at its slowest it takes 60 times as long.
TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.4
# After a failed direct call peers are tried first for this time.
DIRECT_RETRY_S = 0.7
# While the store answers, watches bring an answer within this time. Calls in an
# outage may stay open for longer before they fail.
ANSWER_GAP_S = 2.5
# Refusals without effect: this machine is blocked or over its rate limit.
REFUSED_STATUSES = storecalls.BUSY_STATUSES

# Any read would do to find out whether the store answers.
PROBE = storecalls.read(storecalls.CONFIGURATION_KEY)

Answer = result.Result[tuple[int, bytes], clients.Failure]
Relay = Callable[[calls.Request, float], Answer | None]


class Store:
    """The platform's store as this daemon reaches it.

    Attributes:
        has_store: Whether the last direct call was served.
        last_answer_at: When a direct or relayed call was last served, monotonic
            seconds.
        answered_since: Since when calls were served without a gap and none has
            failed both directly and through a peer, monotonic seconds.
    """

    def __init__(self, address: str) -> None:
        self.client = clients.Client(f"http://{address}", CONNECTIONS)
        self.relay: Relay = lambda request, timeout_s: None
        self.skip_direct_until = 0.0
        self.has_store = True
        self.last_answer_at = time.monotonic()
        self.answered_since = 0.0

    def call(
        self,
        request: calls.Request,
        timeout_s: float = TIMEOUT_S,
        is_direct_first: bool = False,
    ) -> Answer:
        """Calls the store directly or, if that fails, through a peer.

        Args:
            request: The call.
            timeout_s: Time-out of each of the two attempts, seconds.
            is_direct_first: Whether to try directly although the last direct
                call has failed: it may have been lost with its connection.

        Returns:
            The answer; or a failure whose `is_sent` is True if either attempt
            may have taken effect. A status of 429 or 503 means that neither
            attempt has.
        """
        if is_direct_first:
            self.skip_direct_until = 0.0
        answer = self._call_with_fallback(request, timeout_s)
        if not _is_served(answer):
            self.answered_since = time.monotonic()
        return answer

    def _call_with_fallback(
        self, request: calls.Request, timeout_s: float
    ) -> Answer:
        direct: Answer | None = None
        if time.monotonic() >= self.skip_direct_until:
            direct = self.call_directly(request, timeout_s)
            if _is_served(direct):
                return direct
        relayed = self.relay(request, timeout_s)
        if relayed is None:
            return direct or self.call_directly(request, timeout_s)
        if _is_served(relayed):
            self._record_served()
            return relayed
        return _less_certain(direct, relayed)

    def call_directly(
        self, request: calls.Request, timeout_s: float = TIMEOUT_S
    ) -> Answer:
        """Calls the store from this daemon."""
        started_at = time.monotonic()
        answer = self.client.exchange(
            request.method,
            request.path,
            request.body or None,
            request.headers,
            timeout_s,
            CONNECT_TIMEOUT_S,
        )
        now = time.monotonic()
        telemetry.CALL_SECONDS.labels("store").observe(now - started_at)
        served = _is_served(answer)
        if served:
            self._record_served()
        else:
            self.skip_direct_until = now + DIRECT_RETRY_S
        if served != self.has_store:
            self.has_store = served
            LOG.notice(
                "store regained" if served else "store lost",
                extra={"answer": _describe(answer)},
            )
        return answer

    def is_answering(self) -> bool:
        """Returns whether a write should be tried.

        Probes the store with a read if the last direct call failed: a failed
        write may have taken effect, and a failed read has none.
        """
        if self.has_store:
            return True
        return _is_served(self.call(PROBE))

    def _record_served(self) -> None:
        now = time.monotonic()
        if now - self.last_answer_at > ANSWER_GAP_S:
            self.answered_since = now
        self.last_answer_at = now

    @property
    def answering_since(self) -> float:
        """Since when the store answers, monotonic seconds; now if not."""
        if self.storeless_s() > ANSWER_GAP_S:
            return time.monotonic()
        return self.answered_since

    def storeless_s(self) -> float:
        """Returns the time since a call was last served, seconds."""
        return time.monotonic() - self.last_answer_at

    def reaches_store(self, within_s: float) -> bool:
        """Returns whether a call was served within a time, seconds."""
        return self.storeless_s() < within_s


def _is_served(answer: Answer) -> bool:
    return answer.is_ok() and answer.ok_value[0] not in REFUSED_STATUSES


def _describe(answer: Answer) -> str:
    if answer.is_ok():
        return f"status {answer.ok_value[0]}"
    return answer.err_value.reason


def _less_certain(direct: Answer | None, relayed: Answer) -> Answer:
    """Returns the failure that may have taken effect, if there is one."""
    for answer in (direct, relayed):
        if answer is not None and answer.is_err() and answer.err_value.is_sent:
            return answer
    return relayed


def read_all(
    store: Store, prefix: str, timeout_s: float = TIMEOUT_S
) -> result.Result[storecalls.Page, str]:
    """Lists all items under a prefix, or returns why that failed.

    Args:
        store: The store.
        prefix: The prefix.
        timeout_s: Time-out of the call for each page, seconds.
    """
    items: list[storecalls.Item] = []
    after = ""
    revision = 0
    malformed = 0
    while True:
        answer = store.call(storecalls.list_prefix(prefix, after), timeout_s)
        if answer.is_err():
            return result.Err(answer.err_value.reason)
        status, body = answer.ok_value
        if status != 200:
            return result.Err(f"status {status}")
        try:
            page = storecalls.decode_page(body)
        except calls.MalformedError as error:
            return result.Err(str(error))
        if page.malformed:
            LOG.error(
                "malformed items left out",
                extra={"prefix": prefix, "rows": page.malformed},
            )
        # Pages are not one snapshot: the revision is that of the first, so
        # that a watch from it repeats all changes since then.
        revision = revision or page.revision
        malformed += page.malformed
        items.extend(page.items)
        if not page.has_more:
            return result.Ok(
                storecalls.Page(tuple(items), False, revision, malformed)
            )
        if not page.items:
            return result.Err("a page without items that is not the last")
        after = page.items[-1].key
        gevent.sleep(0)
