"""Starts on workers that restart repeatedly."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


def _world():
    world = jobclusters.Cluster(workers=2)
    world.claim(0)
    world.run(0.2)
    return world


class FlappingTest(testtools.TestCase):
    """A flapping worker gets no starts for a few seconds."""

    def _workers_started_on(self, restarts, wait_s):
        """Returns the workers that get starts after restarts of one."""
        world = _world()
        for _ in range(restarts):
            world.restart_worker("w0")
            world.run(1.4)
        world.run(wait_s)
        world.submit("j1", model.Step(6, CORE, 0.3))
        world.run(0.2)
        return {start.worker_id for start in world.starts}

    def test_a_worker_that_restarted_once_gets_starts_at_once(self):
        self.assertIn("w0", self._workers_started_on(1, 0.0))

    def test_a_flapping_worker_gets_no_starts(self):
        self.assertEqual({"w1"}, self._workers_started_on(3, 0.0))

    def test_a_worker_that_stopped_flapping_gets_starts_again(self):
        self.assertIn("w0", self._workers_started_on(3, 6.0))
