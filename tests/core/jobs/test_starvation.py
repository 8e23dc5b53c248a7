"""Jobs that could run are not kept waiting by others that can't."""

import dataclasses
import itertools

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)
# Most time for which a job that could run may have nothing running.
LONGEST_IDLE_S = 3.0
ADVICE = model.AdviceSettings(0.05, 0.001, 2.0)
URGENT, ROUTINE = "urgent", "routine"


def _cores(count):
    return resources.Resources(int(1000 * count), 100, 0)


def _world(workers=4, askers=6, urgent_advice=ADVICE, advice=None, **options):
    """Returns a cluster with an urgent and a routine queue on one back end."""
    world = jobclusters.Cluster(workers=workers, **options)
    configuration = world.configuration(version=2)
    queue = configuration.queues[jobclusters.QUEUE]
    queues = {
        URGENT: dataclasses.replace(
            queue, name=URGENT, priority=0, advice=urgent_advice
        ),
        ROUTINE: dataclasses.replace(
            queue, name=ROUTINE, priority=1, advice=advice
        ),
    }
    world.configure(dataclasses.replace(configuration, queues=queues))
    names = frozenset(f"daemon-{number}" for number in range(askers))
    for number in range(len(world.daemons)):
        world.deliver(number, events.PeersChanged(world.now, names))
    world.claim(0)
    world.run(0.2)
    return world


def _starts(world, job_id):
    """Returns how long each task of a job waited for its first start."""
    found = {}
    for decision in world.decisions:
        if decision.rule == "start" and decision.job_id == job_id:
            found.setdefault(decision.task_id, decision.fields["waited_s"])
    return found


class ReservationTest(testtools.TestCase):
    """Workers are reserved only for tasks that can start there."""

    def _check_not_starved(self, world, team="a"):
        """Submits a routine job, whose tasks must start soon."""
        step = model.Step(2, CORE, 1.0)
        world.submit("routine", step, queue=ROUTINE, team=team)
        world.run(LONGEST_IDLE_S)
        starts = _starts(world, "routine")
        self.assertEqual(2, len(starts))
        self.assertLess(max(starts.values()), 1.0)
        self.assertEqual([], world.violations)

    def test_a_gang_too_large_for_its_workers_keeps_no_worker_idle(self):
        world = _world(advice=ADVICE)
        world.submit(
            "gang", model.Step(20, _cores(2), 1.0, gang=True), queue=URGENT
        )
        world.run(1.0)
        self._check_not_starved(world)

    def test_a_gang_of_one_a_worker_keeps_no_worker_idle(self):
        world = _world()
        step = model.Step(8, _cores(2), 1.0, gang=True, most_per_worker=1)
        world.submit("gang", step, queue=URGENT)
        world.run(1.0)
        self._check_not_starved(world)

    def test_a_step_at_its_limit_on_each_worker_keeps_no_room_idle(self):
        world = _world()
        step = model.Step(20, _cores(2), standing=True, most_per_worker=1)
        world.submit("standing", step, queue=URGENT)
        world.run(1.0)
        self.assertEqual(4, len(world.starts))
        self._check_not_starved(world)

    def test_standing_runs_beside_a_large_task_keep_no_room_idle(self):
        world = _world()
        standing = model.Step(4, CORE, standing=True)
        world.submit("standing", standing, queue=ROUTINE)
        world.run(1.0)
        world.submit("large", model.Step(4, _cores(4), 1.0), queue=URGENT)
        world.run(1.0)
        self._check_not_starved(world)

    def test_a_team_near_its_limit_reserves_only_what_it_may_use(self):
        world = _world()
        configuration = world.daemons[0].configuration
        other = model.Team("b", 100.0, resources.ZERO, ("other",))
        team = dataclasses.replace(
            configuration.teams["a"], upper_limit=_cores(3)
        )
        world.configure(
            dataclasses.replace(
                configuration, version=3, teams={"a": team, "b": other}
            )
        )
        running = model.Step(4, _cores(2), 9.0, most_per_worker=1)
        world.submit("running", running, queue=ROUTINE, team="b")
        world.run(1.0)
        world.submit("large", model.Step(4, _cores(3), 1.0), queue=URGENT)
        world.run(1.0)
        self._check_not_starved(world, team="b")

    def test_tasks_that_fill_keep_no_worker_of_serving_tasks_idle(self):
        world = _world()
        serving = model.Step(
            4, CORE, standing=True, target_ms=20, most_per_worker=1
        )
        world.submit("serving", serving, queue=ROUTINE)
        world.run(1.0)
        step = model.Step(
            12, resources.Resources(1000, 2000, 0), 1.0, fills=True
        )
        world.submit("fill", step, queue=URGENT)
        world.run(1.0)
        self._check_not_starved(world)

    def test_a_suspended_worker_is_not_reserved(self):
        world = _world(workers=2)
        world.submit("large", model.Step(1, _cores(3), 1.0), queue=URGENT)
        owner = world.daemons[0].owner
        for worker in owner.workers.values():
            worker.backoff_until = world.now + 60.0
        owner.workers["w0"].backoff_until = 0.0
        world.submit("small", model.Step(1, CORE, 5.0), queue=ROUTINE)
        world.run(1.0)
        for worker in owner.workers.values():
            worker.backoff_until = world.now + 60.0
        world.run(0.5)
        self.assertEqual(
            set(),
            {
                name
                for group in owner.groups.values()
                for name in group.reserved
            },
        )


