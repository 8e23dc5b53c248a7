"""Workers that end and come back by turns."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobworlds

CORE = resources.Resources(1000, 100, 0)


def _world():
    world = jobworlds.World(workers=2)
    world.claim(0)
    world.run(0.2)
    return world


class FlappingTest(testtools.TestCase):
    """A worker whose lives are short gets no starts for a while."""

    def _starts_after(self, ends, wait_s):
        """Returns the workers of starts after a worker's lives ended."""
        world = _world()
        for _ in range(ends):
            world.restart_worker("w0")
            world.run(1.4)
        world.run(wait_s)
        world.submit("j1", model.Step(6, CORE, 0.3))
        world.run(0.2)
        return {start.worker_id for start in world.starts}

    def test_a_worker_that_ended_once_is_used_at_once(self):
        self.assertIn("w0", self._starts_after(1, 0.0))

    def test_a_worker_that_flaps_is_not_used(self):
        self.assertEqual({"w1"}, self._starts_after(3, 0.0))

    def test_a_worker_that_flapped_is_used_again(self):
        self.assertIn("w0", self._starts_after(3, 6.0))
