"""Reservation of workers for gangs and large tasks."""

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

QUARTER_WORKER = resources.Resources(cpu_millis=1000, slots=1)
WHOLE_WORKER = resources.Resources(cpu_millis=4000, slots=1)


class ReservationTest(testtools.TestCase):
    """Tasks that need whole workers, behind a long queue of small tasks."""

    def _make_busy_deployment(self, policy):
        """Returns a deployment with a long queue of small tasks of team a."""
        config = deployments.team_config(
            [configuration.Team("a", "north"), configuration.Team("b", "south")]
        )
        config.policy = policy
        deployment = deployments.Deployment(fleets.small(), config)
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run_s = lambda task: 3.0
        for number in range(10):
            deployment.submit(
                f"d{number % 3}",
                "a",
                kind=works.Kind.BATCH,
                count=40,
                needs=QUARTER_WORKER,
                within_s=300.0,
            )
            deployment.run(0.3)
        deployment.run(2.0)
        return deployment

    def test_gang_starts_although_small_tasks_keep_workers_busy(self):
        deployment = self._make_busy_deployment("reservation")
        gang_id, _ = deployment.submit(
            "d1",
            "b",
            kind=works.Kind.GANG,
            count=3,
            needs=WHOLE_WORKER,
            within_s=300.0,
        )
        deployment.run(30.0)
        starts = [
            at
            for worker in deployment.workers.values()
            for at, task_id, _ in worker.starts
            if task_id.startswith(gang_id)
        ]
        self.assertEqual(3, len(starts))
        self.assertLess(max(starts) - min(starts), 0.5)
        queued_tasks = sum(
            len(shard.queue)
            for daemon in deployment.daemons.values()
            for shard in daemon.shards.values()
        )
        self.assertGreater(queued_tasks, 0)

    def test_large_task_of_a_team_below_its_share_gets_a_worker(self):
        deployment = self._make_busy_deployment("drain-for-share")
        large_id, _ = deployment.submit(
            "d1", "b", kind=works.Kind.BATCH, needs=WHOLE_WORKER, within_s=300.0
        )
        deployment.run(15.0)
        starts = [
            task_id
            for worker in deployment.workers.values()
            for _, task_id, _ in worker.starts
            if task_id.startswith(large_id)
        ]
        self.assertEqual(1, len(starts))
