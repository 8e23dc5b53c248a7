"""Encoding of peer messages as CBOR and of store documents as JSON."""

import functools
from typing import Any
import zlib

import cbor2
import pydantic
import pydantic_core

PLAIN = b"\x00"
COMPRESSED = b"\x01"
COMPRESSION_THRESHOLD_BYTES = 512
COMPRESSION_LEVEL = 1
MAX_MESSAGE_BYTES = 32_000_000
# Integers of messages and documents fit into 64 bits.
MAX_INTEGER = 2**63 - 1
# Types that peers may send, by name; empty until they are registered.
MESSAGES: dict[str, type] = {}


class MalformedError(Exception):
    """Raised for a message or document that cannot be decoded."""


def register_messages(kinds: tuple[type, ...]) -> None:
    """Registers message types that peers may send."""
    MESSAGES.update({kind.__name__: kind for kind in kinds})


@functools.cache
def adapter(kind: type) -> pydantic.TypeAdapter:
    """Returns the cached pydantic adapter of a type."""
    return pydantic.TypeAdapter(kind)


def _bounded(schema: Any) -> Any:
    """Returns a pydantic schema whose numbers are finite and fit into 64 bits.

    Arithmetic on other numbers may raise where nothing expects it.
    """
    if isinstance(schema, list):
        return [_bounded(part) for part in schema]
    if not isinstance(schema, dict):
        return schema
    bounded = {name: _bounded(part) for name, part in schema.items()}
    if schema.get("type") == "int":
        return {"ge": -MAX_INTEGER, "le": MAX_INTEGER} | bounded
    if schema.get("type") == "float":
        return bounded | {"allow_inf_nan": False}
    return bounded


@functools.cache
def validator(kind: type) -> pydantic_core.SchemaValidator:
    """Returns the cached validator of a type, with bounded numbers."""
    return pydantic_core.SchemaValidator(_bounded(adapter(kind).core_schema))


def encode_message(sender: str, message: Any) -> bytes:
    """Encodes a peer message and its sender; compresses large ones."""
    kind = type(message)
    fields = adapter(kind).dump_python(message)
    data = cbor2.dumps([kind.__name__, sender, fields])
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def _decompress(data: bytes) -> bytes:
    encoding, content = data[:1], data[1:]
    if encoding == PLAIN:
        return content
    if encoding != COMPRESSED:
        raise ValueError("unknown encoding byte")
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(content, MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError(f"truncated, or larger than {MAX_MESSAGE_BYTES} bytes")
    return decompressed


def decode_message(data: bytes) -> tuple[str, Any]:
    """Decodes a peer message.

    Raises:
        MalformedError: The bytes are not a message of a known type.
    """
    try:
        name, sender, fields = cbor2.loads(_decompress(data))
        message = validator(MESSAGES[name]).validate_python(fields)
        if not isinstance(sender, str):
            raise ValueError("the sender's name must be text")
    except (
        cbor2.CBORDecodeError,
        pydantic.ValidationError,
        KeyError,
        TypeError,
        ValueError,
        RecursionError,
        zlib.error,
    ) as error:
        raise MalformedError(f"Malformed peer message: {error}") from error
    return sender, message


def encode_document(value: Any) -> bytes:
    """Encodes a document as JSON."""
    return adapter(type(value)).dump_json(value)


def encode_object(**fields: bytes) -> bytes:
    """Returns a JSON object whose field values are already encoded."""
    parts = (b'"%b":%b' % (name.encode(), fields[name]) for name in fields)
    return b"{%b}" % b",".join(parts)


def decode_document(kind: type, value: Any) -> Any:
    """Validates a parsed JSON value as a document of a type.

    Raises:
        MalformedError: The value does not fit the type.
    """
    try:
        return adapter(kind).validate_python(value)
    except pydantic.ValidationError as error:
        raise MalformedError(f"Malformed {kind.__name__}: {error}") from error
