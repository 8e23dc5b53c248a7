"""Ownership of partitions, that is of shards and buckets.

A partition's key in the store is bound to its owner's lease. The store revision
of the compare-and-swap that created the key is the owner's epoch, so epochs
only grow.
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

CHECK_INTERVAL_S = 0.1
RENEWALS_PER_LEASE = 3


@dataclasses.dataclass(slots=True)
class ClaimWrite:
    """A pending write that claims a partition.

    Attributes:
        partition: The partition.
        lease_id: Store lease that the key is bound to.
    """

    partition: str
    lease_id: str


@dataclasses.dataclass(slots=True)
class ReleaseWrite:
    """A pending write that releases a partition.

    Attributes:
        partition: The partition.
        successor: Daemon expected to claim it next; empty if none.
    """

    partition: str
    successor: str


@dataclasses.dataclass(slots=True)
class ClaimRead:
    """A pending read of a partition's key after a claim with unknown result."""

    partition: str


@dataclasses.dataclass(slots=True)
class Registration:
    """A pending write of the daemon's own entry."""


def preferred_owner(partition: str, live: tuple[str, ...]) -> str:
    """Returns the daemon that should own a partition; empty if none is live.

    Source: rendezvous hashing (Thaler and Ravishankar, 1998).
    """
    return max(
        live,
        key=lambda name: hashing.stable_hash(f"{name}/{partition}"),
        default="",
    )


def _owns(st: state.State, partition: str) -> bool:
    return partition in st.shards or partition in st.buckets


def _epoch(st: state.State, partition: str) -> int:
    owned = st.shards.get(partition) or st.buckets.get(partition)
    return owned.epoch if owned else 0


def _has_pending_operation(st: state.State, partition: str) -> bool:
    return any(
        getattr(operation, "partition", "") == partition
        for operation in st.operations.values()
    )


@dispatch.when_configured
@dispatch.when_hosts_listed
def update_partitions(st: state.State, out: list) -> None:
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
def _renew_lease(st: state.State, out: list) -> None:
    if st.now < st.renew_at:
        return
    ttl_s = st.tuning.store_lease_s
    st.renew_at = st.now + ttl_s / RENEWALS_PER_LEASE
    out.append(effects.RenewLease(st.lease_id, ttl_s))


@dispatch.handles(events.LeaseAnswered)
def _lease_answered(
    st: state.State, event: events.LeaseAnswered, out: list
) -> None:
    if event.result == "lost":
        st.lease_id = ""
        st.renew_at = 0.0
        st.lease_until = 0.0
    elif event.result == "ok":
        st.lease_until = event.requested_at + st.tuning.store_lease_s
        if event.lease_id != st.lease_id:
            st.lease_id = event.lease_id
            _register(st, out)


def _register(st: state.State, out: list) -> None:
    number = st.next_number()
    st.operations[number] = Registration()
    key = documents.DAEMONS + st.name
    value = documents.Daemon(st.name, st.url, st.zone)
    out.append(effects.StoreWrite(number, key, value, -1, leased=True))


