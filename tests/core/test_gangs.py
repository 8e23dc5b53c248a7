"""All-at-once jobs: all tasks together, soon, or a true reason."""

import testtools

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

WHOLE_WORKER = resources.Resources(cpu_millis=4000, slots=1)
SLOT = resources.Resources(slots=1)


class GangTest(testtools.TestCase):
    """Gangs beside limits and other gangs."""

    def _deployment(self, limit: int = 0) -> deployments.Deployment:
        limits = resources.Resources(slots=limit)
        team = configuration.Team("a", "north", 1.0, limits)
        config = deployments.team_config([team])
        made = deployments.Deployment(fleets.small(), config)
        assert made.run_until(made.ready, 10.0)
        made.run(2.0)
        return made

    def _gang(self, made, name, count, needs, within_s=60.0):
        work_id, _ = made.submit(
            name,
            "a",
            kind=works.Kind.GANG,
            count=count,
            needs=needs,
            within_s=within_s,
        )
        return work_id

    def _starts(self, made, work_id):
        return [
            at
            for worker in made.workers.values()
            for at, task_id, _ in worker.starts
            if task_id.partition("/")[0] == work_id
        ]

    def test_a_gang_as_large_as_its_teams_limit_starts(self):
        made = self._deployment(limit=4)
        work_id = self._gang(made, "d0", 4, SLOT)
        made.run(10.0)
        self.assertEqual(4, len(self._starts(made, work_id)))

    def test_gangs_that_need_the_same_workers_run_one_after_the_other(self):
        made = self._deployment()
        made.run_s = lambda task: 2.0
        ids = [
            self._gang(made, f"d{number}", 4, WHOLE_WORKER)
            for number in range(3)
        ]
        made.run(40.0)
        for work_id in ids:
            starts = self._starts(made, work_id)
            self.assertEqual(4, len(starts))
            self.assertLess(max(starts) - min(starts), 1.0)

    def test_a_gang_starts_soon_after_the_workers_it_waited_for_are_free(self):
        made = self._deployment()
        made.run_s = lambda task: 30.0
        self._gang(made, "d0", 6, WHOLE_WORKER)
        made.run(3.0)
        second = self._gang(made, "d1", 6, WHOLE_WORKER, within_s=300.0)
        made.run(40.0)
        self.assertEqual(6, len(self._starts(made, second)))

    def test_a_gang_that_never_fits_in_time_is_told_that_its_deadline_passed(
        self,
    ):
        made = self._deployment()
        made.run_s = lambda task: 60.0
        self._gang(made, "d0", 4, WHOLE_WORKER)
        made.run(3.0)
        second = self._gang(made, "d1", 4, WHOLE_WORKER, within_s=12.0)
        made.run(25.0)
        self.assertEqual([], self._starts(made, second))
        settled = [
            record.code
            for record in made.records
            if record.work_id == second and record.rule == account.Rule.SETTLED
        ]
        self.assertEqual([codes.Code.DEADLINE_PASSED], settled)
