"""Configuration of Python's cyclic garbage collector for a large state.

The daemon creates almost no reference cycles, while each full collection
traverses the whole state and pauses the process meanwhile.
"""

import gc

YOUNG_THRESHOLD_OBJECTS = 50_000
MIDDLE_THRESHOLD_COLLECTIONS = 20
OLD_THRESHOLD_COLLECTIONS = 100


def configure() -> None:
    """Enables collections, rarer, without the objects allocated so far."""
    gc.freeze()
    gc.enable()
    gc.set_threshold(
        YOUNG_THRESHOLD_OBJECTS,
        MIDDLE_THRESHOLD_COLLECTIONS,
        OLD_THRESHOLD_COLLECTIONS,
    )
