"""Which outcomes of an attempt count as failures of its task."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


class RetryTest(testtools.TestCase):
    """Batch tasks whose starts are refused or whose runs fail."""

    def test_refused_starts_do_not_count_as_failed_attempts(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        deployment = deployments.Deployment(fleets.small(), config)
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run_s = lambda task: None
        refusals = [codes.Code.NO_ROOM] * 4
        for worker in deployment.workers.values():
            original = worker.handle_start
            worker.handle_start = lambda effect, now, original=original: (
                refusals.pop() if refusals else original(effect, now)
            )
        deployment.submit("d0", "a", kind=works.Kind.BATCH, within_s=600.0)
        deployment.run(30.0)
        self.assertEqual(1, self._fail_running_tasks(deployment))
        deployment.run(10.0)
        starts = [
            start for w in deployment.workers.values() for start in w.starts
        ]
        self.assertEqual(2, len(starts))

    def _fail_running_tasks(self, deployment):
        failed = 0
        for worker in deployment.workers.values():
            for key in list(worker.runs):
                report = worker.end(key, False, "broken")
                failed += report is not None
                deployment._report(worker, report)
        return failed
