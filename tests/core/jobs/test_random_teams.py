"""Random jobs of several teams and queues under random faults."""

import dataclasses
import functools
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
from mimosaridge_fakes import jobfaults

DAEMONS = 3
LEDGER = jobclusters.BACKEND
ANALYSIS = "analysis"
TEAMS = ("a", "b", "c")
# Phases of a play, seconds.
CALM_END_S = 20.0
# Jobs that can finish start at least one task in this time,
FINISH_S = 20.0
# and all of them in this many times of it.
FINISH_ROUNDS = 10
ACTIONS = 24
EXAMPLES = 20
SEEDS = strategies.integers(0, 100_000)


class Play:
    """One random play; the seed decides all of it.

    `has_wide_gangs`: some gangs need more than all workers have.
    `has_sharing`: some tasks fill, others have a latency target.
    `has_late_entries`: entries of restarted workers arrive late.
    `has_late_news`: news of jobs and cancellations reach daemons late.
    `has_long_outages`: the store is down for long, and answers list few ends.
    """

    def __init__(
        self,
        seed,
        has_wide_gangs=False,
        has_sharing=False,
        has_late_entries=False,
        has_late_news=False,
        has_long_outages=False,
    ):
        self.rng = random.Random(seed)
        self.has_wide_gangs = has_wide_gangs
        self.has_sharing = has_sharing
        self.has_late_entries = has_late_entries
        self.world = jobclusters.Cluster(DAEMONS, workers=0, seed=seed)
        self.world.good_share = self.rng.choice((1.0, 0.7, 0.4))
        self.version = 2  # The cluster has version 1.
        self.jobs = 0
        self.limits = dict.fromkeys(TEAMS, 0)
        self.limits["b"] = self.rng.choice((0, 4000, 6000))
        self.limits["c"] = self.rng.choice((3000, 4000))
        self.backend_of_batch = LEDGER
        self._configure()
        names = frozenset(f"d{number}" for number in range(DAEMONS))
        for number in range(DAEMONS):
            self.world.deliver(
                number, events.PeersChanged(self.world.now, names)
            )
        for number in range(self.rng.randint(3, 7)):
            self.world.add_worker(f"w{number}")
        for number in range(self.rng.randint(1, 3)):
            self.world.add_worker(f"x{number}", 8000, 8192, 2, ANALYSIS)
        self.actions = (
            self._cut,
            self._cut_from_owner,
            self._restart_worker,
            self._crash_for_a_while,
            self._drain,
            self._hang,
            self._claim,
            self._claim_and_submit,
            self._toggle_store,
            self._lose_everything,
            self._set_late_calls,
            self._set_lost_answers,
            self._set_writes,
            self._set_failures,
            self._freeze,
            self._change_limits,
            self._change_backend,
            self._cancel,
        )
        if has_late_news:
            self.actions += (self._delay_news, self._displace_with_late_news)
        if has_long_outages:
            self.actions += (self._lose_store_for_long,) * 3

    def run(self):
        """Plays all of it; returns the violations and the unfinished jobs."""
        world, rng = self.world, self.rng
        world.claim(0)
        world.run(0.3)
        for _ in range(ACTIONS):
            for _ in range(rng.choice((0, 1, 1, 2))):
                self._submit()
            world.run(rng.uniform(0.05, 1.2))
            rng.choice(self.actions)()
        self._end_faults()
        world.run(CALM_END_S)
        # What lasts or can't run at all may keep others from running.
        for job, _ in list(world.jobs.values()):
            if not self._can_finish(job):
                world.cancel(job.job_id)
        unfinished, starts = self._unfinished(), -1
        for _ in range(FINISH_ROUNDS):
            if not unfinished or len(world.starts) == starts:
                break
            starts = len(world.starts)
            world.run(FINISH_S)
            unfinished = self._unfinished()
        return world.violations + unfinished

    def _unfinished(self):
        world = self.world
        return [
            f"UNFINISHED {job.job_id} {world.state_of(job.job_id)}"
            for job, _ in world.jobs.values()
            if job.job_id not in world.cancelled
            and world.state_of(job.job_id) not in model.FINAL_STATES
        ]

    def _configure(self):
        world = self.world
        advice = [
            model.AdviceSettings(0.03, 0.0004, 1.5),
            model.AdviceSettings(0.16, 0.002, 1.5),
        ]
        queues = [
            model.Queue(
                "urgent",
                "host",
                "/u/",
                LEDGER,
                0,
                3,
                1.5,
                0.3,
                False,
                advice[0],
            ),
            model.Queue(
                "batch",
                "host",
                "/b/",
                self.backend_of_batch,
                2,
                4,
                4.0,
                3.0,
                False,
                advice[1],
            ),
            model.Queue("open", "host", "/o/", ANALYSIS, 1, 2, 2.2, 1.0),
        ]
        teams = [
            model.Team(
                name, 5.0, resources.Resources(self.limits[name], 0, 0), (name,)
            )
            for name in TEAMS
        ]
        world.configure(
            model.Configuration(
                self.version,
                {queue.name: queue for queue in queues},
                {team.name: team for team in teams},
                {name: name for name in TEAMS},
            )
        )
        self.version += 1

    def _submit(self):
        rng, world = self.rng, self.world
        queue = rng.choice(("urgent", "batch", "open"))
        backend = {"urgent": LEDGER, "open": ANALYSIS}.get(
            queue, self.backend_of_batch
        )
        needs = resources.Resources(
            rng.choice((500, 1000, 2500)), rng.choice((50, 700)), 0
        )
        step = model.Step(rng.randint(1, 5), needs, rng.uniform(0.2, 2.5))
        step = dataclasses.replace(step, checkpoints=rng.random() < 0.4)
        fields = {}
        steps = [step]
        kind = rng.randrange(10)
        if kind in (0, 1):
            steps.append(model.Step(2, needs, 0.5, after=(0,)))
        elif kind == 2:
            steps = [dataclasses.replace(step, gang=True)]
        elif kind == 3:
            wide = 20 if self.has_wide_gangs else 3
            steps = [
                dataclasses.replace(
                    step,
                    tasks=rng.choice((2, wide)),
                    gang=True,
                    same_rack=True,
                )
            ]
        elif kind == 4:
            steps = [dataclasses.replace(step, most_per_worker=1)]
        elif kind == 5:
            steps = [
                dataclasses.replace(
                    step,
                    standing=True,
                    tasks=rng.randint(1, 2),
                    checkpoints=False,
                    most_per_worker=rng.choice((0, 1)),
                    target_ms=rng.choice((0, 50)) * self.has_sharing,
                )
            ]
        elif kind == 6:
            steps = [dataclasses.replace(step, fills=self.has_sharing)]
        elif kind == 7:
            fields = {
                "repeats": rng.randint(2, 3),
                "first_run_at": world.now + rng.uniform(0.0, 2.0),
                "interval_s": 1.5,
            }
        elif kind == 8:
            steps = [dataclasses.replace(step, estimate_s=7.0)]
        self.jobs += 1
        job_id = f"j{self.jobs}"
        if rng.random() < 0.06:
            world.hopeless.add(job_id)
        world.submit(
            job_id,
            *steps,
            queue=queue,
            backend=backend,
            team=rng.choice(TEAMS),
            **fields,
        )

    def _can_finish(self, job):
        """Returns whether a job ends on empty, sound workers."""
        world = self.world
        configuration = world.configurations[-1][1]
        limit = configuration.teams[job.team].upper_limit.cpu_millis
        queue = configuration.queues[job.queue]
        for number, step in enumerate(job.steps):
            if step.standing:
                return False
            count = step.tasks if step.gang else 1
            if limit and limit < step.needs.cpu_millis * count:
                return False
            for repetition in range(max(1, job.repeats)):
                name = f"{job.job_id}.{repetition}.{number}"
                places = sum(
                    min(
                        worker.entry.capacity.cpu_millis
                        // step.needs.cpu_millis,
                        worker.entry.capacity.memory_mib
                        // step.needs.memory_mib,
                    )
                    for worker in world.workers.values()
                    if worker.entry.worker_id in world.listed
                    and worker.entry.backend == queue.backend
                    and (
                        queue.advice is None
                        or world.is_good(name, worker.entry.worker_id)
                    )
                )
                if places < count:
                    return False
        return True

    def _end_faults(self):
        world = self.world
        world.faults = jobfaults.Faults()
        world.news_delays_s = [0.0] * DAEMONS
        world.frozen = set()
        for worker_id, worker in list(world.workers.items()):
            worker.is_reachable = True
            worker.is_hanging = False
            worker.unreachable_from.clear()
            if not worker.is_up and worker_id in world.listed:
                world.restart_worker(worker_id)
        world.run(0.2)
        has_owner = world.daemons[world.owner_number].owner is not None
        if not has_owner or self.rng.random() < 0.3:
            world.claim(self.rng.randrange(DAEMONS))

    def _later(self, longest_s, callback):
        self.world.schedule(self.rng.uniform(0.0, longest_s), callback)

    def _a_worker(self):
        names = sorted(self.world.listed) or sorted(self.world.workers)
        return self.world.workers[self.rng.choice(names)]

    def _owner(self):
        return self.world.owner_number

    def _cut(self):
        worker = self._a_worker()
        worker.is_reachable = not worker.is_reachable

    def _cut_from_owner(self):
        for _ in range(self.rng.choice((1, 2, 4))):
            worker = self._a_worker()
            worker.unreachable_from ^= {self._owner()}

    def _restart_worker(self):
        delay_s = self.rng.choice((0.0, 0.4, 2.0)) * self.has_late_entries
        self.world.restart_worker(self._a_worker().entry.worker_id, delay_s)

    def _crash_for_a_while(self):
        world = self.world
        worker_id = self._a_worker().entry.worker_id
        is_unlisted = self.rng.random() < 0.5
        world.crash_worker(worker_id)
        if is_unlisted:
            self._later(3.0, lambda: world.unlist_worker(worker_id))
        world.schedule(
            self.rng.uniform(3.0, 6.0), lambda: world.restart_worker(worker_id)
        )

    def _drain(self):
        world = self.world
        worker = self._a_worker()
        worker_id = worker.entry.worker_id
        world.drain_worker(worker_id)

        def leave():
            if world.workers[worker_id].entry.draining:
                world.crash_worker(worker_id)
                world.unlist_worker(worker_id)

        world.schedule(2.5, leave)
        world.schedule(
            self.rng.uniform(2.6, 5.0), lambda: world.restart_worker(worker_id)
        )

    def _hang(self):
        worker = self._a_worker()
        worker.is_hanging = not worker.is_hanging

    def _claim(self):
        self.world.claim(self.rng.randrange(DAEMONS))

    def _claim_and_submit(self):
        self._claim()
        self.world.run(self.rng.choice((0.0, 0.3, 1.2, 2.1)))
        for _ in range(3):
            self._submit()

    def _delay_news(self):
        world = self.world
        for number in range(DAEMONS):
            world.news_delays_s[number] = self.rng.choice((0.0, 0.0, 1.0, 3.0))

    def _displace_with_late_news(self):
        """A daemon displaces the owner and hears later of jobs than it."""
        world, former = self.world, self._owner()
        successor = (former + self.rng.choice((1, 2))) % DAEMONS
        world.news_delays_s[former] = 0.0
        world.news_delays_s[successor] = self.rng.uniform(0.5, 4.0)
        for _ in range(self.rng.choice((1, 2))):
            worker = self._a_worker()
            worker.unreachable_from.add(successor)
            back = functools.partial(worker.unreachable_from.discard, successor)
            world.schedule(self.rng.uniform(0.5, 9.0), back)
        world.claim(successor)
        world.run(self.rng.choice((0.0, 0.1, 0.3)))
        for _ in range(3):
            self._submit()

    def _toggle_store(self):
        faults = self.world.faults
        faults.is_store_down = not faults.is_store_down

    def _lose_everything(self):
        """Cuts all workers off while the store is down; both come back."""
        world = self.world
        cut = [w for w in world.workers.values() if w.is_reachable]
        for worker in cut:
            worker.is_reachable = False
        world.run(self.rng.uniform(0.0, 1.2))
        world.faults.is_store_down = True
        world.run(self.rng.uniform(0.5, 2.0))
        for worker in cut:
            worker.is_reachable = True
        world.run(self.rng.uniform(0.0, 0.5))
        world.faults.is_store_down = False

    def _lose_store_for_long(self):
        world = self.world
        world.faults.is_store_down = True
        for worker in world.workers.values():
            worker.ends_per_answer = 20
        for _ in range(8):
            self._submit()
        world.run(self.rng.uniform(5.0, 15.0))
        world.faults.is_store_down = False

    def _set_late_calls(self):
        self.world.faults.late_call_share = self.rng.choice((0.0, 0.1))
        self.world.faults.doubled_call_share = self.rng.choice((0.0, 0.2))

    def _set_lost_answers(self):
        self.world.faults.lost_answer_share = self.rng.choice((0.0, 0.2))
        self.world.faults.lost_advice_share = self.rng.choice((0.0, 0.4))

    def _set_writes(self):
        self.world.faults.lost_write_share = self.rng.choice((0.0, 0.5))
        self.world.faults.late_write_share = self.rng.choice((0.0, 0.3))

    def _set_failures(self):
        self.world.faults.failed_run_share = self.rng.choice((0.0, 0.1))

    def _freeze(self):
        frozen = set() if self.world.frozen else {self._owner()}
        self.world.frozen = frozen

    def _change_limits(self):
        for team in self.rng.sample(TEAMS, 2):
            self.limits[team] = self.rng.choice((0, 2500, 4000, 8000))
        self._configure()

    def _change_backend(self):
        self.backend_of_batch = self.rng.choice((LEDGER, ANALYSIS))
        self._configure()

    def _cancel(self):
        jobs = sorted(self.world.jobs.keys() - self.world.cancelled.keys())
        if jobs:
            self.world.cancel(self.rng.choice(jobs))


