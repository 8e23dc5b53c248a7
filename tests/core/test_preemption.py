"""Preemption for urgent tasks on a full deployment."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

URGENT_START_LIMIT_S = 5.5
NEEDS = resources.Resources(cpu_millis=2000, slots=1)


class PreemptionTest(testtools.TestCase):
    """Urgent work while batch tasks or requests use all workers."""

    def _make_full_deployment(self, kind, **options):
        config = deployments.team_config(
            [configuration.Team("a", "north"), configuration.Team("b", "south")]
        )
        config.policy = "preemption"
        deployment = deployments.Deployment(fleets.small(), config)
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run_s = lambda task: None if task.team == "a" else 0.5
        for _ in range(12):
            deployment.submit("d0", "a", kind=kind, needs=NEEDS, **options)
            deployment.run(0.2)
        deployment.run(1.0)
        running = [
            run
            for worker in deployment.workers.values()
            for run in worker.runs.values()
        ]
        self.assertEqual(12, sum(not run.ended for run in running))
        return deployment

    def _submit_urgent(self, deployment):
        needs = resources.Resources(cpu_millis=4000, slots=1)
        urgency = works.Urgency.URGENT
        work_id, handle = deployment.submit(
            "d1", "b", urgency=urgency, needs=needs, idempotent=True
        )
        submitted_at = deployment.now
        deployment.run(URGENT_START_LIMIT_S)
        starts = [
            at - submitted_at
            for worker in deployment.workers.values()
            for at, task_id, _ in worker.starts
            if task_id.startswith(work_id)
        ]
        return starts, deployment.replies.get(("d1", handle))

    def test_urgent_work_starts_within_its_limit_on_a_full_fleet(self):
        deployment = self._make_full_deployment(works.Kind.BATCH)
        starts, reply = self._submit_urgent(deployment)
        self.assertEqual(1, len(starts))
        self.assertLess(starts[0], URGENT_START_LIMIT_S)
        self.assertEqual(codes.Code.OK, reply.code)
        for worker in deployment.workers.values():
            self.assertEqual(0, worker.overcommits)

    def test_preempted_batch_task_resumes_from_its_checkpoint(self):
        deployment = self._make_full_deployment(works.Kind.BATCH)
        self._submit_urgent(deployment)
        deployment.run(5.0)
        running = [
            run
            for worker in deployment.workers.values()
            for run in worker.runs.values()
            if not run.ended
        ]
        self.assertEqual(12, len(running))
        resumed = [run for run in running if run.task.checkpoint]
        self.assertEqual(2, len(resumed))
        for run in resumed:
            self.assertGreater(float(run.task.checkpoint), 0.0)

    def test_requests_are_never_preempted_by_urgent_work(self):
        deployment = self._make_full_deployment(
            works.Kind.REQUEST, idempotent=False
        )
        starts, _ = self._submit_urgent(deployment)
        self.assertEqual([], starts)

    def test_urgent_work_is_placed_where_a_task_can_be_preempted(self):
        config = deployments.team_config(
            [configuration.Team("a", "north"), configuration.Team("b", "south")]
        )
        config.policy = "preemption"
        config.shards_per_zone = 1
        deployment = deployments.Deployment(fleets.small(4, 1), config)
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run_s = lambda task: None if task.team == "a" else 0.5
        whole_worker = resources.Resources(cpu_millis=4000, slots=1)
        for kind in (*(works.Kind.REQUEST,) * 3, works.Kind.BATCH):
            deployment.submit(
                "d0", "a", kind=kind, needs=whole_worker, idempotent=True
            )
            deployment.run(1.0)
        for _ in range(3):
            starts, _ = self._submit_urgent(deployment)
            self.assertEqual(1, len(starts))
            deployment.run(3.0)
