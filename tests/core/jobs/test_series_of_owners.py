"""Rules beside changes of owner that follow each other."""

import dataclasses

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)
LIMIT = resources.Resources(4000, 0, 0)


class SeriesOfOwnersTest(testtools.TestCase):
    """An owner ends soon after it has displaced another one."""

    def _displace_and_take_over(self):
        """Daemon 0 reaches w0, which no later owner has reached yet."""
        world = jobclusters.Cluster(daemons=3, workers=1)
        world.add_worker("w1", backend="other")
        world.add_worker("w2")
        before = world.configuration(version=2, upper_limit=LIMIT)
        queue = before.queues[jobclusters.QUEUE]
        other = dataclasses.replace(queue, name="other", backend="other")
        queues = {**before.queues, "other": other}
        world.configure(dataclasses.replace(before, queues=queues))
        world.run(jobclusters.CONFIGURATION_APPLY_S)
        world.claim(0)
        world.run(1.0)
        world.workers["w0"].is_reachable = False
        world.claim(1)
        world.run(jobclusters.TICK_S)
        world.frozen.add(1)
        world.claim(2, is_former_gone=True)
        world.workers["w0"].is_reachable = True
        world.run(2 * jobclusters.TICK_S)
        return world

    def test_starts_of_an_owner_displaced_before_the_last_do_not_run_twice(
        self,
    ):
        world = self._displace_and_take_over()
        world.submit("j1", model.Step(4, CORE, 10.0))
        world.run(6.0)
        self.assertEqual([], world.violations)

    def test_starts_of_an_owner_displaced_before_the_last_count(self):
        world = self._displace_and_take_over()
        world.submit("j1", model.Step(4, CORE, 10.0))
        world.submit(
            "j2", model.Step(4, CORE, 10.0), queue="other", backend="other"
        )
        world.run(6.0)
        self.assertEqual([], world.violations)
