"""Which jobs count as begun."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


class PendingTest(testtools.TestCase):
    """A job is pending until one of its tasks has begun on a worker."""

    def setUp(self):
        super().setUp()
        self.world = jobclusters.Cluster(daemons=1, workers=1)
        self.world.claim(0)
        self.world.run(0.5)

    def _refuse_starts(self):
        """The worker answers starts as one that is too busy for them."""
        self.world.calls.start_run = lambda order, worker: (
            events.CallResult.UNHEALTHY
        )

    def test_a_job_whose_starts_are_refused_is_still_pending(self):
        self._refuse_starts()
        self.world.submit("j1", model.Step(1, CORE, 0.5))
        self.world.run(3.0)
        self.assertGreater(len(self.world.starts), 1)
        self.assertEqual(model.JobState.QUEUED, self.world.state_of("j1"))

    def test_a_job_that_begins_after_refusals_is_running(self):
        start_run = self.world.calls.start_run
        self._refuse_starts()
        self.world.submit("j1", model.Step(1, CORE, 30.0))
        self.world.run(1.0)
        self.world.calls.start_run = start_run
        self.world.run(3.0)
        self.assertEqual(model.JobState.RUNNING, self.world.state_of("j1"))

    def test_a_job_whose_start_has_no_answer_is_running_once_it_is_listed(self):
        self.world.faults.lost_answer_share = 1.0
        self.world.submit("j1", model.Step(1, CORE, 30.0))
        self.world.run(0.2)
        self.assertEqual(1, len(self.world.starts))
        self.world.faults.lost_answer_share = 0.0
        self.world.run(4.0)
        self.assertEqual(model.JobState.RUNNING, self.world.state_of("j1"))
