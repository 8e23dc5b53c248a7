"""Hashes that are stable across processes and versions."""

import xxhash


def stable_hash(text: str) -> int:
    """Returns a 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode())
