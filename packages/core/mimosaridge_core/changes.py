"""Changes that operators may request and their effect on the configuration.

A change is applied to a shallow copy that shares its items with the active
configuration: it replaces items and never modifies one in place.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from mimosaridge_core import configuration
from mimosaridge_core import keys
from mimosaridge_core import limits
from mimosaridge_core import policies
from mimosaridge_core import resources
from mimosaridge_core import snapshots
from mimosaridge_core import works

REGISTRY: dict[str, type] = {}


class InvalidError(Exception):
    """The current configuration does not allow the change."""


def change(name: str) -> Callable[[type], type]:
    """Registers a change under the name that operators use."""

    def register(cls: type) -> type:
        REGISTRY[name] = cls
        cls.change_name = name
        return cls

    return register


SECRETS = frozenset(("salt", "digest", "snapshot"))


def describe(requested: Any) -> str:
    """Returns a change and its arguments as text, without secrets."""
    arguments = [
        f"{field.name}={getattr(requested, field.name)!r}"
        for field in dataclasses.fields(requested)
        if field.name not in SECRETS
    ]
    return " ".join([requested.change_name, *arguments])


def _require_team(config: configuration.Config, name: str) -> None:
    if name not in config.teams:
        raise InvalidError(f"Team {name!r} does not exist; create it first.")


@change("create-team")
@dataclasses.dataclass(slots=True)
class CreateTeam:
    """Creates a team."""

    team: str
    workspace: str
    share: float = 1.0
    upper_limit: resources.Resources = resources.ZERO

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The team already exists or the share is not positive.
        """
        if self.team in config.teams:
            raise InvalidError(f"Team {self.team!r} already exists.")
        if self.share <= 0:
            raise InvalidError("The share must be greater than zero.")
        config.teams[self.team] = configuration.Team(
            self.team,
            self.workspace,
            self.share,
            self.upper_limit,
            config.number if self.team in config.removed_teams else 0,
        )

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"create team {self.team} in workspace {self.workspace}"


@change("set-share")
@dataclasses.dataclass(slots=True)
class SetShare:
    """Sets a team's share."""

    team: str
    share: float

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The team does not exist or the share is not positive.
        """
        _require_team(config, self.team)
        if self.share <= 0:
            raise InvalidError("The share must be greater than zero.")
        team = config.teams[self.team]
        config.teams[self.team] = dataclasses.replace(team, share=self.share)

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"set the share of team {self.team} to {self.share:g}"


@change("set-limit")
@dataclasses.dataclass(slots=True)
class SetLimit:
    """Sets a team's upper limit; zero means no limit for that resource."""

    team: str
    upper_limit: resources.Resources

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The team does not exist.
        """
        _require_team(config, self.team)
        team = config.teams[self.team]
        since = team.limited_since
        if limits.adds_limit(self.upper_limit, team.upper_limit):
            since = config.number
        config.teams[self.team] = dataclasses.replace(
            team, upper_limit=self.upper_limit, limited_since=since
        )

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"set the upper limit of team {self.team}"


@change("grant-key")
@dataclasses.dataclass(slots=True)
class GrantKey:
    """Grants a key; carries only the salted hash of its secret."""

    key_id: str
    role: str
    team: str
    salt: str
    digest: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The key already exists, its role or team does not
                exist, or a role other than team names a team.
        """
        if self.key_id in config.keys:
            raise InvalidError(f"Key {self.key_id!r} already exists.")
        if self.role not in keys.ROLES:
            raise InvalidError(
                f"The role must be one of {', '.join(keys.ROLES)}."
            )
        if self.role == keys.TEAM:
            _require_team(config, self.team)
        if self.role != keys.TEAM and self.team:
            raise InvalidError("Only a key with the role team may name a team.")
        config.keys[self.key_id] = configuration.Key(
            self.key_id, self.role, self.team, self.salt, self.digest
        )
        if self.role == keys.OPERATOR:
            config.bootstrapped = True

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        holder = f"team {self.team}" if self.team else f"role {self.role}"
        return f"grant key {self.key_id} to {holder}"


@change("withdraw-key")
@dataclasses.dataclass(slots=True)
class WithdrawKey:
    """Withdraws a key permanently."""

    key_id: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The key does not exist, or is the last operator key.
        """
        key = config.keys.get(self.key_id)
        if key is None or key.withdrawn:
            raise InvalidError(f"Key {self.key_id!r} does not exist.")
        others = [
            other
            for other in config.keys.values()
            if other.role == keys.OPERATOR and other is not key
        ]
        if key.role == keys.OPERATOR and not others:
            raise InvalidError(
                "This is the last operator key; grant another one first."
            )
        del config.keys[self.key_id]

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"withdraw key {self.key_id}"


@change("open-queue")
@dataclasses.dataclass(slots=True)
class OpenQueue:
    """Opens a queue to everyone and charges its work to one team."""

    queue: str
    team: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The team does not exist.
        """
        _require_team(config, self.team)
        config.queues[self.queue] = configuration.Queue(self.queue, self.team)

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"open queue {self.queue} to everyone, charged to {self.team}"


