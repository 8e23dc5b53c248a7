"""The operators' configuration document."""

import dataclasses

from mimosaridge_core import resources
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Team:
    """A team that submits work.

    Attributes:
        name: The team's name.
        workspace: The workspace it belongs to.
        share: Weight of its claim when all is full.
        upper_limit: Most that it may have running; zero means no limit.
        limited_since: Configuration that last limited a resource that had
            no limit before.
    """

    name: str
    workspace: str
    share: float = 1.0
    upper_limit: resources.Resources = resources.ZERO
    limited_since: int = 0


@dataclasses.dataclass(slots=True)
class Key:
    """A granted key, without its secret.

    Attributes:
        key_id: Public part of the key.
        role: "team", "operator" or "analyst".
        team: Team that the key submits for; empty for other roles.
        salt: Hexadecimal salt.
        digest: Hexadecimal keyed hash of the secret.
        withdrawn: Whether it no longer works.
    """

    key_id: str
    role: str
    team: str
    salt: str
    digest: str
    withdrawn: bool = False


@dataclasses.dataclass(slots=True)
class Queue:
    """A queue open to all: work on it needs no key.

    Attributes:
        name: The queue's name.
        team: Team charged for work on it.
    """

    name: str
    team: str


@dataclasses.dataclass(slots=True)
class Service:
    """A standing service.

    Attributes:
        name: The service's name.
        team: Team charged for it.
        replicas: How many tasks are kept running.
        needs: What each replica needs.
        endpoint: Back end whose workers may run it; empty for any.
        urgency: Urgency class.
    """

    name: str
    team: str
    replicas: int
    needs: resources.Resources
    endpoint: str = ""
    urgency: works.Urgency = works.Urgency.NORMAL


@dataclasses.dataclass(slots=True)
class AuditEntry:
    """One accepted change.

    Attributes:
        change_id: Names the confirm that made it.
        at: When it was confirmed, seconds since the epoch.
        operator: Key id of the operator.
        summary: What was changed, in a sentence.
        revision_before: Configuration number before the change.
        revision_after: Configuration number after the change.
    """

    change_id: str
    at: float
    operator: str
    summary: str
    revision_before: int
    revision_after: int


@dataclasses.dataclass(slots=True)
class Config:
    """The whole configuration at one number.

    Attributes:
        number: Grows by one with each accepted change.
        shards_per_zone: Groups that each zone's workers are divided into.
        teams: Teams by name.
        keys: Keys by key id.
        queues: Queues open to all, by name.
        services: Standing services by name.
        zones_out: Availability zones taken out.
        workers_out: Workers set aside by operators.
        policy: Name of the placement policy.
        audit: The latest changes, oldest first.
    """

    number: int = 0
    shards_per_zone: int = 2
    teams: dict[str, Team] = dataclasses.field(default_factory=dict)
    keys: dict[str, Key] = dataclasses.field(default_factory=dict)
    queues: dict[str, Queue] = dataclasses.field(default_factory=dict)
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    zones_out: list[str] = dataclasses.field(default_factory=list)
    workers_out: list[str] = dataclasses.field(default_factory=list)
    policy: str = "best-fit"
    audit: list[AuditEntry] = dataclasses.field(default_factory=list)
