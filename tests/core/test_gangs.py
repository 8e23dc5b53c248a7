"""Gangs: tasks that start together, or a settled reason why not."""

import testtools

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

WHOLE_WORKER = resources.Resources(cpu_millis=4000, slots=1)
ONE_SLOT = resources.Resources(slots=1)


class GangTest(testtools.TestCase):
    """Gangs under team limits and in competition with other gangs."""

    def _deployment(self, limit: int = 0) -> deployments.Deployment:
        upper_limit = resources.Resources(slots=limit)
        team = configuration.Team("a", "north", 1.0, upper_limit)
        config = deployments.team_config([team])
        deployment = deployments.Deployment(fleets.small(), config)
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run(2.0)
        return deployment

    def _submit_gang(self, deployment, name, count, needs, within_s=60.0):
        work_id, _ = deployment.submit(
            name,
            "a",
            kind=works.Kind.GANG,
            count=count,
            needs=needs,
            within_s=within_s,
        )
        return work_id

    def _start_times(self, deployment, work_id):
        return [
            at
            for worker in deployment.workers.values()
            for at, task_id, _ in worker.starts
            if task_id.partition("/")[0] == work_id
        ]

    def test_a_gang_as_large_as_its_teams_limit_starts(self):
        deployment = self._deployment(limit=4)
        work_id = self._submit_gang(deployment, "d0", 4, ONE_SLOT)
        deployment.run(10.0)
        self.assertEqual(4, len(self._start_times(deployment, work_id)))

    def test_gangs_that_need_the_same_workers_run_one_after_the_other(self):
        deployment = self._deployment()
        deployment.run_s = lambda task: 2.0
        work_ids = [
            self._submit_gang(deployment, f"d{number}", 4, WHOLE_WORKER)
            for number in range(3)
        ]
        deployment.run(40.0)
        for work_id in work_ids:
            starts = self._start_times(deployment, work_id)
            self.assertEqual(4, len(starts))
            self.assertLess(max(starts) - min(starts), 1.0)

    def test_a_gang_starts_after_the_workers_that_it_waited_for_are_free(self):
        deployment = self._deployment()
        deployment.run_s = lambda task: 30.0
        self._submit_gang(deployment, "d0", 6, WHOLE_WORKER)
        deployment.run(3.0)
        second_id = self._submit_gang(
            deployment, "d1", 6, WHOLE_WORKER, within_s=300.0
        )
        deployment.run(40.0)
        self.assertEqual(6, len(self._start_times(deployment, second_id)))

    def test_a_gang_that_never_fits_in_time_settles_as_deadline_passed(self):
        deployment = self._deployment()
        deployment.run_s = lambda task: 60.0
        self._submit_gang(deployment, "d0", 4, WHOLE_WORKER)
        deployment.run(3.0)
        second_id = self._submit_gang(
            deployment, "d1", 4, WHOLE_WORKER, within_s=12.0
        )
        deployment.run(25.0)
        self.assertEqual([], self._start_times(deployment, second_id))
        settled = [
            record.code
            for record in deployment.records
            if record.work_id == second_id
            and record.rule == account.Rule.SETTLED
        ]
        self.assertEqual([codes.Code.DEADLINE_PASSED], settled)
