"""The configuration document that operators change."""

import dataclasses

from mimosaridge_core import resources
from mimosaridge_core import works


@dataclasses.dataclass(slots=True)
class Team:
    """A team that submits work.

    Attributes:
        name: The team's name.
        workspace: The workspace it belongs to.
        share: Fair-share weight under contention.
        upper_limit: Most that its running tasks may use; zero in a resource
            means no limit.
        limited_since: Number of the configuration that last limited a
            resource that had no limit before; 0 if the team never ran without
            its limit.
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
        team: Team whose work the key may submit; empty for other roles.
        salt: Hexadecimal salt.
        digest: Hexadecimal keyed hash of the secret.
        withdrawn: Whether it is no longer valid.
    """

    key_id: str
    role: str
    team: str
    salt: str
    digest: str
    withdrawn: bool = False


@dataclasses.dataclass(slots=True)
class Queue:
    """A queue open to everyone: submitting to it needs no key.

    Attributes:
        name: The queue's name.
        team: Team charged for work on it.
    """

    name: str
    team: str


@dataclasses.dataclass(slots=True)
class Service:
    """A service with a fixed number of replicas that are kept running.

    Attributes:
        name: The service's name.
        team: Team charged for it.
        replicas: Number of tasks to keep running.
        needs: Resources of each replica.
        endpoint: Endpoint whose workers may run it; empty for any.
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
    """One applied change.

    Attributes:
        change_id: Id of the confirmation that applied it.
        at: When it was confirmed, seconds since the epoch.
        operator: Key id of the operator.
        summary: One-line description of the change.
        revision_before: Configuration number before the change.
        revision_after: Configuration number after the change.
        intent: The change and its arguments as requested, without secrets.
        plan: The plan's lines at the time of the confirmation.
    """

    change_id: str
    at: float
    operator: str
    summary: str
    revision_before: int
    revision_after: int
    intent: str = ""
    plan: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Config:
    """A numbered version of the whole configuration.

    Attributes:
        number: Version; grows by one with each applied change.
        shards_per_zone: Shards that each zone's workers are divided into.
        teams: Teams by name.
        keys: Keys by key id.
        queues: Queues open to everyone, by name.
        services: Services by name.
        zones_out: Availability zones taken out of service.
        workers_out: Workers that operators took out of service.
        policy: Name of the placement policy.
        removed_teams: Names of removed teams.
        audit: The latest audit entries, oldest first.
        audit_page: Store key of the page with the preceding entries; empty if
            there is none.
        bootstrapped: Whether an operator key was ever granted.
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
    removed_teams: list[str] = dataclasses.field(default_factory=list)
    audit: list[AuditEntry] = dataclasses.field(default_factory=list)
    audit_page: str = ""
    bootstrapped: bool = False


def shallow_copy(config: Config) -> Config:
    """Returns a copy that shares its items, which must not be modified."""
    return dataclasses.replace(
        config,
        teams=dict(config.teams),
        keys=dict(config.keys),
        queues=dict(config.queues),
        services=dict(config.services),
        zones_out=list(config.zones_out),
        workers_out=list(config.workers_out),
        removed_teams=list(config.removed_teams),
        audit=list(config.audit),
    )
