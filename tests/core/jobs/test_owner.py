"""Jobs from acceptance to their end, and the invariants of their runs."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


def _world(**options):
    world = jobclusters.Cluster(**options)
    world.claim(0)
    world.run(0.2)
    return world


class OwnerTest(testtools.TestCase):
    """Jobs in the absence of infrastructure faults."""

    def test_a_job_of_two_steps_is_completed(self):
        world = _world()
        world.submit(
            "j1",
            model.Step(6, CORE, 0.5),
            model.Step(3, CORE, 0.5, after=(0,)),
        )
        world.run(4)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual([], world.violations)
        self.assertEqual(9, len(world.starts))

    def test_tasks_that_do_not_fit_wait(self):
        world = _world(workers=1)
        world.submit("j1", model.Step(10, CORE, 0.5))
        world.run(0.4)
        self.assertEqual(4, len(world.starts))
        world.run(6)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual([], world.violations)

    def test_a_gang_starts_all_its_tasks_or_none(self):
        world = _world(workers=1)
        world.submit("j1", model.Step(2, CORE, 1.0))
        world.run(0.2)
        world.submit("j2", model.Step(4, CORE, 0.5, gang=True))
        world.run(0.4)
        self.assertEqual(2, len(world.starts))
        world.run(5)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j2"))

    def test_an_upper_limit_is_enforced(self):
        world = _world()
        limit = resources.Resources(2000, 0, 0)
        world.configure(world.configuration(version=2, upper_limit=limit))
        world.submit("j1", model.Step(5, CORE, 1.0))
        world.run(0.5)
        self.assertEqual(2, len(world.starts))

    def test_runs_of_a_cancelled_job_are_stopped(self):
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
        world.faults.failed_run_share = 1.0
        world.submit("j1", model.Step(1, CORE, 0.2))
        world.run(30)
        self.assertEqual(model.JobState.FAILED, world.state_of("j1"))
        self.assertEqual(3, len(world.starts))

    def test_standing_tasks_are_restarted(self):
        world = _world()
        world.submit("j1", model.Step(2, CORE, standing=True))
        world.run(1)
        world.crash_worker(world.starts[0].worker_id)
        world.run(12)
        self.assertEqual(3, len(world.starts))
        self.assertEqual([], world.violations)


class FaultTest(testtools.TestCase):
    """Faults of workers, owners and the store."""

    def test_tasks_of_an_unreachable_worker_wait_for_its_lease(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(1, CORE, 30.0))
        world.run(0.5)
        unreachable = world.workers[world.starts[0].worker_id]
        unreachable.is_reachable = False
        lost_at = world.now
        while len(world.starts) < 2:
            world.run(0.1)
            self.assertLess(world.now - lost_at, 8)
        self.assertLessEqual(unreachable.lease_until, world.now)
        self.assertEqual([], world.violations)

    def test_a_delayed_start_never_causes_a_second_run(self):
        world = _world()
        world.faults.late_call_share = 0.3
        for number in range(10):
            world.submit(f"j{number}", model.Step(2, CORE, 0.5))
        world.run(30)
        self.assertEqual([], world.violations)
        world.faults.late_call_share = 0.0
        world.run(30)
        states = {world.state_of(f"j{number}") for number in range(10)}
        self.assertEqual({model.JobState.COMPLETED}, states)

    def test_a_new_owner_adopts_running_tasks(self):
        world = _world()
        world.submit("j1", model.Step(3, CORE, 3.0))
        world.run(1)
        world.frozen.add(0)
        world.claim(1)
        world.run(6)
        self.assertEqual(3, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual([], world.violations)

    def test_an_unstored_end_survives_a_change_of_owner(self):
        world = _world()
        world.faults.is_store_down = True
        world.submit("j1", model.Step(2, CORE, 0.5))
        world.run(2)
        world.faults.is_store_down = False
        world.frozen.add(0)
        world.claim(1)
        world.run(3)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertEqual([], world.violations)

    def test_a_new_owner_delays_only_jobs_of_a_lost_worker(self):
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
        self.assertEqual([], world.violations)

    def test_a_worker_stays_closed_if_its_closing_may_be_stored(self):
        # The write that excludes the worker from starts takes effect, but its
        # answer reports a failure.
        world = _world(workers=1)
        world.submit("j1", model.Step(1, CORE, 30.0))
        world.run(0.5)
        world.faults.lost_write_share = 1.0
        world.workers["w0"].is_reachable = False
        world.run(1.5)
        world.workers["w0"].is_reachable = True
        world.faults.is_store_down = True
        world.run(1)
        world.submit("j2", model.Step(1, CORE, 3.0))
        world.run(1)
        self.assertEqual(1, len(world.starts))

    def test_a_lost_worker_is_remembered_after_a_second_takeover(self):
        world = _world(daemons=5, workers=2)
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
        self.assertEqual([], world.violations)

    def test_a_new_owner_keeps_running_tasks_in_a_store_outage(self):
        world = _world(workers=1)
        world.submit("j1", model.Step(1, CORE, 0.3), model.Step(1, CORE, 3.0))
        world.run(0.2)
        world.faults.is_store_down = True
        world.run(0.5)
        world.frozen.add(0)
        world.claim(1)
        world.run(4)
        self.assertEqual(2, len(world.starts))
        self.assertEqual([], world.violations)

    def test_runs_survive_a_short_loss_of_their_worker(self):
        world = _world(workers=1)
        world.submit("j1", model.Step(1, CORE, 0.3), model.Step(1, CORE, 5.0))
        world.run(0.2)
        worker = world.workers["w0"]
        worker.is_reachable = False
        world.run(3.6)
        world.faults.is_store_down = True
        worker.is_reachable = True
        world.run(3)
        self.assertEqual(2, len(world.starts))
        self.assertEqual([], world.violations)

    def test_a_failure_reported_to_two_owners_counts_once(self):
        world = _world()
        world.faults.failed_run_share = 1.0
        world.faults.is_store_down = True
        world.submit("j1", model.Step(1, CORE, 0.3))
        world.run(0.6)
        world.faults.is_store_down = False
        world.frozen.add(0)
        world.claim(1)
        world.run(30)
        self.assertEqual(3, len(world.starts))

    def test_a_new_owner_waits_for_the_lease_of_an_unreachable_worker(self):
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
        self.assertEqual([], world.violations)

    def test_a_returning_owner_drops_its_unstored_progress(self):
        world = _world()
        world.submit("j1", model.Step(1, CORE, 0.3))
        world.run(0.2)
        world.faults.is_store_down = True
        world.run(1)
        world.claim(1)
        world.claim(0)
        world.faults.is_store_down = False
        world.run(4)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_an_end_is_not_visible_before_it_is_stored(self):
        world = _world()
        world.faults.is_store_down = True
        world.submit("j1", model.Step(1, CORE, 0.3))
        world.run(2)
        visible = world.daemons[0].table["j1"].state
        self.assertNotEqual(model.JobState.COMPLETED, visible)
        world.faults.is_store_down = False
        world.run(1)
        visible = world.daemons[0].table["j1"].state
        self.assertEqual(model.JobState.COMPLETED, visible)

    def test_tasks_are_moved_from_a_stalled_worker(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(2, CORE, 2.0))
        world.run(1.0)
        stalled = world.workers[world.starts[0].worker_id]
        stalled.is_hanging = True
        world.run(7)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
        self.assertNotEqual(stalled.entry.worker_id, world.starts[-1].worker_id)
        self.assertEqual([], world.violations)

    def test_a_job_with_too_short_estimates_is_not_moved(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(3, CORE, 0.5))
        for index in range(3):
            world.durations[f"j1.0.0.{index}"] = 5.0
        world.run(6)
        self.assertEqual(3, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_slow_progress_of_a_long_task_is_not_a_stall(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(2, CORE, 60.0))
        world.run(50)
        self.assertEqual(2, len(world.starts))

    def test_standing_tasks_without_progress_are_not_moved(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(2, CORE, standing=True))
        world.run(20)
        self.assertEqual(2, len(world.starts))


class ConstraintTest(testtools.TestCase):
    """Constraints on when and where the tasks of a step start."""

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

    def test_a_task_waits_for_a_worker_with_its_label(self):
        world = _world()
        world.submit("j1", model.Step(1, CORE, 0.5, label="fast"))
        world.run(2)
        self.assertEqual([], world.starts)

    def test_the_limit_of_tasks_per_worker_is_enforced(self):
        world = _world(workers=3)
        world.submit("j1", model.Step(6, CORE, 5.0, most_per_worker=1))
        world.run(1)
        self.assertEqual(
            ["w0", "w1", "w2"],
            sorted(start.worker_id for start in world.starts),
        )

    def test_a_zone_out_of_service_gets_no_starts(self):
        world = _world()
        world.deliver(
            0, events.ZonesOutChanged(world.now, frozenset({"zone-a"}))
        )
        world.submit("j1", model.Step(1, CORE, 0.5))
        world.run(1)
        self.assertEqual([], world.starts)
        world.deliver(0, events.ZonesOutChanged(world.now, frozenset()))
        world.run(2)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_a_start_carries_a_ticket_of_the_advice_service(self):
        world = _world()
        advice = model.AdviceSettings(0.05, 0.001, 2.0)
        world.configure(world.configuration(version=2, advice=advice))
        world.deliver(0, events.PeersChanged(world.now, frozenset({"a", "b"})))
        world.submit("j1", model.Step(2, CORE, 0.5))
        world.run(1)
        self.assertEqual(2, len(world.starts))
        for start in world.starts:
            self.assertEqual(f"t-{start.worker_id}", start.ticket)


class JobListTest(testtools.TestCase):
    """Lists of jobs that are older than updates from peers."""

    def _apply_empty_list(self, world, revision):
        empty = events.JobsListed(world.now, revision, {}, {}, {})
        world.deliver(0, empty)
        world.run(1)

    def test_a_job_newer_than_the_list_is_kept(self):
        world = _world()
        world.submit("j1", model.Step(2, CORE, 3.0))
        world.run(1)
        self._apply_empty_list(world, world.jobs["j1"][1] - 1)
        self.assertEqual(2, len(world.starts))
        running = [run for w in world.workers.values() for run in w.running]
        self.assertEqual(2, len(running))

    def test_a_job_missing_from_a_newer_list_is_removed(self):
        world = _world()
        world.submit("j1", model.Step(2, CORE, 30.0))
        world.run(1)
        self._apply_empty_list(world, world.jobs["j1"][1])
        running = [run for w in world.workers.values() for run in w.running]
        self.assertEqual([], running)

    def test_a_list_with_unreadable_rows_stops_no_run(self):
        world = _world()
        world.submit("j1", model.Step(2, CORE, 30.0))
        world.run(1)
        revision = world.store.revision
        world.deliver(
            0,
            events.JobsListed(
                world.now, revision, {}, {}, {}, is_complete=False
            ),
        )
        world.run(1)
        running = [run for w in world.workers.values() for run in w.running]
        self.assertEqual(2, len(running))


class DrainTest(testtools.TestCase):
    """Runs on draining workers."""

    def _run_with_drain(self, step, remaining_s):
        world = _world(workers=2)
        world.submit("j1", step)
        world.run(1.0)
        first = world.starts[0].worker_id
        world.drain_worker(first, remaining_s)
        world.run(remaining_s)
        world.crash_worker(first)
        world.unlist_worker(first)
        return world

    def test_nothing_starts_on_a_draining_worker(self):
        world = _world(workers=2)
        world.drain_worker("w0")
        world.submit("j1", model.Step(4, CORE, 0.5))
        world.run(2)
        self.assertEqual({"w1"}, {start.worker_id for start in world.starts})

    def test_a_run_that_ends_in_time_is_not_moved(self):
        world = self._run_with_drain(model.Step(1, CORE, 1.5), 2.5)
        self.assertEqual(1, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_a_run_that_would_be_lost_is_moved_at_once(self):
        world = self._run_with_drain(model.Step(1, CORE, 20.0), 2.5)
        self.assertEqual(2, len(world.starts))
        self.assertEqual([], world.violations)

    def test_standing_tasks_are_moved_at_once(self):
        world = self._run_with_drain(model.Step(2, CORE, standing=True), 2.5)
        placed = [start.worker_id for start in world.starts]
        self.assertEqual({"w0", "w1"}, set(placed[:2]))
        self.assertEqual(3, len(placed))
        self.assertNotEqual(placed[0], placed[2])
        self.assertEqual([], world.violations)


class InterferenceTest(testtools.TestCase):
    """Tasks that fill are kept apart from tasks with a latency target."""

    def test_tasks_that_fill_avoid_workers_of_serving_tasks(self):
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

    def test_serving_tasks_avoid_workers_of_tasks_that_fill(self):
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

    def test_many_simultaneous_ends_are_stored_promptly(self):
        count = 400
        world = _world(workers=100)
        for number in range(count):
            world.submit(f"j{number}", model.Step(1, CORE, 1.0))
        # Each end is reported within 2.5 s: 1 s of work and one hold call.
        world.run(3.0)
        self.assertEqual(count, len(world.starts))
        states = [world.state_of(f"j{number}") for number in range(count)]
        self.assertEqual(count, states.count(model.JobState.COMPLETED))
