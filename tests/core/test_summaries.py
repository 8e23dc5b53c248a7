"""Shard summaries compared with a scan of all workers."""

import hypothesis
from hypothesis import strategies
import testtools

from mimosaridge_core import events
from mimosaridge_core import resources
from mimosaridge_core import shards
from mimosaridge_core import shardworkers
from mimosaridge_core import state
from mimosaridge_core import summaries
from mimosaridge_core import works
from mimosaridge_fakes import daemons

ENDPOINTS = ("registry", "actuarial")
AMOUNTS = strategies.integers(0, 3)
NEEDS = strategies.builds(
    resources.Resources, AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS
)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 3),
        strategies.sampled_from(("take", "give", "hear", "lose", "leave")),
        NEEDS,
    ),
    max_size=40,
)


def _make_shard():
    st = daemons.make_state()
    st.hosts = {
        f"w{number}": events.Host(
            f"w{number}",
            "",
            "z",
            "r",
            ENDPOINTS[number % 2],
            resources.Resources(9 + number, 9, 9, 9, 9),
        )
        for number in range(4)
    }
    st.config.shards_per_zone = 1
    shard = state.Shard("shard-z-0", "z", 1)
    shards.sync_workers(st, shard, [])
    return st, shard


def _expected(shard):
    expected = {}
    for worker in shard.workers.values():
        free, widest_free = expected.setdefault(
            worker.host.endpoint, (resources.ZERO, resources.ZERO)
        )
        if summaries.accepts_tasks(worker):
            free = free + worker.free
            widest_free = summaries.widest(widest_free, worker.free)
        expected[worker.host.endpoint] = (free, widest_free)
    return expected


class SummaryTest(testtools.TestCase):
    """Incremental updates of a shard's summary."""

    @hypothesis.given(STEPS)
    def test_summary_equals_a_scan_of_all_workers(self, steps):
        st, shard = _make_shard()
        for number, (position, step, needs) in enumerate(steps):
            worker = shard.workers[f"w{position}"]
            if step == "take":
                task = daemons.make_task(f"t{number}", needs)
                placed = state.Placed(task, works.Phase.RUNNING)
                shardworkers.allocate(shard, worker, placed)
            elif step == "give" and worker.placed:
                shardworkers.release(shard, worker, next(iter(worker.placed)))
            elif step == "hear":
                worker.claimed = worker.reachable = True
            elif step == "lose":
                worker.claimed = not worker.claimed
            elif step == "leave":
                worker.leaving = not worker.leaving
            shardworkers.update_index(shard, worker)
            summary = summaries.summarize(st, shard)
            summarized = {
                room.endpoint: (room.free, room.widest_free)
                for room in summary.rooms
            }
            self.assertEqual(_expected(shard), summarized)
            unclaimed = any(
                not other.claimed for other in shard.workers.values()
            )
            self.assertEqual(not unclaimed, summary.ready)
