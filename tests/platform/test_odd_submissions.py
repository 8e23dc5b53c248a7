"""Odd bodies of callers: a job or malformed, never another error."""

from hypothesis import given
from hypothesis import strategies
import oddvalues
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_platform import calls
from mimosaridge_platform import submissions
from mimosaridge_platform import wiretypes

QUEUE = model.Queue("q", "host", "/q/", "registry")
STEP = {
    "count": 4,
    "cpu": 500,
    "memoryRequestMb": 256,
    "gpus": 1,
    "estimatedMs": 900,
    "after": [0],
    "checkpointing": True,
    "requirements": "kind-a",
    "affinity": "r1",
    "antiAffinity": 2,
    "image": "i",
    "targetMs": 250,
    "mayMiss": 1,
}
JOB = {
    "taskSpec": "text",
    "steps": [{"count": 1}, STEP],
    "repeatCount": 2,
    "firstRunMs": 1_790_000_000_000,
    "intervalMs": 1000,
}
WHOLE = (
    "count",
    "cpu",
    "memoryRequestMb",
    "gpus",
    "antiAffinity",
    "targetMs",
    "mayMiss",
)


def _decode(body):
    return submissions.decode("0" * 16, QUEUE, "a", body, 5.0)


class SubmissionTest(testtools.TestCase):
    """Jobs with one odd value."""

    def _assert_malformed(self, fields):
        body = oddvalues.encode(fields)
        self.assertRaises(calls.MalformedError, _decode, body)

    def test_integral_float_is_an_integer(self):
        step = STEP | {"count": 4.0, "cpu": 500.0, "estimatedMs": 900.0}
        body = oddvalues.encode(JOB | {"steps": [{"count": 1}, step]})
        self.assertEqual(_decode(oddvalues.encode(JOB)), _decode(body))

    def test_number_out_of_range_is_malformed(self):
        for value in oddvalues.NUMBERS:
            for name in WHOLE:
                self._assert_malformed({"steps": [STEP | {name: value}]})
            self._assert_malformed({"steps": [{}, STEP | {"after": [value]}]})
            self._assert_malformed(JOB | {"repeatCount": value})
            if value == 0.5:
                continue
            self._assert_malformed({"steps": [{"estimatedMs": value}]})
            for name in ("firstRunMs", "intervalMs"):
                self._assert_malformed(JOB | {name: value})

    def test_deep_nesting_is_malformed(self):
        deep = oddvalues.nested(oddvalues.DEPTH)
        for fields in (deep, JOB | {"new": deep}, JOB | {"steps": deep}):
            self._assert_malformed(fields)

    @given(strategies.binary() | oddvalues.bodies(JOB))
    def test_any_bytes_are_a_job_or_malformed(self, body):
        try:
            job = _decode(body)
        except calls.MalformedError:
            return
        self.assertIn(job.repeats, range(wiretypes.MAX_REPETITIONS + 1))
        for number, step in enumerate(job.steps):
            self.assertIn(step.tasks, range(1, wiretypes.MAX_TASKS + 1))
            self.assertTrue(0 <= step.estimate_s <= wiretypes.MAX_TIME_MS)
            for name in resources.NAMES:
                amount = getattr(step.needs, name)
                self.assertIn(amount, range(wiretypes.MAX_AMOUNT + 1))
            for earlier in step.after:
                self.assertIn(earlier, range(number))
