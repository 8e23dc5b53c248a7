"""The simulated cluster records what violates the scheduling rules."""

import dataclasses

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters
from mimosaridge_fakes import jobfaults

CORE = resources.Resources(1000, 100, 0)
LIMIT = resources.Resources(4000, 0, 0)


def _unowned(*steps, **options):
    """Returns a cluster with a job that no daemon places."""
    world = jobclusters.Cluster(daemons=1, **options)
    world.submit("j1", *steps)
    return world


def _incarnation(world, worker_id):
    """Returns the incarnation that an order of the owner names."""
    owner = world.daemons[0].owner
    return owner.workers[worker_id].incarnation if owner else 0


def _start(world, index, worker_id="w0", ticket="", step=0):
    """Orders a start as the daemon with the latest token would."""
    start = effects.Start(
        worker_id,
        f"{worker_id}:80",
        world.owner_revision,
        model.task_id("j1", 0, step, index),
        1,
        "text",
        "",
        ticket,
        int((world.now + 1.5) * 1000),
        _incarnation(world, worker_id),
    )
    world.execute(0, start)
    world.run(0.1)


class StartTest(testtools.TestCase):
    """Checks of each start."""

    def test_a_worker_without_the_label_is_recorded(self):
        world = _unowned(model.Step(1, CORE, 5.0, label="kind-b"))
        _start(world, 0)
        self.assertEqual(
            ["ROUTE j1.0.0.0 run 1 on w0: no label kind-b"], world.violations
        )

    def test_a_worker_of_another_back_end_is_recorded(self):
        world = _unowned(model.Step(1, CORE, 5.0))
        world.add_worker("x0", backend="other")
        _start(world, 0, "x0")
        self.assertEqual(
            ["ROUTE j1.0.0.0 run 1 on x0: other"], world.violations
        )

    def test_too_many_tasks_of_a_step_on_a_worker_are_recorded(self):
        world = _unowned(model.Step(2, CORE, 5.0, most_per_worker=1))
        _start(world, 0)
        self.assertEqual([], world.violations)
        _start(world, 1)
        self.assertEqual(
            ["ROUTE j1.0.0.1 run 1 on w0: 2 of one step"], world.violations
        )

    def test_a_start_without_a_valid_ticket_is_refused(self):
        world = _unowned(model.Step(3, CORE, 5.0))
        advice = model.AdviceSettings(0.05, 0.001, 1.0)
        world.configure(world.configuration(version=2, advice=advice))
        world.run(jobclusters.CONFIGURATION_APPLY_S)
        _start(world, 0)
        self.assertEqual({}, world.workers["w0"].running)
        world.execute(0, effects.AskAdvice("d0", "j1.0.0", ("w0",), 1.0))
        world.run(0.2)
        _start(world, 1, ticket="t-w0")
        self.assertEqual(1, len(world.workers["w0"].running))
        world.run(1.0)
        _start(world, 2, ticket="t-w0")
        self.assertEqual(["j1.0.0.1"], _running(world))


def _running(world):
    return sorted(
        task_id
        for worker in world.workers.values()
        if worker.is_up
        for task_id, _ in worker.running
    )


class GangTest(testtools.TestCase):
    """Gangs on the simulated workers."""

    def test_a_member_without_the_others_ends_alone_and_is_recorded(self):
        world = _unowned(model.Step(2, CORE, 0.5, gang=True))
        world.claim(0)
        world.daemons[0].owner.groups.clear()
        world.run(8.0)
        _start(world, 0)
        world.run(1.0)
        self.assertEqual(["j1.0.0.0"], _running(world))
        world.run(world.gang_timeout_s)
        self.assertEqual([], _running(world))
        self.assertIn("GANG j1.0.0.0 run 1 ended alone", world.violations)

    def test_members_work_from_the_moment_when_all_are_present(self):
        world = _unowned(model.Step(2, CORE, 0.5, gang=True))
        _start(world, 0)
        world.run(0.5)
        _start(world, 1, "w1")
        self.assertEqual(2, len(_running(world)))
        world.run(0.6)
        self.assertEqual({"j1.0.0.0", "j1.0.0.1"}, world.done)

    def test_the_end_of_a_member_breaks_the_others(self):
        world = _unowned(model.Step(2, CORE, 5.0, gang=True))
        _start(world, 0)
        _start(world, 1, "w1")
        world.crash_worker("w0")
        world.run(0.1)
        self.assertEqual([], _running(world))
        self.assertEqual(
            [model.RunOutcome.BROKEN],
            [row.how for row in world.workers["w1"].ended],
        )


