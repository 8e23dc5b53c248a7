"""Words on standard error while a call takes long."""

from collections.abc import Iterator
import contextlib
import sys
import threading

EVERY_S = 5.0


@contextlib.contextmanager
def shown(text: str, every_s: float = EVERY_S) -> Iterator[None]:
    """Prints a text with the seconds waited, again and again, until done."""
    done = threading.Event()

    def tell() -> None:
        waited_s = 0.0
        while not done.wait(every_s):
            waited_s += every_s
            print(f"{waited_s:.0f} s: {text}", file=sys.stderr, flush=True)

    teller = threading.Thread(target=tell, daemon=True)
    teller.start()
    try:
        yield
    finally:
        done.set()
        teller.join()
