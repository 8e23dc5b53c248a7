"""Tests of the accounting of runs."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import runs
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables

# A float overflows at 2 to the power of 1,024.
FAILURES = 1_100


class FailureTest(testtools.TestCase):
    def test_failures_without_end_do_not_overflow_the_suspension(self):
        owner = state.Owner(1, 0.0)
        for name in ("w", "other"):
            entry = model.WorkerEntry(
                name, 1, "b", "10.0.0.1:1", "z", resources.Resources(1, 1, 0)
            )
            owner.workers[name] = state.Worker(entry)
        worker = owner.workers["w"]
        st = state.State(now=5.0, wall=5.0, bounds=model.Bounds())
        for _ in range(FAILURES):
            runs.count_worker_failure(st, owner, worker)
        self.assertEqual(5.0 + tunables.MAX_BACKOFF_S, worker.backoff_until)
