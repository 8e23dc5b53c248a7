"""One owner: jobs from acceptance to their end, and what must never be."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobworlds

CORE = resources.Resources(1000, 100, 0)


def _world(**options):
    world = jobworlds.World(**options)
    world.claim(0)
    world.run(0.2)
    return world


class OwnerTest(testtools.TestCase):
    """Jobs of a calm day."""

    def test_a_job_of_two_steps_is_completed(self):
        world = _world()
        world.submit(
            "j1",
            model.Step(6, CORE, 0.5),
            model.Step(3, CORE, 0.5, after=(0,)),
        )
        world.run(4)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual([], world.broken)
        self.assertEqual(9, len(world.starts))

    def test_what_does_not_fit_waits(self):
        world = _world(workers=1)
        world.submit("j1", model.Step(10, CORE, 0.5))
        world.run(0.4)
        self.assertEqual(4, len(world.starts))
        world.run(6)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual([], world.broken)

    def test_a_gang_starts_whole_or_not_at_all(self):
        world = _world(workers=1)
        world.submit("j1", model.Step(2, CORE, 1.0))
        world.run(0.2)
        world.submit("j2", model.Step(4, CORE, 0.5, gang=True))
        world.run(0.4)
        self.assertEqual(2, len(world.starts))
        world.run(5)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j2"))

    def test_an_upper_limit_holds(self):
        world = _world()
        limit = resources.Resources(2000, 0, 0)
        world.configure(world.configuration(version=2, upper_limit=limit))
        world.submit("j1", model.Step(5, CORE, 1.0))
        world.run(0.5)
        self.assertEqual(2, len(world.starts))

    def test_a_cancelled_jobs_runs_are_stopped(self):
        world = _world()
        world.submit("j1", model.Step(3, CORE, 50.0))
        world.run(0.5)
        world.cancel("j1")
        world.run(2)
        running = [run for w in world.workers.values() for run in w.running]
        self.assertEqual([], running)
        self.assertEqual(model.JobState.CANCELLED, world.state_of("j1"))

    def test_too_many_failures_fail_the_job(self):
        world = _world()
        world.trouble.failing = 1.0
        world.submit("j1", model.Step(1, CORE, 0.2))
        world.run(30)
        self.assertEqual(model.JobState.FAILED, world.state_of("j1"))
        self.assertEqual(3, len(world.starts))

    def test_standing_tasks_start_again(self):
        world = _world()
        world.submit("j1", model.Step(2, CORE, standing=True))
        world.run(1)
        world.crash_worker(world.starts[0].worker_id)
        world.run(12)
        self.assertEqual(3, len(world.starts))
        self.assertEqual([], world.broken)


class TroubleTest(testtools.TestCase):
    """Workers and owners that fail."""

    def test_an_unreachable_workers_tasks_wait_for_its_lease(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(1, CORE, 30.0))
        world.run(0.5)
        first = world.workers[world.starts[0].worker_id]
        first.is_reachable = False
        lost_at = world.now
        while len(world.starts) < 2:
            world.run(0.1)
            self.assertLess(world.now - lost_at, 8)
        self.assertLessEqual(first.lease_until, world.now)
        self.assertEqual([], world.broken)

    def test_a_late_start_is_never_a_second_run(self):
        world = _world()
        world.trouble.late = 0.3
        for number in range(10):
            world.submit(f"j{number}", model.Step(2, CORE, 0.5))
        world.run(30)
        self.assertEqual([], world.broken)
        world.trouble.late = 0.0
        world.run(30)
        states = {world.state_of(f"j{number}") for number in range(10)}
        self.assertEqual({model.JobState.COMPLETED}, states)

    def test_a_new_owner_adopts_what_runs(self):
        world = _world()
        world.submit("j1", model.Step(3, CORE, 3.0))
        world.run(1)
        world.frozen.add(0)
        world.claim(1)
        world.run(6)
        self.assertEqual(3, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual([], world.broken)

    def test_an_end_that_is_not_stored_is_not_lost_with_the_owner(self):
        world = _world()
        world.trouble.is_store_down = True
        world.submit("j1", model.Step(2, CORE, 0.5))
        world.run(2)
        world.trouble.is_store_down = False
        world.frozen.add(0)
        world.claim(1)
        world.run(3)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual([], world.broken)

    def test_only_jobs_of_a_lost_worker_wait_for_it(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(1, CORE, 30.0))
        world.run(1)
        world.submit("j2", model.Step(1, CORE, 30.0))
        world.run(0.5)
        lost = world.starts[0].worker_id
        world.workers[lost].is_reachable = False
        world.run(2.5)
        world.submit("j3", model.Step(1, CORE, 0.5))
        world.frozen.add(0)
        world.claim(1)
        world.run(1.5)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j3"))
        self.assertEqual([], world.broken)

    def test_a_closing_that_may_be_stored_keeps_a_worker_closed(self):
        world = _world(workers=1)
        world.submit("j1", model.Step(1, CORE, 30.0))
        world.run(0.5)
        world.trouble.lost_writes = 1.0
        world.workers["w0"].is_reachable = False
        world.run(1.5)
        world.workers["w0"].is_reachable = True
        world.trouble.is_store_down = True
        world.run(1)
        world.submit("j2", model.Step(1, CORE, 3.0))
        world.run(1)
        self.assertEqual(1, len(world.starts))

    def test_a_second_takeover_still_knows_the_lost_worker(self):
        world = _world(daemons=3, workers=2)
        world.submit("j1", model.Step(1, CORE, 30.0))
        world.run(1)
        world.workers[world.starts[0].worker_id].is_reachable = False
        world.unlist_worker(world.starts[0].worker_id)
        world.frozen = {0}
        world.claim(1)
        world.run(0.5)
        world.frozen = {0, 1}
        world.claim(2)
        world.run(12)
        self.assertEqual(2, len(world.starts))
        self.assertEqual([], world.broken)

    def test_a_new_owner_keeps_what_runs_while_the_store_is_down(self):
        world = _world(workers=1)
        world.submit("j1", model.Step(1, CORE, 0.3), model.Step(1, CORE, 3.0))
        world.run(0.2)
        world.trouble.is_store_down = True
        world.run(0.5)
        world.frozen.add(0)
        world.claim(1)
        world.run(4)
        self.assertEqual(2, len(world.starts))
        self.assertEqual([], world.broken)

    def test_an_answer_after_a_pause_keeps_what_runs(self):
        world = _world(workers=1)
        world.submit("j1", model.Step(1, CORE, 0.3), model.Step(1, CORE, 5.0))
        world.run(0.2)
        worker = world.workers["w0"]
        worker.is_reachable = False
        world.run(3.6)
        world.trouble.is_store_down = True
        worker.is_reachable = True
        world.run(3)
        self.assertEqual(2, len(world.starts))
        self.assertEqual([], world.broken)

    def test_a_failure_counts_once_with_two_owners(self):
        world = _world()
        world.trouble.failing = 1.0
        world.trouble.is_store_down = True
        world.submit("j1", model.Step(1, CORE, 0.3))
        world.run(0.6)
        world.trouble.is_store_down = False
        world.frozen.add(0)
        world.claim(1)
        world.run(30)
        self.assertEqual(3, len(world.starts))

    def test_a_new_owner_waits_for_a_worker_that_it_cannot_reach(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(1, CORE, 30.0))
        world.run(1)
        world.workers[world.starts[0].worker_id].is_reachable = False
        world.frozen.add(0)
        world.claim(1)
        world.run(4)
        self.assertEqual(1, len(world.starts))
        world.run(9)
        self.assertEqual(2, len(world.starts))
        self.assertEqual([], world.broken)

    def test_an_owner_that_returns_forgets_what_it_had_not_stored(self):
        world = _world()
        world.submit("j1", model.Step(1, CORE, 0.3))
        world.run(0.2)
        world.trouble.is_store_down = True
        world.run(1)
        world.claim(1)
        world.claim(0)
        world.trouble.is_store_down = False
        world.run(4)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_an_end_is_not_shown_before_it_is_stored(self):
        world = _world()
        world.trouble.is_store_down = True
        world.submit("j1", model.Step(1, CORE, 0.3))
        world.run(2)
        shown = world.daemons[0].table["j1"].state
        self.assertNotEqual(model.JobState.COMPLETED, shown)
        world.trouble.is_store_down = False
        world.run(1)
        shown = world.daemons[0].table["j1"].state
        self.assertEqual(model.JobState.COMPLETED, shown)

    def test_tasks_move_away_from_a_worker_that_stands_still(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(2, CORE, 2.0))
        world.run(1.0)
        first = world.workers[world.starts[0].worker_id]
        first.is_hanging = True
        world.run(7)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertNotEqual(first.entry.worker_id, world.starts[-1].worker_id)
        self.assertEqual([], world.broken)

    def test_a_job_that_is_declared_too_short_stays(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(3, CORE, 0.5))
        for index in range(3):
            world.durations[f"j1.0.0.{index}"] = 5.0
        world.run(6)
        self.assertEqual(3, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_slow_progress_of_a_long_task_is_no_stall(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(2, CORE, 60.0))
        world.run(50)
        self.assertEqual(2, len(world.starts))

    def test_standing_tasks_show_no_progress_and_stay(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(2, CORE, standing=True))
        world.run(20)
        self.assertEqual(2, len(world.starts))


class WishTest(testtools.TestCase):
    """What a step asks of its workers, and when."""

    def test_repetitions_start_when_they_are_due(self):
        world = _world()
        world.submit(
            "j1",
            model.Step(1, CORE, 0.3),
            repeats=3,
            first_run_at=world.now + 1.0,
            interval_s=1.0,
        )
        world.run(0.8)
        self.assertEqual(0, len(world.starts))
        world.run(0.5)
        self.assertEqual(1, len(world.starts))
        world.run(3.0)
        self.assertEqual(
            ["j1.0.0.0", "j1.1.0.0", "j1.2.0.0"],
            [start.task_id for start in world.starts],
        )
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_the_rack_of_the_data_is_preferred(self):
        world = _world()
        world.submit("j1", model.Step(2, CORE, 0.5, rack="rack-w2"))
        world.run(0.5)
        self.assertEqual({"w2"}, {start.worker_id for start in world.starts})

    def test_a_label_that_no_worker_has_is_waited_for(self):
        world = _world()
        world.submit("j1", model.Step(1, CORE, 0.5, label="fast"))
        world.run(2)
        self.assertEqual([], world.starts)

    def test_at_most_so_many_tasks_run_on_one_worker(self):
        world = _world(workers=3)
        world.submit("j1", model.Step(6, CORE, 5.0, most_per_worker=1))
        world.run(1)
        self.assertEqual(
            ["w0", "w1", "w2"],
            sorted(start.worker_id for start in world.starts),
        )

    def test_a_zone_that_is_taken_out_gets_no_starts(self):
        world = _world()
        world.tell(0, events.ZonesOutChanged(world.now, frozenset({"zone-a"})))
        world.submit("j1", model.Step(1, CORE, 0.5))
        world.run(1)
        self.assertEqual([], world.starts)
        world.tell(0, events.ZonesOutChanged(world.now, frozenset()))
        world.run(2)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_advice_is_asked_before_a_start_and_its_ticket_sent(self):
        world = _world()
        advice = model.AdviceSettings(0.05, 0.001, 2.0)
        world.configure(world.configuration(version=2, advice=advice))
        world.tell(0, events.PeersChanged(world.now, frozenset({"a", "b"})))
        world.submit("j1", model.Step(2, CORE, 0.5))
        world.run(1)
        self.assertEqual(2, len(world.starts))
        for start in world.starts:
            self.assertEqual(f"t-{start.worker_id}", start.ticket)


class ListTest(testtools.TestCase):
    """Lists of jobs that are older than what peers have told."""

    def _listed_without_jobs(self, world, revision):
        listed = events.JobsListed(world.now, revision, {}, {}, set())
        world.tell(0, listed)
        world.run(1)

    def test_a_job_that_is_newer_than_the_list_stays(self):
        world = _world()
        world.submit("j1", model.Step(2, CORE, 3.0))
        world.run(1)
        self._listed_without_jobs(world, world.jobs["j1"][1] - 1)
        self.assertEqual(2, len(world.starts))
        running = [run for w in world.workers.values() for run in w.running]
        self.assertEqual(2, len(running))

    def test_a_job_that_the_list_should_have_is_gone(self):
        world = _world()
        world.submit("j1", model.Step(2, CORE, 30.0))
        world.run(1)
        self._listed_without_jobs(world, world.jobs["j1"][1])
        running = [run for w in world.workers.values() for run in w.running]
        self.assertEqual([], running)


class DrainTest(testtools.TestCase):
    """Workers that leave."""

    def _drained(self, step, remaining_s):
        world = _world(workers=2)
        world.submit("j1", step)
        world.run(1.0)
        first = world.starts[0].worker_id
        world.drain_worker(first, remaining_s)
        world.run(remaining_s)
        world.crash_worker(first)
        world.unlist_worker(first)
        return world

    def test_nothing_starts_on_a_leaving_worker(self):
        world = _world(workers=2)
        world.drain_worker("w0")
        world.submit("j1", model.Step(4, CORE, 0.5))
        world.run(2)
        self.assertEqual({"w1"}, {start.worker_id for start in world.starts})

    def test_what_ends_in_time_stays(self):
        world = self._drained(model.Step(1, CORE, 1.5), 2.5)
        self.assertEqual(1, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_what_would_be_lost_moves_at_once(self):
        world = self._drained(model.Step(1, CORE, 20.0), 2.5)
        self.assertEqual(2, len(world.starts))
        self.assertEqual([], world.broken)

    def test_standing_tasks_move_at_once(self):
        world = self._drained(model.Step(2, CORE, standing=True), 2.5)
        placed = [start.worker_id for start in world.starts]
        self.assertEqual({"w0", "w1"}, set(placed[:2]))
        self.assertEqual(3, len(placed))
        self.assertNotEqual(placed[0], placed[2])
        self.assertEqual([], world.broken)


class SharingTest(testtools.TestCase):
    """Tasks that disturb each other."""

    def test_tasks_that_fill_stay_away_from_serving_ones(self):
        world = _world(workers=3)
        world.submit(
            "j1", model.Step(2, CORE, standing=True, target_ms=50, image="a")
        )
        world.run(1)
        world.submit("j2", model.Step(6, CORE, 3.0, fills=True, image="b"))
        world.run(1)
        serving = {start.worker_id for start in world.starts[:2]}
        filling = {start.worker_id for start in world.starts[2:]}
        self.assertEqual(1, len(serving))
        self.assertEqual(6, len(world.starts[2:]))
        self.assertEqual(set(), serving & filling)

    def test_serving_tasks_stay_away_from_those_that_fill(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(1, CORE, 30.0, fills=True))
        world.run(1)
        world.submit("j2", model.Step(3, CORE, standing=True, target_ms=50))
        world.run(1)
        filling = world.starts[0].worker_id
        serving = {start.worker_id for start in world.starts[1:]}
        self.assertEqual(3, len(world.starts[1:]))
        self.assertNotIn(filling, serving)


class WritingTest(testtools.TestCase):
    """Writes of progress under load."""

    def test_many_ends_at_once_are_stored_without_pauses(self):
        count = 400
        world = _world(workers=100)
        for number in range(count):
            world.submit(f"j{number}", model.Step(1, CORE, 1.0))
        # Each end is listed within 2.5 s: a second of work and a hold.
        world.run(3.0)
        self.assertEqual(count, len(world.starts))
        states = [world.state_of(f"j{number}") for number in range(count)]
        self.assertEqual(count, states.count(model.JobState.COMPLETED))
