"""Taking and giving up a shard."""

from mimosaridge_core import account
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import scheduling
from mimosaridge_core import shardworkers
from mimosaridge_core import state
from mimosaridge_core import summaries
from mimosaridge_core import tenure

UNLISTED_LEASES = 3


def acquire(st: state.State, name: str, epoch: int, out: list) -> None:
    """Takes a shard under an epoch and claims its workers."""
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
        worker.heard = False
        worker.reachable = False
        worker.displaced = False
        shardworkers.update_index(shard, worker)
        _claim_worker(st, shard, worker, out)


def sync_workers(st: state.State, shard: state.Shard, out: list) -> None:
    """Brings the shard's workers in line with the host list."""
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
        worker.set_aside = worker_id in st.config.workers_out
        shardworkers.update_index(shard, worker)
    shardworkers.update_capacities(shard)


def _members(st: state.State, shard: state.Shard) -> dict[str, events.Host]:
    """Returns the shard's workers that are listed or were until lately."""
    unlisted = {name: item.host for name, item in st.unlisted.items()}
    return {
        name: host
        for name, host in (unlisted | st.hosts).items()
        if shardworkers.shard_of(host, st.config.shards_per_zone) == shard.name
    }


def remember_unlisted(st: state.State, hosts: list[events.Host]) -> None:
    """Keeps workers that leave the host list: they may still run tasks."""
    listed = {host.worker_id for host in hosts}
    until = st.now + UNLISTED_LEASES * st.tuning.worker_lease_s
    for worker_id, host in st.hosts.items():
        if worker_id not in listed:
            st.unlisted[worker_id] = state.Unlisted(host, until)
    st.unlisted = {
        worker_id: item
        for worker_id, item in st.unlisted.items()
        if worker_id not in listed and item.until > st.now
    }


def hear_unlisted(st: state.State, summary: messages.ShardSummary) -> None:
    """Learns from an owner which unlisted workers still run tasks."""
    until = st.now + UNLISTED_LEASES * st.tuning.worker_lease_s
    for host in summary.unlisted:
        if host.worker_id not in st.hosts:
            st.unlisted[host.worker_id] = state.Unlisted(host, until)


@dispatch.every_tick
def _look_after(st: state.State, out: list) -> None:
    for shard in st.shards.values():
        _drop_unlisted(st, shard, out)
        may_own = tenure.may_own(st, shard)
        if shard.suspended and may_own:
            shard.suspended = False
            _claim_all(st, shard, out)
        elif not may_own and not shard.suspended:
            _suspend(st, shard, out)
        was_open = shard.open
        shard.open = tenure.may_start(st, shard)
        if shard.open and not was_open:
            scheduling.schedule(st, shard, out)


def _drop_unlisted(st: state.State, shard: state.Shard, out: list) -> None:
    """Drops workers that left the host list, once nothing runs on them."""
    for worker_id, worker in list(shard.workers.items()):
        if worker.listed or worker.placed or worker.displaced:
            continue
        known = summaries.is_known(st, worker)
        kept = any(item.worker_id == worker_id for item in shard.ended.values())
        if known and not kept:
            shard.index.drop(worker.host.endpoint, worker_id)
            shard.unheard.discard(worker_id)
            del shard.workers[worker_id]
            shardworkers.update_capacities(shard)
            st.unlisted.pop(worker_id, None)
            out.append(effects.DropWorker(worker_id))


def _suspend(st: state.State, shard: state.Shard, out: list) -> None:
    """Lets the task leases lapse: another daemon may own the shard by now."""
    shard.suspended = True
    for worker_id, worker in shard.workers.items():
        worker.heard = False
        worker.reachable = False
        worker.lease_ends = lease_end(st, st.now + st.tuning.worker_poll_s)
        shardworkers.update_index(shard, worker)
        out.append(effects.DropWorker(worker_id))
    state.note(
        st,
        out,
        account.Rule.OWNERSHIP,
        f"{st.name} hears neither the store nor all daemons:"
        f" {shard.name} is suspended.",
        epoch=shard.epoch,
    )


def _claim_worker(
    st: state.State, shard: state.Shard, worker: state.Worker, out: list
) -> None:
    """Claims a worker whose former owner may go on for a moment."""
    numbers = st.tuning
    last_call = st.now + numbers.member_timeout_s + numbers.worker_poll_s
    worker.lease_ends = max(worker.lease_ends, lease_end(st, last_call))
    out.append(
        effects.ClaimWorker(
            worker.host.worker_id,
            worker.host.url,
            shard.epoch,
            st.tuning.worker_lease_s,
        )
    )


def lease_end(st: state.State, renewed_at: float) -> float:
    """Returns when leases renewed at a time have surely ended."""
    numbers = st.tuning
    return renewed_at + numbers.worker_lease_s + numbers.lease_margin_s


def drop(st: state.State, name: str, out: list) -> None:
    """Forgets a shard; its next owner learns from the workers."""
    shard = st.shards.pop(name)
    for worker_id in shard.workers:
        out.append(effects.DropWorker(worker_id))
