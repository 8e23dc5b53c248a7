"""Messages between daemons of the platform: any bytes leave a daemon alive."""

import cbor2
from hypothesis import given
from hypothesis import strategies
import testtools

from mimosaridge_daemon import codec
from mimosaridge_daemon.jobs import messages

codec.register_messages(messages.ALL)

SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=True)
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=6), inner)
    ),
    max_leaves=12,
)


@strategies.composite
def _fields(draw, kind):
    """Draws fields with the names of a message and any values."""
    return {
        name: draw(VALUES)
        for name in kind.__dataclass_fields__
        if draw(strategies.booleans())
    }


class FuzzTest(testtools.TestCase):
    @given(strategies.data())
    def test_any_fields_are_a_message_or_malformed(self, data):
        kind = data.draw(strategies.sampled_from(messages.ALL))
        fields = data.draw(_fields(kind) | VALUES)
        encoded = codec.PLAIN + cbor2.dumps([kind.__name__, "d1", fields])
        try:
            _, message = codec.decode_message(encoded)
        except codec.MalformedError:
            return
        self.assertIsInstance(message, kind)

    @given(VALUES)
    def test_any_value_in_place_of_a_message_is_malformed(self, value):
        encoded = codec.PLAIN + cbor2.dumps(value)
        self.assertRaises(codec.MalformedError, codec.decode_message, encoded)
