"""Which ends of an attempt count as failures of its task."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


class RetryTest(testtools.TestCase):
    """Batch tasks that are refused and that fail."""

    def test_refused_starts_do_not_count_as_failed_attempts(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        made = deployments.Deployment(fleets.small(), config)
        assert made.run_until(made.ready, 10.0)
        made.run_s = lambda task: None
        refusals = [codes.Code.NO_ROOM] * 4
        for worker in made.workers.values():
            take = worker.handle_start
            worker.handle_start = lambda effect, now, take=take: (
                refusals.pop() if refusals else take(effect, now)
            )
        made.submit("d0", "a", kind=works.Kind.BATCH, within_s=600.0)
        made.run(30.0)
        self.assertEqual(1, self._fail_all(made))
        made.run(10.0)
        starts = [start for w in made.workers.values() for start in w.starts]
        self.assertEqual(2, len(starts))

    def _fail_all(self, made):
        failed = 0
        for worker in made.workers.values():
            for key in list(worker.runs):
                report = worker.end(key, False, "broken")
                failed += report is not None
                made._report(worker, report)
        return failed
