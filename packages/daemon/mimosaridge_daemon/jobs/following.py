"""Follows prefixes of the store: a list, then watches."""

from collections.abc import Callable
import time

import gevent
import logbook

from mimosaridge_daemon.jobs import storage
from mimosaridge_platform import calls
from mimosaridge_platform import storecalls

LOG = logbook.Logger("following")
# How much longer than its wait a watch may take before it counts as silent.
GRACE_S = 0.7
RETRY_S = 0.25
# An answer without changes is trusted after this time: watches are deaf for a
# second before a history is dropped; it is kept for 20 s at least otherwise.
SETTLED_S = 3.0


class Follower:
    """Follows one prefix.

    Args:
        store: The store.
        prefix: The prefix.
        wait_ms: How long a watch waits, milliseconds.
        pause_s: Pause after each watch that brought changes, so that one call
            brings several.
        listed: Called with all items.
        changed: Called with each change.
        is_wanted: While it is False nothing is asked; then all is listed anew.
    """

    def __init__(
        self,
        store: storage.Store,
        prefix: str,
        wait_ms: int,
        pause_s: float,
        listed: Callable[[storecalls.Page], None],
        changed: Callable[[storecalls.Item], None],
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.wait_ms = wait_ms
        self.pause_s = pause_s
        self.listed = listed
        self.changed = changed
        self.is_wanted = is_wanted
        self.revision = -1
        self.quiet: tuple[float, int] | None = None

    def run(self) -> None:
        """Follows for ever."""
        while True:
            if not self.is_wanted():
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
        self.listed(answer.ok_value)
        self.revision = answer.ok_value.revision
        self.quiet = None
        return True

    def _watch(self) -> bool:
        request = storecalls.watch(self.prefix, self.revision, self.wait_ms)
        answer = self.store.call(request, self.wait_ms / 1000 + GRACE_S)
        if answer.is_err():
            return False
        status, body = answer.ok_value
        if status == 410:
            LOG.notice("history dropped", extra={"prefix": self.prefix})
            self.revision = -1
            return True
        if status != 200:
            return False
        page = storecalls.decode_changes(body)
        for item in page.items:
            self.changed(item)
        self.take(page, time.monotonic())
        if page.items:
            gevent.sleep(self.pause_s)
        return True

    def take(self, page: storecalls.Page, now: float) -> None:
        """Decides where the next watch begins.

        Before a history is dropped, a watch may hear nothing of changes that
        are made, while its answer names a revision beyond them. So an answer
        without changes moves on only once later watches from the same place
        have not told that history was dropped.
        """
        if page.items:
            self.revision = max(item.revision for item in page.items)
            self.quiet = None
        elif self.quiet is None:
            self.quiet = (now, page.revision)
        elif now - self.quiet[0] > SETTLED_S:
            self.revision = max(self.revision, self.quiet[1])
            self.quiet = (now, page.revision)
