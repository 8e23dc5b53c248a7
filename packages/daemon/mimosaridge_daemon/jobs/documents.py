"""The daemon's own items in the platform's store: keys and values."""

import dataclasses

import pydantic

from mimosaridge_core.jobs import model
from mimosaridge_daemon import codec

OWN = "mimosaridge/"
JOBS = f"{OWN}job/"
PROGRESS = f"{OWN}progress/"
CANCELS = f"{OWN}cancel/"
DAEMONS = f"{OWN}daemon/"
OWNER = f"{OWN}owner"
FLEET = f"{OWN}workers"


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """A running daemon.

    Attributes:
        name: Its machine.
        boot: Id of the process.
        url: Where peers reach it.
        cores: Processor time that its machine gives, in cores.
    """

    name: str
    boot: str
    url: str
    cores: float = 0.0


def encode(value: object) -> bytes:
    """Encodes an item; fields with their default value are left out."""
    return codec.adapter(type(value)).dump_json(value, exclude_defaults=True)


def decode(kind: type, value: bytes) -> object:
    """Decodes an item.

    Raises:
        codec.MalformedError: The bytes are no such item.
    """
    try:
        return codec.adapter(kind).validate_json(value)
    except pydantic.ValidationError as error:
        raise codec.MalformedError(f"Bad {kind.__name__}: {error}") from error


def decode_job(value: bytes) -> model.Job:
    """Decodes a job."""
    return decode(model.Job, value)


def decode_progress(value: bytes) -> model.Progress:
    """Decodes a job's progress."""
    return decode(model.Progress, value)
