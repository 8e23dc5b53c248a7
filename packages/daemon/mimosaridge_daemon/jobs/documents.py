"""Keys and values of the daemons' state in the platform's store."""

import dataclasses

import pydantic

from mimosaridge_core.jobs import model
from mimosaridge_daemon import codec

ROOT = "mimosaridge/"
JOBS = f"{ROOT}job/"
PROGRESS = f"{ROOT}progress/"
CANCELS = f"{ROOT}cancel/"
DAEMONS = f"{ROOT}daemon/"
OWNER = f"{ROOT}owner"
FLEET = f"{ROOT}workers"
WAVES = f"{ROOT}wave/"
# Outside of the prefix that all daemons follow: only new owners read it.
RUN_TIMES = "mimosaridge-learned/run-times"


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """The registration of a running daemon.

    Attributes:
        name: Name of its machine.
        boot: Id of the process, new at each start.
        url: WebSocket URL for its peers.
        cores: CPU capacity of its machine, in cores.
        zone: Availability zone of its machine.
    """

    name: str
    boot: str
    url: str
    cores: float = 0.0
    zone: str = ""


def encode(value: object) -> bytes:
    """Encodes a value as JSON without fields that have their default."""
    return codec.adapter(type(value)).dump_json(value, exclude_defaults=True)


def decode(kind: type, value: bytes) -> object:
    """Decodes a value from JSON.

    Raises:
        codec.MalformedError: The bytes are not a valid value of this type.
    """
    try:
        return codec.validator(kind).validate_json(value)
    except pydantic.ValidationError as error:
        raise codec.MalformedError(
            f"invalid {kind.__name__}: {error}"
        ) from error


def decode_job(value: bytes, job_id: str) -> model.Job:
    """Decodes the job with an id from JSON.

    Raises:
        codec.MalformedError: The bytes are not a job with this id.
    """
    job = decode(model.Job, value)
    if job.job_id != job_id:
        raise codec.MalformedError("invalid Job: it has another id")
    return job


def decode_progress(value: bytes) -> model.Progress:
    """Decodes a job's progress from JSON."""
    return decode(model.Progress, value)
