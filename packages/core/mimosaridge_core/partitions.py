"""Which daemon holds each shard and bucket.

A partition's key in the store goes with its owner's lease. The store revision
of the swap that made the key is the owner's epoch, so epochs only grow.
"""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import buckets
from mimosaridge_core import dispatch
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import hashing
from mimosaridge_core import ledgers
from mimosaridge_core import messages
from mimosaridge_core import outcomes
from mimosaridge_core import scheduling
from mimosaridge_core import shards
from mimosaridge_core import shardworkers
from mimosaridge_core import state

CHECK_S = 0.1
RENEWALS_PER_LEASE = 3


@dataclasses.dataclass(slots=True)
class ClaimSent:
    """A claim of a partition is on its way.

    Attributes:
        partition: The partition.
        lease_id: Store lease that the key goes with.
    """

    partition: str
    lease_id: str


@dataclasses.dataclass(slots=True)
class ReleaseSent:
    """The release of a partition is on its way."""

    partition: str
    heir: str


@dataclasses.dataclass(slots=True)
class ReadBack:
    """A claim's answer was lost; the key is being read."""

    partition: str


@dataclasses.dataclass(slots=True)
class Registered:
    """The daemon's own entry is on its way."""


def preferred_owner(partition: str, live: tuple[str, ...]) -> str:
    """Returns the daemon that should hold a partition; empty if none lives.

    Source: rendezvous hashing (Thaler and Ravishankar, 1998).
    """
    return max(
        live,
        key=lambda name: hashing.stable_hash(f"{name}/{partition}"),
        default="",
    )


def _holds(st: state.State, partition: str) -> bool:
    return partition in st.shards or partition in st.buckets


def _epoch(st: state.State, partition: str) -> int:
    held = st.shards.get(partition) or st.buckets.get(partition)
    return held.epoch if held else 0


def _pending(st: state.State, partition: str) -> bool:
    return any(
        getattr(operation, "partition", "") == partition
        for operation in st.operations.values()
    )


@dispatch.when_configured
@dispatch.when_hosts_listed
def rename(st: state.State, out: list) -> None:
    """Derives the partitions from the host list and the configuration."""
    names = {
        shardworkers.shard_of(host, st.config.shards_per_zone)
        for host in st.hosts.values()
    }
    numbers = range(st.tuning.buckets)
    bucket_names = (buckets.bucket_name(number) for number in numbers)
    st.partition_names = (*sorted(names), *bucket_names)
    for shard in st.shards.values():
        shards.sync_workers(st, shard, out)
        scheduling.schedule(st, shard, out)


@dispatch.every_tick
def _keep_lease(st: state.State, out: list) -> None:
    if st.now < st.renew_at:
        return
    ttl_s = st.tuning.store_lease_s
    st.renew_at = st.now + ttl_s / RENEWALS_PER_LEASE
    out.append(effects.RenewLease(st.lease_id, ttl_s))


@dispatch.handles(events.LeaseAnswered)
def _lease(st: state.State, event: events.LeaseAnswered, out: list) -> None:
    if event.result == "lost":
        st.lease_id = ""
        st.renew_at = 0.0
        st.lease_until = 0.0
    elif event.result == "ok":
        st.lease_until = event.asked_at + st.tuning.store_lease_s
        if event.lease_id != st.lease_id:
            st.lease_id = event.lease_id
            _register(st, out)


def _register(st: state.State, out: list) -> None:
    number = st.next_number()
    st.operations[number] = Registered()
    key = documents.DAEMONS + st.name
    value = documents.Daemon(st.name, st.url, st.zone)
    out.append(effects.StoreWrite(number, key, value, -1, leased=True))


