"""What callers and operators may send, checked field by field."""

import base64
import dataclasses
from typing import Annotated
from typing import Any
import uuid

import pydantic

from mimosaridge_core import changes
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_daemon import codec

LARGEST_AMOUNT = 1_000_000_000
MOST_TASKS = 10_000
MOST_HISTORY_ROWS = 1_000
LONGEST_WAIT_S = 30 * 86_400.0

Amount = Annotated[int, pydantic.Field(ge=0, le=LARGEST_AMOUNT)]
Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
OptionalName = Annotated[
    str, pydantic.Field(pattern=r"^([a-z0-9][a-z0-9._-]{0,62})?$")
]


class Strict(pydantic.BaseModel):
    """Base of all schemas: unknown fields are refused."""

    model_config = pydantic.ConfigDict(extra="forbid")


class Needs(Strict):
    """What one task needs."""

    cpu_millis: Amount = 0
    memory_mib: Amount = 0
    accelerators: Amount = 0
    slots: Annotated[int, pydantic.Field(ge=1, le=LARGEST_AMOUNT)] = 1
    connections: Amount = 0

    def to_resources(self) -> resources.Resources:
        """Returns it as the core's type."""
        return resources.Resources(**self.model_dump())


class Submission(Strict):
    """A request or a job."""

    work_id: uuid.UUID
    team: OptionalName = ""
    queue: OptionalName = ""
    kind: works.Kind = works.Kind.REQUEST
    count: Annotated[int, pydantic.Field(ge=1, le=MOST_TASKS)] = 1
    needs: Needs = Needs()
    endpoint: OptionalName = ""
    idempotent: bool = False
    urgency: Annotated[int, pydantic.Field(ge=0, le=2)] = 1
    start_before: Annotated[float, pydantic.Field(gt=0)]
    declared_run_s: Annotated[
        float, pydantic.Field(ge=0, le=LONGEST_WAIT_S)
    ] = 0.0
    body: str = ""

    @pydantic.field_validator("work_id")
    @classmethod
    def _version_7(cls, value: uuid.UUID) -> uuid.UUID:
        if value.version != 7:
            raise ValueError("must be a UUID of version 7")
        return value

    @pydantic.field_validator("kind")
    @classmethod
    def _no_service(cls, value: works.Kind) -> works.Kind:
        if value == works.Kind.SERVICE:
            raise ValueError("services are created by operators")
        return value

    def to_work(self, now: float) -> works.Work:
        """Returns it as the core's type.

        Raises:
            ValueError: The body is not base64 or the deadline is absurd.
        """
        if self.start_before > now + LONGEST_WAIT_S:
            raise ValueError("start_before: lies more than 30 days ahead")
        if self.kind == works.Kind.REQUEST and self.count != 1:
            raise ValueError("count: a request is one task")
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
    """A change by the name that operators use."""

    change: str
    arguments: dict[str, Any] = {}

    def to_change(self) -> Any:
        """Returns it as the core's type.

        Raises:
            ValueError: The change is unknown or its arguments don't fit.
        """
        kind = changes.REGISTRY.get(self.change)
        if kind is None:
            known = ", ".join(sorted(changes.REGISTRY))
            raise ValueError(f"change: must be one of {known}")
        allowed = {field.name for field in dataclasses.fields(kind)}
        unknown = sorted(set(self.arguments) - allowed)
        if unknown:
            raise ValueError(f"arguments: unknown {', '.join(unknown)}")
        return codec.adapter(kind).validate_python(self.arguments)


class Confirmation(Strict):
    """The confirm of a plan."""

    intent: Intent
    base_number: Annotated[int, pydantic.Field(ge=0)]
    expires_at: float
    change_id: Annotated[str, pydantic.Field(min_length=8, max_length=64)]


class HistoryQuery(Strict):
    """Which page of work is wanted.

    Attributes:
        team: Only this team's; empty for all.
        outcome: Only this outcome's name, or OPEN; empty for all.
        before: Only work submitted before, seconds since the epoch; 0 for now.
        limit: Most rows.
    """

    team: OptionalName = ""
    outcome: Annotated[str, pydantic.Field(pattern="^[A-Z_]{0,40}$")] = ""
    before: Annotated[float, pydantic.Field(ge=0)] = 0.0
    limit: Annotated[int, pydantic.Field(ge=1, le=MOST_HISTORY_ROWS)] = 50
