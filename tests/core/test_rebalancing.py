"""Tasks do not wait in one shard while another has room."""

import collections

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

WHOLE_WORKER = resources.Resources(cpu_millis=4000, slots=1)


class RebalancingTest(testtools.TestCase):
    """Whole-worker tasks over shards of different sizes."""

    def test_a_job_as_large_as_the_fleet_fills_every_worker(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        made = deployments.Deployment(fleets.small(), config)
        made.run_s = lambda task: 60.0
        assert made.run_until(made.ready, 10.0)
        made.submit(
            "d0", "a", kind=works.Kind.BATCH, count=6, needs=WHOLE_WORKER
        )
        made.run(4.0)
        busy = collections.Counter(
            worker.host.worker_id
            for worker in made.workers.values()
            for run in worker.runs.values()
            if not run.ended
        )
        self.assertEqual(dict.fromkeys(made.workers, 1), dict(busy))
