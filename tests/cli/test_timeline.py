"""Tests of the job timeline built from log lines."""

import json
import pathlib
import tempfile

import testtools

from mimosaridge_cli import timeline

JOB = "5c0e7a21d94b36f8"


def _line(at, message, **fields):
    return {
        "at": f"2026-12-04T10:00:0{at}.000000",
        "daemon": "front-1",
        "message": message,
        **fields,
    }


LINES = [
    _line(
        3,
        "ended",
        job=JOB,
        task=f"{JOB}.0.0.0",
        run=7,
        worker="w1",
        how="done",
        why_stopped="",
    ),
    _line(1, "accepted", job=JOB, queue="r1", team="a"),
    _line(2, "owner", token=9),
    _line(9, "owner", token=12),
    _line(2, "accepted", job="0" * 16, queue="r1", team="a"),
]


class TimelineTest(testtools.TestCase):
    """Selection, order and wording of log lines."""

    def test_selects_lines_of_the_job_and_context_in_its_lifetime(self):
        selected = timeline.select(iter(LINES), JOB)
        self.assertEqual(
            ["accepted", "owner", "ended"],
            [line["message"] for line in selected],
        )

    def test_refusal_is_found_by_its_request_path(self):
        line = _line(1, "refused", reason="no store", path=f"/q/{JOB}")
        selected = timeline.select(iter([line]), JOB)
        self.assertEqual(
            "The job was rejected and will not run: no store.",
            timeline.format_decision(selected[0]),
        )

    def test_missing_field_is_shown_as_question_mark(self):
        text = timeline.format_decision(_line(1, "finished"))
        self.assertEqual("The job ended as ? after ? s.", text)

    def test_unknown_job_selects_no_lines(self):
        self.assertEqual([], timeline.select(iter(LINES), "f" * 16))

    def test_reads_files_and_skips_unstructured_lines(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "log"
            line = json.dumps(LINES[1])
            path.write_text(f"1.0 front-1 {line}\nother\n", encoding="utf-8")
            lines = list(timeline.read_lines((str(path),)))
        self.assertEqual([LINES[1]], lines)
