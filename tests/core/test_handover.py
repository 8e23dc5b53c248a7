"""Answers stay available when the home of their work changes."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import tunables
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

TUNING = tunables.Tunables(resend_s=3.0)
LARGE_ANSWER = b"x" * 100_000


class HandoverTest(testtools.TestCase):
    """Homes that change twice before the caller's daemon resends."""

    def _make_deployment(self, seed):
        config = deployments.team_config([configuration.Team("a", "north")])
        deployment = deployments.Deployment(
            fleets.small(), config, seed=seed, tuning=TUNING
        )
        deployment.run_s = lambda task: 2.0
        for worker in deployment.workers.values():
            end = worker.end
            worker.end = lambda key, ok, detail="", end=end, worker=worker: (
                self._add_large_answer(worker, key, end(key, ok, detail))
            )
        assert deployment.run_until(deployment.ready, 10.0)
        return deployment

    def _add_large_answer(self, worker, key, report):
        if report is None:
            return None
        worker.runs[key].answer = LARGE_ANSWER
        return worker.report(key)

    def _home(self, deployment, work_id):
        names = [n for n, d in deployment.daemons.items() if work_id in d.works]
        return names[-1] if names else ""

    def _submit_with_two_home_changes(self):
        """Submits a request whose home changes from d1 to d2.

        Returns:
            The deployment, the work id and the caller's handle.

        Raises:
            AssertionError: No seed gives such a home change.
        """
        for seed in range(30):
            deployment = self._make_deployment(seed)
            for _ in range(30):
                work_id, handle = deployment.submit("d0", "a", idempotent=False)
                deployment.run(0.1)
                if self._home(deployment, work_id) == "d1":
                    break
            deployment.drain("d1")
            deployment.run(1.4)
            if work_id in deployment.daemons["d2"].works:
                return deployment, work_id, handle
        raise AssertionError("no bucket went from d1 to d2")

    def test_draining_home_keeps_a_large_answer_for_its_caller(self):
        deployment, work_id, handle = self._submit_with_two_home_changes()
        work = deployment.daemons["d2"].works[work_id]
        done = deployment.run_until(lambda: work.entry.outcome is not None, 4.0)
        self.assertTrue(done)
        deployment.drain("d2")
        deployment.run(15.0)
        reply = deployment.replies[("d0", handle)]
        self.assertEqual(codes.Code.OK, reply.code)
        self.assertEqual(LARGE_ANSWER, reply.payload.answer)
