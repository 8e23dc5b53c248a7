"""Acquires, suspends and drops shards and keeps their workers up to date."""

from mimosaridge_core import account
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import ownership
from mimosaridge_core import scheduling
from mimosaridge_core import shardworkers
from mimosaridge_core import state
from mimosaridge_core import summaries

UNLISTED_RETENTION_LEASES = 3


def acquire(st: state.State, name: str, epoch: int, out: list) -> None:
    """Acquires a shard under an epoch and claims its workers."""
    shard = st.shards.get(name)
    if shard is None:
        zone = name.removeprefix(shardworkers.PREFIX).rpartition("-")[0]
        shard = state.Shard(name, zone, epoch)
        st.shards[name] = shard
    shard.epoch = epoch
    shard.releasing = False
    shard.suspended = False
    _claim_all(st, shard, out)
    sync_workers(st, shard, out)


def _claim_all(st: state.State, shard: state.Shard, out: list) -> None:
    for worker in shard.workers.values():
        worker.claimed = False
        worker.reachable = False
        worker.owned_elsewhere = False
        shardworkers.update_index(shard, worker)
        _claim_worker(st, shard, worker, out)


def sync_workers(st: state.State, shard: state.Shard, out: list) -> None:
    """Updates the shard's workers from the host list."""
    members = _members(st, shard)
    for host in members.values():
        worker = shard.workers.get(host.worker_id)
        if worker is None:
            worker = state.Worker(host, host.capacity)
            shard.workers[host.worker_id] = worker
            _claim_worker(st, shard, worker, out)
        worker.free = worker.free + host.capacity - worker.host.capacity
        worker.host = host
        worker.leaving = worker.leaving or host.leaving
    for worker_id, worker in list(shard.workers.items()):
        worker.listed = worker_id in members and worker_id in st.hosts
        worker.out_of_service = worker_id in st.config.workers_out
        shardworkers.update_index(shard, worker)
    shardworkers.update_capacities(shard)


def _members(st: state.State, shard: state.Shard) -> dict[str, events.Host]:
    """Returns the shard's workers that are or recently were listed, by id."""
    unlisted = {name: item.host for name, item in st.unlisted.items()}
    return {
        name: host
        for name, host in (unlisted | st.hosts).items()
        if shardworkers.shard_of(host, st.config.shards_per_zone) == shard.name
    }


def retain_unlisted(st: state.State, hosts: list[events.Host]) -> None:
    """Retains workers that left the host list, as they may still run tasks."""
    listed = {host.worker_id for host in hosts}
    until = st.now + UNLISTED_RETENTION_LEASES * st.tuning.worker_lease_s
    for worker_id, host in st.hosts.items():
        if worker_id not in listed:
            st.unlisted[worker_id] = state.Unlisted(host, until)
    st.unlisted = {
        worker_id: item
        for worker_id, item in st.unlisted.items()
        if worker_id not in listed and item.until > st.now
    }


def merge_unlisted(st: state.State, summary: messages.ShardSummary) -> None:
    """Records unlisted workers that still run tasks, as an owner reports."""
    until = st.now + UNLISTED_RETENTION_LEASES * st.tuning.worker_lease_s
    for host in summary.unlisted:
        if host.worker_id not in st.hosts:
            st.unlisted[host.worker_id] = state.Unlisted(host, until)


@dispatch.every_tick
def _update_shards(st: state.State, out: list) -> None:
    for shard in st.shards.values():
        _drop_unlisted(st, shard, out)
        may_own = ownership.may_own(st, shard)
        if shard.suspended and may_own:
            shard.suspended = False
            _claim_all(st, shard, out)
        elif not may_own and not shard.suspended:
            _suspend(st, shard, out)
        was_open = shard.open
        shard.open = ownership.may_start(st, shard)
        if shard.open and not was_open:
            scheduling.schedule(st, shard, out)


def _drop_unlisted(st: state.State, shard: state.Shard, out: list) -> None:
    """Drops workers that left the host list once they run no tasks."""
    for worker_id, worker in list(shard.workers.items()):
        if worker.listed or worker.placed or worker.owned_elsewhere:
            continue
        known = summaries.is_fully_reported(st, worker)
        needed = any(
            item.worker_id == worker_id for item in shard.ended.values()
        )
        if known and not needed:
            shard.index.drop(worker.host.endpoint, worker_id)
            shard.unclaimed.discard(worker_id)
            del shard.workers[worker_id]
            shardworkers.update_capacities(shard)
            st.unlisted.pop(worker_id, None)
            out.append(effects.DropWorker(worker_id))


def _suspend(st: state.State, shard: state.Shard, out: list) -> None:
    """Stops renewing task leases, as another daemon may own the shard now."""
    shard.suspended = True
    for worker_id, worker in shard.workers.items():
        worker.claimed = False
        worker.reachable = False
        worker.lease_ends = lease_end(st, st.now + st.tuning.worker_poll_s)
        shardworkers.update_index(shard, worker)
        out.append(effects.DropWorker(worker_id))
    state.log_decision(
        st,
        out,
        account.Rule.OWNERSHIP,
        f"{st.name} reaches neither the store nor all daemons:"
        f" {shard.name} is suspended.",
        epoch=shard.epoch,
    )


def _claim_worker(
    st: state.State, shard: state.Shard, worker: state.Worker, out: list
) -> None:
    """Claims a worker whose previous owner may still renew its leases."""
    tuning = st.tuning
    last_renewal = st.now + tuning.member_timeout_s + tuning.worker_poll_s
    worker.lease_ends = max(worker.lease_ends, lease_end(st, last_renewal))
    out.append(
        effects.ClaimWorker(
            worker.host.worker_id,
            worker.host.url,
            shard.epoch,
            st.tuning.worker_lease_s,
        )
    )


def lease_end(st: state.State, renewed_at: float) -> float:
    """Returns when leases last renewed at a time have certainly expired.

    Both times are in seconds since the epoch.
    """
    tuning = st.tuning
    return renewed_at + tuning.worker_lease_s + tuning.lease_margin_s


def drop(st: state.State, name: str, out: list) -> None:
    """Drops a shard; its next owner learns its state from the workers."""
    shard = st.shards.pop(name)
    for worker_id in shard.workers:
        out.append(effects.DropWorker(worker_id))
