"""Odd values for the fields of messages, with a strategy for whole bodies."""

import json

from hypothesis import strategies

DEPTH = 100_000
DEEP_JSON = b"[" * DEPTH + b"]" * DEPTH
# Values in place of a number that no field allows.
NUMBERS = (
    10**400,
    10**5000,
    -1,
    -(10**400),
    float("nan"),
    float("inf"),
    float("-inf"),
    0.5,
    True,
    "1",
    None,
    [],
    {},
)
# Values that no field of the platform's messages has the type of.
OTHER_TYPES = (None, True, 0.5, [[]], [{}])

ANY = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.sampled_from((10**400, -(10**400), "10.0.0.1:99999")),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=6), inner)
    ),
    max_leaves=8,
)


class Raw:
    """JSON text to be put in place of a value as it is."""

    def __init__(self, text):
        self.text = text


def nested(depth):
    """Returns lists within each other, which `json` can't encode if deep."""
    return Raw("[" * depth + "]" * depth)


def encode(value):
    """Returns a value as JSON, with any `Raw` texts and large integers."""
    return _text(value).encode()


def _text(value):
    if isinstance(value, Raw):
        return value.text
    if isinstance(value, dict):
        pairs = (
            f"{json.dumps(name)}:{_text(item)}" for name, item in value.items()
        )
        return "{" + ",".join(pairs) + "}"
    if isinstance(value, list | tuple):
        return "[" + ",".join(_text(item) for item in value) + "]"
    if type(value) is int:
        return _digits(value)
    return json.dumps(value)


def _digits(value):
    """Returns the digits of an integer; `str` refuses more than 4,300."""
    sign, value = "-" if value < 0 else "", abs(value)
    parts = []
    while value >= 10**4000:
        value, low = divmod(value, 10**4000)
        parts.append(f"{low:04000}")
    return sign + str(value) + "".join(reversed(parts))


@strategies.composite
def bodies(draw, fields):
    """Draws a body with these fields, some missing and some with odd values.

    Rows and objects within the fields get odd values as well.
    """
    if draw(strategies.integers(0, 9)) == 0:
        return encode(draw(ANY))
    return encode(_mutated(draw, fields))


def _mutated(draw, value):
    kind = draw(strategies.integers(0, 9))
    if kind == 0:
        return draw(ANY | strategies.just(nested(DEPTH)))
    if isinstance(value, dict):
        return {
            name: _mutated(draw, item)
            for name, item in value.items()
            if draw(strategies.integers(0, 9))
        }
    if isinstance(value, list):
        return [
            _mutated(draw, item)
            for item in value
            if draw(strategies.integers(0, 9))
        ]
    return value
