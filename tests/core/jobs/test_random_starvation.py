"""Random mixes of jobs on a calm cluster starve no job of unused capacity."""

import collections
import dataclasses
import random

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

# Most time for which a job that could run may have nothing running.
LONGEST_IDLE_S = 3.0
CHECK_INTERVAL_S = 0.1
FAILING_RUN_S = 0.3
JOBS = 25
QUEUES = ("urgent", "routine", "free")
TEAM_LIMIT = resources.Resources(40_000, 0, 0)


def _world(rng, seed):
    """Returns a cluster with two queues that need tickets and one without."""
    world = jobclusters.Cluster(workers=rng.randint(3, 8), seed=seed)
    world.good_share = rng.choice((0.6, 1.0))
    configuration = world.configuration(version=2, upper_limit=TEAM_LIMIT)
    queue = configuration.queues[jobclusters.QUEUE]
    advice = model.AdviceSettings(rng.uniform(0.05, 0.5), 0.005, 2.0)
    queues = {
        name: dataclasses.replace(
            queue,
            name=name,
            priority=priority,
            advice=None if name == "free" else advice,
        )
        for priority, name in enumerate(QUEUES)
    }
    world.configure(dataclasses.replace(configuration, queues=queues))
    names = frozenset(f"daemon-{number}" for number in range(6))
    world.deliver(0, events.PeersChanged(world.now, names))
    world.claim(0)
    world.run(0.5)
    return world


def _step(rng):
    needs = resources.Resources(rng.choice((500, 1000, 2000, 3500)), 100, 0)
    kind = rng.choice(("small", "small", "gang", "standing"))
    most = rng.choice((0, 0, 1))
    if kind == "gang":
        return model.Step(
            rng.randint(2, 20), needs, rng.uniform(0.5, 4.0), gang=True
        )
    if kind == "standing":
        return model.Step(
            rng.randint(1, 4), needs, standing=True, most_per_worker=most
        )
    estimate_s = rng.choice((0.3, 1.0, 10.0))
    return model.Step(
        rng.randint(1, 8), needs, estimate_s, most_per_worker=most
    )


def _fail_runs(world, jobs):
    """Makes the runs of jobs fail soon."""
    for worker in world.workers.values():
        for run in worker.running.values():
            if run.task_id.partition(".")[0] in jobs:
                run.outcome = model.RunOutcome.FAILED
                run.ends_at = min(run.ends_at, world.now + FAILING_RUN_S)


class Watch:
    """Looks for waiting tasks beside unused capacity.

    Attributes:
        world: The cluster.
        since: Since when each job, or standing task, has been owed a start.
        starved: Jobs and tasks that waited too long.
    """

    def __init__(self, world):
        self.world = world
        self.since = {}
        self.starved = set()

    def look(self):
        """Updates `since` and `starved`."""
        owed = set(self._owed())
        now = self.world.now
        self.since = {key: self.since.get(key, now) for key in owed}
        self.starved |= {
            key
            for key, since in self.since.items()
            if now - since > LONGEST_IDLE_S
        }

    def _owed(self):
        workers = self.world.workers.values()
        used = resources.total([worker.used() for worker in workers])
        capacity = resources.total([w.entry.capacity for w in workers])
        if 2 * used.cpu_millis >= capacity.cpu_millis:
            return
        if 2 * used.cpu_millis >= TEAM_LIMIT.cpu_millis:
            return
        running = collections.Counter(
            (task_id, worker.entry.worker_id)
            for worker in workers
            for task_id, _ in worker.running
        )
        tasks = {task_id for task_id, _ in running}
        for job_id, (job, _) in self.world.jobs.items():
            if job_id in self.world.cancelled:
                continue
            step = job.steps[0]
            ids = [
                model.task_id(job_id, 0, 0, index)
                for index in range(step.tasks)
            ]
            waiting = [
                task_id
                for task_id in ids
                if task_id not in tasks and task_id not in self.world.done
            ]
            if not waiting or (step.gang and len(waiting) < step.tasks):
                continue
            is_running = any(task_id in tasks for task_id in ids)
            if is_running and not step.standing:
                continue
            count = step.tasks if step.gang else 1
            if self._room(job, step, ids, running) < 2 * count:
                continue
            yield from waiting if step.standing else [job_id]

    def _room(self, job, step, ids, running):
        """Returns how many tasks fit on the job's good workers now."""
        room = 0
        for name, worker in self.world.workers.items():
            group = f"{job.job_id}.0.0"
            if job.queue != "free" and not self.world.is_good(group, name):
                continue
            free = worker.entry.capacity - worker.used()
            fit = max(0, free.cpu_millis // step.needs.cpu_millis)
            if step.most_per_worker:
                placed = sum(running[(task_id, name)] for task_id in ids)
                fit = min(fit, step.most_per_worker - placed)
            room += fit
        return room


class RandomStarvationTest(testtools.TestCase):
    """The users' rule on jobs that could run."""

    # Regressions: in these seeds reservations kept jobs waiting.
    @example(4)
    @example(21)
    @example(114)
    @settings(max_examples=60)
    @given(strategies.integers(0, 10_000))
    def test_no_job_waits_beside_unused_capacity(self, seed):
        self._play(seed, failing_share=0.0)

    # Regressions: in these seeds failing jobs kept workers suspended.
    @example(26)
    @example(27)
    @settings(max_examples=40)
    @given(strategies.integers(0, 10_000))
    def test_jobs_that_always_fail_starve_no_other(self, seed):
        self._play(seed, failing_share=0.1)

    def _play(self, seed, failing_share):
        rng = random.Random(seed)
        world = _world(rng, seed)
        watch = Watch(world)
        failing = set()
        for number in range(JOBS):
            world.submit(f"j{number}", _step(rng), queue=rng.choice(QUEUES))
            if failing_share and rng.random() < failing_share:
                failing.add(f"j{number}")
            for _ in range(rng.randint(1, 12)):
                _fail_runs(world, failing)
                world.run(CHECK_INTERVAL_S)
                watch.look()
            if rng.random() < 0.3:
                world.cancel(f"j{rng.randint(0, number)}")
        self.assertEqual([], world.violations)
        starved = {
            key for key in watch.starved if key.partition(".")[0] not in failing
        }
        self.assertEqual(set(), starved)
