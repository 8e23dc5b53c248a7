"""Durations derived from the platform's time limits."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import timing
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


class TimingTest(testtools.TestCase):
    """Leases, and when to stop runs or treat them as stalled."""

    def test_a_short_lease_is_renewed_before_it_expires(self):
        bounds = model.Bounds(longest_lease_s=0.6)
        world = jobclusters.Cluster(workers=1)
        for number in range(len(world.daemons)):
            world.daemons[number].bounds = bounds
        for worker in world.workers.values():
            worker.longest_lease_s = bounds.longest_lease_s
        world.claim(0)
        world.run(0.2)
        world.submit("j1", model.Step(2, CORE, 4.0))
        world.run(6)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual(2, len(world.starts))

    def test_a_lease_is_never_longer_than_granted(self):
        bounds = model.Bounds(longest_lease_s=2.5)
        self.assertEqual(2.5, timing.lease_s(bounds))
        self.assertLess(timing.hold_wait_ms(bounds), 1000)

    def test_a_slow_stop_is_requested_earlier(self):
        quick = timing.stop_lead_s(model.Bounds(stop_s=0.4))
        slow = timing.stop_lead_s(model.Bounds(stop_s=3.0))
        self.assertLess(quick, slow)
        self.assertGreater(slow, 3.0)

    def test_a_slow_restore_is_not_a_stall(self):
        bounds = model.Bounds(restore_s=2.0)
        self.assertGreater(timing.stall_timeout_s(bounds), 2.0)
        self.assertGreater(timing.startup_grace_s(bounds), 2.0)

    def test_changed_limits_apply_but_never_shorten_the_lease(self):
        world = jobclusters.Cluster()
        changed = model.Bounds(longest_lease_s=3.0, stop_s=0.2)
        world.deliver(0, events.BoundsChanged(world.now, changed))
        self.assertEqual(0.2, world.daemons[0].bounds.stop_s)
        self.assertEqual(6.0, world.daemons[0].bounds.longest_lease_s)
