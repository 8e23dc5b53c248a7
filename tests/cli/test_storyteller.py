"""A job's story from log lines."""

import json
import pathlib
import tempfile

import testtools

from mimosaridge_cli import storyteller

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


class StoryTest(testtools.TestCase):
    """Lines chosen, put in order and told."""

    def test_lines_of_the_job_and_what_went_on_meanwhile(self):
        chosen = storyteller.select(iter(LINES), JOB)
        self.assertEqual(
            ["accepted", "owner", "ended"], [line["message"] for line in chosen]
        )

    def test_a_refusal_is_found_by_its_path(self):
        line = _line(1, "refused", reason="no store", path=f"/q/{JOB}")
        chosen = storyteller.select(iter([line]), JOB)
        self.assertEqual(
            "It was not taken and never runs: no store.",
            storyteller.sentence(chosen[0]),
        )

    def test_a_missing_field_is_no_failure(self):
        text = storyteller.sentence(_line(1, "finished"))
        self.assertEqual("The job is ? after ? s.", text)

    def test_an_unknown_job_has_no_story(self):
        self.assertEqual([], storyteller.select(iter(LINES), "f" * 16))

    def test_files_are_read_and_other_lines_left_out(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            line = json.dumps(LINES[1])
            path.write_text(f"1.0 front-1 {line}\nother\n", encoding="utf-8")
            found = list(storyteller.read((str(path),)))
        self.assertEqual([LINES[1]], found)
