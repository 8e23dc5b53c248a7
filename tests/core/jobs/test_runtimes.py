"""Run times learned from finished runs."""

import dataclasses
import math
import random

import hypothesis
from hypothesis import strategies
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import learning
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import runtimes
from mimosaridge_core.jobs import state
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 10, 0)
SAMPLES = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 3600),
        strategies.floats(0.1, 3.0),
        strategies.floats(-3, 6),
        strategies.floats(-3, 6),
    ),
    min_size=1,
    max_size=30,
)


def _sums(samples):
    sums = model.Sums(0.0, [0.0] * 3)
    for at, weight, declared, actual in samples:
        runtimes._add(sums, at, weight, (1.0, declared, actual))
    return sums


def _assert_alike(one, other):
    for left, right in zip(one.values, other.values, strict=True):
        assert math.isclose(left, right, rel_tol=1e-6, abs_tol=1e-6)


class SumsTest(testtools.TestCase):
    """Sums that decay with time."""

    @hypothesis.given(SAMPLES, strategies.randoms(use_true_random=False))
    def test_the_order_of_reports_does_not_matter(self, samples, rng):
        shuffled = list(samples)
        rng.shuffle(shuffled)
        one, other = _sums(samples), _sums(shuffled)
        self.assertEqual(one.at, other.at)
        _assert_alike(one, other)

    @hypothesis.given(SAMPLES, SAMPLES)
    def test_merged_sums_are_those_of_all_samples(self, first, second):
        merged = runtimes.merge(_sums(first), _sums(second))
        _assert_alike(merged, _sums(first + second))

    @hypothesis.given(SAMPLES)
    def test_old_samples_are_forgotten(self, samples):
        sums = _sums(samples)
        before = sums.values[0]
        runtimes._add(sums, sums.at + 20 * runtimes.HALF_LIFE_S, 0.0, (0, 0, 0))
        self.assertLess(sums.values[0], before / 500_000)


def _job(declared_s, tasks=10, queue=jobclusters.QUEUE, job_id="j"):
    steps = (model.Step(tasks, CORE, declared_s),)
    return model.Job(job_id, queue, "registry", "a", "text", steps, 0.0)


def _group(job):
    group = state.Group(
        job.job_id, 0, 0, job.steps[0], 0.0, set(), model.StepProgress()
    )
    group.expected = model.Expectation(math.log(job.steps[0].estimate_s))
    return group


def _learn(st, job, group, index, took_s, worker="w0"):
    owner = st.owner
    entry = model.WorkerEntry(worker, 1, "registry", "w0:80", "z", CORE)
    run = state.Run(
        f"j.0.0.{index}",
        1,
        worker,
        "a",
        CORE,
        CORE,
        state.Phase.RUNNING,
        st.now - took_s,
        is_timed=True,
    )
    runtimes.learn(st, owner, state.Worker(entry), run, job, group, index)


def _state():
    st = state.State(now=1000.0, wall=1e9)
    st.owner = state.Owner(1, 0.0)
    return st


