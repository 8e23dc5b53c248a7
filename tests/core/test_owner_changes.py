"""Tasks that are tracked by their homes across changes of shard owner."""

import testtools

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


class OwnerChangeTest(testtools.TestCase):
    """Running tasks whose shard changes owner."""

    def _run_task_off_home(self, within_s=300.0):
        """Starts a task in a shard that its home does not own.

        Returns:
            The deployment, work ID, name of the owner and worker of the task.
        """
        config = deployments.team_config([configuration.Team("a", "north")])
        hosts = fleets.small(zones=2, per_zone=3)
        deployment = deployments.Deployment(hosts, config)
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run_s = lambda task: None
        for _ in range(12):
            deployment.submit(
                "d0", "a", kind=works.Kind.BATCH, within_s=within_s
            )
        deployment.run(2.0)
        for name, daemon in deployment.daemons.items():
            for work_id, work in daemon.works.items():
                owner = daemon.known_owners[
                    work.entry.assignments[0].shard
                ].owner
                if owner != name:
                    worker = deployment.workers[work.tasks[0].worker]
                    return deployment, work_id, owner, worker
        raise AssertionError("every task runs at its home")

    def test_a_task_starts_again_after_its_owner_and_worker_died(self):
        deployment, work_id, owner, worker = self._run_task_off_home()
        worker.reachable = False
        deployment.kill(owner)
        deployment.run(40.0)
        starts = [
            task_id
            for other in deployment.workers.values()
            if other is not worker
            for _, task_id, _ in other.starts
        ]
        self.assertIn(f"{work_id}/0", starts)

    def test_a_lost_task_past_its_deadline_is_not_reported_as_not_run(self):
        deployment, work_id, owner, worker = self._run_task_off_home(
            within_s=20.0
        )
        worker.reachable = False
        deployment.kill(owner)
        deployment.run(40.0)
        settled_codes = [
            record.code
            for record in deployment.records
            if record.work_id == work_id and record.rule == account.Rule.SETTLED
        ]
        for code in settled_codes:
            self.assertFalse(codes.is_not_run(code), code)

    def test_a_running_task_is_not_started_again_by_a_new_owner(self):
        deployment, work_id, owner, worker = self._run_task_off_home()
        deployment.kill(owner)
        deployment.run(30.0)
        starts = [
            task_id
            for other in deployment.workers.values()
            for _, task_id, _ in other.starts
        ]
        self.assertEqual(1, starts.count(f"{work_id}/0"))
        phases = [
            daemon.works[work_id].tasks[0].phase
            for daemon in deployment.daemons.values()
            if work_id in daemon.works
        ]
        self.assertEqual([works.Phase.RUNNING], phases)