class RandomTeamsTest(testtools.TestCase):
    """The owner keeps the rules for several teams, queues and daemons."""

    @settings(max_examples=EXAMPLES)
    @given(SEEDS)
    def test_no_rule_is_broken(self, seed):
        self.assertEqual([], Play(seed).run())

    @settings(max_examples=EXAMPLES)
    @given(SEEDS)
    def test_gangs_wider_than_all_workers_break_no_rule(self, seed):
        self.assertEqual([], Play(seed, has_wide_gangs=True).run())

    @settings(max_examples=EXAMPLES)
    @given(SEEDS)
    def test_late_entries_of_restarted_workers_break_no_rule(self, seed):
        self.assertEqual([], Play(seed, has_late_entries=True).run())

    @settings(max_examples=EXAMPLES)
    @given(SEEDS)
    def test_shared_workers_break_no_rule(self, seed):
        self.assertEqual([], Play(seed, has_sharing=True).run())

    @settings(max_examples=EXAMPLES)
    @given(SEEDS)
    def test_late_news_breaks_no_rule(self, seed):
        self.assertEqual([], Play(seed, has_late_news=True).run())

    # In these plays jobs may also wait behind large ones (LOST).
    # Regression: this seed had an end acknowledged that was never listed.
    @example(40020)
    @settings(max_examples=EXAMPLES // 2)
    @given(SEEDS)
    def test_long_outages_of_the_store_run_no_task_twice(self, seed):
        violations = Play(
            seed, has_late_entries=True, has_long_outages=True
        ).run()
        severe = [
            text for text in violations if text.startswith(("TWICE", "FAULT"))
        ]
        self.assertEqual([], severe)
