"""Quarantine of workers that fail every task."""

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

NEEDS = resources.Resources(cpu_millis=1000, slots=1)


class HealthTest(testtools.TestCase):
    """One daemon that owns one shard of four workers."""

    def _deployment(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        config.policy = "worker-health"
        config.shards_per_zone = 1
        hosts = fleets.small(zones=1, per_zone=4)
        deployment = deployments.Deployment(hosts, config, daemons=1)
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run_s = lambda task: 0.2
        return deployment

    def _run_rounds(self, deployment, fails, rounds):
        """Submits batch work every half second; `fails` selects failed runs."""
        for _ in range(rounds):
            deployment.submit(
                "d0", "a", kind=works.Kind.BATCH, count=2, needs=NEEDS
            )
            until = deployment.now + 0.5
            while deployment.now < until:
                deployment.run(0.05)
                for worker in deployment.workers.values():
                    for key, run in list(worker.runs.items()):
                        if not run.ended and fails(worker, run.task):
                            deployment._report(
                                worker, worker.end(key, False, "no")
                            )

    def _quarantined(self, deployment):
        return set(deployment.daemons["d0"].shards["shard-z0-0"].quarantined)

    def test_a_worker_that_fails_every_task_is_quarantined(self):
        deployment = self._deployment()
        self._run_rounds(
            deployment, lambda worker, _: worker.host.worker_id == "w0-0", 8
        )
        self.assertEqual({"w0-0"}, self._quarantined(deployment))

    def test_a_recovered_worker_leaves_quarantine_after_a_probe(self):
        deployment = self._deployment()
        self._run_rounds(
            deployment, lambda worker, _: worker.host.worker_id == "w0-0", 8
        )
        self._run_rounds(deployment, lambda worker, _: False, 24)
        self.assertEqual(set(), self._quarantined(deployment))

    def test_works_that_fail_on_every_worker_quarantine_no_worker(self):
        deployment = self._deployment()
        failing_ids = {
            deployment.submit(
                "d0", "a", kind=works.Kind.BATCH, count=4, needs=NEEDS
            )[0]
            for _ in range(5)
        }
        self._run_rounds(
            deployment, lambda worker, task: task.work_id in failing_ids, 1
        )
        deployment.run_s = lambda task: None
        self._run_rounds(
            deployment, lambda worker, task: task.work_id in failing_ids, 12
        )
        self.assertEqual(set(), self._quarantined(deployment))
