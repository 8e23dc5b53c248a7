"""Odd items of the daemons' own state: a value or malformed."""

import dataclasses

from hypothesis import given
from hypothesis import strategies
import oddvalues
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_daemon import codec
from mimosaridge_daemon.jobs import documents

JOB = model.Job(
    "0" * 16,
    "q",
    "registry",
    "a",
    "text",
    (model.Step(2, resources.Resources(100, 10, 0)),),
    5.0,
)
FIELDS = {
    "job_id": "0" * 16,
    "queue": "q",
    "backend": "registry",
    "team": "a",
    "content": "text",
    "steps": [{"tasks": 2, "needs": {"cpu_millis": 100, "memory_mib": 10}}],
    "accepted_at": 5.0,
}
PROGRESS = {
    "state": "running",
    "steps": {"0.0": {"done": [1], "failed_runs": {"2": [70]}, "saved": {}}},
}


class DocumentTest(testtools.TestCase):
    def _assert_malformed(self, fields):
        self.assertRaises(
            codec.MalformedError,
            documents.decode_job,
            oddvalues.encode(fields),
            "0" * 16,
        )

    def test_job_is_decoded(self):
        encoded = documents.encode(JOB)
        self.assertEqual(JOB, documents.decode_job(encoded, "0" * 16))
        encoded = oddvalues.encode(FIELDS)
        self.assertEqual(JOB, documents.decode_job(encoded, "0" * 16))

    def test_a_job_keeps_the_settings_of_its_queue(self):
        advice = model.AdviceSettings(0.03, 0.0004, 1.5)
        queue = model.Queue(
            "q", "host", "/q/", "registry", max_attempts=4, advice=advice
        )
        job = dataclasses.replace(JOB, accepted_under=queue)
        encoded = documents.encode(job)
        self.assertEqual(job, documents.decode_job(encoded, "0" * 16))

    def test_number_out_of_range_is_malformed(self):
        for value in (10**400, -(10**400), 10**5000, float("nan")):
            step = {"tasks": value, "needs": {}}
            self._assert_malformed(FIELDS | {"steps": [step]})
            step = {"tasks": 2, "needs": {"cpu_millis": value}}
            self._assert_malformed(FIELDS | {"steps": [step]})
            self._assert_malformed(FIELDS | {"accepted_at": value})

    def test_job_under_the_key_of_another_one_is_malformed(self):
        self.assertRaises(
            codec.MalformedError,
            documents.decode_job,
            documents.encode(JOB),
            "1" * 16,
        )

    def test_deep_nesting_or_no_value_is_malformed(self):
        for value in (oddvalues.DEEP_JSON, b"", None):
            self.assertRaises(
                codec.MalformedError, documents.decode_job, value, "0" * 16
            )

    @given(
        strategies.binary()
        | oddvalues.bodies(FIELDS)
        | oddvalues.bodies(PROGRESS)
    )
    def test_any_bytes_are_a_document_or_malformed(self, value):
        for kind in (
            model.Job,
            model.Progress,
            model.Fleet,
            documents.Daemon,
        ):
            try:
                self.assertIsInstance(documents.decode(kind, value), kind)
            except codec.MalformedError:
                continue
