"""Each shard's part of a team's upper limit."""

from mimosaridge_core import resources

UNLIMITED = 1 << 60


def _part(limit: int, parts: int, position: int) -> int:
    if limit == 0:
        return UNLIMITED
    whole, rest = divmod(limit, parts)
    return whole + (1 if position < rest else 0)


def allowance(
    limit: resources.Resources, shards: tuple[str, ...], shard: str
) -> resources.Resources:
    """Returns a shard's part; the parts of all shards sum to the limit."""
    if limit == resources.ZERO:
        return resources.Resources(*(UNLIMITED,) * 5)
    count = len(shards)
    position = shards.index(shard)
    return resources.Resources(
        _part(limit.cpu_millis, count, position),
        _part(limit.memory_mib, count, position),
        _part(limit.accelerators, count, position),
        _part(limit.slots, count, position),
        _part(limit.connections, count, position),
    )
