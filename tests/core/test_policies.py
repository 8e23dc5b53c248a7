"""Scheduling policies and what each adds to its predecessor."""

import copy

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import fairness
from mimosaridge_core import messages
from mimosaridge_core import policies
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

ONE_CORE = resources.Resources(cpu_millis=1000, slots=1)


def _deployment(policy, zones=1, daemons=1, slots=2, shares=(1.0, 1.0)):
    config = deployments.team_config(
        [
            configuration.Team(name, "north", share)
            for name, share in zip("ab", shares, strict=True)
        ]
    )
    config.policy = policy
    config.shards_per_zone = 1
    hosts = fleets.small(zones=zones, per_zone=1, slots=slots)
    deployment = deployments.Deployment(hosts, config, daemons=daemons)
    assert deployment.run_until(deployment.ready, 10.0)
    deployment.run_s = lambda task: None
    return deployment


def _set_zones_out(deployment, zones):
    config = copy.deepcopy(deployment.daemons["d0"].config)
    config.number += 1
    config.zones_out = zones
    deployment.store._set("config", config, "")


def _starts(deployment, zone):
    return sorted(
        (at, task_id.partition("/")[0])
        for worker in deployment.workers.values()
        if worker.host.zone == zone
        for at, task_id, _ in worker.starts
    )


class RegistryTest(testtools.TestCase):
    """Policies by the names that operators configure."""

    def test_an_unknown_name_selects_the_default(self):
        deployment = _deployment("no such policy")
        chosen = policies.active(deployment.daemons["d0"])
        self.assertIs(policies.REGISTRY[policies.DEFAULT], chosen)

    def test_every_policy_starts_work_that_fits(self):
        for name in policies.REGISTRY:
            deployment = _deployment(name)
            work_id, _ = deployment.submit(
                "d0", "a", needs=ONE_CORE, idempotent=True
            )
            deployment.run(1.0)
            self.assertEqual(work_id, _starts(deployment, "z0")[0][1], name)

    def test_first_in_first_out_keeps_the_order_of_arrival(self):
        deployment = _deployment("first-in-first-out")
        deployment.submit("d0", "a", needs=ONE_CORE, idempotent=True)
        deployment.run(0.5)
        large = resources.Resources(cpu_millis=4000, slots=1)
        deployment.submit("d0", "a", needs=large, idempotent=True)
        deployment.run(0.5)
        urgency = works.Urgency.URGENT
        deployment.submit(
            "d0", "b", needs=ONE_CORE, idempotent=True, urgency=urgency
        )
        deployment.run(2.0)
        self.assertEqual(1, len(_starts(deployment, "z0")))


class ShareTest(testtools.TestCase):
    """Which team's task gets freed capacity."""

    def test_fleet_share_counts_use_in_shards_of_peers(self):
        deployment = _deployment("fleet-share")
        st = deployment.daemons["d0"]
        (shard,) = st.shards.values()
        claim_before = fairness.fleet_claim(st, shard, "a")
        peer = state.Member("d9", "", "z9", 0.0)
        peer.summaries["shard-z9-0"] = messages.ShardSummary(
            "shard-z9-0", "z9", 1, True, 0, [], {"a": ONE_CORE}
        )
        st.members["d9"] = peer
        self.assertEqual(0.0, claim_before)
        self.assertEqual(0.5, fairness.fleet_claim(st, shard, "a"))
        self.assertEqual(0.0, fairness.claim_on_share(st, shard, "a"))

    def _next_started(self, policy):
        deployment = _deployment(policy)
        options = {"idempotent": True, "needs": ONE_CORE}
        for _ in range(2):
            deployment.submit("d0", "a", **options)
        deployment.run(1.0)
        normal, _ = deployment.submit("d0", "a", **options)
        background, _ = deployment.submit(
            "d0", "b", urgency=works.Urgency.BACKGROUND, **options
        )
        deployment.run(1.0)
        (worker,) = deployment.workers.values()
        deployment._report(worker, worker.end(next(iter(worker.runs)), True))
        deployment.run(1.0)
        names = {normal: "normal", background: "background"}
        return names[_starts(deployment, "z0")[2][1]]

    def test_team_order_puts_a_teams_share_before_urgency(self):
        self.assertEqual("background", self._next_started("team-order"))
        self.assertEqual("normal", self._next_started("worker-health"))


class ZoneTest(testtools.TestCase):
    """Zones that are taken out of use and returned."""

    def _queued_after_zone_out(self, policy):
        deployment = _deployment(policy, zones=2, slots=2)
        for _ in range(8):
            deployment.submit("d0", "a", needs=ONE_CORE, idempotent=True)
            deployment.run(0.2)
        deployment.run(2.0)
        _set_zones_out(deployment, ["z0"])
        deployment.run(1.0)
        return len(deployment.daemons["d0"].shards["shard-z0-0"].queue)

    def test_no_task_stays_queued_in_a_zone_that_is_taken_out(self):
        self.assertEqual(0, self._queued_after_zone_out("zone-return"))
        self.assertEqual(0, self._queued_after_zone_out("fleet-share"))
        self.assertEqual(0, self._queued_after_zone_out("best-fit"))

    def _starts_in_first_second(self, policy):
        deployment = _deployment(policy, zones=2, slots=16)
        _set_zones_out(deployment, ["z0"])
        deployment.run(1.0)
        small = resources.Resources(cpu_millis=250, slots=1)
        for _ in range(30):
            deployment.submit(
                "d0", "a", needs=small, idempotent=True, within_s=60.0
            )
        deployment.run(2.0)
        returned_at = deployment.now
        _set_zones_out(deployment, [])
        deployment.run(10.0)
        starts = _starts(deployment, "z0")
        self.assertEqual(14, len(starts))
        return sum(1 for at, _ in starts if at < returned_at + 1.0)

    def test_ramp_increases_starts_in_a_returned_zone_gradually(self):
        self.assertGreater(5, self._starts_in_first_second("ramp"))
        self.assertEqual(14, self._starts_in_first_second("team-order"))


class SpreadTest(testtools.TestCase):
    """Distribution of service replicas across zones."""

    def _replicas_per_zone(self, policy):
        deployment = _deployment(policy, zones=3, daemons=2, slots=8)
        deployment.run(2.0)
        config = copy.deepcopy(deployment.daemons["d0"].config)
        config.number += 1
        config.services["watch"] = configuration.Service(
            "watch", "a", 9, ONE_CORE
        )
        deployment.store._set("config", config, "")
        deployment.run(5.0)
        return sorted(len(_starts(deployment, f"z{zone}")) for zone in range(3))

    def test_spread_balances_replicas_across_zones(self):
        self.assertEqual([3, 3, 3], self._replicas_per_zone("spread"))
        self.assertNotEqual([3, 3, 3], self._replicas_per_zone("preemption"))
