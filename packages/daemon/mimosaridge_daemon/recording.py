"""Recording of a daemon's events for replay through the reducer."""

from collections.abc import Iterator
import pickle

from mimosaridge_core import events


class Recorder:
    """Writes events to a file; discards them if no path is given."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "wb") if path else None  # noqa: SIM115

    def write(self, event: events.Event) -> None:
        """Writes an event in its state before the reducer processes it."""
        if self.file is not None:
            pickle.dump(event, self.file)
            self.file.flush()


def read(path: str) -> Iterator[events.Event]:
    """Yields the events of a recording.

    Only recordings of the same version can be read, as they are pickled.
    """
    with open(path, "rb") as file:
        while True:
            try:
                yield pickle.load(file)
            except EOFError:
                return
