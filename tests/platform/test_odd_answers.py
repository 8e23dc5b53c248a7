"""Odd answers of workers, the store and the advice service."""

from hypothesis import given
from hypothesis import strategies
import oddvalues
import testtools

from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_platform import calls
from mimosaridge_platform import storecalls
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

    def test_a_full_list_of_ends_does_not_count_as_complete(self):
        for number, has_more in ((499, False), (500, True), (501, True)):
            ended = [[n, "j.0.1.9", n, "done", ""] for n in range(number)]
            answer = workercalls.decode_hold_answer(
                oddvalues.encode(LISTS | {"ended": ended})
            )
            self.assertEqual(has_more, answer.has_more_ends)

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
            (model.RunReport("j.0.1.17", 2, "", 41.0, 7.0),), answer.running
        )

    def test_load_that_is_missing_or_no_number_counts_as_none(self):
        for value in (*oddvalues.OTHER_TYPES, "5", -1, 10**400, float("nan")):
            fields = _with_column("running", 4, value)
            answer = workercalls.decode_hold_answer(oddvalues.encode(fields))
            is_number = type(value) in (int, float)
            if not is_number or not 0 <= value <= wiretypes.MAX_AMOUNT:
                self.assertEqual(0.0, answer.running[0].load)
        row = LISTS["running"][0][:4]
        fields = LISTS | {"running": [row]}
        answer = workercalls.decode_hold_answer(oddvalues.encode(fields))
        self.assertEqual(0.0, answer.running[0].load)

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


ITEM = {"key": "a", "value": "eA==", "revision": 3}
LIST = {"items": [ITEM], "hasMore": False, "atRevision": 4}
CHANGES = {
    "events": [ITEM, {"key": "b", "revision": 4, "deleted": True}],
    "atRevision": 4,
}
# Numbers of over 4,300 digits make a whole body invalid JSON.
READABLE = [value for value in oddvalues.NUMBERS if value not in (10**5000,)]
DECODERS = (
    (storecalls.decode_item, ITEM),
    (storecalls.decode_page, LIST),
    (storecalls.decode_changes, CHANGES),
    (storecalls.decode_lease, {"lease": 5}),
)


class StoreTest(testtools.TestCase):
    """Items, pages, changes, leases and results of writes."""

    def test_odd_row_hides_no_other_item(self):
        odd = (
            *oddvalues.OTHER_TYPES,
            {"key": 5, "revision": 3},
            {"key": "", "revision": 3},
            {"value": "eA==", "revision": 3},
            *({"key": "b", "revision": value} for value in READABLE),
        )
        for row in odd:
            for decode, name in (
                (storecalls.decode_page, "items"),
                (storecalls.decode_changes, "events"),
            ):
                page = decode(
                    oddvalues.encode({name: [row, ITEM], "atRevision": 4})
                )
                self.assertEqual(
                    (storecalls.Item("a", b"x", 3),), page.items, row
                )
                self.assertEqual(1, page.malformed)

    def test_value_that_cannot_be_read_is_an_empty_one(self):
        for value in ("?", "\u00e9", "eA", 5, 10**400, [], {"a": 1}):
            row = ITEM | {"value": value}
            page = storecalls.decode_page(
                oddvalues.encode(LIST | {"items": [row]})
            )
            self.assertEqual((storecalls.Item("a", b"", 3),), page.items)

    def test_revision_out_of_range_is_malformed(self):
        for value in oddvalues.NUMBERS:
            for decode, fields in DECODERS[:3]:
                for name in {"revision", "atRevision"} & fields.keys():
                    body = oddvalues.encode(fields | {name: value})
                    self.assertRaises(calls.MalformedError, decode, body)
            body = oddvalues.encode({"lease": value})
            self.assertRaises(
                calls.MalformedError, storecalls.decode_lease, body
            )
            answer = storecalls.decode_write_answer(
                200, oddvalues.encode({"revision": value})
            )
            self.assertEqual(storecalls.WriteResult.UNKNOWN, answer.result)

    def test_deep_nesting_is_malformed(self):
        deep = oddvalues.nested(oddvalues.DEPTH)
        for decode, fields in DECODERS:
            for body in (deep, fields | {"new": deep}):
                self.assertRaises(
                    calls.MalformedError, decode, oddvalues.encode(body)
                )
        for status in (200, 412):
            answer = storecalls.decode_write_answer(status, oddvalues.DEEP_JSON)
            self.assertEqual(storecalls.WriteResult.UNKNOWN, answer.result)

    @given(strategies.data())
    def test_any_bytes_are_decoded_or_malformed(self, data):
        decode, fields = data.draw(strategies.sampled_from(DECODERS))
        body = data.draw(strategies.binary() | oddvalues.bodies(fields))
        try:
            decode(body)
        except calls.MalformedError:
            return

    @given(
        strategies.sampled_from((200, 404, 412, 429, 503)),
        strategies.binary()
        | oddvalues.bodies({"revision": 5})
        | oddvalues.bodies({"items": [ITEM, {"key": "b", "revision": 0}]}),
    )
    def test_any_answer_to_a_write_has_a_result(self, status, body):
        answer = storecalls.decode_write_answer(status, body)
        self.assertIn(answer.revision, range(wiretypes.MAX_INTEGER + 1))
        for item in answer.items:
            self.assertIn(item.revision, range(wiretypes.MAX_INTEGER + 1))
