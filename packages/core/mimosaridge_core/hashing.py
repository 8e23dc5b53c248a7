"""Hashes that are the same in every process and version."""

import xxhash


def number_of(text: str) -> int:
    """Returns a 64-bit number for a text."""
    return xxhash.xxh64_intdigest(text.encode())