class LargeTaskTest(testtools.TestCase):
    """Large tasks and gangs get room under a stream of small tasks."""

    def _play(self, step, seconds, *, small_s=1.5, per_s=10, workers=4):
        """Submits small jobs all the time, and one large one."""
        world = _world(workers=workers)
        for number in range(int(seconds * per_s)):
            if number == 3 * per_s:
                world.submit("large", step, queue=URGENT)
            world.submit(
                f"small{number}", model.Step(1, CORE, small_s), queue=ROUTINE
            )
            world.run(1.0 / per_s)
        self.assertEqual([], world.violations)
        return world

    def test_a_large_task_is_served_under_a_stream_of_small_tasks(self):
        world = self._play(model.Step(1, _cores(4), 1.0), 12.0)
        waits = _starts(world, "large").values()
        self.assertEqual(1, len(waits))
        self.assertLess(max(waits), 4.0)

    def test_a_gang_is_served_under_a_stream_of_small_tasks(self):
        step = model.Step(4, _cores(3), 1.0, gang=True)
        world = self._play(step, 15.0)
        waits = _starts(world, "large").values()
        self.assertEqual(4, len(waits))
        self.assertLess(max(waits), 6.0)

    def test_jobs_that_wait_for_a_gang_do_not_starve_it(self):
        for small_s, per_s in ((1.9, 10), (2.5, 6)):
            step = model.Step(4, _cores(3), 1.0, gang=True)
            world = self._play(step, 15.0, small_s=small_s, per_s=per_s)
            waits = _starts(world, "large").values()
            self.assertEqual(4, len(waits), (small_s, per_s))
            self.assertLess(max(waits), 6.0)


