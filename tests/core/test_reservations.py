"""Room for all-at-once jobs among endless small work."""

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

SMALL = resources.Resources(cpu_millis=1000, slots=1)
WHOLE = resources.Resources(cpu_millis=4000, slots=1)


class ReservationTest(testtools.TestCase):
    """Tasks that need whole workers against a queue of small tasks."""

    def _busy(self, policy):
        """Returns a deployment with small work of team a for long."""
        config = deployments.team_config(
            [configuration.Team("a", "north"), configuration.Team("b", "south")]
        )
        config.policy = policy
        made = deployments.Deployment(fleets.small(), config)
        assert made.run_until(made.ready, 10.0)
        made.run_s = lambda task: 3.0
        for number in range(10):
            made.submit(
                f"d{number % 3}",
                "a",
                kind=works.Kind.BATCH,
                count=40,
                needs=SMALL,
                within_s=300.0,
            )
            made.run(0.3)
        made.run(2.0)
        return made

    def test_a_gang_starts_although_small_tasks_keep_the_workers_busy(self):
        made = self._busy("reservation")
        gang, _ = made.submit(
            "d1",
            "b",
            kind=works.Kind.GANG,
            count=3,
            needs=WHOLE,
            within_s=300.0,
        )
        made.run(30.0)
        starts = [
            at
            for worker in made.workers.values()
            for at, task_id, _ in worker.starts
            if task_id.startswith(gang)
        ]
        self.assertEqual(3, len(starts))
        self.assertLess(max(starts) - min(starts), 0.5)
        waiting = sum(
            len(shard.queue)
            for daemon in made.daemons.values()
            for shard in daemon.shards.values()
        )
        self.assertGreater(waiting, 0)

    def test_a_large_task_of_a_team_below_its_share_gets_a_worker(self):
        made = self._busy("drain-for-share")
        large, _ = made.submit(
            "d1", "b", kind=works.Kind.BATCH, needs=WHOLE, within_s=300.0
        )
        made.run(15.0)
        starts = [
            task_id
            for worker in made.workers.values()
            for _, task_id, _ in worker.starts
            if task_id.startswith(large)
        ]
        self.assertEqual(1, len(starts))
