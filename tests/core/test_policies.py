"""Policies by name, and what each adds to the one before."""

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

ONE = resources.Resources(cpu_millis=1000, slots=1)


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
    made = deployments.Deployment(hosts, config, daemons=daemons)
    assert made.run_until(made.ready, 10.0)
    made.run_s = lambda task: None
    return made


def _set_zones_out(made, zones):
    config = copy.deepcopy(made.daemons["d0"].config)
    config.number += 1
    config.zones_out = zones
    made.store._set("config", config, "")


def _starts(made, zone):
    return sorted(
        (at, task_id.partition("/")[0])
        for worker in made.workers.values()
        if worker.host.zone == zone
        for at, task_id, _ in worker.starts
    )


class RegistryTest(testtools.TestCase):
    """The names that operators choose from."""

    def test_an_unknown_name_means_the_default(self):
        made = _deployment("no such policy")
        chosen = policies.active(made.daemons["d0"])
        self.assertIs(policies.REGISTRY[policies.DEFAULT], chosen)

    def test_every_policy_starts_what_fits(self):
        for name in policies.REGISTRY:
            made = _deployment(name)
            work_id, _ = made.submit("d0", "a", needs=ONE, idempotent=True)
            made.run(1.0)
            self.assertEqual(work_id, _starts(made, "z0")[0][1], name)

    def test_in_order_of_arrival_nothing_overtakes(self):
        made = _deployment("first-in-first-out")
        made.submit("d0", "a", needs=ONE, idempotent=True)
        made.run(0.5)
        large = resources.Resources(cpu_millis=4000, slots=1)
        made.submit("d0", "a", needs=large, idempotent=True)
        made.run(0.5)
        urgency = works.Urgency.URGENT
        made.submit("d0", "b", needs=ONE, idempotent=True, urgency=urgency)
        made.run(2.0)
        self.assertEqual(1, len(_starts(made, "z0")))


class ShareTest(testtools.TestCase):
    """Whose task takes room that becomes free."""

    def test_what_a_team_uses_in_peers_shards_counts(self):
        made = _deployment("fleet-share")
        st = made.daemons["d0"]
        (shard,) = st.shards.values()
        before = fairness.fleet_claim(st, shard, "a")
        peer = state.Member("d9", "", "z9", 0.0)
        peer.summaries["shard-z9-0"] = messages.ShardSummary(
            "shard-z9-0", "z9", 1, True, 0, [], {"a": ONE}
        )
        st.members["d9"] = peer
        self.assertEqual(0.0, before)
        self.assertEqual(0.5, fairness.fleet_claim(st, shard, "a"))
        self.assertEqual(0.0, fairness.claim_on_share(st, shard, "a"))

    def _second_start(self, policy):
        made = _deployment(policy)
        options = {"idempotent": True, "needs": ONE}
        for _ in range(2):
            made.submit("d0", "a", **options)
        made.run(1.0)
        normal, _ = made.submit("d0", "a", **options)
        background, _ = made.submit(
            "d0", "b", urgency=works.Urgency.BACKGROUND, **options
        )
        made.run(1.0)
        (worker,) = made.workers.values()
        made._report(worker, worker.end(next(iter(worker.runs)), True))
        made.run(1.0)
        names = {normal: "normal", background: "background"}
        return names[_starts(made, "z0")[2][1]]

    def test_a_teams_normal_work_does_not_pass_anothers_share(self):
        self.assertEqual("background", self._second_start("team-order"))
        self.assertEqual("normal", self._second_start("worker-health"))


class ZoneTest(testtools.TestCase):
    """A zone that is taken out and comes back."""

    def _waiting_after_leaving(self, policy):
        made = _deployment(policy, zones=2, slots=2)
        for _ in range(8):
            made.submit("d0", "a", needs=ONE, idempotent=True)
            made.run(0.2)
        made.run(2.0)
        _set_zones_out(made, ["z0"])
        made.run(1.0)
        return len(made.daemons["d0"].shards["shard-z0-0"].queue)

    def test_nothing_waits_in_a_zone_that_is_taken_out(self):
        self.assertEqual(0, self._waiting_after_leaving("zone-return"))
        self.assertEqual(0, self._waiting_after_leaving("fleet-share"))
        self.assertEqual(0, self._waiting_after_leaving("best-fit"))

    def _first_starts(self, policy):
        made = _deployment(policy, zones=2, slots=16)
        _set_zones_out(made, ["z0"])
        made.run(1.0)
        small = resources.Resources(cpu_millis=250, slots=1)
        for _ in range(30):
            made.submit("d0", "a", needs=small, idempotent=True, within_s=60.0)
        made.run(2.0)
        back = made.now
        _set_zones_out(made, [])
        made.run(10.0)
        starts = _starts(made, "z0")
        self.assertEqual(14, len(starts))
        return sum(1 for at, _ in starts if at < back + 1.0)

    def test_starts_in_a_zone_that_came_back_grow_step_by_step(self):
        self.assertGreater(5, self._first_starts("ramp"))
        self.assertEqual(14, self._first_starts("team-order"))


class SpreadTest(testtools.TestCase):
    """Replicas of a service over the zones."""

    def _replicas(self, policy):
        made = _deployment(policy, zones=3, daemons=2, slots=8)
        made.run(2.0)
        config = copy.deepcopy(made.daemons["d0"].config)
        config.number += 1
        config.services["watch"] = configuration.Service("watch", "a", 9, ONE)
        made.store._set("config", config, "")
        made.run(5.0)
        return sorted(len(_starts(made, f"z{zone}")) for zone in range(3))

    def test_a_service_has_as_many_replicas_in_each_zone(self):
        self.assertEqual([3, 3, 3], self._replicas("spread"))
        self.assertNotEqual([3, 3, 3], self._replicas("preemption"))
