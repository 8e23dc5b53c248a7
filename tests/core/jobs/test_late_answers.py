"""Answers about a former incarnation of a worker that was held again since."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


def _hold_back(world, kind):
    """Runs until an order of this type is sent; it reaches no worker yet."""
    execute, held_back = world.execute, []

    def hold_back(number, effect):
        if isinstance(effect, kind):
            held_back.append(effect)
            return
        execute(number, effect)

    world.execute = hold_back
    for _ in range(200):
        if held_back:
            break
        world.run(jobclusters.TICK_S)
    world.execute = execute
    return held_back


class OtherIncarnationTest(testtools.TestCase):
    """An answer says that another worker is at the address.

    The worker was held again since the call was made.
    """

    def _world(self):
        world = jobclusters.Cluster(workers=1)
        world.claim(0)
        world.run(1.0)
        world.submit("j1", model.Step(1, CORE, 60.0))
        return world

    def _restart_and_answer(self, world, execute, order):
        """Restarts the worker, starts tasks on it and answers the call."""
        world.restart_worker("w0")
        world.submit("j2", model.Step(2, CORE, 60.0))
        world.run(0.2)
        worker = world.workers["w0"]
        started = set(worker.running)
        self.assertEqual(2, len(started))
        world.add_worker("w1")
        world.run(0.3)
        order.address = "w0:81"
        execute(0, order, world.now, worker)()
        world.run(3.0)
        self.assertEqual([], world.violations)
        self.assertLessEqual(started, set(worker.running))

    def test_a_late_answer_to_a_start_does_not_end_runs_that_go_on(self):
        world = self._world()
        (order,) = _hold_back(world, effects.Start)
        self._restart_and_answer(world, world.calls.start, order)

    def test_a_late_answer_to_a_stop_does_not_end_runs_that_go_on(self):
        world = self._world()
        (start,) = _hold_back(world, effects.Start)
        time_out = world.calls.start(0, start, world.now, None)
        world.schedule(jobclusters.TICK_S, time_out)
        world.schedule(jobclusters.TICK_S / 2, lambda: world.cancel("j1"))
        (order,) = _hold_back(world, effects.Stop)
        self._restart_and_answer(world, world.calls.stop, order)


class FormerStopTest(testtools.TestCase):
    """A stop was acknowledged by an incarnation that has ended since."""

    def _stop_and_restart(self, late_s):
        """The next incarnation carries out a start that was not answered."""
        world = jobclusters.Cluster(workers=1)
        world.claim(0)
        world.run(1.0)
        world.submit("j1", model.Step(1, CORE, 60.0))
        (order,) = _hold_back(world, effects.Start)
        world.calls.start(0, order, world.now, None)()
        (run,) = world.daemons[0].owner.workers["w0"].runs.values()
        while not run.acknowledged_at:
            world.run(jobclusters.TICK_S)
        world.restart_worker("w0")
        world.add_worker("w1")
        worker = world.workers["w0"]
        world.schedule(late_s, lambda: world.calls.start_run(order, worker))
        return world

    def test_a_stop_that_a_former_incarnation_acknowledged_proves_nothing(self):
        for late_s in (0.04, 0.3, 1.0):
            world = self._stop_and_restart(late_s)
            world.run(5.0)
            self.assertEqual([], world.violations, late_s)
            running = [
                worker.entry.worker_id
                for worker in world.workers.values()
                if worker.running
            ]
            self.assertEqual(1, len(running), late_s)
