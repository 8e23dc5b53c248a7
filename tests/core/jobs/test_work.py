"""Tests of the critical paths of jobs, whose graphs callers choose."""

import time

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import reducer
from mimosaridge_core.jobs import state

NEEDS = resources.Resources(100, 10, 0)
# Of processor time; a graph of this size takes some milliseconds.
LIMIT_S = 5.0


def _job(after, estimates=None):
    estimates = estimates or [1.0] * len(after)
    steps = tuple(
        model.Step(1, NEEDS, estimate, earlier)
        for estimate, earlier in zip(estimates, after, strict=True)
    )
    return model.Job("0" * 16, "q", "b", "a", "text", steps, 0.0)


def _open_groups(job):
    """Returns the groups of an owner that has accepted the job."""
    st = state.State(now=1.0, wall=1.0, bounds=model.Bounds())
    queue = model.Queue("q", "h", "/q/", "b")
    configuration = model.Configuration(1, {"q": queue}, {}, {})
    for event in (
        events.ConfigurationChanged(1.0, configuration),
        events.OwnershipClaimed(1.0, 7, model.Fleet()),
        events.JobAccepted(1.0, job, 5),
    ):
        reducer.reduce(st, event)
    return st.owner.groups


class CriticalPathTest(testtools.TestCase):
    def test_longest_path_counts(self):
        job = _job([(), (0,), (0,), (1, 2), ()], [1.0, 5.0, 2.0, 3.0, 4.0])
        groups = _open_groups(job)
        first, last = groups[f"{job.job_id}.0.0"], groups[f"{job.job_id}.0.4"]
        self.assertEqual(9.0, first.remaining_work_s)
        self.assertEqual(4.0, last.remaining_work_s)
        self.assertEqual(9.0, last.job_work_s)

    def test_a_step_after_all_earlier_ones_does_not_hold_up_the_owner(self):
        started_at = time.process_time()
        (group,) = _open_groups(
            _job([tuple(range(number)) for number in range(23)])
        ).values()
        self.assertLess(time.process_time() - started_at, LIMIT_S)
        self.assertEqual(23.0, group.remaining_work_s)

    def test_a_long_chain_of_steps_starts(self):
        chain = [(), *((number,) for number in range(4_999))]
        (group,) = _open_groups(_job(chain)).values()
        self.assertEqual(5_000.0, group.remaining_work_s)