class AgingTest(testtools.TestCase):
    """Work that waits beside idle reserved workers starts within 3 s."""

    def _occupy(self, *, cores=1):
        """Runs one long task on each worker; a gang waits for their ends."""
        world = _world()
        step = model.Step(4, _cores(cores), 12.0, most_per_worker=1)
        world.submit("long", step, queue=ROUTINE)
        world.run(1.0)
        gang = model.Step(4, _cores(4), 1.0, gang=True)
        world.submit("gang", gang, queue=URGENT)
        world.run(1.0)
        return world

    def test_a_job_is_not_starved_while_workers_drain_for_a_gang(self):
        world = self._occupy()
        world.submit("small", model.Step(2, CORE, 1.0), queue=ROUTINE)
        world.run(LONGEST_IDLE_S)
        self.assertLess(0, len(_starts(world, "small")))
        world.run(15.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("gang"))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("small"))
        self.assertEqual([], world.violations)

    def test_each_standing_task_starts_while_workers_drain_for_a_gang(self):
        world = self._occupy()
        step = model.Step(3, CORE, standing=True)
        world.submit("standing", step, queue=ROUTINE)
        world.run(LONGEST_IDLE_S)
        self.assertEqual(3, len(_starts(world, "standing")))

    def test_standing_tasks_start_beside_reservations_however_full_it_is(self):
        world = _world()
        large = model.Step(4, _cores(2.5), 11.0, most_per_worker=1)
        for number in range(2):
            world.submit(f"large{number}", large, queue=URGENT)
        world.run(1.0)
        step = model.Step(3, _cores(0.5), standing=True)
        world.submit("standing", step, queue=ROUTINE)
        world.run(LONGEST_IDLE_S)
        self.assertEqual(3, len(_starts(world, "standing")))
        world.run(25.0)
        for number in range(2):
            state_of_large = world.state_of(f"large{number}")
            self.assertEqual(model.JobState.COMPLETED, state_of_large)
        self.assertEqual([], world.violations)

    def test_a_standing_task_starts_where_it_blocks_no_reservation(self):
        world = _world(workers=1)
        world.add_worker("z0", 6000)
        world.run(0.5)
        for job_id, cores in (("now", 3), ("next", 3.5)):
            step = model.Step(2, _cores(cores), 11.0, most_per_worker=1)
            world.submit(job_id, step, queue=URGENT)
            world.run(0.5)
        step = model.Step(1, _cores(1), standing=True)
        world.submit("standing", step, queue=ROUTINE)
        world.run(LONGEST_IDLE_S)
        starts = [s for s in world.starts if s.task_id.startswith("standing")]
        self.assertEqual(["z0"], [start.worker_id for start in starts])

    def test_a_gang_is_not_starved_while_workers_drain_for_another(self):
        world = self._occupy()
        step = model.Step(4, CORE, 1.0, gang=True)
        world.submit("small", step, queue=ROUTINE)
        world.run(LONGEST_IDLE_S)
        self.assertEqual(4, len(_starts(world, "small")))

    def test_reservations_hold_while_most_of_the_capacity_is_in_use(self):
        world = self._occupy(cores=3)
        world.submit("small", model.Step(2, CORE, 1.0), queue=ROUTINE)
        world.run(LONGEST_IDLE_S)
        self.assertEqual({}, _starts(world, "small"))
        world.run(15.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("gang"))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("small"))