@dispatch.handles_store_answer(Registration)
def _registration_answered(
    st: state.State,
    operation: Registration,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "unknown" and st.lease_id:
        _register(st, out)


@dispatch.every_tick
def _balance_partitions(st: state.State, out: list) -> None:
    if st.now < st.partitions_at or not st.lease_id or not st.listed:
        return
    st.partitions_at = st.now + CHECK_INTERVAL_S
    stable = st.now - st.live_since >= st.tuning.settle_s
    for partition in st.partition_names:
        owner = preferred_owner(partition, st.live)
        known = st.known_owners.get(partition)
        if _has_pending_operation(st, partition):
            continue
        if st.draining:
            if _owns(st, partition) or _is_own(st, known):
                _release(st, partition, _successor(st, partition), out)
        elif known is None:
            if _owns(st, partition) or owner == st.name and stable:
                _claim(st, partition, 0, out)
        elif _is_own(st, known) and not _is_leased(st, partition):
            _claim(st, partition, known.epoch, out)
        elif _owns(st, partition) and owner != st.name and stable:
            _release(st, partition, owner, out)


def _successor(st: state.State, partition: str) -> str:
    """Returns the daemon that should own a partition after this one."""
    others = tuple(name for name in st.live if name != st.name)
    return preferred_owner(partition, others)


def _is_own(st: state.State, known: state.KnownOwner | None) -> bool:
    return known is not None and known.owner == st.name


def _is_leased(st: state.State, partition: str) -> bool:
    """Returns whether a partition is owned under the current lease."""
    owned = st.shards.get(partition) or st.buckets.get(partition)
    return owned is not None and owned.lease_id == st.lease_id


def _claim(st: state.State, partition: str, expected: int, out: list) -> None:
    """Claims a free partition, or an own one again under a new epoch."""
    number = st.next_number()
    st.operations[number] = ClaimWrite(partition, st.lease_id)
    key = documents.PARTITIONS + partition
    value = documents.Ownership(st.name)
    out.append(effects.StoreWrite(number, key, value, expected, leased=True))


def reclaim(st: state.State, partition: str, out: list) -> None:
    """Claims a newer epoch after a worker reported one above this daemon's."""
    known = st.known_owners.get(partition)
    if (
        _is_own(st, known)
        and not st.draining
        and not _has_pending_operation(st, partition)
    ):
        _claim(st, partition, known.epoch, out)


@dispatch.handles_store_answer(ClaimWrite)
def _claim_answered(
    st: state.State,
    operation: ClaimWrite,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "ok":
        lease_id = operation.lease_id
        _acquire(st, operation.partition, event.revision, lease_id, out)
    elif event.result == "unknown":
        number = st.next_number()
        st.operations[number] = ClaimRead(operation.partition)
        key = documents.PARTITIONS + operation.partition
        out.append(effects.StoreRead(number, key))


@dispatch.handles_store_answer(ClaimRead)
def _claim_read(
    st: state.State,
    operation: ClaimRead,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result != "ok" or event.value is None:
        return
    known = st.known_owners.get(operation.partition)
    if known is None or known.epoch < event.revision:
        st.known_owners[operation.partition] = state.KnownOwner(
            event.value.owner, event.revision
        )


def _acquire(
    st: state.State, partition: str, epoch: int, lease_id: str, out: list
) -> None:
    known = st.known_owners.get(partition)
    newest = max(
        _epoch(st, partition),
        st.released.get(partition, 0),
        known.epoch if known and known.owner != st.name else 0,
    )
    if epoch <= newest:
        return
    st.known_owners[partition] = state.KnownOwner(st.name, epoch)
    state.log_decision(
        st,
        out,
        account.Rule.OWNERSHIP,
        f"{st.name} now owns {partition}.",
        epoch=epoch,
    )
    if partition.startswith(shardworkers.PREFIX):
        shards.acquire(st, partition, epoch, out)
        st.shards[partition].lease_id = lease_id
    else:
        ledgers.acquire(st, partition, epoch, out)
        st.buckets[partition].lease_id = lease_id


def _release(
    st: state.State, partition: str, successor: str, out: list
) -> None:
    if partition in st.buckets:
        bucket = st.buckets[partition]
        bucket.releasing = True
        if bucket.dirty or bucket.writing or not bucket.loaded:
            return
        if outcomes.has_undelivered_answer(st, partition):
            return
    elif partition in st.shards:
        st.shards[partition].releasing = True
    number = st.next_number()
    st.operations[number] = ReleaseWrite(partition, successor)
    key = documents.PARTITIONS + partition
    known = st.known_owners.get(partition)
    epoch = _epoch(st, partition) or known.epoch
    out.append(effects.StoreWrite(number, key, None, epoch))


@dispatch.handles_store_answer(ReleaseWrite)
def _release_answered(
    st: state.State,
    operation: ReleaseWrite,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "unknown":
        return
    drop(st, operation.partition, out)
    if event.result == "ok" and operation.successor not in ("", st.name):
        released = messages.Released(operation.partition)
        out.append(effects.SendPeer(operation.successor, released))


@dispatch.receives(messages.Released)
def _peer_released(
    st: state.State, sender: str, message: messages.Released, out: list
) -> None:
    """Claims a partition that a peer released, without the settling delay."""
    partition = message.partition
    known = st.known_owners.get(partition)
    if known is not None and known.owner == sender:
        st.released[partition] = max(st.released.get(partition, 0), known.epoch)
        del st.known_owners[partition]
    free = partition not in st.known_owners and not _has_pending_operation(
        st, partition
    )
    if free and st.lease_id and not st.draining:
        _claim(st, partition, 0, out)


def _free_revision(st: state.State, partition: str) -> int:
    """Returns the store revision at which a partition was last seen free."""
    return max(st.released.get(partition, 0), st.listed_revision)


def merge_epochs(
    st: state.State, sender: str, epochs: dict[str, int], out: list
) -> None:
    """Records ownership that a peer reports unless a newer owner is known."""
    for partition, epoch in epochs.items():
        known = st.known_owners.get(partition)
        if epoch <= _free_revision(st, partition):
            continue
        if known is None or known.epoch < epoch:
            st.known_owners[partition] = state.KnownOwner(sender, epoch)
            if 0 < _epoch(st, partition) < epoch:
                drop(st, partition, out)


def drop(st: state.State, partition: str, out: list) -> None:
    """Drops the local state of a partition that this daemon owned."""
    if not _owns(st, partition):
        return
    known = st.known_owners.get(partition)
    if known is not None and known.owner == st.name:
        del st.known_owners[partition]
    state.log_decision(
        st,
        out,
        account.Rule.OWNERSHIP,
        f"{st.name} no longer owns {partition}.",
        epoch=_epoch(st, partition),
    )
    if partition in st.shards:
        shards.drop(st, partition, out)
    else:
        ledgers.unload(st, partition, out)


@dispatch.watches(documents.PARTITIONS)
def _ownership_changed(
    st: state.State, event: events.StoreChanged, out: list
) -> None:
    st.partitions_at = 0.0
    partition = event.key.removeprefix(documents.PARTITIONS)
    known = st.known_owners.get(partition)
    if event.value is None:
        st.released[partition] = event.revision
        if known is not None and known.epoch < event.revision:
            del st.known_owners[partition]
        return
    if known is None or known.epoch < event.revision:
        st.known_owners[partition] = state.KnownOwner(
            event.value.owner, event.revision
        )
    newer = event.revision > _epoch(st, partition)
    if event.value.owner != st.name and newer and _owns(st, partition):
        drop(st, partition, out)


@dispatch.handles(events.DrainRequested)
def _drain_requested(
    st: state.State, event: events.DrainRequested, out: list
) -> None:
    st.draining = True
    st.drain_at = st.drain_at or st.now
    st.heartbeat_at = 0.0
    st.partitions_at = 0.0


@dispatch.every_tick
def _finish_drain(st: state.State, out: list) -> None:
    if not st.draining or st.waiters:
        return
    owned = [*st.shards, *st.buckets]
    unreachable = st.store_contact_at < st.now - st.tuning.stale_config_s
    if (
        owned
        and unreachable
        and st.drain_at + st.tuning.drain_timeout_s <= st.now
    ):
        for partition in owned:
            drop(st, partition, out)
        owned = []
    if not owned:
        out.append(effects.Shutdown())
