"""Random faults in random order violate no invariant of the scheduler."""

import random

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters
from mimosaridge_fakes import jobfaults

RECOVERY_S = 60.0


def _submit(world, rng, number):
    needs = resources.Resources(rng.choice((500, 1000, 2500)), 100, 0)
    steps = [model.Step(rng.randint(1, 4), needs, rng.uniform(0.2, 2.0))]
    if rng.random() < 0.4:
        steps.append(model.Step(2, needs, 0.5, after=(0,)))
    if rng.random() < 0.2:
        steps = [model.Step(3, needs, 1.0, gang=True)]
    world.submit(f"j{number}", *steps)


def _inject_fault(world, rng):
    kind = rng.randrange(10)
    worker_id = rng.choice(sorted(world.workers))
    worker = world.workers[worker_id]
    if kind == 0:
        worker.is_reachable = not worker.is_reachable
    elif kind == 1:
        world.crash_worker(worker_id)
        world.add_worker(worker_id)
    elif kind in (2, 3):
        world.claim(rng.randrange(2))
    elif kind == 4:
        world.faults.is_store_down = not world.faults.is_store_down
    elif kind == 5:
        world.faults.late_call_share = rng.choice((0.0, 0.1))
    elif kind == 6:
        world.faults.lost_answer_share = rng.choice((0.0, 0.2))
    elif kind == 7:
        number = rng.randrange(2)
        world.frozen = set() if world.frozen else {number}
    elif kind == 8:
        world.faults.lost_write_share = rng.choice((0.0, 0.5))
    else:
        world.faults.failed_run_share = rng.choice((0.0, 0.1))


class RandomTest(testtools.TestCase):
    """The owner keeps the users' rules under faults."""

    # Regressions: these seeds violated a rule or left a job unfinished.
    @example(668)
    @example(866)
    @example(1664)
    @example(5292)
    @settings(max_examples=60)
    @given(strategies.integers(0, 10_000))
    def test_no_rule_is_broken(self, seed):
        self._play(seed)

    @settings(max_examples=40)
    @given(strategies.integers(0, 10_000))
    def test_doubled_calls_break_no_rule(self, seed):
        self._play(seed, doubled_call_share=0.3)

    def _play(self, seed, **faults):
        rng = random.Random(seed)
        world = jobclusters.Cluster(seed=seed)
        world.faults = jobfaults.Faults(**faults)
        world.claim(0)
        for number in range(12):
            _submit(world, rng, number)
            world.run(rng.uniform(0.1, 1.5))
            _inject_fault(world, rng)
        self.assertEqual([], world.violations)
        world.faults = jobfaults.Faults()
        world.frozen = set()
        for worker in world.workers.values():
            worker.is_reachable = True
        world.claim(0)
        world.run(RECOVERY_S)
        self.assertEqual([], world.violations)
        states = {world.state_of(job_id) for job_id in world.jobs}
        self.assertEqual(set(), states - set(model.FINAL_STATES))
