"""Progress messages on standard error during long calls."""

from collections.abc import Iterator
import contextlib
import sys
import threading

INTERVAL_S = 5.0


@contextlib.contextmanager
def report_periodically(
    text: str, every_s: float = INTERVAL_S
) -> Iterator[None]:
    """Prints a message and the elapsed seconds periodically until exit."""
    done = threading.Event()

    def print_messages() -> None:
        waited_s = 0.0
        while not done.wait(every_s):
            waited_s += every_s
            print(f"{waited_s:.0f} s: {text}", file=sys.stderr, flush=True)

    printer = threading.Thread(target=print_messages, daemon=True)
    printer.start()
    try:
        yield
    finally:
        done.set()
        printer.join()
