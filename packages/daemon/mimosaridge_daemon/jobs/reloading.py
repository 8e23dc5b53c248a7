"""Reads the settings file again after a signal or a change of the file."""

from collections.abc import Callable
import dataclasses
import os

import gevent
import logbook

from mimosaridge_core.jobs import model
from mimosaridge_platform import daemonsettings

LOG = logbook.Logger("settings")
# How often the file is looked at, seconds: it may change without a signal.
LOOK_S = 1.0


class Reloader:
    """Follows the settings file.

    Time limits are put in force at once; addresses stay as they were at the
    start of the process.

    Args:
        around: The settings in force.
        put_in_force: Called with the time limits when they change.
    """

    def __init__(
        self,
        around: daemonsettings.DaemonSettings,
        put_in_force: Callable[[model.Bounds], None],
    ) -> None:
        self.around = around
        self.put_in_force = put_in_force
        self.changed_at = _changed_at()

    def run(self) -> None:
        """Looks at the file for ever."""
        while True:
            gevent.sleep(LOOK_S)
            if _changed_at() != self.changed_at:
                self.reload("the file has changed")

    def reload(self, cause: str) -> None:
        """Reads the file; settings that can't be used change nothing."""
        self.changed_at = _changed_at()
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
            if getattr(new, field.name) != getattr(self.around, field.name)
        ]
        LOG.notice(
            "reload",
            extra={
                "cause": cause,
                "changed": changed,
                "from_next_start": [one for one in changed if one != "bounds"],
            },
        )
        if "bounds" in changed:
            self.put_in_force(new.bounds)
        self.around = new


def _changed_at() -> int:
    """Returns when the file changed, nanoseconds; 0 if it can't be read."""
    try:
        return os.stat(daemonsettings.path()).st_mtime_ns
    except OSError as error:
        LOG.error("the settings file is out of reach: {}", error)
        return 0
