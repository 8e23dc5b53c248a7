"""An owner that does not know the configuration yet."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


class WithoutConfigurationTest(testtools.TestCase):
    """Runs that end as failed in the meantime."""

    def _take_over_without_configuration(self, max_attempts):
        """A daemon that has just started takes over; the first run fails."""
        world = jobclusters.Cluster(workers=1)
        world.configure(
            world.configuration(version=2, max_attempts=max_attempts)
        )
        world.claim(0)
        world.run(1.0)
        world.faults.failed_run_share = 1.0
        world.submit("j1", model.Step(1, CORE, 0.5))
        world.run(0.1)
        world.faults.failed_run_share = 0.0
        world.frozen.add(0)
        world.daemons[1] = state.State(now=world.now, wall=world.now)
        entries = {
            worker_id: worker.entry
            for worker_id, worker in world.workers.items()
        }
        world.deliver(1, events.WorkersListed(world.now, entries))
        world.claim(1)
        world.run(3.0)
        configuration = world.configurations[-1][1]
        world.deliver(1, events.ConfigurationChanged(world.now, configuration))
        world.run(3.0)
        return world

    def test_a_task_that_failed_starts_again(self):
        world = self._take_over_without_configuration(max_attempts=2)
        self.assertEqual(2, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_a_task_without_attempts_does_not_start_again(self):
        world = self._take_over_without_configuration(max_attempts=1)
        self.assertEqual(1, len(world.starts))
        self.assertEqual(model.JobState.FAILED, world.state_of("j1"))
