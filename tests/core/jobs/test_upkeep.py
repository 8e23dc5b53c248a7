"""Waves of upkeep: what goes down when, and what ends for that."""

import dataclasses

import hypothesis
from hypothesis import strategies
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import upkeep
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 10, 0)
AWAY_S = 2.0
ANSWER_S = 0.005


class Platform:
    """The platform's machines, one for each worker, and their upkeep.

    Attributes:
        begun: Machines whose upkeep has begun, with the time, by name.
        lost: Runs that an order has ended, by machine.
        most_at_once: Most machines that were down at a time.
        status: Last stored progress of waves, by number.
        unanswered: Number of orders to be carried out without an answer.
    """

    def __init__(self, world):
        self.world = world
        self.worker_of = {f"m-{name}": name for name in world.workers}
        self.down_until = {}
        self.begun = {}
        self.lost = {}
        self.most_at_once = 0
        self.status = {}
        self.completed_early = []
        self.unanswered = 0
        self.holders = []
        self.waves = {}
        self.listed = self.present
        world.handle_other = self.handle

    def handle(self, number, effect):
        if isinstance(effect, effects.ListMachines):
            event = events.MachinesListed(
                self.world.now,
                effect.token,
                effect.requested_at,
                self.listed(),
            )
            self._answer(number, event)
        elif isinstance(effect, effects.BeginUpkeep):
            self._begin(number, effect)
        elif isinstance(effect, effects.StoreWave):
            self._store(effect.progress)

    def present(self):
        return {
            name: model.Machine(name, not self._is_down(name), worker_id)
            for name, worker_id in self.worker_of.items()
        }

    def _is_down(self, name):
        return self.world.now < self.down_until.get(name, 0.0)

    def _answer(self, number, event):
        self.world.schedule(
            ANSWER_S,
            lambda: self.world.deliver(
                number, dataclasses.replace(event, now=self.world.now)
            ),
        )

    def _begin(self, number, effect):
        name = effect.machine
        self.holders.append((effect.token, self.world.now))
        result = events.UpkeepResult.BEGUN
        if name not in self.worker_of:
            result = events.UpkeepResult.NOT_IN_WAVE
        elif name not in self.begun:
            self._go_down(name)
        if self.unanswered:
            self.unanswered -= 1
            result = events.UpkeepResult.UNKNOWN
        event = events.UpkeepAnswered(
            self.world.now, effect.token, effect.wave, name, result
        )
        self._answer(number, event)

    def _go_down(self, name):
        world, worker_id = self.world, self.worker_of[name]
        worker = world.workers[worker_id]
        worker.advance(world.now)
        self.begun[name] = world.now
        self.lost[name] = list(worker.running)
        self.down_until[name] = world.now + AWAY_S
        down = sum(self._is_down(each) for each in self.worker_of)
        self.most_at_once = max(self.most_at_once, down)
        world.crash_worker(worker_id)
        world.unlist_worker(worker_id)
        successor = f"{worker_id}-next"
        self.worker_of[name] = ""

        def join():
            world.add_worker(successor)
            self.worker_of[name] = successor

        world.schedule(AWAY_S, join)

    def _store(self, progress):
        self.status[progress.number] = progress
        if progress.is_completed:
            self.completed_early += [
                name
                for name in self.worker_of
                if name in self.wave.machines and name not in self.begun
            ]
        for number in range(len(self.world.daemons)):
            self.world.deliver(
                number, events.WaveProgressStored(self.world.now, progress)
            )

    def request(self, machines, within_s=20.0, most_down=1, number=1):
        self.wave = model.Wave(number, tuple(machines), within_s, most_down)
        self.waves[number] = self.wave
        for daemon in range(len(self.world.daemons)):
            self.world.deliver(
                daemon,
                events.WavesChanged(self.world.now, dict(self.waves)),
            )


def _world(workers=6, daemons=1):
    world = jobclusters.Cluster(daemons=daemons, workers=workers)
    world.claim(0)
    world.run(4.0)
    return world, Platform(world)


