"""Upper limits of teams and their division among the shards as allowances.

A zero in a limit means that the resource is unlimited. This daemon caches each
team's allowance document from the store; allowances.py updates the cache.
"""

import dataclasses

from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import resources

UNLIMITED = 1 << 60


@dataclasses.dataclass(slots=True)
class AllowanceCache:
    """A daemon's cached view of one team's allowances.

    Attributes:
        document: The document as last read or written.
        revision: The document's revision in the store.
        loaded: Whether the document is current as far as is known.
        pending: A document whose write has not been confirmed.
        store_call_active: Whether a call to the store is in flight.
        live_total: Sum of the parts of all shards that exist.
        shard_needs: Needs of a waiting task, by own shard.
        asked: Needs that peers asked for, by daemon.
        next_check_at: When the next check is due, seconds since the epoch.
        over_limit_since: When the parts were first found to exceed the limit,
            seconds since the epoch; 0 if they don't exceed it.
        missing_since: When shards that no longer exist were first found
            missing, seconds since the epoch, by shard.
    """

    document: documents.Allowances = dataclasses.field(
        default_factory=documents.Allowances
    )
    revision: int = 0
    loaded: bool = False
    pending: documents.Allowances | None = None
    store_call_active: bool = False
    live_total: resources.Resources = resources.ZERO
    shard_needs: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    asked: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    next_check_at: float = 0.0
    over_limit_since: float = 0.0
    missing_since: dict[str, float] = dataclasses.field(default_factory=dict)


def _bound(limit: int) -> int:
    return limit or UNLIMITED


def bounds(limit: resources.Resources) -> resources.Resources:
    """Returns a limit with UNLIMITED in place of zeros."""
    return resources.Resources(
        _bound(limit.cpu_millis),
        _bound(limit.memory_mib),
        _bound(limit.accelerators),
        _bound(limit.slots),
        _bound(limit.connections),
    )


def adds_limit(new: resources.Resources, old: resources.Resources) -> bool:
    """Returns whether a resource is limited that had no limit before."""
    pairs = zip(dataclasses.astuple(new), dataclasses.astuple(old), strict=True)
    return any(after and not before for after, before in pairs)


def within(amount: resources.Resources, limit: resources.Resources) -> bool:
    """Returns whether an amount is within a limit."""
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


def first_valid_number(
    team: configuration.Team, document: documents.Allowances
) -> int:
    """Returns the lowest configuration number at which parts are valid.

    Parts of earlier configurations may not cover the tasks that were running.
    0 if the parts of every configuration are valid.
    """
    return max(team.limited_since, document.since)


def effective_part(
    cache: AllowanceCache, shard: str, epoch: int, team: configuration.Team
) -> resources.Resources | None:
    """Returns what a shard's owner may use, or None if it has no valid part.

    Args:
        cache: The team's cached allowances.
        shard: The shard's name.
        epoch: The owner's epoch.
        team: The team.
    """
    part = cache.document.parts.get(shard)
    if part is None or part.epoch != epoch:
        return None
    if part.number < first_valid_number(team, cache.document):
        return None
    if cache.pending is None:
        return part.amount
    pending_part = cache.pending.parts.get(shard)
    if pending_part is None:
        return None
    return part.amount.at_most(pending_part.amount)


def permits(
    cache: AllowanceCache,
    limit: resources.Resources,
    part: resources.Resources,
    use: resources.Resources,
) -> bool:
    """Returns whether usage fits a shard's part, and all parts fit the limit.

    Args:
        cache: The team's cached allowances.
        limit: The team's upper limit.
        part: The shard's part.
        use: The usage that the shard would have.
    """
    bound = bounds(limit)
    if not cache.live_total.fits(bound):
        return False
    return use.fits(with_unlimited(limit, part))


def with_unlimited(
    limit: resources.Resources, part: resources.Resources
) -> resources.Resources:
    """Returns a part with UNLIMITED for resources that have no limit."""
    return resources.Resources(
        part.cpu_millis if limit.cpu_millis else UNLIMITED,
        part.memory_mib if limit.memory_mib else UNLIMITED,
        part.accelerators if limit.accelerators else UNLIMITED,
        part.slots if limit.slots else UNLIMITED,
        part.connections if limit.connections else UNLIMITED,
    )
