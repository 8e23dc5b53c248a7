"""The check of the simulated cluster that no task runs twice."""

import dataclasses

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


class TwiceCheckTest(testtools.TestCase):
    """Runs that the check must report, or must not."""

    def _world(self, **fields):
        """Returns a cluster whose task j1.0.0.0 has ended, unacknowledged."""
        world = jobclusters.Cluster(daemons=1, workers=2)
        world.claim(0)
        world.run(1.0)
        world.faults.is_store_down = True
        world.submit("j1", model.Step(1, CORE, 0.3, **fields))
        world.run(1.5)
        return world

    def _start_again(self, world):
        (first,) = world.starts
        (other,) = (w for w in world.workers if w != first.worker_id)
        order = dataclasses.replace(
            first,
            worker_id=other,
            run=first.run + 1,
            start_before_ms=int(world.now * 1000) + 1000,
            incarnation=world.daemons[0].owner.workers[other].incarnation,
        )
        world.calls.start_run(order, world.workers[other])
        return first

    def _acknowledge(self, world, first):
        address = world.workers[first.worker_id].entry.address
        hold = effects.Hold(
            first.worker_id, address, first.token, 1, 0, 0, first.incarnation
        )
        world.execute(0, hold)
        world.run(0.05)

    def test_an_end_acknowledged_after_the_second_start(self):
        world = self._world()
        first = self._start_again(world)
        self.assertEqual([], world.violations)
        self._acknowledge(world, first)
        (violation,) = world.violations
        self.assertIn("TWICE after done j1.0.0.0", violation)

    def test_a_lease_that_lapsed_before_the_acknowledgement(self):
        world = self._world()
        first = self._start_again(world)
        worker = world.workers[first.worker_id]
        worker.advance(worker.lease_until)
        self._acknowledge(world, first)
        self.assertEqual([], world.violations)

    def test_a_speculative_step(self):
        world = self._world(speculative=True)
        self._acknowledge(world, self._start_again(world))
        self.assertEqual([], world.violations)

    def test_two_runs_at_once_that_no_start_showed(self):
        world = jobclusters.Cluster(daemons=1, workers=2)
        world.claim(0)
        world.run(1.0)
        world.submit("j1", model.Step(1, CORE, 30.0))
        world.run(0.5)
        (first,) = world.starts
        (run,) = world.workers[first.worker_id].running.values()
        for worker in world.workers.values():
            again = dataclasses.replace(run, run=run.run + 1)
            worker.running.setdefault((run.task_id, again.run), again)
        world.run(0.1)
        self.assertIn("TWICE at once j1.0.0.0", world.violations[0])