class ExpectationTest(testtools.TestCase):
    """What is expected of a step."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 1e6), strategies.floats(0.0, 1e6)
            ),
            max_size=20,
        ),
        strategies.floats(0.0, 1e9),
    )
    def test_expectations_are_finite_and_ordered(self, runs, declared_s):
        st = _state()
        for index, (declared, took) in enumerate(runs):
            job = _job(declared)
            _learn(st, job, _group(_job(max(declared, 0.1))), index, took)
        expected = runtimes.expectation(st, _job(declared_s), 0, None)
        self.assertTrue(0 < expected.hopeful_s <= expected.usual_s)
        self.assertTrue(expected.usual_s <= expected.cautious_s < math.inf)

    def test_without_runs_the_declared_time_counts(self):
        expected = runtimes.expectation(_state(), _job(7.0), 0, None)
        self.assertAlmostEqual(7.0, expected.usual_s)
        self.assertEqual(0.0, expected.runs)

    def test_a_queue_whose_declarations_tell_nothing(self):
        st, rng = _state(), random.Random(1)
        for _ in range(60):
            job = _job(rng.uniform(0.1, 1.9), tasks=1)
            _learn(st, job, _group(job), 0, 1.0)
        for declared in (0.15, 1.8):
            expected = runtimes.expectation(st, _job(declared), 0, None)
            self.assertLess(abs(math.log(expected.usual_s)), math.log(1.35))

    def test_a_queue_whose_declarations_hold_but_for_a_factor(self):
        st, rng = _state(), random.Random(1)
        for _ in range(60):
            work_s = math.exp(rng.uniform(-1.0, 3.0))
            job = _job(work_s / 3, tasks=1)
            _learn(st, job, _group(job), 0, work_s)
        for work_s in (0.5, 15.0):
            expected = runtimes.expectation(st, _job(work_s / 3), 0, None)
            self.assertLess(abs(math.log(expected.usual_s / work_s)), 0.25)

    def test_finished_tasks_of_a_step_tell_of_the_others(self):
        st = _state()
        job = _job(10.0)
        group = _group(job)
        for index in range(3):
            _learn(st, job, group, index, 1.0, f"w{index}")
        expected = runtimes.expectation(st, job, 0, group)
        self.assertLess(expected.usual_s, 1.5)

    def test_a_task_past_its_expectation_goes_on(self):
        st = _state()
        run = state.Run(
            "j.0.0.0",
            1,
            "w0",
            "a",
            CORE,
            CORE,
            state.Phase.RUNNING,
            st.now - 70.0,
        )
        left_s = runtimes.remaining_s(st, run, model.Expectation(math.log(10)))
        self.assertLess(5.0, left_s)
        self.assertLess(left_s, 70.0)

    def test_runs_that_are_not_whole_teach_nothing(self):
        st = _state()
        job = _job(10.0)
        group = _group(job)
        _learn(st, job, group, 0, 10.0)
        before = st.run_times.queues[jobclusters.QUEUE].values[0]
        far = dataclasses.replace(job.steps[0], rack="elsewhere")
        for step in (far, dataclasses.replace(job.steps[0], standing=True)):
            group.step = step
            _learn(st, job, group, 1, 100.0)
        after = st.run_times.queues[jobclusters.QUEUE].values[0]
        self.assertEqual(before, after)

    def test_a_slow_worker_is_told_apart_from_long_work(self):
        st, rng = _state(), random.Random(2)
        for number in range(40):
            job = _job(5.0, tasks=6, job_id=f"j{number}")
            group = _group(job)
            work_s = rng.uniform(0.5, 8.0)
            order = list(range(6))
            rng.shuffle(order)
            for index in order:
                slow = 2.0 if index == 5 else 1.0
                _learn(st, job, group, index, work_s * slow, f"w{index}")
        self.assertLess(runtimes.speed(st, "w5"), 0.7)
        for index in range(5):
            self.assertGreater(runtimes.speed(st, f"w{index}"), 0.8)

    def test_tasks_that_end_later_do_not_make_their_workers_slow(self):
        st, rng = _state(), random.Random(3)
        for number in range(200):
            job = _job(1.0, tasks=10, job_id=f"j{number}")
            group = _group(job)
            took = sorted(rng.uniform(0.5, 1.5) for _ in range(10))
            workers = [f"w{index}" for index in range(10)]
            rng.shuffle(workers)
            for index in range(10):
                _learn(st, job, group, index, took[index], workers[index])
        for index in range(10):
            self.assertLess(abs(runtimes.speed(st, f"w{index}") - 1), 0.1)
        expected = runtimes.expectation(st, _job(1.0), 0, None)
        self.assertLess(abs(math.log(expected.usual_s)), 0.15)

    def test_what_is_remembered_is_bounded(self):
        st = _state()
        for number in range(3 * runtimes.MAX_QUEUES):
            job = _job(1.0, queue=f"q{number}")
            _learn(st, job, _group(job), 0, 1.0)
        self.assertEqual(runtimes.MAX_QUEUES, len(st.run_times.queues))
        self.assertIn(f"q{number}", st.run_times.queues)


class StoredRunTimesTest(testtools.TestCase):
    """What a new owner begins with."""

    def _read(self, run_times, wall=1e9):
        st = state.State(now=5.0, wall=wall)
        out = []
        event = events.RunTimesRead(5.0, wall, run_times)
        learning.load_run_times(st, event, out)
        return st, [decision.rule for decision in out]

    def test_torn_old_and_foreign_values_are_refused_with_a_log_line(self):
        good = model.Sums(1e9, [1.0] * runtimes.QUEUE_SUMS)
        for bad in (
            model.Sums(1e9, [1.0]),
            model.Sums(1e9 - 10 * runtimes.MAX_AGE_S, good.values),
            model.Sums(1e9, [1e12] * runtimes.QUEUE_SUMS),
            model.Sums(1e9, [-1.0] * runtimes.QUEUE_SUMS),
        ):
            st, rules = self._read(model.RunTimes({"q": good, "r": bad}))
            self.assertEqual({}, st.run_times.queues)
            self.assertEqual(["run-times-refused"], rules)
        st, rules = self._read(model.RunTimes({"q": good}))
        self.assertEqual(["run-times-read"], rules)
        self.assertIn("q", st.run_times.queues)

    def test_the_next_owner_expects_what_the_first_has_learned(self):
        world = _play(learns=True, seconds=12.0)
        stored = world.run_times
        world.deliver(1, events.RunTimesRead(world.now, world.now, stored))
        world.claim(1)
        world.run(0.5)
        # Declared as 6 s, and takes 0.6 s.
        world.submit("after", model.Step(1, CORE, 6.0), queue="short")
        world.run(0.1)
        group = world.daemons[1].owner.groups["after.0.0"]
        self.assertLess(group.expected.usual_s, 1.5)
        self.assertEqual([], world.violations)

    def test_a_queue_whose_runs_never_end_well_keeps_its_declared_times(self):
        world = jobclusters.Cluster(daemons=1, workers=2)
        world.claim(0)
        world.run(1.0)
        world.hopeless.update(f"bad{number}" for number in range(10))
        for number in range(10):
            world.submit(f"bad{number}", model.Step(2, CORE, 0.3))
        world.run(8.0)
        daemon = world.daemons[0]
        self.assertNotIn(jobclusters.QUEUE, daemon.run_times.queues)
        expected = runtimes.expectation(daemon, _job(0.3), 0, None)
        self.assertAlmostEqual(0.3, expected.usual_s)


def _play(learns, seconds, is_declared_right=False, seed=0):
    """Plays two queues that compete for room; returns the cluster.

    The short one takes a tenth of its declared time, the long one three times
    as long as declared, 3 tasks in 100 seven times as long.
    """
    world = jobclusters.Cluster(daemons=2, workers=10, seed=seed)
    queues = {
        name: model.Queue(
            name, "host", f"/{name}/", "registry", 1, 3, 1.5, target_s
        )
        for name, target_s in (("short", 0.8), ("long", 4.0))
    }
    team = model.Team("a", 1_000.0, resources.ZERO, ("key",))
    world.configure(model.Configuration(2, queues, {"a": team}, {"key": "a"}))
    for daemon in world.daemons:
        daemon.learns_run_times = learns
    world.claim(0)
    world.run(1.0)
    rng = random.Random(seed)
    world.objectives = {}
    declared_off = {"short": 10.0, "long": 1 / 3}
    end = world.now + seconds
    count = 0
    while world.now < end:
        for name, work_s, per_s in (("short", 0.6, 9.0), ("long", 3.0, 2.2)):
            if rng.random() > per_s * jobclusters.TICK_S:
                continue
            count += 1
            job_id = f"{name}{count}"
            off = 1.0 if is_declared_right else declared_off[name]
            for index in range(4):
                long = 7.0 if rng.random() < 0.03 else 1.0
                task = model.task_id(job_id, 0, 0, index)
                world.durations[task] = work_s * long
            step = model.Step(4, CORE, work_s * off)
            world.submit(job_id, step, queue=name)
            queue = queues[name]
            objective = world.now + queue.stretch * work_s + queue.target_s
            world.objectives[job_id] = objective
        world.run(jobclusters.TICK_S)
        for job_id, until in list(world.objectives.items()):
            is_done = world.state_of(job_id) == model.JobState.COMPLETED
            if is_done and world.now <= until:
                world.objectives[job_id] = math.inf
    world.total = count
    return world


def _share_in_time(**arguments):
    shares = []
    for seed in range(3):
        world = _play(seconds=15.0, seed=seed, **arguments)
        over = [
            until for until in world.objectives.values() if until <= world.now
        ]
        kept = sum(until == math.inf for until in world.objectives.values())
        shares.append(kept / (kept + len(over)))
    return sum(shares) / len(shares)


class LoadTest(testtools.TestCase):
    """What callers get with declared, learned and true run times."""

    def test_learned_times_serve_callers_nearly_as_well_as_true_ones(self):
        declared = _share_in_time(learns=False)
        learned = _share_in_time(learns=True)
        true = _share_in_time(learns=False, is_declared_right=True)
        self.assertGreater(learned, declared)
        self.assertGreater(learned - declared, (true - declared) / 2)
