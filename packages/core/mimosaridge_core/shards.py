"""Taking and giving up a shard."""

from mimosaridge_core import effects
from mimosaridge_core import rooms
from mimosaridge_core import state


def acquire(st: state.State, name: str, epoch: int, out: list) -> None:
    """Takes a shard under an epoch and claims its workers."""
    shard = st.shards.get(name)
    if shard is None:
        zone = name.removeprefix(rooms.PREFIX).rpartition("-")[0]
        shard = state.Shard(name, zone, epoch)
        st.shards[name] = shard
    shard.epoch = epoch
    shard.releasing = False
    for worker in shard.workers.values():
        worker.heard = False
        rooms.reindex(shard, worker)
        _claim_worker(st, shard, worker, out)
    sync_workers(st, shard, out)


def sync_workers(st: state.State, shard: state.Shard, out: list) -> None:
    """Brings the shard's workers in line with the host list."""
    for host in st.hosts.values():
        if rooms.shard_of(host, st.config.shards_per_zone) != shard.name:
            continue
        worker = shard.workers.get(host.worker_id)
        if worker is None:
            worker = state.Worker(host, host.capacity)
            shard.workers[host.worker_id] = worker
            _claim_worker(st, shard, worker, out)
        worker.host = host
        worker.leaving = worker.leaving or host.leaving
        rooms.reindex(shard, worker)
    rooms.count_capacity(shard)


def _claim_worker(
    st: state.State, shard: state.Shard, worker: state.Worker, out: list
) -> None:
    worker.lease_ends = lease_end(st, st.now)
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
