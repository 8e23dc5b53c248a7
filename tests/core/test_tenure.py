"""Shard owners that cannot confirm that they still own their shards."""

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
    deployment = deployments.Deployment(fleets.small(zones, 2, 8), config)
    assert deployment.run_until(deployment.ready, 15.0)
    deployment.run_s = lambda task: 120.0
    return deployment


def _owner_of(deployment: deployments.Deployment, worker_id: str) -> str:
    return next(
        name
        for name, daemon in deployment.daemons.items()
        for shard in daemon.shards.values()
        if worker_id in shard.workers
    )


class TenureTest(testtools.TestCase):
    """Owners and claims during isolation, store outages and drains."""

    def test_leases_of_an_isolated_owner_expire_before_tasks_restart(self):
        deployment = _deployment()
        deployment.submit(
            "d0", "a", kind=works.Kind.BATCH, count=20, within_s=300
        )
        deployment.run(2.0)
        owner = _owner_of(deployment, "w0-0")
        others = [name for name in deployment.daemons if name != owner]
        for other in ("store", *others):
            deployment.cut(owner, other)
        for other in others:
            deployment.cut(other, "w0-0")
            deployment.cut(other, "w0-1")
        deployment.run(90.0)
        self.assertEqual([], deployment.duplicate_starts)
        restarted = sum(
            attempt > 1
            for worker in deployment.workers.values()
            for _, _, attempt in worker.starts
        )
        self.assertGreater(restarted, 0)

    def test_isolated_owner_starts_nothing_in_a_zone_taken_out(self):
        deployment = _deployment()
        owner = _owner_of(deployment, "w0-0")
        for other in ("store", *deployment.daemons):
            if other != owner:
                deployment.cut(owner, other)
                deployment.cut(other, "w0-0")
                deployment.cut(other, "w0-1")
        deployment.run(2.0)
        config = copy.deepcopy(deployment.store.items["config"].value)
        config.number += 1
        config.zones_out = ["z0"]
        deployment.change_config(config)
        taken_out_at = deployment.now
        deployment.run_s = lambda task: 0.1
        for _ in range(60):
            deployment.submit(owner, "a", idempotent=True)
            deployment.run(0.3)
        late_starts = [
            start
            for worker in deployment.workers.values()
            for start in worker.starts
            if worker.host.zone == "z0" and start[0] > taken_out_at + 6.0
        ]
        self.assertEqual([], late_starts)

    def test_placement_continues_through_a_store_outage(self):
        deployment = _deployment()
        deployment.store.down = True
        deployment.run_s = lambda task: 0.1
        deployment.run(120.0)
        _, handle = deployment.submit("d0", "a", idempotent=True)
        deployment.run(2.0)
        self.assertEqual(codes.Code.OK, deployment.replies[("d0", handle)].code)

    def test_killed_owner_does_not_stop_the_others_in_an_outage(self):
        deployment = _deployment(zones=4)
        deployment.store.down = True
        deployment.run(20.0)
        killed = _owner_of(deployment, "w0-0")
        survivor = next(name for name in deployment.daemons if name != killed)
        self.assertTrue(any(deployment.daemons[survivor].shards))
        deployment.kill(killed)
        deployment.run_s = lambda task: 0.1
        deployment.run(20.0)
        replies = []
        for _ in range(10):
            _, handle = deployment.submit(survivor, "a", idempotent=True)
            deployment.run(1.0)
            reply = deployment.replies.get((survivor, handle))
            replies.append(reply is not None and reply.code == codes.Code.OK)
        self.assertNotIn(False, replies)

    def test_claim_whose_answer_was_lost_is_held_eventually(self):
        deployment = _deployment()
        deployment.store.lose_answers = 6
        deployment.kill("d1")
        self.assertTrue(deployment.run_until(deployment.ready, 30.0))

    def test_released_shard_is_held_again_within_a_second(self):
        deployment = _deployment()
        owner = _owner_of(deployment, "w0-0")
        deployment.drain(owner)
        self.assertTrue(
            deployment.run_until(lambda: owner in deployment.stopped, 3.0),
            deployment.daemons[owner].shards,
        )
        del deployment.daemons[owner]
        self.assertTrue(deployment.run_until(deployment.ready, 1.0))

    def test_daemon_drains_while_the_store_is_down(self):
        deployment = _deployment()
        deployment.store.down = True
        deployment.drain("d0")
        self.assertTrue(
            deployment.run_until(lambda: "d0" in deployment.stopped, 15.0)
        )

    def test_unlisted_worker_keeps_its_tasks_through_a_takeover(self):
        deployment = _deployment()
        deployment.submit(
            "d0", "a", kind=works.Kind.BATCH, count=20, within_s=300
        )
        deployment.run(2.0)
        owner = _owner_of(deployment, "w0-0")
        deployment.set_host_listed("w0-0", False)
        deployment.run(70.0)
        deployment.kill(owner)
        deployment.run(60.0)
        self.assertEqual([], deployment.duplicate_starts)