class StarvationTest(testtools.TestCase):
    """Jobs and standing tasks that could run and don't."""

    def _play(self, step, **changes):
        """Plays a job whose owner can't get tickets, so never starts it."""
        world = jobclusters.Cluster(daemons=1)
        advice = model.AdviceSettings(0.05, 0.001, 1.0)
        world.configure(
            world.configuration(version=2, advice=advice, **changes)
        )
        world.claim(0)
        world.submit("j1", step)
        world.run(8.0)
        return world

    def test_a_job_that_could_run_is_recorded_once(self):
        world = self._play(model.Step(1, CORE))
        self.assertEqual(1, len(world.violations))
        self.assertIn("LOST j1 could run since", world.violations[0])

    def test_each_standing_task_is_recorded(self):
        world = self._play(model.Step(2, CORE, standing=True))
        self.assertEqual(2, len(world.violations))

    def test_a_job_without_room_twice_over_is_not_recorded(self):
        world = self._play(model.Step(9, CORE, gang=True))
        self.assertEqual([], world.violations)

    def test_a_job_beyond_half_of_its_limit_is_not_recorded(self):
        world = self._play(model.Step(5, CORE, gang=True), upper_limit=LIMIT)
        self.assertEqual([], world.violations)

    def test_a_cancelled_job_is_not_recorded(self):
        world = self._play(model.Step(9, CORE, gang=True))
        world.cancel("j1")
        world.run(8.0)
        self.assertEqual([], world.violations)

    def test_a_disruption_begins_the_time_anew(self):
        world = jobclusters.Cluster(daemons=1)
        advice = model.AdviceSettings(0.05, 0.001, 1.0)
        world.configure(world.configuration(version=2, advice=advice))
        world.claim(0)
        world.submit("j1", model.Step(1, CORE))
        world.run(6.0)
        world.workers["w1"].is_reachable = False
        world.run(0.5)
        world.workers["w1"].is_reachable = True
        world.run(6.5)
        self.assertEqual([], world.violations)
        world.run(1.0)
        self.assertEqual(1, len(world.violations))


class FaultTest(testtools.TestCase):
    """Faults of the simulated store, network and daemons."""

    def _owned(self, daemons=1):
        world = jobclusters.Cluster(daemons=daemons)
        world.claim(0)
        world.run(0.5)
        return world

    def test_a_late_write_takes_effect_unless_something_newer_is_stored(self):
        world = self._owned()
        fleet = model.Fleet(("w0",))
        world.faults.late_write_share = 1.0
        world.execute(0, effects.WriteProgress(90, {}, (), fleet))
        world.run(0.1)
        self.assertNotEqual(fleet, world.fleet)
        world.faults.late_write_share = 0.0
        world.run(jobfaults.LATE_WRITE_DELAY_S[1])
        self.assertEqual(fleet, world.fleet)

    def test_a_late_write_does_not_replace_a_newer_one(self):
        world = self._owned()
        world.faults.late_write_share = 1.0
        world.execute(0, effects.WriteProgress(90, {}, (), model.Fleet()))
        world.run(0.1)
        world.faults.late_write_share = 0.0
        newer = model.Fleet(("w0", "w1"))
        world.execute(0, effects.WriteProgress(91, {}, (), newer))
        world.run(jobfaults.LATE_WRITE_DELAY_S[1])
        self.assertEqual(newer, world.fleet)

    def test_a_worker_may_be_cut_off_from_one_daemon_only(self):
        world = self._owned(daemons=2)
        for worker in world.workers.values():
            worker.unreachable_from.add(0)
        world.run(2.0)
        owner = world.daemons[0].owner
        self.assertTrue(all(w.unanswered for w in owner.workers.values()))
        world.claim(1)
        world.run(0.5)
        owner = world.daemons[1].owner
        self.assertTrue(all(w.held for w in owner.workers.values()))

    def test_a_hold_with_an_older_token_is_answered_at_once(self):
        world = self._owned()
        incarnation = _incarnation(world, "w0")
        hold = effects.Hold(
            "w0", "w0:80", world.owner_revision, 0, 0, 1200, incarnation
        )
        newer = dataclasses.replace(hold, token=world.owner_revision + 1)
        world.workers["w0"].accepts(newer)
        world.execute(0, hold)
        world.run(2 * jobclusters.TICK_S)
        self.assertIsNone(world.daemons[0].owner)

    def test_events_wait_for_a_frozen_daemon(self):
        world = self._owned()
        world.frozen.add(0)
        world.submit("j1", model.Step(1, CORE))
        self.assertEqual({}, world.daemons[0].table)
        world.frozen.clear()
        world.deliver(0, events.Tick(world.now, world.now))
        self.assertIn("j1", world.daemons[0].table)

    def test_the_lease_in_a_late_call_counts_from_its_arrival(self):
        world = self._owned()
        world.faults.late_call_share = 1.0
        world.faults.is_late_lease_longer = True
        sent_at = world.now
        world.execute(
            0,
            effects.Hold(
                "w0",
                "w0:80",
                world.owner_revision,
                0,
                int((sent_at + 4.0) * 1000),
                0,
                _incarnation(world, "w0"),
            ),
        )
        world.workers["w0"].lease_until = 0.0
        latest = 0.0
        for _ in range(int(jobfaults.LATE_CALL_DELAY_S[1])):
            world.run(1.0)
            latest = max(latest, world.workers["w0"].lease_until)
        self.assertGreater(latest, sent_at + 5.0)
