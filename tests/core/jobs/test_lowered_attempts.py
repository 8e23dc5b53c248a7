"""A configuration allows fewer attempts than tasks have used up."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


class LoweredAttemptsTest(testtools.TestCase):
    """The first run of a task has failed; the limit drops from 4 to 1."""

    def _world(self):
        world = jobclusters.Cluster(daemons=1, workers=1)
        world.configure(world.configuration(2, max_attempts=4))
        world.claim(0)
        world.run(0.5)
        world.faults.failed_run_share = 1.0
        world.submit("j1", model.Step(1, CORE, 1.5))
        world.run(0.2)
        world.faults.failed_run_share = 0.0
        return world

    def _take_out(self, world, *zones):
        event = events.ZonesOutChanged(world.now, frozenset(zones))
        world.deliver(0, event)

    def test_a_waiting_task_without_attempts_does_not_start_again(self):
        world = self._world()
        self._take_out(world, "zone-a")
        world.run(2.0)
        world.configure(world.configuration(3, max_attempts=1))
        world.run(0.5)
        self._take_out(world)
        world.run(3.0)
        self.assertEqual(1, len(world.starts))
        self.assertEqual(model.JobState.FAILED, world.state_of("j1"))

    def test_a_task_that_runs_may_still_succeed(self):
        world = self._world()
        while len(world.starts) < 2:
            world.run(0.1)
        self.assertEqual(model.JobState.RUNNING, world.state_of("j1"))
        world.configure(world.configuration(3, max_attempts=1))
        world.run(3.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
