"""Leases that outlast the end that their owner computed."""

import functools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import timing
from mimosaridge_fakes import jobcalls
from mimosaridge_fakes import jobclusters
from mimosaridge_fakes import jobfaults

CORE = resources.Resources(1000, 100, 0)


def _hold_back(world, kind, is_wanted=lambda order: True):
    """Runs until an order of this type is sent; it reaches no worker yet."""
    execute, held_back = world.execute, []

    def hold_back(number, effect):
        if isinstance(effect, kind) and is_wanted(effect):
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


class RestartedWorkerTest(testtools.TestCase):
    """A worker restarts under its id, so its clock starts anew."""

    def test_a_hold_for_the_former_incarnation_gives_the_longest_lease(self):
        world = jobclusters.Cluster(workers=1)
        world.claim(0)
        (order,) = _hold_back(world, effects.Hold, lambda order: order.wait_ms)
        order.lease_until_ms = int(world.now * 1000) + 4000
        sent_at = world.now
        world.restart_worker("w0")
        world.calls.hold(0, order, sent_at, world.workers["w0"])()
        world.submit("j1", model.Step(1, CORE, 30.0))
        world.run(0.1)
        self.assertEqual(["w0"], [start.worker_id for start in world.starts])
        world.workers["w0"].is_reachable = False
        world.add_worker("w1")
        world.run(9.0)
        self.assertEqual([], world.violations)
        self.assertEqual("w1", world.starts[-1].worker_id)


class LateCallTest(testtools.TestCase):
    """A call without an answer is carried out seconds later.

    The lease in it counts from its arrival.
    """

    def _world(self):
        world = jobclusters.Cluster(workers=1)
        world.claim(0)
        world.run(1.0)
        return world

    def _start_task(self, world):
        world.submit("j1", model.Step(1, CORE, 60.0))
        world.run(0.5)
        self.assertEqual(1, len(world.starts))
        world.add_worker("w1")

    def _lose(self, world, kind, is_wanted):
        """Loses a call of this type; returns it as it was sent."""
        (order,) = _hold_back(world, kind, is_wanted)
        execute = (
            world.calls.hold if kind is effects.Hold else world.calls.start
        )
        time_out = execute(0, order, world.now, None)
        world.schedule(jobcalls.CALL_TIMEOUT_S, time_out)
        return order

    def _renewal(self, order):
        return order.worker_id == "w0" and order.lease_until_ms

    def _carry_out(self, world, late_s, order):
        """Carries an order out later on w0, which calls don't reach then."""
        worker = world.workers["w0"]
        worker.is_reachable = False

        def arrive():
            if isinstance(order, effects.Hold):
                order.lease_until_ms += int(late_s * 1000)
                worker.hold(order, world.now)
            else:
                order.start_before_ms += int(late_s * 1000)
                world.calls.start_run(order, worker)

        world.schedule(late_s, arrive)

    def test_a_late_renewal_on_a_silent_worker_does_not_run_tasks_twice(self):
        for late_s in (2.0, 3.9):
            world = self._world()
            self._start_task(world)
            order = self._lose(world, effects.Hold, self._renewal)
            self._carry_out(world, late_s, order)
            world.run(15.0)
            self.assertEqual([], world.violations, late_s)
            self.assertEqual("w1", world.starts[-1].worker_id)

    def test_a_late_start_on_a_silent_worker_does_not_run_twice(self):
        for late_s in (5.0, 11.9):
            world = self._world()
            world.submit("j1", model.Step(1, CORE, 60.0))
            order = self._lose(world, effects.Start, lambda order: True)
            self._carry_out(world, late_s, order)
            world.add_worker("w1")
            world.run(18.0)
            self.assertEqual([], world.violations, late_s)
            self.assertEqual("w1", world.starts[-1].worker_id)

    def test_a_crash_during_a_long_poll_waits_for_the_usual_lease_only(self):
        world = self._world()
        self._start_task(world)
        _hold_back(
            world,
            effects.Hold,
            lambda order: order.worker_id == "w0" and order.wait_ms,
        )
        world.crash_worker("w0")
        lease_s = timing.former_lease_s(world.daemons[0].bounds)
        world.run(lease_s + 0.1)
        self.assertEqual("w1", world.starts[-1].worker_id)

    def test_a_lease_survives_the_loss_of_one_hold(self):
        for is_lost in (self._renewal, lambda order: order.wait_ms):
            world = self._world()
            self._start_task(world)
            for _ in range(6):
                self._lose(world, effects.Hold, is_lost)
                world.run(3.0)
            self.assertEqual(1, len(world.starts))
            self.assertEqual(1, len(world.workers["w0"].running))

    def test_a_new_owner_waits_for_a_late_renewal_of_the_former_one(self):
        for is_former_gone in (False, True):
            self._take_over_beside_a_late_renewal(is_former_gone)

    def _take_over_beside_a_late_renewal(self, is_former_gone):
        world = self._world()
        self._start_task(world)
        worker = world.workers["w0"]
        left_s = 0.0
        while left_s < 2.5:
            (order,) = _hold_back(world, effects.Hold, self._renewal)
            left_s = worker.lease_until - world.now
            if left_s < 2.5:
                world.execute(0, order)
        world.frozen.add(0)
        self._carry_out(world, left_s - 0.05, order)
        world.claim(1, is_former_gone)
        world.run(15.0)
        self.assertEqual([], world.violations, is_former_gone)

    def test_a_late_start_does_not_reach_the_next_incarnation(self):
        world = self._world()
        world.submit("j1", model.Step(1, CORE, 60.0))
        order = self._lose(world, effects.Start, lambda order: True)
        world.run(4.0)
        self.assertEqual(1, len(world.workers["w0"].running))
        world.restart_worker("w0", longest_entry_delay_s=0.5)
        world.add_worker("w1")
        world.run(2.0)
        order.start_before_ms += 6000
        world.calls.start_run(order, world.workers["w0"])
        self.assertEqual([], world.violations)

    def test_a_late_start_does_not_precede_the_first_hold_of_the_next_one(self):
        for away_s in (0.3, 2.0, 6.0):
            world = self._world()
            world.add_worker("w1")
            world.run(0.5)
            world.submit("j1", model.Step(1, CORE, 60.0))
            order = self._lose(world, effects.Start, lambda order: True)
            self.assertEqual("w0", order.worker_id)
            world.run(2.0)
            world.crash_worker("w0")
            world.run(away_s)
            world.restart_worker("w0", longest_entry_delay_s=0.5)
            order.start_before_ms += 12_000
            world.calls.start_run(order, world.workers["w0"])
            world.run(20.0)
            self.assertEqual([], world.violations, away_s)
            running = [
                worker_id
                for worker_id, worker in world.workers.items()
                if worker.running
            ]
            self.assertEqual(["w0"], running, away_s)

    def test_a_hold_for_the_former_incarnation_forgets_no_ends(self):
        world = self._world()
        world.submit("j1", model.Step(1, CORE, 0.1))
        order = self._lose(
            world, effects.Hold, lambda order: order.acknowledged_end
        )
        world.restart_worker("w0")
        world.submit("j2", model.Step(1, CORE, 0.3))
        worker = world.workers["w0"]
        while not worker.running:
            world.run(jobclusters.TICK_S)
        worker.is_reachable = False
        world.run(1.0)
        world.calls.hold(0, order, world.now, worker)
        worker.is_reachable = True
        world.run(5.0)
        self.assertEqual([], world.violations)


