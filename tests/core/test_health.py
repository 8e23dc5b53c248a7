"""Workers that fail everything, and works that fail everywhere."""

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

NEEDS = resources.Resources(cpu_millis=1000, slots=1)


class HealthTest(testtools.TestCase):
    """One daemon over one shard of four workers."""

    def _deployment(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        config.policy = "worker-health"
        config.shards_per_zone = 1
        hosts = fleets.small(zones=1, per_zone=4)
        made = deployments.Deployment(hosts, config, daemons=1)
        assert made.run_until(made.ready, 10.0)
        made.run_s = lambda task: 0.2
        return made

    def _run(self, made, fails, rounds):
        """Submits batch work each half second; `fails` picks the failures."""
        for _ in range(rounds):
            made.submit("d0", "a", kind=works.Kind.BATCH, count=2, needs=NEEDS)
            until = made.now + 0.5
            while made.now < until:
                made.run(0.05)
                for worker in made.workers.values():
                    for key, run in list(worker.runs.items()):
                        if not run.ended and fails(worker, run.task):
                            made._report(worker, worker.end(key, False, "no"))

    def _aside(self, made):
        return set(made.daemons["d0"].shards["shard-z0-0"].quarantined)

    def test_a_worker_that_fails_everything_is_set_aside(self):
        made = self._deployment()
        self._run(made, lambda worker, _: worker.host.worker_id == "w0-0", 8)
        self.assertEqual({"w0-0"}, self._aside(made))

    def test_a_worker_that_works_again_comes_back_after_a_probe(self):
        made = self._deployment()
        self._run(made, lambda worker, _: worker.host.worker_id == "w0-0", 8)
        self._run(made, lambda worker, _: False, 24)
        self.assertEqual(set(), self._aside(made))

    def test_works_that_fail_everywhere_set_no_worker_aside(self):
        made = self._deployment()
        bad = {
            made.submit("d0", "a", kind=works.Kind.BATCH, count=4, needs=NEEDS)[
                0
            ]
            for _ in range(5)
        }
        self._run(made, lambda worker, task: task.work_id in bad, 1)
        made.run_s = lambda task: None
        self._run(made, lambda worker, task: task.work_id in bad, 12)
        self.assertEqual(set(), self._aside(made))