class AdviceTest(testtools.TestCase):
    """Calls for advice go first to steps that could start with the answer."""

    SLOW = model.AdviceSettings(0.6, 0.01, 2.0)

    def _world_of_waiting_gangs(self, step, *, count=16):
        world = _world(urgent_advice=self.SLOW, advice=self.SLOW)
        for number in range(count):
            world.submit(f"waiting{number}", step, queue=URGENT)
        world.run(5.0)
        return world

    def test_renewals_for_gangs_that_never_fit_keep_no_job_without_tickets(
        self,
    ):
        step = model.Step(20, _cores(2), 1.0, gang=True)
        world = self._world_of_waiting_gangs(step)
        for number in range(4):
            world.submit(f"r{number}", model.Step(1, CORE, 0.5), queue=ROUTINE)
        world.run(LONGEST_IDLE_S)
        for number in range(4):
            self.assertEqual(1, len(_starts(world, f"r{number}")))

    def test_renewals_for_tasks_without_room_keep_no_job_without_tickets(self):
        world = _world(workers=8, urgent_advice=self.SLOW, advice=self.SLOW)
        step = model.Step(8, _cores(2.5), standing=True, most_per_worker=1)
        world.submit("standing", step, queue=ROUTINE)
        world.run(2.0)
        for number in range(16):
            large = model.Step(1, _cores(2), 1.0)
            world.submit(f"waiting{number}", large, queue=URGENT)
        world.run(5.0)
        for number in range(4):
            world.submit(f"r{number}", model.Step(1, CORE, 0.5), queue=ROUTINE)
        world.run(LONGEST_IDLE_S)
        for number in range(4):
            self.assertEqual(1, len(_starts(world, f"r{number}")))

    def test_short_calls_of_urgent_steps_keep_no_standing_step_waiting(self):
        fast = model.AdviceSettings(0.09, 0.0, 2.0)
        world = _world(
            workers=20, askers=4, urgent_advice=fast, advice=self.SLOW
        )
        tiny = resources.Resources(10, 10, 0)
        for number in range(300):
            world.submit(f"u{number}", model.Step(1, tiny, 1.0), queue=URGENT)
        step = model.Step(1, CORE, standing=True)
        world.submit("standing", step, queue=ROUTINE)
        world.run(LONGEST_IDLE_S)
        self.assertEqual(1, len(_starts(world, "standing")))

    def _ask_about_the_only_worker(self, good_share=0.0):
        """Asks for advice; the answer, 0.6 s later, finds it unfit or good."""
        world = _world(workers=1, urgent_advice=self.SLOW)
        world.good_share = good_share
        world.submit("j1", model.Step(1, CORE, 0.5), queue=URGENT)
        world.run(0.1)
        world.good_share = 1.0
        return world

    def test_an_answer_about_a_former_life_does_not_make_a_worker_unfit(self):
        world = self._ask_about_the_only_worker()
        world.restart_worker("w0")
        world.run(LONGEST_IDLE_S)
        self.assertEqual(1, len(_starts(world, "j1")))

    def test_a_ticket_of_a_former_life_is_not_used(self):
        world = self._ask_about_the_only_worker(good_share=1.0)
        world.restart_worker("w0")
        world.run(1.0)
        self.assertEqual([], world.starts)
        world.run(1.0)
        self.assertEqual(1, len(world.starts))

    def test_an_answer_about_an_unlisted_worker_does_not_make_it_unfit(self):
        world = self._ask_about_the_only_worker()
        entry = world.workers["w0"].entry
        world.unlist_worker("w0")
        world.run(1.0)
        world.deliver(0, events.WorkerChanged(world.now, "w0", entry))
        world.run(LONGEST_IDLE_S)
        self.assertEqual(1, len(_starts(world, "j1")))


