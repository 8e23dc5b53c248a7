"""Reloads the settings file after a signal or a change of the file."""

from collections.abc import Callable
import dataclasses
import os

import gevent
import logbook

from mimosaridge_core.jobs import model
from mimosaridge_platform import daemonsettings

LOG = logbook.Logger("settings")
# Interval between checks of the file, which may change without a signal.
POLL_INTERVAL_S = 1.0


class Reloader:
    """Reloads the settings file.

    Changed time limits apply immediately; other settings, such as addresses,
    apply at the next start of the process.

    Args:
        settings: The settings loaded at the start.
        apply_bounds: Called with the time limits when they change.
        mtime_ns: Modification time of the file before it was loaded, ns.
    """

    def __init__(
        self,
        settings: daemonsettings.DaemonSettings,
        apply_bounds: Callable[[model.Bounds], None],
        mtime_ns: int,
    ) -> None:
        self.settings = settings
        self.apply_bounds = apply_bounds
        self.mtime_ns = mtime_ns

    def run(self) -> None:
        """Reloads the file when it has changed; does not return."""
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            if mtime_ns() != self.mtime_ns:
                self.reload("the file has changed")

    def reload(self, cause: str) -> None:
        """Reloads the file; ignores it if its settings are invalid."""
        self.mtime_ns = mtime_ns()
        try:
            new = daemonsettings.load()
        except daemonsettings.InvalidError as error:
            LOG.error(
                "reload refused", extra={"cause": cause, "reason": str(error)}
            )
            return
        changed = [
            field.name
            for field in dataclasses.fields(new)
            if getattr(new, field.name) != getattr(self.settings, field.name)
        ]
        LOG.notice(
            "reload",
            extra={
                "cause": cause,
                "changed": changed,
                "from_next_start": [
                    name for name in changed if name != "bounds"
                ],
            },
        )
        if "bounds" in changed:
            self.apply_bounds(new.bounds)
        self.settings = new


def mtime_ns() -> int:
    """Returns the file's modification time, ns; 0 if it is unavailable."""
    try:
        return os.stat(daemonsettings.path()).st_mtime_ns
    except OSError as error:
        LOG.error("can't read the time of the settings file: {}", error)
        return 0
