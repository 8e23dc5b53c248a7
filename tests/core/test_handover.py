"""Answers survive the handing over of their home."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import tunables
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

TUNING = tunables.Tunables(resend_s=3.0)
WHOLE = b"x" * 100_000


class HandoverTest(testtools.TestCase):
    """Homes that change again before the caller's daemon asks."""

    def _ready(self, seed):
        config = deployments.team_config([configuration.Team("a", "north")])
        made = deployments.Deployment(
            fleets.small(), config, seed=seed, tuning=TUNING
        )
        made.run_s = lambda task: 2.0
        for worker in made.workers.values():
            end = worker.end
            worker.end = lambda key, ok, detail="", end=end, worker=worker: (
                self._large(worker, key, end(key, ok, detail))
            )
        assert made.run_until(made.ready, 10.0)
        return made

    def _large(self, worker, key, report):
        if report is None:
            return None
        worker.runs[key].answer = WHOLE
        return worker.report(key)

    def _home(self, made, work_id):
        names = [n for n, d in made.daemons.items() if work_id in d.works]
        return names[-1] if names else ""

    def _sent_through_two_homes(self):
        """Returns a request whose home went from d1 to d2, and its handle."""
        for seed in range(30):
            made = self._ready(seed)
            for _ in range(30):
                work_id, handle = made.submit("d0", "a", idempotent=False)
                made.run(0.1)
                if self._home(made, work_id) == "d1":
                    break
            made.drain("d1")
            made.run(1.4)
            if work_id in made.daemons["d2"].works:
                return made, work_id, handle
        raise AssertionError("no bucket went from d1 to d2")

    def test_a_large_answer_waits_for_its_caller_at_a_leaving_home(self):
        made, work_id, handle = self._sent_through_two_homes()
        work = made.daemons["d2"].works[work_id]
        done = made.run_until(lambda: work.entry.outcome is not None, 4.0)
        self.assertTrue(done)
        made.drain("d2")
        made.run(15.0)
        reply = made.replies[("d0", handle)]
        self.assertEqual(codes.Code.OK, reply.code)
        self.assertEqual(WHOLE, reply.payload.answer)