class FailingJobTest(testtools.TestCase):
    """A job whose tasks always fail closes no worker to others."""

    RUN_S = 0.2

    def _run(self, world, seconds):
        """Advances time; runs of the job "poison" fail after `RUN_S`."""
        end = world.now + seconds
        while world.now < end:
            for worker in world.workers.values():
                for run in worker.running.values():
                    if run.task_id.startswith("poison"):
                        run.outcome = model.RunOutcome.FAILED
                        run.ends_at = min(run.ends_at, world.now + self.RUN_S)
            world.run(0.1)

    def _check_not_starved(self, world, after_s=4.0):
        self._run(world, after_s)
        for number in range(4):
            job_id = f"good{number}"
            world.submit(job_id, model.Step(1, CORE, 0.5), queue=ROUTINE)
            self._run(world, 0.7)
        for number in range(4):
            waits = _starts(world, f"good{number}").values()
            self.assertEqual(1, len(waits))
            self.assertLess(max(waits), 0.5)

    def test_standing_tasks_that_always_fail_suspend_no_worker(self):
        world = _world()
        step = model.Step(4, CORE, standing=True)
        world.submit("poison", step, queue=ROUTINE)
        self._check_not_starved(world)

    def test_many_tasks_that_always_fail_suspend_no_fleet(self):
        world = _world()
        configuration = world.daemons[0].configuration
        queue = dataclasses.replace(
            configuration.queues[ROUTINE], max_attempts=1000
        )
        world.configure(
            dataclasses.replace(
                configuration, version=3, queues={ROUTINE: queue}
            )
        )
        world.submit("poison", model.Step(4, CORE, 1.0), queue=ROUTINE)
        self._check_not_starved(world)

    def test_jobs_that_always_fail_suspend_no_fleet(self):
        world = _world()
        for number in range(2):
            step = model.Step(8, CORE, 1.0)
            world.submit(f"poison{number}", step, queue=ROUTINE)
        self._check_not_starved(world, after_s=1.0)

    def test_a_worker_that_fails_tasks_of_several_jobs_is_suspended(self):
        world = _world()
        for number in range(6):
            step = model.Step(4, CORE, 1.0)
            world.submit(f"job{number}", step, queue=ROUTINE)
        for _ in range(20):
            for run in world.workers["w1"].running.values():
                run.outcome = model.RunOutcome.FAILED
                run.ends_at = min(run.ends_at, world.now + self.RUN_S)
            world.run(0.1)
        worker = world.daemons[0].owner.workers["w1"]
        self.assertGreater(worker.backoff_until, 0.0)

    def test_failing_jobs_do_not_close_the_only_worker_with_a_ticket(self):
        world = _world(advice=ADVICE)
        self.patch(world, "is_good", lambda group, name: name == "w0")
        small = resources.Resources(100, 10, 0)
        for number in range(3):
            jobs = [f"poison{number}{attempt}" for attempt in range(6)]
            world.hopeless.update(jobs)
            for job_id in jobs:
                world.submit(job_id, model.Step(2, small, 0.1), queue=ROUTINE)
            world.run(4.0)
            world.submit(f"j{number}", model.Step(1, CORE, 0.5), queue=ROUTINE)
        world.run(10.0)
        self.assertEqual([], world.violations)

    def test_tasks_that_fail_on_their_only_worker_pause_between_attempts(self):
        world = _world()
        world.hopeless.add("poison")
        step = model.Step(1, CORE, 0.1, standing=True, label="rack-w0")
        world.submit("poison", step, queue=ROUTINE)
        starts_at = []
        for _ in range(100):
            before = len(world.starts)
            world.run(0.1)
            starts_at += [world.now] * (len(world.starts) - before)
        # One failure does not suspend a worker.
        gaps = [b - a for a, b in itertools.pairwise(starts_at[1:])]
        self.assertGreater(len(gaps), 3)
        self.assertGreater(min(gaps), 1.0)
        self.assertLess(max(gaps), LONGEST_IDLE_S)

    def test_tasks_with_a_choice_start_on_no_suspended_worker(self):
        world = _world()
        sick = world.workers["w1"]
        suspended_rounds = 0
        on_suspended = []
        for number in range(40):
            step = model.Step(4, CORE, 0.6)
            world.submit(f"job{number}", step, queue=ROUTINE)
            for _ in range(5):
                worker = world.daemons[0].owner.workers["w1"]
                is_suspended = worker.backoff_until > world.now + 0.1
                before = len(world.starts)
                world.run(0.1)
                if is_suspended:
                    suspended_rounds += 1
                    on_suspended += [
                        start
                        for start in world.starts[before:]
                        if start.worker_id == "w1"
                    ]
                for run in sick.running.values():
                    run.outcome = model.RunOutcome.FAILED
                    run.ends_at = min(run.ends_at, world.now)
        self.assertGreater(suspended_rounds, 20)
        self.assertEqual([], on_suspended)


class TakeOverTest(testtools.TestCase):
    """Runs of a former owner disturb no current ones."""

    def test_an_end_of_a_former_owner_does_not_stop_a_gang_again(self):
        world = _world(workers=4, urgent_advice=None)
        step = model.Step(2, _cores(3), 8.0, gang=True)
        world.submit("gang", step, queue=URGENT)
        world.run(0.5)
        cut = world.workers[world.starts[0].worker_id]
        cut.is_reachable = False
        world.run(1.0)
        world.claim(1)
        for worker in world.workers.values():
            for run in worker.running.values():
                run.outcome = model.RunOutcome.LAPSED
                run.ends_at = world.now
        world.run(9.0)
        before = len(world.starts)
        self.assertEqual(4, before)
        cut.is_reachable = True
        world.run(3.0)
        self.assertEqual(before, len(world.starts))
        world.run(8.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("gang"))
