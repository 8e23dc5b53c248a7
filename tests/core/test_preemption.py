"""Room for urgent tasks on a full deployment."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

URGENT_START_S = 5.5
NEEDS = resources.Resources(cpu_millis=2000, slots=1)


class PreemptionTest(testtools.TestCase):
    """Urgent work against batch tasks, requests and services."""

    def _full(self, kind, **options):
        config = deployments.team_config(
            [configuration.Team("a", "north"), configuration.Team("b", "south")]
        )
        config.policy = "preemption"
        made = deployments.Deployment(fleets.small(), config)
        assert made.run_until(made.ready, 10.0)
        made.run_s = lambda task: None if task.team == "a" else 0.5
        for _ in range(12):
            made.submit("d0", "a", kind=kind, needs=NEEDS, **options)
            made.run(0.2)
        made.run(1.0)
        running = [
            run for w in made.workers.values() for run in w.runs.values()
        ]
        self.assertEqual(12, sum(not run.ended for run in running))
        return made

    def _urgent(self, made):
        needs = resources.Resources(cpu_millis=4000, slots=1)
        urgency = works.Urgency.URGENT
        work_id, handle = made.submit(
            "d1", "b", urgency=urgency, needs=needs, idempotent=True
        )
        begin = made.now
        made.run(URGENT_START_S)
        starts = [
            at - begin
            for worker in made.workers.values()
            for at, task_id, _ in worker.starts
            if task_id.startswith(work_id)
        ]
        return starts, made.replies.get(("d1", handle))

    def test_urgent_work_starts_within_its_bound_on_a_full_fleet(self):
        made = self._full(works.Kind.BATCH)
        starts, reply = self._urgent(made)
        self.assertEqual(1, len(starts))
        self.assertLess(starts[0], URGENT_START_S)
        self.assertEqual(codes.Code.OK, reply.code)
        for worker in made.workers.values():
            self.assertEqual(0, worker.overcommits)

    def test_a_stopped_batch_task_goes_on_from_its_checkpoint(self):
        made = self._full(works.Kind.BATCH)
        self._urgent(made)
        made.run(5.0)
        running = [
            run
            for worker in made.workers.values()
            for run in worker.runs.values()
            if not run.ended
        ]
        self.assertEqual(12, len(running))
        resumed = [run for run in running if run.task.checkpoint]
        self.assertEqual(2, len(resumed))
        for run in resumed:
            self.assertGreater(float(run.task.checkpoint), 0.0)

    def test_requests_are_never_stopped_for_urgent_work(self):
        made = self._full(works.Kind.REQUEST, idempotent=False)
        starts, _ = self._urgent(made)
        self.assertEqual([], starts)

    def test_urgent_work_goes_where_something_can_be_stopped(self):
        config = deployments.team_config(
            [configuration.Team("a", "north"), configuration.Team("b", "south")]
        )
        config.policy = "preemption"
        config.shards_per_zone = 1
        made = deployments.Deployment(fleets.small(4, 1), config)
        assert made.run_until(made.ready, 10.0)
        made.run_s = lambda task: None if task.team == "a" else 0.5
        whole = resources.Resources(cpu_millis=4000, slots=1)
        for kind in (*(works.Kind.REQUEST,) * 3, works.Kind.BATCH):
            made.submit("d0", "a", kind=kind, needs=whole, idempotent=True)
            made.run(1.0)
        for _ in range(3):
            starts, _ = self._urgent(made)
            self.assertEqual(1, len(starts))
            made.run(3.0)