class WaveTest(testtools.TestCase):
    """One wave."""

    def _check(self, platform, wave, until):
        self.assertEqual([], platform.world.violations)
        self.assertEqual([], platform.completed_early)
        self.assertEqual(set(wave), set(platform.begun))
        self.assertLessEqual(max(platform.begun.values()), until)
        self.assertTrue(platform.status[1].is_completed)

    def test_all_have_their_upkeep_in_time_and_few_at_once(self):
        world, platform = _world()
        wave = [f"m-w{number}" for number in range(5)]
        platform.request([*wave, "m-gone"], within_s=20.0, most_down=2)
        until = world.now + 20.0
        world.run(25.0)
        self._check(platform, wave, until)
        self.assertEqual(2, platform.most_at_once)

    def test_work_on_full_workers_is_saved_or_ends_before(self):
        world, platform = _world()
        for number in range(12):
            step = model.Step(2, CORE, 3.0 + number, checkpoints=number > 3)
            world.submit(f"j{number}", step)
        world.run(1.0)
        wave = [f"m-w{number}" for number in range(6)]
        platform.request(wave, within_s=40.0, most_down=2)
        until = world.now + 40.0
        world.run(60.0)
        self._check(platform, wave, until)
        self.assertEqual([], sum(platform.lost.values(), []))
        for number in range(12):
            self.assertEqual(
                model.JobState.COMPLETED, world.state_of(f"j{number}")
            )

    def test_a_wave_in_a_hurry_stops_what_can_not_end(self):
        world, platform = _world(workers=2)
        world.submit("long", model.Step(4, CORE, 300.0))
        world.run(1.0)
        platform.request(["m-w0", "m-w1"], within_s=12.0)
        until = world.now + 12.0
        world.run(15.0)
        self._check(platform, ["m-w0", "m-w1"], until)
        self.assertEqual([], sum(platform.lost.values(), []))

    def test_tasks_that_last_move_one_after_the_other(self):
        world, platform = _world(workers=4)
        step = model.Step(4, CORE, 0.0, standing=True, may_miss=1)
        world.submit("watch", step)
        world.run(2.0)
        platform.request([f"m-w{number}" for number in range(4)], 60.0, 4)
        least = 4
        for _ in range(600):
            world.run(0.1)
            running = {
                task
                for worker in world.workers.values()
                if worker.is_up
                for task, _ in worker.running
            }
            least = min(least, len(running))
        self.assertGreaterEqual(least, 3)
        self.assertTrue(platform.status[1].is_completed)
        self.assertEqual([], world.violations)

    def test_an_order_without_an_answer_counts_as_down_and_is_repeated(self):
        world, platform = _world()
        platform.unanswered = 2
        wave = ["m-w0", "m-w1", "m-w2"]
        platform.request(wave, within_s=30.0, most_down=1)
        until = world.now + 30.0
        world.run(30.0)
        self._check(platform, wave, until)
        self.assertEqual(1, platform.most_at_once)

    def test_no_wave_asks_for_nothing(self):
        world, platform = _world()
        platform.handle = None
        world.run(5.0)
        self.assertEqual(0.0, world.daemons[0].owner.upkeep.list_sent_at)

    def test_the_next_owner_carries_a_wave_on_after_its_turn(self):
        world, platform = _world(daemons=2)
        wave = [f"m-w{number}" for number in range(6)]
        platform.request(wave, within_s=60.0, most_down=1)
        world.run(6.0)
        self.assertLess(0, len(platform.begun))
        self.assertLess(len(platform.begun), 6)
        world.claim(1)
        claimed_at, token = world.now, world.owner_revision
        world.run(60.0)
        self._check(platform, wave, claimed_at + 60.0)
        self.assertEqual(1, platform.most_at_once)
        first = min(at for each, at in platform.holders if each == token)
        turns_s = world.daemons[1].bounds.turns_s
        self.assertGreaterEqual(first, claimed_at + turns_s)

    def test_a_fenced_owner_orders_nothing_more(self):
        world, platform = _world()
        platform.request(["m-w0", "m-w1"], within_s=30.0)
        owner = world.daemons[0].owner
        event = events.UpkeepAnswered(
            world.now, owner.token, 1, "m-w0", events.UpkeepResult.FENCED
        )
        world.deliver(0, event)
        world.run(10.0)
        self.assertEqual({}, platform.begun)


