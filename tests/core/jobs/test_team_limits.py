"""Upper limits of teams, also beside a change of owner."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)
LIMIT = resources.Resources(4000, 0, 0)


def _world(limit=LIMIT, **options):
    world = jobclusters.Cluster(**options)
    world.configure(world.configuration(version=2, upper_limit=limit))
    world.claim(0)
    world.run(0.2)
    return world


def _running(world):
    return sum(
        len(worker.running) for worker in world.workers.values() if worker.is_up
    )


class CheckTest(testtools.TestCase):
    """The simulated cluster's check of upper limits."""

    def test_a_start_above_the_limit_is_recorded(self):
        world = _world()
        world.run(jobclusters.CONFIGURATION_APPLY_S)
        # Only the daemon gets the higher limit.
        raised = world.configuration(version=3)
        world.deliver(0, events.ConfigurationChanged(world.now, raised))
        world.submit("j1", model.Step(5, CORE, 5.0))
        world.run(0.5)
        self.assertEqual(1, len(world.violations))
        self.assertIn("QUOTA j1.0.0.", world.violations[0])

    def test_the_largest_limit_that_may_be_in_force_counts(self):
        world = _world()
        world.run(jobclusters.CONFIGURATION_APPLY_S)
        lower = resources.Resources(2000, 0, 0)
        world.submit("j1", model.Step(4, CORE, 5.0))
        world.run(jobclusters.TICK_S)
        world.configure(world.configuration(version=3, upper_limit=lower))
        world.run(0.5)
        self.assertEqual(4, _running(world))
        self.assertEqual([], world.violations)
