"""Tasks do not wait in one shard while another has free capacity."""

import collections

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

WHOLE_WORKER = resources.Resources(cpu_millis=4000, slots=1)


class RebalancingTest(testtools.TestCase):
    """Tasks that need a whole worker, on shards of different sizes."""

    def test_job_as_large_as_the_fleet_fills_every_worker(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        deployment = deployments.Deployment(fleets.small(), config)
        deployment.run_s = lambda task: 60.0
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.submit(
            "d0", "a", kind=works.Kind.BATCH, count=6, needs=WHOLE_WORKER
        )
        deployment.run(4.0)
        running_tasks = collections.Counter(
            worker.host.worker_id
            for worker in deployment.workers.values()
            for run in worker.runs.values()
            if not run.ended
        )
        self.assertEqual(
            dict.fromkeys(deployment.workers, 1), dict(running_tasks)
        )
