"""Encoding round trips, and rejection of malformed bytes."""

import json
import zlib

import cbor2
from hypothesis import given
from hypothesis import strategies
import testtools

from mimosaridge_core import codes
from mimosaridge_core import documents
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_daemon import codec

codec.register_messages(messages.ALL)


def _work(body: bytes) -> works.Work:
    return works.Work(
        "id",
        "a",
        works.Kind.BATCH,
        1,
        resources.Resources(slots=1),
        "",
        True,
        works.Urgency.URGENT,
        10.0,
        1.0,
        0.0,
        body,
    )


class CodecTest(testtools.TestCase):
    """Tests of peer messages and documents."""

    @given(strategies.binary())
    def test_message_round_trip(self, body):
        message = messages.WorkSettled(
            "id", works.Outcome(codes.Code.OK, "fine", body)
        )
        data = codec.encode_message("d0", message)
        self.assertEqual(("d0", message), codec.decode_message(data))

    @given(strategies.binary())
    def test_ledger_round_trip(self, body):
        outcome = works.Outcome(codes.Code.UNKNOWN, "", body)
        ledger = documents.Ledger(
            "d0",
            "w",
            {
                "id": documents.Entry(
                    _work(body), [documents.Assignment(1, "s", outcome)]
                )
            },
        )
        encoded = codec.encode_document(ledger)
        decoded = codec.decode_document(
            documents.document_type("ledgers/bucket-00"), json.loads(encoded)
        )
        self.assertEqual(ledger, decoded)

    @given(strategies.binary())
    def test_malformed_bytes_are_rejected(self, data):
        self.assertRaises(
            codec.MalformedError, codec.decode_message, b"\xff" + data
        )
        for encoding in (codec.PLAIN, codec.COMPRESSED):
            self.assertRaises(
                codec.MalformedError, codec.decode_message, encoding + data
            )

    def test_large_message_is_compressed(self):
        body = b"answer " * 10_000
        message = messages.WorkSettled(
            "id", works.Outcome(codes.Code.OK, "fine", body)
        )
        data = codec.encode_message("d0", message)
        self.assertEqual(("d0", message), codec.decode_message(data))
        self.assertLess(len(data), len(body) // 10)

    def test_message_that_decompresses_too_large_is_rejected(self):
        bomb = zlib.compress(bytes(codec.MAX_MESSAGE_BYTES + 1), 1)
        self.assertRaises(
            codec.MalformedError, codec.decode_message, codec.COMPRESSED + bomb
        )

    def test_deeply_nested_message_is_rejected(self):
        data = codec.PLAIN + b"\x81" * 100_000 + b"\x00"
        self.assertRaises(codec.MalformedError, codec.decode_message, data)

    def test_message_of_unknown_type_is_rejected(self):
        data = codec.PLAIN + cbor2.dumps(["Nothing", "d0", {}])
        self.assertRaises(codec.MalformedError, codec.decode_message, data)
