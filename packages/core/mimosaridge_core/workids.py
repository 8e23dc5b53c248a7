"""Work ids, which are version 7 UUIDs chosen by the callers."""

import uuid

TIMESTAMP_SHIFT_BITS = 80


def created_at(work_id: str) -> float:
    """Returns the creation time in an id, in seconds since the epoch.

    The time comes from the caller's clock.

    Raises:
        ValueError: The id is not a UUID.
    """
    return (uuid.UUID(work_id).int >> TIMESTAMP_SHIFT_BITS) / 1000
