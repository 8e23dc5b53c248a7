"""Owners that can't know whether they still are, case by case."""

import copy

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


def _deployment(zones: int = 2) -> deployments.Deployment:
    config = deployments.team_config([configuration.Team("a", "north")])
    config.shards_per_zone = 1
    made = deployments.Deployment(fleets.small(zones, 2, 8), config)
    assert made.run_until(made.ready, 15.0)
    made.run_s = lambda task: 120.0
    return made


def _owner(made: deployments.Deployment, worker_id: str) -> str:
    return next(
        name
        for name, daemon in made.daemons.items()
        for shard in daemon.shards.values()
        if worker_id in shard.workers
    )


class TenureTest(testtools.TestCase):
    """What an owner does once it is cut off."""

    def test_a_cut_off_owner_lets_leases_lapse_before_tasks_start_again(self):
        made = _deployment()
        made.submit("d0", "a", kind=works.Kind.BATCH, count=20, within_s=300)
        made.run(2.0)
        owner = _owner(made, "w0-0")
        others = [name for name in made.daemons if name != owner]
        for other in ("store", *others):
            made.cut(owner, other)
        for other in others:
            made.cut(other, "w0-0")
            made.cut(other, "w0-1")
        made.run(90.0)
        self.assertEqual([], made.duplicate_starts)
        moved = sum(
            attempt > 1
            for worker in made.workers.values()
            for _, _, attempt in worker.starts
        )
        self.assertGreater(moved, 0)

    def test_a_cut_off_owner_starts_nothing_in_a_zone_taken_out(self):
        made = _deployment()
        owner = _owner(made, "w0-0")
        for other in ("store", *made.daemons):
            if other != owner:
                made.cut(owner, other)
                made.cut(other, "w0-0")
                made.cut(other, "w0-1")
        made.run(2.0)
        config = copy.deepcopy(made.store.items["config"].value)
        config.number += 1
        config.zones_out = ["z0"]
        made.change_config(config)
        out_at = made.now
        made.run_s = lambda task: 0.1
        for _ in range(60):
            made.submit(owner, "a", idempotent=True)
            made.run(0.3)
        late = [
            start
            for worker in made.workers.values()
            for start in worker.starts
            if worker.host.zone == "z0" and start[0] > out_at + 6.0
        ]
        self.assertEqual([], late)

    def test_placement_goes_on_through_an_outage_that_all_see(self):
        made = _deployment()
        made.store.down = True
        made.run_s = lambda task: 0.1
        made.run(120.0)
        _, handle = made.submit("d0", "a", idempotent=True)
        made.run(2.0)
        self.assertEqual(codes.Code.OK, made.replies[("d0", handle)].code)

    def test_a_killed_owner_does_not_stop_the_others_in_an_outage(self):
        made = _deployment(zones=4)
        made.store.down = True
        made.run(20.0)
        killed = _owner(made, "w0-0")
        kept = next(name for name in made.daemons if name != killed)
        self.assertTrue(any(made.daemons[kept].shards))
        made.kill(killed)
        made.run_s = lambda task: 0.1
        made.run(20.0)
        replies = []
        for _ in range(10):
            _, handle = made.submit(kept, "a", idempotent=True)
            made.run(1.0)
            reply = made.replies.get((kept, handle))
            replies.append(reply is not None and reply.code == codes.Code.OK)
        self.assertNotIn(False, replies)

    def test_a_claim_whose_answer_was_lost_is_held_in_the_end(self):
        made = _deployment()
        made.store.lose_answers = 6
        made.kill("d1")
        self.assertTrue(made.run_until(made.ready, 30.0))

    def test_a_released_shard_is_held_again_within_a_second(self):
        made = _deployment()
        owner = _owner(made, "w0-0")
        made.drain(owner)
        self.assertTrue(
            made.run_until(lambda: owner in made.stopped, 3.0),
            made.daemons[owner].shards,
        )
        del made.daemons[owner]
        self.assertTrue(made.run_until(made.ready, 1.0))

    def test_a_daemon_drains_while_the_store_is_down(self):
        made = _deployment()
        made.store.down = True
        made.drain("d0")
        self.assertTrue(made.run_until(lambda: "d0" in made.stopped, 15.0))

    def test_a_worker_that_left_the_list_keeps_its_task_over_a_takeover(self):
        made = _deployment()
        made.submit("d0", "a", kind=works.Kind.BATCH, count=20, within_s=300)
        made.run(2.0)
        owner = _owner(made, "w0-0")
        made.set_host_listed("w0-0", False)
        made.run(70.0)
        made.kill(owner)
        made.run(60.0)
        self.assertEqual([], made.duplicate_starts)
