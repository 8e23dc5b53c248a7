"""Cancellations that are stored before their job, or known before it."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import timing
from mimosaridge_core.jobs import tunables
from mimosaridge_fakes import jobclusters

STEP = model.Step(1, resources.Resources(1000, 100, 0), 0.0, standing=True)


class EarlyCancelTest(testtools.TestCase):
    """A daemon hears of a cancellation before it hears of the job."""

    def setUp(self):
        super().setUp()
        self.world = jobclusters.Cluster(daemons=2, workers=2)
        self.world.claim(0)
        self.world.run(1.0)

    def _job(self, job_id="j1"):
        return model.Job(
            job_id,
            jobclusters.QUEUE,
            jobclusters.BACKEND,
            "a",
            "text",
            (STEP,),
            self.world.now,
        )

    def _store_job(self, job):
        self.world.known_jobs[job.job_id] = job
        self.world.team_of_job[job.job_id] = job.team
        return self.world.store.add_job(job)

    def _tell(self, event, number=0):
        self.world.deliver(number, event)

    def test_news_of_a_cancellation_before_news_of_its_job_cancel_it(self):
        world, job = self.world, self._job()
        revision = self._store_job(job)
        cancelled = world.store.cancel("j1")
        self._tell(events.JobCancelled(world.now, "j1", cancelled))
        self._tell(events.JobAccepted(world.now, job, revision))
        world.run(2.0)
        self.assertEqual([], world.starts)
        self.assertEqual(model.JobState.CANCELLED, world.state_of("j1"))

    def test_a_cancellation_before_a_takeover_cancels_a_job_told_of_later(self):
        world, job = self.world, self._job()
        revision = self._store_job(job)
        cancelled = world.store.cancel("j1")
        self._tell(events.JobCancelled(world.now, "j1", cancelled), 1)
        del world.store.jobs["j1"]
        world.claim(1, is_former_gone=True)
        world.store.jobs["j1"] = (job, revision)
        self._tell(events.JobAccepted(world.now, job, revision), 1)
        world.run(5.0)
        self.assertEqual([], world.starts)

    def test_an_older_cancellation_does_not_cancel_a_job_stored_after_it(self):
        world, job = self.world, self._job()
        cancelled = world.store.cancel("j1")
        self._tell(events.JobCancelled(world.now, "j1", cancelled))
        world.store.cancelled.clear()
        revision = self._store_job(job)
        self._tell(events.JobAccepted(world.now, job, revision))
        world.run(1.0)
        self.assertEqual(1, len(world.starts))
        self._tell(events.JobCancelled(world.now, "j1", cancelled))
        world.run(1.0)
        self.assertEqual(model.JobState.RUNNING, world.state_of("j1"))
        world.run(timing.keep_finished_s(world.daemons[0].bounds) + 2.0)
        self.assertIn("j1", world.jobs)
        self.assertEqual(1, len(world.starts))

    def test_a_cancellation_of_no_job_is_removed_like_a_finished_job(self):
        for is_taken_over in (False, True):
            world = self.world
            cancelled = world.store.cancel("j1")
            for number in (0, 1):
                event = events.JobCancelled(world.now, "j1", cancelled)
                self._tell(event, number)
            if is_taken_over:
                world.claim(1, is_former_gone=True)
            bounds = world.daemons[0].bounds
            world.run(timing.keep_finished_s(bounds) - 1.0)
            self.assertIn("j1", world.cancelled)
            world.run(2.0 + tunables.KEEP_MARGIN_S)
            self.assertEqual({}, world.cancelled)
            for daemon in world.daemons:
                self.assertEqual({}, daemon.early_cancels)

    def test_the_cancellation_of_a_job_that_a_list_lacks_is_not_removed(self):
        world, job = self.world, self._job()
        cancelled = world.store.cancel("j1")
        self._tell(events.JobCancelled(world.now, "j1", cancelled))
        self._store_job(job)
        bounds = world.daemons[0].bounds
        world.run(timing.keep_finished_s(bounds) + 2.0)
        self.assertIn("j1", world.cancelled)
        self.assertIn("j1", world.jobs)
