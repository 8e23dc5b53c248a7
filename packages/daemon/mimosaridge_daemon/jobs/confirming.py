"""Knows how old the operators' settings are that are in force here.

A daemon whose watch of the settings has no answer yet can't tell whether they
have changed. So each answer of the store also confirms, as of the time at which
it was asked, that what is in force was the newest. Requests are judged by
settings that were confirmed within the time that the platform gives daemons to
apply a change.
"""

from collections.abc import Callable
import time
from typing import Any

import gevent

from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import state
from mimosaridge_daemon.jobs import storage

# Share of the time to apply a change after which settings count as old: the
# rest is for requests on their way.
MAX_AGE_SHARE = 0.9
# Longest time that a request waits for settings to be confirmed.
WAIT_S = 0.4
POLL_S = 0.01


class Confirmations:
    """Records up to which time all changes of the settings are known."""

    def __init__(
        self,
        st: state.State,
        store: storage.Store,
        post: Callable[[Any], None],
    ) -> None:
        self.state = st
        self.store = store
        self.post = post

    def record(self, confirmed_at: float) -> None:
        """Records that all changes up to a time were posted.

        Args:
            confirmed_at: A time before the store gave the answer that says so,
                monotonic seconds. The time of receipt would not do: an answer
                may have waited unread while this process stood still.
        """
        self.post(events.SettingsConfirmed(time.monotonic(), confirmed_at))

    def age_s(self) -> float:
        """Returns the time since the settings were the newest, seconds."""
        return time.monotonic() - self.state.settings_confirmed_at

    def are_recent(self) -> bool:
        """Returns whether requests may be judged by the settings."""
        return self.age_s() <= MAX_AGE_SHARE * self.state.bounds.apply_s

    def wait_until_recent(self) -> bool:
        """Returns whether the settings are recent, after a short wait."""
        deadline = time.monotonic() + WAIT_S
        while not self.are_recent():
            if not self.store.has_store or time.monotonic() >= deadline:
                return False
            gevent.sleep(POLL_S)
        return True

    def is_outage(self) -> bool:
        """Returns whether the store has been out of reach for as long.

        Then no daemon can know newer settings, as far as this one can tell.
        """
        return not self.store.reaches_store(
            MAX_AGE_SHARE * self.state.bounds.apply_s
        )