@dispatch.answers(Registered)
def _registered(
    st: state.State,
    operation: Registered,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "unknown" and st.lease_id:
        _register(st, out)


@dispatch.every_tick
def _check(st: state.State, out: list) -> None:
    if st.now < st.partitions_at or not st.lease_id or not st.listed:
        return
    st.partitions_at = st.now + CHECK_S
    settled = st.now - st.live_since >= st.tuning.settle_s
    for partition in st.partition_names:
        owner = preferred_owner(partition, st.live)
        view = st.views.get(partition)
        if _pending(st, partition):
            continue
        if st.draining:
            if _holds(st, partition) or _is_mine(st, view):
                _release(st, partition, _heir(st, partition), out)
        elif view is None:
            if _holds(st, partition) or owner == st.name and settled:
                _claim(st, partition, 0, out)
        elif _is_mine(st, view) and not _is_leased(st, partition):
            _claim(st, partition, view.epoch, out)
        elif _holds(st, partition) and owner != st.name and settled:
            _release(st, partition, owner, out)


def _heir(st: state.State, partition: str) -> str:
    """Returns the daemon that takes a partition from this one."""
    others = tuple(name for name in st.live if name != st.name)
    return preferred_owner(partition, others)


def _is_mine(st: state.State, view: state.View | None) -> bool:
    return view is not None and view.owner == st.name


def _is_leased(st: state.State, partition: str) -> bool:
    """Tells whether a partition is held and goes with the present lease."""
    held = st.shards.get(partition) or st.buckets.get(partition)
    return held is not None and held.lease_id == st.lease_id


def _claim(st: state.State, partition: str, expected: int, out: list) -> None:
    """Claims a partition that is free, or its own again under a new epoch."""
    number = st.next_number()
    st.operations[number] = ClaimSent(partition, st.lease_id)
    key = documents.PARTITIONS + partition
    value = documents.Ownership(st.name)
    out.append(effects.StoreWrite(number, key, value, expected, leased=True))


def claim_again(st: state.State, partition: str, out: list) -> None:
    """Asks for a newer epoch: a worker has heard one that is newer still."""
    view = st.views.get(partition)
    if _is_mine(st, view) and not st.draining and not _pending(st, partition):
        _claim(st, partition, view.epoch, out)


@dispatch.answers(ClaimSent)
def _claimed(
    st: state.State,
    operation: ClaimSent,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "ok":
        held = operation.lease_id
        _acquire(st, operation.partition, event.revision, held, out)
    elif event.result == "unknown":
        number = st.next_number()
        st.operations[number] = ReadBack(operation.partition)
        key = documents.PARTITIONS + operation.partition
        out.append(effects.StoreRead(number, key))


@dispatch.answers(ReadBack)
def _read_back(
    st: state.State,
    operation: ReadBack,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result != "ok" or event.value is None:
        return
    known = st.views.get(operation.partition)
    if known is None or known.epoch < event.revision:
        st.views[operation.partition] = state.View(
            event.value.owner, event.revision
        )


def _acquire(
    st: state.State, partition: str, epoch: int, lease_id: str, out: list
) -> None:
    view = st.views.get(partition)
    newest = max(
        _epoch(st, partition),
        st.released.get(partition, 0),
        view.epoch if view and view.owner != st.name else 0,
    )
    if epoch <= newest:
        return
    st.views[partition] = state.View(st.name, epoch)
    state.note(
        st,
        out,
        account.Rule.OWNERSHIP,
        f"{st.name} now holds {partition}.",
        epoch=epoch,
    )
    if partition.startswith(shardworkers.PREFIX):
        shards.acquire(st, partition, epoch, out)
        st.shards[partition].lease_id = lease_id
    else:
        ledgers.acquire(st, partition, epoch, out)
        st.buckets[partition].lease_id = lease_id


def _release(st: state.State, partition: str, heir: str, out: list) -> None:
    if partition in st.buckets:
        bucket = st.buckets[partition]
        bucket.releasing = True
        if bucket.dirty or bucket.writing or not bucket.loaded:
            return
        if outcomes.keeps_untold(st, partition):
            return
    elif partition in st.shards:
        st.shards[partition].releasing = True
    number = st.next_number()
    st.operations[number] = ReleaseSent(partition, heir)
    key = documents.PARTITIONS + partition
    view = st.views.get(partition)
    epoch = _epoch(st, partition) or view.epoch
    out.append(effects.StoreWrite(number, key, None, epoch))


@dispatch.answers(ReleaseSent)
def _released(
    st: state.State,
    operation: ReleaseSent,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "unknown":
        return
    drop(st, operation.partition, out)
    if event.result == "ok" and operation.heir not in ("", st.name):
        released = messages.Released(operation.partition)
        out.append(effects.SendPeer(operation.heir, released))


@dispatch.receives(messages.Released)
def _peer_released(
    st: state.State, sender: str, message: messages.Released, out: list
) -> None:
    """Takes what a peer has given up for this daemon, without settling."""
    partition = message.partition
    view = st.views.get(partition)
    if view is not None and view.owner == sender:
        st.released[partition] = max(st.released.get(partition, 0), view.epoch)
        del st.views[partition]
    free = partition not in st.views and not _pending(st, partition)
    if free and st.lease_id and not st.draining:
        _claim(st, partition, 0, out)


def _freed(st: state.State, partition: str) -> int:
    """Returns the revision up to which a partition not in view is free."""
    return max(st.released.get(partition, 0), st.listed_revision)


def hear_epochs(
    st: state.State, sender: str, epochs: dict[str, int], out: list
) -> None:
    """Takes a peer's word on what it holds, unless something newer is known."""
    for partition, epoch in epochs.items():
        known = st.views.get(partition)
        if epoch <= _freed(st, partition):
            continue
        if known is None or known.epoch < epoch:
            st.views[partition] = state.View(sender, epoch)
            if 0 < _epoch(st, partition) < epoch:
                drop(st, partition, out)


def drop(st: state.State, partition: str, out: list) -> None:
    """Forgets a partition that this daemon held."""
    if not _holds(st, partition):
        return
    view = st.views.get(partition)
    if view is not None and view.owner == st.name:
        del st.views[partition]
    state.note(
        st,
        out,
        account.Rule.OWNERSHIP,
        f"{st.name} no longer holds {partition}.",
        epoch=_epoch(st, partition),
    )
    if partition in st.shards:
        shards.drop(st, partition, out)
    else:
        ledgers.drop(st, partition, out)


@dispatch.watches(documents.PARTITIONS)
def _ownership_changed(
    st: state.State, event: events.StoreChanged, out: list
) -> None:
    st.partitions_at = 0.0
    partition = event.key.removeprefix(documents.PARTITIONS)
    view = st.views.get(partition)
    if event.value is None:
        st.released[partition] = event.revision
        if view is not None and view.epoch < event.revision:
            del st.views[partition]
        return
    if view is None or view.epoch < event.revision:
        st.views[partition] = state.View(event.value.owner, event.revision)
    newer = event.revision > _epoch(st, partition)
    if event.value.owner != st.name and newer and _holds(st, partition):
        drop(st, partition, out)


@dispatch.handles(events.DrainAsked)
def _drain(st: state.State, event: events.DrainAsked, out: list) -> None:
    st.draining = True
    st.drain_at = st.drain_at or st.now
    st.heartbeat_at = 0.0
    st.partitions_at = 0.0


@dispatch.every_tick
def _finish_drain(st: state.State, out: list) -> None:
    if not st.draining or st.waiters:
        return
    held = [*st.shards, *st.buckets]
    silent = st.store_heard_at < st.now - st.tuning.stale_config_s
    if held and silent and st.drain_at + st.tuning.drain_s <= st.now:
        for partition in held:
            drop(st, partition, out)
        held = []
    if not held:
        out.append(effects.Shutdown())
