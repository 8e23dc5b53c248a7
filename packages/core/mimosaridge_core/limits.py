"""A team's upper limit, divided among the shards as allowances.

A zero in a limit leaves that resource without one. A team's book is what this
daemon knows of the team's document in the store; allowances.py changes it.
"""

import dataclasses

from mimosaridge_core import documents
from mimosaridge_core import resources

UNLIMITED = 1 << 60


@dataclasses.dataclass(slots=True)
class Book:
    """What a daemon knows of one team's allowances.

    Attributes:
        document: The document as last read or written.
        revision: Its revision in the store.
        loaded: Whether it is up to date as far as is known.
        pending: A document whose write has not been confirmed.
        busy: Whether a call to the store is on its way.
        live: Sum of the parts of all shards that exist.
        wanted: What a waiting task needs, by own shard.
        asked: What peers need, by daemon.
        look_at: When it is looked at next, seconds since the epoch.
        over_since: Since when the parts exceed the limit; 0 if they don't.
        vanished: When shards that no longer exist were first missed.
    """

    document: documents.Allowances = dataclasses.field(
        default_factory=documents.Allowances
    )
    revision: int = 0
    loaded: bool = False
    pending: documents.Allowances | None = None
    busy: bool = False
    live: resources.Resources = resources.ZERO
    wanted: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    asked: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    look_at: float = 0.0
    over_since: float = 0.0
    vanished: dict[str, float] = dataclasses.field(default_factory=dict)


def _bound(limit: int) -> int:
    return limit or UNLIMITED


def bounds(limit: resources.Resources) -> resources.Resources:
    """Returns a limit with a very large amount where there is none."""
    return resources.Resources(
        _bound(limit.cpu_millis),
        _bound(limit.memory_mib),
        _bound(limit.accelerators),
        _bound(limit.slots),
        _bound(limit.connections),
    )


def limits_more(new: resources.Resources, old: resources.Resources) -> bool:
    """Tells whether a resource is limited that had no limit before."""
    pairs = zip(dataclasses.astuple(new), dataclasses.astuple(old), strict=True)
    return any(after and not before for after, before in pairs)


def within(amount: resources.Resources, limit: resources.Resources) -> bool:
    """Tells whether an amount keeps a limit."""
    return amount.fits(bounds(limit))


def total(
    document: documents.Allowances, shards: frozenset[str] | None = None
) -> resources.Resources:
    """Returns the sum of all parts, or of the named shards' parts."""
    return resources.total(
        [
            part.amount
            for name, part in document.parts.items()
            if shards is None or name in shards
        ]
    )


def part_in_force(
    book: Book, shard: str, epoch: int, since: int
) -> resources.Resources | None:
    """Returns what a shard's owner may run, or None if it has no part yet.

    Args:
        book: The team's book.
        shard: The shard.
        epoch: The owner's epoch.
        since: Configuration that last limited another resource.
    """
    part = book.document.parts.get(shard)
    if part is None or part.epoch != epoch or part.number < since:
        return None
    if book.pending is None:
        return part.amount
    coming = book.pending.parts.get(shard)
    if coming is None:
        return None
    return part.amount.at_most(coming.amount)


def permits(
    book: Book,
    limit: resources.Resources,
    part: resources.Resources,
    use: resources.Resources,
) -> bool:
    """Tells whether a shard's use keeps its part, and all parts the limit.

    Args:
        book: The team's book.
        limit: The team's upper limit.
        part: The shard's part.
        use: What the shard would run.
    """
    bound = bounds(limit)
    if not book.live.fits(bound):
        return False
    return use.fits(unlimited_where(limit, part))


def unlimited_where(
    limit: resources.Resources, part: resources.Resources
) -> resources.Resources:
    """Returns a part, with a very large amount where there is no limit."""
    return resources.Resources(
        part.cpu_millis if limit.cpu_millis else UNLIMITED,
        part.memory_mib if limit.memory_mib else UNLIMITED,
        part.accelerators if limit.accelerators else UNLIMITED,
        part.slots if limit.slots else UNLIMITED,
        part.connections if limit.connections else UNLIMITED,
    )
