"""Schemas of the request bodies and queries of the HTTP API."""

import base64
import dataclasses
import re
from typing import Annotated
from typing import Any
import uuid

import pydantic

from mimosaridge_core import changes
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_daemon import codec

MAX_AMOUNT = 1_000_000_000
MAX_TASKS = 10_000
MAX_HISTORY_ROWS = 1_000
MAX_WAIT_S = 30 * 86_400.0
ARGUMENT_PATTERN = re.compile(r"([A-Za-z0-9][A-Za-z0-9._-]{0,127})?")

Amount = Annotated[int, pydantic.Field(ge=0, le=MAX_AMOUNT)]
Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
OptionalName = Annotated[
    str, pydantic.Field(pattern=r"^([a-z0-9][a-z0-9._-]{0,62})?$")
]


class Strict(pydantic.BaseModel):
    """Base class of all schemas; rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", allow_inf_nan=False)


class Needs(Strict):
    """Resource requirements of one task."""

    cpu_millis: Amount = 0
    memory_mib: Amount = 0
    accelerators: Amount = 0
    slots: Annotated[int, pydantic.Field(ge=1, le=MAX_AMOUNT)] = 1
    connections: Amount = 0

    def to_resources(self) -> resources.Resources:
        """Converts the schema to the core's type."""
        return resources.Resources(**self.model_dump())


class Submission(Strict):
    """Submission of a request or a job."""

    work_id: uuid.UUID
    team: OptionalName = ""
    queue: OptionalName = ""
    kind: works.Kind = works.Kind.REQUEST
    count: Annotated[int, pydantic.Field(ge=1, le=MAX_TASKS)] = 1
    needs: Needs = Needs()
    endpoint: OptionalName = ""
    idempotent: bool = False
    urgency: Annotated[int, pydantic.Field(ge=0, le=2)] = 1
    start_before: Annotated[float, pydantic.Field(gt=0)]
    declared_run_s: Annotated[float, pydantic.Field(ge=0, le=MAX_WAIT_S)] = 0.0
    body: str = ""

    @pydantic.field_validator("work_id")
    @classmethod
    def _validate_work_id(cls, value: uuid.UUID) -> uuid.UUID:
        if value.version != 7:
            raise ValueError("must be a version 7 UUID")
        return value

    @pydantic.field_validator("kind")
    @classmethod
    def _validate_kind(cls, value: works.Kind) -> works.Kind:
        if value == works.Kind.SERVICE:
            raise ValueError("services are created by operators")
        return value

    def to_work(self, now: float) -> works.Work:
        """Converts the schema to the core's type.

        Raises:
            ValueError: The body is not base64, the start deadline is more than
                30 days ahead, or a request has more than one task.
        """
        if self.start_before > now + MAX_WAIT_S:
            raise ValueError("start_before: must be at most 30 days ahead")
        if self.kind == works.Kind.REQUEST and self.count != 1:
            raise ValueError("count: a request must have exactly one task")
        return works.Work(
            str(self.work_id),
            self.team,
            self.kind,
            self.count,
            self.needs.to_resources(),
            self.endpoint,
            self.idempotent or self.kind != works.Kind.REQUEST,
            works.Urgency(self.urgency),
            self.start_before,
            now,
            self.declared_run_s,
            base64.b64decode(self.body, validate=True),
        )


class Intent(Strict):
    """A configuration change, by the name that operators use."""

    change: str
    arguments: dict[str, Any] = {}

    def to_change(self) -> Any:
        """Converts the schema to the core's type.

        Raises:
            ValueError: The change is unknown or an argument is invalid.
        """
        kind = changes.REGISTRY.get(self.change)
        if kind is None:
            known = ", ".join(sorted(changes.REGISTRY))
            raise ValueError(f"change: must be one of {known}")
        allowed = {field.name for field in dataclasses.fields(kind)}
        unknown = sorted(set(self.arguments) - allowed)
        if unknown:
            raise ValueError(f"arguments: unknown {', '.join(unknown)}")
        change = codec.adapter(kind).validate_python(self.arguments)
        fields = dataclasses.fields(kind)
        if getattr(change, fields[0].name) == "":
            raise ValueError(f"{fields[0].name}: must not be empty")
        for field in fields:
            value = getattr(change, field.name)
            _check_fields(field.name, value, self.arguments.get(field.name))
            _check_argument(field.name, value)
        return change


def _check_fields(name: str, value: Any, given: Any) -> None:
    """Rejects fields of an argument that its type does not have.

    Raises:
        ValueError: The argument has unknown fields, which the message lists.
    """
    if dataclasses.is_dataclass(value) and isinstance(given, dict):
        known = {field.name for field in dataclasses.fields(value)}
        unknown = sorted(set(given) - known)
        if unknown:
            raise ValueError(f"{name}: unknown {', '.join(unknown)}")


def _check_argument(name: str, value: Any) -> None:
    """Rejects an argument value that a configuration must not contain.

    Raises:
        ValueError: A string is not a valid name, or a number is out of range.
    """
    if isinstance(value, str) and not ARGUMENT_PATTERN.fullmatch(value):
        raise ValueError(f"{name}: use up to 128 letters, digits, . _ and -")
    if isinstance(value, (int, float)) and not 0 <= value <= MAX_AMOUNT:
        raise ValueError(f"{name}: must be between 0 and {MAX_AMOUNT}")
    if name == "replicas" and value > MAX_TASKS:
        raise ValueError(f"{name}: must be at most {MAX_TASKS}")
    if dataclasses.is_dataclass(value):
        for field in dataclasses.fields(value):
            _check_argument(f"{name}.{field.name}", getattr(value, field.name))


class Confirmation(Strict):
    """Confirmation of a plan."""

    intent: Intent
    base_number: Annotated[int, pydantic.Field(ge=0)]
    expires_at: float
    change_id: Annotated[str, pydantic.Field(min_length=8, max_length=64)]


class HistoryQuery(Strict):
    """Query for a page of work.

    Attributes:
        team: Only work of this team; empty for all.
        outcome: Only work with this outcome name, or OPEN; empty for all.
        before: Only work submitted before this Unix time, seconds; 0 for now.
        limit: Maximum number of rows.
    """

    team: OptionalName = ""
    outcome: Annotated[str, pydantic.Field(pattern="^[A-Z_]{0,40}$")] = ""
    before: Annotated[float, pydantic.Field(ge=0)] = 0.0
    limit: Annotated[int, pydantic.Field(ge=1, le=MAX_HISTORY_ROWS)] = 50
