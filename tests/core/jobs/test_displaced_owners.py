"""Owners that go on after another daemon has claimed ownership."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import election
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import timing
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


class PartitionTest(testtools.TestCase):
    """Daemon 0 and w0 are on one side, the store, daemon 2 and w1 on another.

    Daemon 0 hears enough peers to go on until its authority ends.
    """

    def _divide(self, authority_s, cut_off):
        world = jobclusters.Cluster(daemons=4, workers=1)
        world.claim(0)
        world.submit("j1", model.Step(4, CORE, 40.0))
        world.run(2.0)
        world.add_worker("w1")
        world.workers["w0"].unreachable_from = {1, 2, 3}
        world.workers["w1"].unreachable_from = {0}
        world.faults.storeless = frozenset({0})
        world.cut_off = cut_off
        world.claim(2)
        world.schedule(authority_s, lambda: world.end_authority(0))
        return world

    def test_owner_does_not_take_runs_that_its_successor_holds_for_ended(self):
        world = jobclusters.Cluster(daemons=4, workers=2)
        world.claim(0)
        world.submit("j1", model.Step(6, CORE, 40.0))
        world.run(2.0)
        with_room, full = sorted(
            world.workers.values(), key=lambda worker: len(worker.running)
        )
        self.assertEqual(2, len(with_room.running))
        with_room.unreachable_from = {1, 2, 3}
        full.unreachable_from = {0}
        world.faults.storeless = frozenset({0})
        world.cut_off = {0, 1}
        world.claim(2)
        world.schedule(8.0, lambda: world.end_authority(0))
        world.run(20.0)
        self.assertEqual([], world.violations)

    def test_successor_of_a_successor_does_not_lose_runs_to_the_first(self):
        """Daemon 1 waits for w0's lease, which daemon 2 renews meanwhile."""
        world = jobclusters.Cluster(daemons=5, workers=1)
        world.claim(0)
        world.submit("j1", model.Step(4, CORE, 40.0))
        world.run(2.0)
        world.add_worker("w1")
        world.workers["w0"].unreachable_from = {1}
        world.workers["w1"].unreachable_from = {2}
        world.frozen = {0}
        world.claim(1)
        world.run(2.0)
        world.faults.storeless = frozenset({1})
        world.cut_off = {1, 3}
        world.claim(2)
        world.schedule(8.0, lambda: world.end_authority(1))
        world.run(20.0)
        self.assertEqual([], world.violations)

    def test_tasks_of_an_owner_that_goes_on_for_long_do_not_run_twice(self):
        world = self._divide(8.0, cut_off={0, 1})
        world.run(20.0)
        self.assertEqual([], world.violations)
        self.assertEqual(8, len(world.starts))

    def test_tasks_of_an_owner_without_a_majority_do_not_run_twice(self):
        world = self._divide(2.6, cut_off={0})
        world.run(20.0)
        self.assertEqual([], world.violations)
        self.assertEqual(8, len(world.starts))

    def test_takeover_that_most_daemons_know_of_waits_no_longer(self):
        world = self._divide(2.6, cut_off={0})
        world.run(
            jobclusters.INFORMED_AFTER_S + election.INFORMED_DISPLACED_S + 4.4
        )
        self.assertEqual(8, len(world.starts))

    def test_takeover_waits_no_longer_for_an_owner_that_has_restarted(self):
        world = self._divide(0.1, cut_off={0, 1})
        world.run(1.0)
        token = world.daemons[2].owner.token
        world.deliver(2, events.FormerOwnerGone(world.now, token, 0.0))
        bounds = world.daemons[2].bounds
        wait_s = timing.late_renewal_s(bounds) + timing.former_lease_s(bounds)
        world.run(wait_s - 1.0 + 0.2)
        self.assertEqual([], world.violations)
        self.assertEqual(8, len(world.starts))

    def test_takeover_that_few_daemons_know_of_waits_for_the_longest_time(self):
        world = self._divide(2.6, cut_off={0, 1})
        world.run(election.LONGEST_DISPLACED_S + 4.0)
        self.assertEqual(4, len(world.starts))


class LateJobTest(testtools.TestCase):
    """A job that the displaced owner started and the new one hears of later."""

    def _take_over(self, duration_s, heard_after_s):
        world = jobclusters.Cluster(daemons=3, workers=2)
        world.claim(0)
        world.run(3.0)
        step = model.Step(6, CORE, duration_s)
        job = model.Job(
            "j1",
            jobclusters.QUEUE,
            jobclusters.BACKEND,
            "a",
            "text",
            (step,),
            world.now,
        )
        world.known_jobs["j1"] = job
        world.team_of_job["j1"] = "a"
        world.deliver(0, events.JobAccepted(world.now, job, 50))
        world.run(0.1)
        self.assertEqual(6, len(world.starts))
        world.claim(1)
        if heard_after_s:
            world.run(heard_after_s)
            world.jobs["j1"] = (job, 50)
            world.deliver(1, events.JobAccepted(world.now, job, 50))
        world.run(6.0)
        return world

    def _listed_ends(self, world):
        return {
            row.task_id
            for worker in world.workers.values()
            for row in worker.ended
        }

    def test_done_tasks_of_a_job_that_is_heard_of_later_do_not_run_again(self):
        for duration_s in (0.06, 0.12, 0.3, 1.0):
            for heard_after_s in (0.2, 0.6, 1.5):
                world = self._take_over(duration_s, heard_after_s)
                case = (duration_s, heard_after_s)
                self.assertEqual([], world.violations, case)
                self.assertEqual(
                    model.JobState.COMPLETED, world.state_of("j1"), case
                )

    def test_ends_of_a_job_that_is_never_heard_of_are_taken_note_of(self):
        world = self._take_over(0.06, heard_after_s=0.0)
        self.assertNotEqual(set(), self._listed_ends(world))
        world.submit("j2", model.Step(2, CORE, 0.3))
        world.run(20.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j2"))
        self.assertEqual(set(), self._listed_ends(world))
