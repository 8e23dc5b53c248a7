"""Expiry of waiting tasks, held room and worker leases at a shard's owner."""

import heapq

from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import ownership
from mimosaridge_core import scheduling
from mimosaridge_core import settling
from mimosaridge_core import shardworkers
from mimosaridge_core import state
from mimosaridge_core import works


@dispatch.every_tick
def _expire_all(st: state.State, out: list) -> None:
    for shard in st.shards.values():
        shard.acknowledged.expire(st.now)
        _resend_ended(st, shard, out)
        _expire_waiting(st, shard, out)
        _expire_held(st, shard, out)
        _expire_leases(st, shard, out)


def _resend_ended(st: state.State, shard: state.Shard, out: list) -> None:
    for ended in shard.ended.values():
        if ended.until <= st.now and ended.update.outcome.answer:
            ended.update.outcome = works.Outcome(
                ended.update.outcome.code,
                "Its home did not confirm the answer in time; the answer is"
                " not stored.",
            )
            settling.send_forget(shard, ended, out)
        if ended.resend_at <= st.now:
            settling.send_outcome(st, ended, out)


def _expire_waiting(st: state.State, shard: state.Shard, out: list) -> None:
    for waiting in shard.queue.pop_expired(st.now):
        outcome = works.Outcome(
            codes.Code.DEADLINE_PASSED,
            f"The task waited in {shard.name} until its deadline passed.",
        )
        if waiting.task.start_before > st.now:
            outcome = works.Outcome(
                codes.Code.NO_ROOM, f"{shard.name} has no free room to reserve."
            )
        settling.settle(
            st, shard, waiting.task, works.Phase.NOT_RUN, outcome, "", out
        )


def _expire_held(st: state.State, shard: state.Shard, out: list) -> None:
    has_freed_room = False
    while shard.holds and shard.holds[0][0] <= st.now:
        _, key = heapq.heappop(shard.holds)
        worker = shard.workers.get(shard.placed_on.get(key, ""))
        if worker is None or worker.placed[key].phase != works.Phase.HELD:
            continue
        placed = shardworkers.release(shard, worker, key)
        settling.settle_cancelled(st, shard, placed.task, out)
        has_freed_room = True
    if has_freed_room:
        scheduling.schedule(st, shard, out)


def _expire_leases(st: state.State, shard: state.Shard, out: list) -> None:
    if not ownership.may_own(st, shard):
        return
    for worker in shard.workers.values():
        if worker.claimed and worker.reachable or worker.owned_elsewhere:
            continue
        if worker.lease_ends >= st.now:
            continue
        for key, placed in list(worker.placed.items()):
            shardworkers.release(shard, worker, key)
            if placed.orphaned:
                continue
            if placed.phase == works.Phase.HELD:
                settling.settle_cancelled(st, shard, placed.task, out)
                continue
            outcome = works.Outcome(
                codes.Code.UNKNOWN,
                f"Worker {worker.host.worker_id} is lost; its lease expired.",
            )
            settling.settle(
                st,
                shard,
                placed.task,
                works.Phase.UNKNOWN,
                outcome,
                "",
                out,
            )