class RandomTest(testtools.TestCase):
    """Workers are cut off, restart and drain while calls are late."""

    def _disturb(self, world, rng, number):
        worker_id = rng.choice(sorted(world.workers))
        worker = world.workers[worker_id]
        kind = rng.random()
        if kind < 0.35:
            worker.is_reachable = False
            world.schedule(
                rng.choice((5.0, 7.0, 12.0, 20.0)),
                functools.partial(setattr, worker, "is_reachable", True),
            )
        elif kind < 0.5:
            world.restart_worker(worker_id, rng.choice((0.0, 0.4, 2.0)))
        elif kind < 0.6:
            world.add_worker(f"n{number}")
        elif kind < 0.65:
            worker.is_hanging = not worker.is_hanging
        elif kind < 0.72 and len(world.workers) > 2:
            world.drain_worker(worker_id)

    @settings(max_examples=15)
    @given(strategies.integers(0, 10_000))
    def test_late_leases_run_no_task_twice(self, seed):
        rng = random.Random(seed)
        world = jobclusters.Cluster(workers=rng.randint(2, 4), seed=seed)
        world.claim(0)
        world.run(0.5)
        world.faults = jobfaults.Faults(
            late_call_share=rng.choice((0.1, 0.25, 0.5)),
            doubled_call_share=rng.choice((0.0, 0.2)),
            lost_answer_share=rng.choice((0.0, 0.1)),
            is_late_lease_longer=True,
        )
        for number in range(14):
            needs = resources.Resources(rng.choice((500, 1000)), 50)
            step = model.Step(
                rng.randint(1, 5),
                needs,
                rng.choice((0.5, 2.0, 8.0, 20.0)),
                gang=rng.random() < 0.15,
            )
            world.submit(f"j{number}", step)
            world.run(rng.uniform(0.2, 1.5))
            self._disturb(world, rng, number)
        world.run(20.0)
        twice = [text for text in world.violations if text.startswith("TWICE")]
        self.assertEqual([], twice)
