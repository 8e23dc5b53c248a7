"""Homes follow their tasks from one owner of a shard to the next."""

import testtools

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


class FollowingTest(testtools.TestCase):
    """Running tasks whose shard changes hands."""

    def _running(self, within_s=300.0):
        """Returns a task that runs on a shard which its home does not own."""
        config = deployments.team_config([configuration.Team("a", "north")])
        hosts = fleets.small(zones=2, per_zone=3)
        made = deployments.Deployment(hosts, config)
        assert made.run_until(made.ready, 10.0)
        made.run_s = lambda task: None
        for _ in range(12):
            made.submit("d0", "a", kind=works.Kind.BATCH, within_s=within_s)
        made.run(2.0)
        for name, daemon in made.daemons.items():
            for work_id, work in daemon.works.items():
                owner = daemon.known_owners[
                    work.entry.assignments[0].shard
                ].owner
                if owner != name:
                    worker = made.workers[work.tasks[0].worker]
                    return made, work_id, owner, worker
        raise AssertionError("every task runs at its home")

    def test_a_task_starts_again_after_its_owner_and_worker_died(self):
        made, work_id, owner, worker = self._running()
        worker.reachable = False
        made.kill(owner)
        made.run(40.0)
        starts = [
            task_id
            for other in made.workers.values()
            if other is not worker
            for _, task_id, _ in other.starts
        ]
        self.assertIn(f"{work_id}/0", starts)

    def test_a_lost_task_past_its_deadline_is_not_called_not_run(self):
        made, work_id, owner, worker = self._running(within_s=20.0)
        worker.reachable = False
        made.kill(owner)
        made.run(40.0)
        told = [
            record.code
            for record in made.records
            if record.work_id == work_id and record.rule == account.Rule.SETTLED
        ]
        for code in told:
            self.assertFalse(codes.is_not_run(code), code)

    def test_a_running_task_is_not_started_again_by_a_new_owner(self):
        made, work_id, owner, worker = self._running()
        made.kill(owner)
        made.run(30.0)
        starts = [
            task_id
            for other in made.workers.values()
            for _, task_id, _ in other.starts
        ]
        self.assertEqual(1, starts.count(f"{work_id}/0"))
        phases = [
            daemon.works[work_id].tasks[0].phase
            for daemon in made.daemons.values()
            if work_id in daemon.works
        ]
        self.assertEqual([works.Phase.RUNNING], phases)
