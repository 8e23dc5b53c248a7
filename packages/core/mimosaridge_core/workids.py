"""Ids that callers choose for their work: UUIDs of version 7."""

import uuid

TIME_SHIFT_BITS = 80


def made_at(work_id: str) -> float:
    """Returns when an id was made, seconds since the epoch, by its caller.

    Raises:
        ValueError: It is no UUID.
    """
    return (uuid.UUID(work_id).int >> TIME_SHIFT_BITS) / 1000