class OldListTest(testtools.TestCase):
    """Lists of machines that don't show what has changed since."""

    def _complete_a_wave(self, world, platform):
        platform.request(["m-w0"])
        world.run(8.0)
        self.assertTrue(platform.status[1].is_completed)

    def _add(self, world, platform, worker_id, machine):
        world.add_worker(worker_id)
        platform.worker_of[machine] = worker_id

    def test_a_machine_added_since_the_last_wave_is_not_taken_for_gone(self):
        world, platform = _world()
        self._complete_a_wave(world, platform)
        self._add(world, platform, "w9", "m-w9")
        world.run(6.0)
        platform.request(["m-w9"], number=2)
        world.run(10.0)
        self.assertEqual([], platform.completed_early)
        self.assertIn("m-w9", platform.begun)
        self.assertTrue(platform.status[2].is_completed)

    def test_workers_back_under_other_ids_since_the_last_wave_are_emptied(
        self,
    ):
        world, platform = _world(workers=5)
        self._complete_a_wave(world, platform)
        for worker_id in ("w0-next", "w1", "w2", "w3", "w4"):
            world.crash_worker(worker_id)
            world.unlist_worker(worker_id)
        del platform.worker_of["m-w0"]
        for number in range(1, 5):
            self._add(world, platform, f"x{number}", f"m-w{number}")
        world.run(10.0)
        step = model.Step(2, CORE, 0.0, standing=True, may_miss=1)
        world.submit("watch", dataclasses.replace(step, most_per_worker=1))
        world.run(3.0)
        at_work = [
            name
            for name, worker_id in platform.worker_of.items()
            if world.workers[worker_id].running
        ]
        self.assertEqual(2, len(at_work))
        platform.request(at_work, 30.0, most_down=2, number=2)
        world.run(20.0)
        self.assertEqual(set(at_work), set(platform.begun) - {"m-w0"})
        self.assertEqual([], sum(platform.lost.values(), []))

    def test_a_list_without_answer_lets_nothing_begin_or_complete(self):
        world, platform = _world()
        platform.listed = lambda: None
        platform.request(["m-w0", "m-w9"])
        world.run(10.0)
        self.assertEqual({}, platform.begun)
        self.assertFalse(platform.status and platform.status[1].is_completed)

    def test_a_machine_that_one_list_lacks_is_not_taken_for_gone(self):
        world, platform = _world()
        lists = []

        def lack_once():
            machines = platform.present()
            lists.append(machines)
            if len(lists) == 1:
                del machines["m-w1"]
            return machines

        platform.listed = lack_once
        world.submit("long", model.Step(6, CORE, 3.0, most_per_worker=1))
        world.run(1.0)
        platform.request(["m-w1"])
        world.run(10.0)
        self.assertEqual([], platform.completed_early)
        self.assertEqual([], platform.lost["m-w1"])

    def test_a_list_that_arrives_after_a_later_one_does_not_count(self):
        world, platform = _world()
        platform.request(["m-w0"])
        world.run(1.0)
        owner = world.daemons[0].owner
        machines = owner.upkeep.machines
        late = events.MachinesListed(world.now, owner.token, 1.0, {})
        world.deliver(0, late)
        self.assertEqual(machines, owner.upkeep.machines)

    def test_machines_of_a_wave_that_is_replaced_have_their_upkeep(self):
        world, platform = _world()
        self._complete_a_wave(world, platform)
        platform.request(["m-w0", "m-w1"])
        world.run(10.0)
        self.assertEqual([], platform.completed_early)
        self.assertIn("m-w1", platform.begun)
        self.assertTrue(platform.status[1].is_completed)

    def test_a_worker_not_held_since_a_takeover_is_not_taken_for_empty(self):
        world, platform = _world(daemons=2)
        step = model.Step(2, CORE, 60.0, most_per_worker=1)
        world.submit("long", step)
        world.run(1.0)
        (name, *_) = [
            each
            for each, worker_id in platform.worker_of.items()
            if world.workers[worker_id].running
        ]
        worker = world.workers[platform.worker_of[name]]
        worker.is_reachable = False
        world.claim(1)
        platform.request([name], within_s=30.0)
        world.run(4.0)
        self.assertNotIn(name, platform.begun)


class RandomWavesTest(testtools.TestCase):
    """Waves beside work, with lost answers and changes of the owner."""

    @hypothesis.settings(max_examples=25)
    @hypothesis.given(
        strategies.integers(1, 3),
        strategies.integers(1, 6),
        strategies.integers(0, 3),
        strategies.lists(strategies.sampled_from((0.5, 2.0, 6.0)), max_size=8),
        strategies.booleans(),
    )
    def test_limits_hold_and_waves_complete(
        self, most_down, machines, unanswered, jobs_s, has_next_owner
    ):
        world, platform = _world(daemons=2)
        platform.unanswered = unanswered
        for number, work_s in enumerate(jobs_s):
            world.submit(f"j{number}", model.Step(3, CORE, work_s))
        platform.request(
            [f"m-w{number}" for number in range(machines)], 30.0, most_down
        )
        world.run(5.0)
        if has_next_owner:
            world.claim(1)
        world.run(60.0)
        self.assertEqual([], world.violations)
        self.assertEqual([], platform.completed_early)
        self.assertLessEqual(platform.most_at_once, most_down)
        self.assertTrue(platform.status[1].is_completed)
        for number in range(len(jobs_s)):
            self.assertEqual(
                model.JobState.COMPLETED, world.state_of(f"j{number}")
            )


class EmptyingTest(testtools.TestCase):
    """Workers that are being emptied."""

    def test_a_worker_that_is_emptied_gets_no_starts(self):
        world, platform = _world(workers=2)
        world.submit("long", model.Step(2, CORE, 8.0))
        world.run(0.5)
        platform.request(["m-w0"], within_s=40.0)
        world.run(1.0)
        owner = world.daemons[0].owner
        self.assertTrue(upkeep.is_emptied(owner, "w0"))
        before = len(world.starts)
        world.submit("short", model.Step(4, CORE, 0.2))
        world.run(2.0)
        workers = {start.worker_id for start in world.starts[before:]}
        self.assertEqual({"w1"}, workers)
