"""Typed values to CBOR for peers and JSON for the store, and back."""

import functools
from typing import Any
import zlib

import cbor2
import pydantic

from mimosaridge_core import documents
from mimosaridge_core import messages

PLAIN = b"\x00"
COMPRESSED = b"\x01"
COMPRESSED_FROM_BYTES = 512
COMPRESSION_LEVEL = 1
LARGEST_MESSAGE_BYTES = 32_000_000
MESSAGES = {kind.__name__: kind for kind in messages.ALL}


class MalformedError(Exception):
    """Bytes that are not what they should be."""


def register_messages(kinds: tuple[type, ...]) -> None:
    """Adds message types that peers may send."""
    MESSAGES.update({kind.__name__: kind for kind in kinds})


@functools.cache
def adapter(kind: type) -> pydantic.TypeAdapter:
    """Returns the validator of a type."""
    return pydantic.TypeAdapter(kind)


def encode_message(sender: str, message: Any) -> bytes:
    """Encodes a peer message with its sender."""
    kind = type(message)
    fields = adapter(kind).dump_python(message)
    data = cbor2.dumps([kind.__name__, sender, fields])
    if len(data) < COMPRESSED_FROM_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def _unpack(data: bytes) -> bytes:
    kind, rest = data[:1], data[1:]
    if kind == PLAIN:
        return rest
    if kind != COMPRESSED:
        raise ValueError("unknown form")
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(rest, LARGEST_MESSAGE_BYTES)
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise ValueError("too large or cut short")
    return unpacked


def decode_message(data: bytes) -> tuple[str, Any]:
    """Decodes a peer message.

    Raises:
        MalformedError: The bytes are no message of a known type.
    """
    try:
        name, sender, fields = cbor2.loads(_unpack(data))
        message = adapter(MESSAGES[name]).validate_python(fields)
    except (
        cbor2.CBORDecodeError,
        pydantic.ValidationError,
        KeyError,
        TypeError,
        ValueError,
        RecursionError,
        zlib.error,
    ) as error:
        raise MalformedError(f"Bad peer message: {error}") from error
    return sender, message


def encode_document(value: Any) -> bytes:
    """Encodes a document as JSON."""
    return adapter(type(value)).dump_json(value)


def encode_object(**fields: bytes) -> bytes:
    """Returns a JSON object of fields that are encoded already."""
    parts = (b'"%b":%b' % (name.encode(), fields[name]) for name in fields)
    return b"{%b}" % b",".join(parts)


def decode_document(key: str, value: Any) -> Any:
    """Turns plain JSON values into the document that belongs under a key.

    Raises:
        MalformedError: The values are not such a document.
    """
    kind = documents.document_type(key)
    if value is None or kind is None:
        return None
    try:
        return adapter(kind).validate_python(value)
    except pydantic.ValidationError as error:
        raise MalformedError(f"Bad document under {key}: {error}") from error
