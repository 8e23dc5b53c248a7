"""Answers to calls of a former ownership of the same daemon."""

import testtools

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_fakes import jobclusters


class FormerOwnershipTest(testtools.TestCase):
    """A daemon that is the owner again."""

    def test_a_former_write_does_not_confirm_a_write_in_flight(self):
        world = jobclusters.Cluster(daemons=1, workers=1)
        world.claim(0)
        former = self._capture_write(world)
        world.claim(0)
        current = self._capture_write(world)
        world.deliver(
            0, events.ProgressWritten(world.now, former.batch, {}, True)
        )
        self.assertEqual([current.batch], list(world.daemons[0].owner.writes))
        world.deliver(
            0, events.ProgressWritten(world.now, current.batch, {}, True)
        )
        self.assertEqual({}, world.daemons[0].owner.writes)

    def _capture_write(self, world):
        """Returns the owner's first write, which stays without answer."""
        written = []
        world.store.write = lambda number, effect: written.append(effect)
        world.run(0.1)
        self.assertIsInstance(written[0], effects.WriteProgress)
        return written[0]
