"""Python's cyclic garbage collector, tuned for a large, long-lived state.

Almost nothing that the daemon makes is part of a cycle, while each full
collection walks the whole state and stops the process meanwhile.
"""

import gc

YOUNG_OBJECTS = 50_000
YOUNG_COLLECTIONS = 20
MIDDLE_COLLECTIONS = 100


def tune() -> None:
    """Makes collections rare and leaves out what was imported."""
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