@change("close-queue")
@dataclasses.dataclass(slots=True)
class CloseQueue:
    """Closes a queue that was open to everyone."""

    queue: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The queue is not open.
        """
        if self.queue not in config.queues:
            raise InvalidError(f"Queue {self.queue!r} is not open.")
        del config.queues[self.queue]

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"close queue {self.queue}"


@change("put-service")
@dataclasses.dataclass(slots=True)
class PutService:
    """Creates or replaces a standing service."""

    service: str
    team: str
    replicas: int
    needs: resources.Resources
    endpoint: str = ""
    urgency: works.Urgency = works.Urgency.NORMAL

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The team does not exist or the count is negative.
        """
        _require_team(config, self.team)
        if self.replicas < 0:
            raise InvalidError("The number of replicas must not be negative.")
        config.services[self.service] = configuration.Service(
            self.service,
            self.team,
            self.replicas,
            self.needs,
            self.endpoint,
            self.urgency,
        )

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"run {self.replicas} replicas of service {self.service}"


@change("remove-service")
@dataclasses.dataclass(slots=True)
class RemoveService:
    """Stops and removes a standing service."""

    service: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The service does not exist.
        """
        if self.service not in config.services:
            raise InvalidError(f"Service {self.service!r} does not exist.")
        del config.services[self.service]

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"remove service {self.service}"


@change("zone-out")
@dataclasses.dataclass(slots=True)
class ZoneOut:
    """Takes an availability zone out of service."""

    zone: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change."""
        if self.zone not in config.zones_out:
            config.zones_out.append(self.zone)

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"take zone {self.zone} out of service"


@change("zone-in")
@dataclasses.dataclass(slots=True)
class ZoneIn:
    """Returns an availability zone to service."""

    zone: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The zone is not out of service.
        """
        if self.zone not in config.zones_out:
            raise InvalidError(f"Zone {self.zone!r} is not out of service.")
        config.zones_out.remove(self.zone)

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"return zone {self.zone} to service"


@change("worker-out")
@dataclasses.dataclass(slots=True)
class WorkerOut:
    """Takes a worker out of service: it takes no new work."""

    worker: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The worker is already out of service.
        """
        if self.worker in config.workers_out:
            raise InvalidError(
                f"Worker {self.worker!r} is already out of service."
            )
        config.workers_out.append(self.worker)

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"take worker {self.worker} out of service"


@change("worker-in")
@dataclasses.dataclass(slots=True)
class WorkerIn:
    """Returns a worker to service."""

    worker: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The worker is not out of service.
        """
        if self.worker not in config.workers_out:
            raise InvalidError(f"Worker {self.worker!r} is not out of service.")
        config.workers_out.remove(self.worker)

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"return worker {self.worker} to service"


@change("set-policy")
@dataclasses.dataclass(slots=True)
class SetPolicy:
    """Sets the placement policy."""

    policy: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The policy does not exist.
        """
        if self.policy not in policies.REGISTRY:
            known = ", ".join(sorted(policies.REGISTRY))
            raise InvalidError(f"The policy must be one of {known}.")
        config.policy = self.policy

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"set the placement policy to {self.policy}"


@change("set-workspace")
@dataclasses.dataclass(slots=True)
class SetWorkspace:
    """Moves a team to a workspace; a workspace exists while it has teams."""

    team: str
    workspace: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The team does not exist or the name is empty.
        """
        _require_team(config, self.team)
        if not self.workspace:
            raise InvalidError("The workspace name must not be empty.")
        team = config.teams[self.team]
        config.teams[self.team] = dataclasses.replace(
            team, workspace=self.workspace
        )

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"move team {self.team} to workspace {self.workspace}"


@change("remove-team")
@dataclasses.dataclass(slots=True)
class RemoveTeam:
    """Removes a team with its keys, open queues and services."""

    team: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The team does not exist.
        """
        _require_team(config, self.team)
        del config.teams[self.team]
        if self.team not in config.removed_teams:
            config.removed_teams.append(self.team)
        for section in (config.keys, config.queues, config.services):
            for name in [
                n for n, item in section.items() if item.team == self.team
            ]:
                del section[name]

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"remove team {self.team}"


@change("restore")
@dataclasses.dataclass(slots=True)
class Restore:
    """Replaces the configuration with an exported snapshot.

    The configuration number keeps increasing and the audit trail is kept.
    """

    snapshot: configuration.Config
    checksum: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The checksum does not match the snapshot.
        """
        if self.checksum != snapshots.checksum(self.snapshot):
            raise InvalidError("The checksum does not match the snapshot.")
        snapshots.restore(config, self.snapshot)

    def summary(self) -> str:
        """Returns a one-line description of the change."""
        return f"restore the snapshot of configuration {self.snapshot.number}"
