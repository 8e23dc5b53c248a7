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
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.wait_ms = wait_ms
        self.pause_s = pause_s
        self.on_list = on_list
        self.on_change = on_change
        self.is_enabled = is_enabled
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
        answer = storage.read_all(self.store, self.prefix)
        if answer.is_err():
            return False
        self.on_list(answer.ok_value)
        self.revision = answer.ok_value.revision
        self.first_empty = None
        return True

    def _watch(self) -> bool:
        request = storecalls.watch(self.prefix, self.revision, self.wait_ms)
        answer = self.store.call(request, self.wait_ms / 1000 + ANSWER_GRACE_S)
        if answer.is_err():
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
        self.advance(page, time.monotonic())
        if page.items:
            gevent.sleep(self.pause_s())
        return True

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
