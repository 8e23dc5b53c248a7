"""Follows a prefix of the store: lists it once, then watches it."""

from collections.abc import Callable
import time

import gevent
import logbook

from mimosaridge_daemon import guarding
from mimosaridge_daemon.jobs import storage
from mimosaridge_platform import calls
from mimosaridge_platform import storecalls

LOG = logbook.Logger("following")
# A watch times out this long after its wait.
ANSWER_GRACE_S = 0.7
RETRY_S = 0.25
# Wait of a watch that finds out soon whether anything has changed.
CHECK_WAIT_MS = 100
# A list of large items through a narrow link and a peer takes over a second.
LIST_TIMEOUT_S = 1.9
# Delay before the revision of an empty answer is used: for one second before
# the store compacts its history, watches miss changes. Otherwise the history is
# kept for at least 20 s.
EMPTY_ANSWER_DELAY_S = 3.0


class Follower:
    """Follows one prefix.

    Args:
        store: The store.
        prefix: The prefix.
        wait_ms: Longest time that the store holds a watch open, milliseconds.
        pause_s: Returns the pause after each watch that returned changes, to
            batch later ones.
        on_list: Called with all items after each list.
        on_change: Called with the latest change of each key.
        is_enabled: While it returns False the store is not called; afterwards
            the prefix is listed again.
        on_confirmed: Called after each answer with a time up to which all
            changes were handled, monotonic seconds. If it is None, nobody needs
            to know how old the last answer is.
    """

    def __init__(
        self,
        store: storage.Store,
        prefix: str,
        wait_ms: int,
        pause_s: Callable[[], float],
        on_list: Callable[[storecalls.Page], None],
        on_change: Callable[[storecalls.Item], None],
        is_enabled: Callable[[], bool] = lambda: True,
        on_confirmed: Callable[[float], None] | None = None,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.wait_ms = wait_ms
        self.pause_s = pause_s
        self.on_list = on_list
        self.on_change = on_change
        self.is_enabled = is_enabled
        self.on_confirmed = on_confirmed
        self.is_check_due = False
        self.revision = -1
        self.first_empty: tuple[float, int] | None = None

    def run(self) -> None:
        """Follows the prefix; does not return."""
        while True:
            if not self.is_enabled():
                self.revision = -1
                gevent.sleep(RETRY_S)
                continue
            try:
                worked = self._list() if self.revision < 0 else self._watch()
            except calls.MalformedError as error:
                LOG.error("{}", error, extra={"prefix": self.prefix})
                worked = False
                self.revision = -1
            if not worked:
                gevent.sleep(RETRY_S)

    def _list(self) -> bool:
        asked_at = time.monotonic()
        answer = storage.read_all(self.store, self.prefix, LIST_TIMEOUT_S)
        if answer.is_err():
            return False
        self.on_list(answer.ok_value)
        self.revision = answer.ok_value.revision
        self.first_empty = None
        self._confirm(asked_at)
        return True

    def _watch(self) -> bool:
        asked_at, wait_ms, answer = self._call()
        if answer.is_err():
            if wait_ms == CHECK_WAIT_MS:
                # Watches return each change in between, which may be too much
                # for the link; a list has only the latest of each key.
                self.revision = -1
            self._check_next()
            return False
        status, body = answer.ok_value
        if status == 410:
            LOG.notice(
                "history compacted; listing again",
                extra={"prefix": self.prefix},
            )
            self.revision = -1
            return True
        if status != 200:
            self._check_next()
            return False
        page = storecalls.decode_changes(body)
        # A job's progress changes several times between two answers.
        for item in {item.key: item for item in page.items}.values():
            guarding.attempt("change", self.on_change, item)
        if page.malformed:
            # Which key has changed is unknown: the list tells.
            LOG.error(
                "malformed changes; listing again",
                extra={"prefix": self.prefix, "rows": page.malformed},
            )
            self.revision = -1
            return False
        now = time.monotonic()
        self.advance(page, now)
        if page.items:
            self._confirm(asked_at)
            # This answer says nothing about the time since it was asked for.
            self._check_next()
            gevent.sleep(self.pause_s())
        else:
            # The store has held the watch until then, unless it was cut short.
            held_until = asked_at + wait_ms / 1000
            self._confirm(held_until if now >= held_until else asked_at)
        return True

    def _call(self) -> tuple[float, int, storage.Answer]:
        """Calls the watch.

        Where the age of the last answer counts, a long watch that gets no
        answer is not repeated through a peer, which may not answer either: a
        short one finds out whether anything has changed.

        Returns:
            When it was asked, monotonic seconds; its wait in milliseconds; and
            the answer.
        """
        is_timely = self.on_confirmed is not None
        if self.is_check_due:
            self.is_check_due = False
            return (
                time.monotonic(),
                CHECK_WAIT_MS,
                self._call_store(CHECK_WAIT_MS),
            )
        if not is_timely or not self.store.has_store:
            return (
                time.monotonic(),
                self.wait_ms,
                self._call_store(self.wait_ms),
            )
        request = storecalls.watch(self.prefix, self.revision, self.wait_ms)
        asked_at = time.monotonic()
        answer = self.store.call_directly(request, _timeout_s(self.wait_ms))
        if answer.is_ok() and answer.ok_value[0] in (200, 410):
            return asked_at, self.wait_ms, answer
        return (
            time.monotonic(),
            CHECK_WAIT_MS,
            self._call_store(CHECK_WAIT_MS, True),
        )

    def _call_store(
        self, wait_ms: int, is_direct_first: bool = False
    ) -> storage.Answer:
        request = storecalls.watch(self.prefix, self.revision, wait_ms)
        if not is_direct_first:
            return self.store.call(request, _timeout_s(wait_ms))
        return self.store.call(
            request, _timeout_s(wait_ms), is_direct_first=True
        )

    def _check_next(self) -> None:
        """Makes the next watch a short one where the answers' age counts."""
        self.is_check_due = self.on_confirmed is not None

    def _confirm(self, confirmed_at: float) -> None:
        if self.on_confirmed is not None:
            self.on_confirmed(confirmed_at)

    def advance(self, page: storecalls.Page, now: float) -> None:
        """Sets the revision from which the next watch starts.

        Before the store compacts its history, a watch can miss changes although
        its answer has a later revision. So the revision of an empty answer is
        used only if no later watch from the same revision has reported a
        compaction.
        """
        if page.items:
            self.revision = max(item.revision for item in page.items)
            self.first_empty = None
        elif self.first_empty is None:
            self.first_empty = (now, page.revision)
        elif now - self.first_empty[0] > EMPTY_ANSWER_DELAY_S:
            self.revision = max(self.revision, self.first_empty[1])
            self.first_empty = (now, page.revision)


def _timeout_s(wait_ms: int) -> float:
    """Returns the time-out of a watch, seconds."""
    return wait_ms / 1000 + ANSWER_GRACE_S
