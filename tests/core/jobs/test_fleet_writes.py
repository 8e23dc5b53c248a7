"""Writes of the fleet whose result is unknown."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


class FleetWriteTest(testtools.TestCase):
    """Workers that were closed for starts open again."""

    def test_workers_closed_by_an_unconfirmed_write_are_not_closed_for_good(
        self,
    ):
        world = jobclusters.Cluster(workers=3)
        world.claim(0)
        world.run(1)
        world.faults.is_store_down = True
        for worker in world.workers.values():
            worker.is_reachable = False
        world.run(2)
        for worker in world.workers.values():
            worker.is_reachable = True
        world.run(2)
        world.faults.is_store_down = False
        world.run(1)
        world.submit("j1", model.Step(3, CORE, 0.5))
        world.run(5)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual([], world.violations)
