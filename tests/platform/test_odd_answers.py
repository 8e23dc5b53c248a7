"""Odd answers of workers, the store and the advice service."""

from hypothesis import given
from hypothesis import strategies
import oddvalues
import testtools

from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_platform import calls
from mimosaridge_platform import wiretypes
from mimosaridge_platform import workercalls

LISTS = {
    "clockMs": 482_113,
    "born": 5,
    "running": [["j.0.1.17", 2, "c", 41, 7]],
    "ended": [[58, "j.0.1.9", 1, "done", ""]],
}


def _with_column(name, column, value):
    row = list(LISTS[name][0])
    row[column] = value
    return LISTS | {name: [row]}


class HoldAnswerTest(testtools.TestCase):
    """The lists of a worker."""

    def _assert_malformed(self, fields):
        self.assertRaises(
            calls.MalformedError,
            workercalls.decode_hold_answer,
            oddvalues.encode(fields),
        )

    def test_lists_may_be_missing_and_checkpoints_null(self):
        for lists in ({}, {"running": None, "ended": None}):
            answer = workercalls.decode_hold_answer(
                oddvalues.encode({"clockMs": 5} | lists)
            )
            self.assertEqual(workercalls.HoldAnswer(5, 0, (), ()), answer)
        answer = workercalls.decode_hold_answer(
            oddvalues.encode(_with_column("running", 2, None))
        )
        self.assertEqual(
            (model.RunReport("j.0.1.17", 2, "", 41.0),), answer.running
        )

    def test_number_out_of_range_is_malformed(self):
        for value in oddvalues.NUMBERS:
            for name in ("clockMs", "born"):
                self._assert_malformed(LISTS | {name: value})
            self._assert_malformed(_with_column("running", 1, value))
            self._assert_malformed(_with_column("ended", 0, value))
            self._assert_malformed(_with_column("ended", 2, value))

    def test_percent_that_is_no_finite_number_is_malformed(self):
        for value in oddvalues.NUMBERS:
            if value != 0.5:
                self._assert_malformed(_with_column("running", 3, value))
        self._assert_malformed(_with_column("running", 3, "41"))

    def test_row_of_another_shape_is_malformed(self):
        for value in (*oddvalues.OTHER_TYPES, "text", [], ["j.0.1.17", 2]):
            self._assert_malformed(LISTS | {"running": [value]})
            self._assert_malformed(LISTS | {"ended": [value]})
        for value in (0.5, True, "text", {"a": 1}):
            self._assert_malformed(LISTS | {"running": value})

    def test_deep_nesting_is_malformed(self):
        deep = oddvalues.nested(oddvalues.DEPTH)
        for fields in (deep, LISTS | {"new": deep}, LISTS | {"ended": deep}):
            self._assert_malformed(fields)

    @given(strategies.binary() | oddvalues.bodies(LISTS))
    def test_any_bytes_are_lists_or_malformed(self, body):
        try:
            answer = workercalls.decode_hold_answer(body)
        except calls.MalformedError:
            return
        self.assertIn(answer.clock_ms, range(wiretypes.MAX_TIME_MS + 1))
        for row in answer.running:
            self.assertIs(float, type(row.percent))
            self.assertIs(str, type(row.task_id))
            self.assertIs(str, type(row.saved))
            self.assertIn(row.run, range(wiretypes.MAX_INTEGER + 1))
        for row in answer.ended:
            self.assertIn(row.number, range(wiretypes.MAX_INTEGER + 1))
            self.assertIs(str, type(row.how))


class ResultTest(testtools.TestCase):
    """Results of starts and stops."""

    def test_refusal_with_an_odd_body_is_a_refusal(self):
        bodies = [oddvalues.DEEP_JSON, b"", b"[]", b"1", b"null", b"\xff"]
        bodies += [
            oddvalues.encode({"reason": value})
            for value in (*oddvalues.OTHER_TYPES, [], {}, 5)
        ]
        for body in bodies:
            self.assertEqual(
                (events.CallResult.REFUSED, ""),
                workercalls.decode_result(409, body),
            )

    @given(
        strategies.integers(0, 999),
        strategies.binary()
        | oddvalues.bodies({"clockMs": 1, "reason": "fence"}),
    )
    def test_any_answer_has_a_result(self, status, body):
        outcome, reason = workercalls.decode_result(status, body)
        self.assertIsInstance(outcome, events.CallResult)
        self.assertIsInstance(reason, str)
