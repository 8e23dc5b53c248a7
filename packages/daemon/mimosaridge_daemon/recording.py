"""Recordings of a daemon's events, for replay through the reducer."""

from collections.abc import Iterator
import pickle

from mimosaridge_core import events


class Recorder:
    """Writes events to a file, or drops them if no file is set."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "wb") if path else None  # noqa: SIM115

    def write(self, event: events.Event) -> None:
        """Writes an event as it is before the reducer sees it."""
        if self.file is not None:
            pickle.dump(event, self.file)
            self.file.flush()


def read(path: str) -> Iterator[events.Event]:
    """Yields the events of a recording made by this version."""
    with open(path, "rb") as file:
        while True:
            try:
                yield pickle.load(file)
            except EOFError:
                return
