"""Changes that operators may state, and how each alters the configuration.

A change is applied to a copy that shares its items with the configuration in
force: it puts new items in place and never alters one.
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
    """A change that the present configuration does not allow."""


def change(name: str) -> Callable[[type], type]:
    """Registers a change under the name that operators use."""

    def register(cls: type) -> type:
        REGISTRY[name] = cls
        cls.change_name = name
        return cls

    return register


SECRETS = frozenset(("salt", "digest", "snapshot"))


def describe(stated: Any) -> str:
    """Returns a change as it was stated, without what must stay secret."""
    arguments = [
        f"{field.name}={getattr(stated, field.name)!r}"
        for field in dataclasses.fields(stated)
        if field.name not in SECRETS
    ]
    return " ".join([stated.change_name, *arguments])


def _require_team(config: configuration.Config, name: str) -> None:
    if name not in config.teams:
        raise InvalidError(f"There is no team {name!r}; create it first.")


@change("create-team")
@dataclasses.dataclass(slots=True)
class CreateTeam:
    """Creates a team, or fails if it exists."""

    team: str
    workspace: str
    share: float = 1.0
    upper_limit: resources.Resources = resources.ZERO

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The team exists or the share is not positive.
        """
        if self.team in config.teams:
            raise InvalidError(f"Team {self.team!r} exists already.")
        if self.share <= 0:
            raise InvalidError("A share must be above zero.")
        config.teams[self.team] = configuration.Team(
            self.team,
            self.workspace,
            self.share,
            self.upper_limit,
            config.number if self.team in config.removed_teams else 0,
        )

    def summary(self) -> str:
        """Says what the change does."""
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
            InvalidError: There is no such team or the share is not positive.
        """
        _require_team(config, self.team)
        if self.share <= 0:
            raise InvalidError("A share must be above zero.")
        team = config.teams[self.team]
        config.teams[self.team] = dataclasses.replace(team, share=self.share)

    def summary(self) -> str:
        """Says what the change does."""
        return f"set the share of team {self.team} to {self.share:g}"


@change("set-limit")
@dataclasses.dataclass(slots=True)
class SetLimit:
    """Sets a team's upper limit; zero in a resource lifts it."""

    team: str
    upper_limit: resources.Resources

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: There is no such team.
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
        """Says what the change does."""
        return f"set the upper limit of team {self.team}"


@change("grant-key")
@dataclasses.dataclass(slots=True)
class GrantKey:
    """Grants a key; only the salted hash of its secret is sent."""

    key_id: str
    role: str
    team: str
    salt: str
    digest: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The key exists, or its role or team does not.
        """
        if self.key_id in config.keys:
            raise InvalidError(f"Key {self.key_id!r} exists already.")
        if self.role not in keys.ROLES:
            raise InvalidError(f"A role is one of {', '.join(keys.ROLES)}.")
        if self.role == keys.TEAM:
            _require_team(config, self.team)
        if self.role != keys.TEAM and self.team:
            raise InvalidError("Only a team's key names a team.")
        config.keys[self.key_id] = configuration.Key(
            self.key_id, self.role, self.team, self.salt, self.digest
        )
        if self.role == keys.OPERATOR:
            config.bootstrapped = True

    def summary(self) -> str:
        """Says what the change does."""
        holder = f"team {self.team}" if self.team else f"role {self.role}"
        return f"grant key {self.key_id} to {holder}"


@change("withdraw-key")
@dataclasses.dataclass(slots=True)
class WithdrawKey:
    """Withdraws a key for good."""

    key_id: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: There is no such key, or no operator would be left.
        """
        key = config.keys.get(self.key_id)
        if key is None or key.withdrawn:
            raise InvalidError(f"There is no key {self.key_id!r}.")
        others = [
            other
            for other in config.keys.values()
            if other.role == keys.OPERATOR and other is not key
        ]
        if key.role == keys.OPERATOR and not others:
            raise InvalidError("It is the last operator's key; grant one.")
        del config.keys[self.key_id]

    def summary(self) -> str:
        """Says what the change does."""
        return f"withdraw key {self.key_id}"


@change("open-queue")
@dataclasses.dataclass(slots=True)
class OpenQueue:
    """Opens a queue to all, charged to one team."""

    queue: str
    team: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: There is no such team.
        """
        _require_team(config, self.team)
        config.queues[self.queue] = configuration.Queue(self.queue, self.team)

    def summary(self) -> str:
        """Says what the change does."""
        return f"open queue {self.queue} to all, charged to {self.team}"


@change("close-queue")
@dataclasses.dataclass(slots=True)
class CloseQueue:
    """Closes a queue that was open to all."""

    queue: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: There is no such queue.
        """
        if self.queue not in config.queues:
            raise InvalidError(f"There is no open queue {self.queue!r}.")
        del config.queues[self.queue]

    def summary(self) -> str:
        """Says what the change does."""
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
            InvalidError: There is no such team or the count is negative.
        """
        _require_team(config, self.team)
        if self.replicas < 0:
            raise InvalidError("Replicas can't be below zero.")
        config.services[self.service] = configuration.Service(
            self.service,
            self.team,
            self.replicas,
            self.needs,
            self.endpoint,
            self.urgency,
        )

    def summary(self) -> str:
        """Says what the change does."""
        return f"keep {self.replicas} replicas of service {self.service}"


@change("remove-service")
@dataclasses.dataclass(slots=True)
class RemoveService:
    """Stops and removes a standing service."""

    service: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: There is no such service.
        """
        if self.service not in config.services:
            raise InvalidError(f"There is no service {self.service!r}.")
        del config.services[self.service]

    def summary(self) -> str:
        """Says what the change does."""
        return f"remove service {self.service}"


@change("zone-out")
@dataclasses.dataclass(slots=True)
class ZoneOut:
    """Takes an availability zone out."""

    zone: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change."""
        if self.zone not in config.zones_out:
            config.zones_out.append(self.zone)

    def summary(self) -> str:
        """Says what the change does."""
        return f"take zone {self.zone} out"


@change("zone-in")
@dataclasses.dataclass(slots=True)
class ZoneIn:
    """Brings an availability zone back."""

    zone: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The zone is not out.
        """
        if self.zone not in config.zones_out:
            raise InvalidError(f"Zone {self.zone!r} is not out.")
        config.zones_out.remove(self.zone)

    def summary(self) -> str:
        """Says what the change does."""
        return f"bring zone {self.zone} back"


@change("worker-out")
@dataclasses.dataclass(slots=True)
class WorkerOut:
    """Sets a worker aside: it takes no new work."""

    worker: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The worker is set aside already.
        """
        if self.worker in config.workers_out:
            raise InvalidError(f"Worker {self.worker!r} is set aside already.")
        config.workers_out.append(self.worker)

    def summary(self) -> str:
        """Says what the change does."""
        return f"set worker {self.worker} aside"


@change("worker-in")
@dataclasses.dataclass(slots=True)
class WorkerIn:
    """Brings a worker back that was set aside."""

    worker: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: The worker is not set aside.
        """
        if self.worker not in config.workers_out:
            raise InvalidError(f"Worker {self.worker!r} is not set aside.")
        config.workers_out.remove(self.worker)

    def summary(self) -> str:
        """Says what the change does."""
        return f"bring worker {self.worker} back"


@change("set-policy")
@dataclasses.dataclass(slots=True)
class SetPolicy:
    """Chooses the placement policy."""

    policy: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: There is no such policy.
        """
        if self.policy not in policies.REGISTRY:
            known = ", ".join(sorted(policies.REGISTRY))
            raise InvalidError(f"A policy is one of {known}.")
        config.policy = self.policy

    def summary(self) -> str:
        """Says what the change does."""
        return f"place by policy {self.policy}"


@change("set-workspace")
@dataclasses.dataclass(slots=True)
class SetWorkspace:
    """Moves a team to a workspace; a workspace is there while it has teams."""

    team: str
    workspace: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: There is no such team or the name is empty.
        """
        _require_team(config, self.team)
        if not self.workspace:
            raise InvalidError("A workspace needs a name.")
        team = config.teams[self.team]
        config.teams[self.team] = dataclasses.replace(
            team, workspace=self.workspace
        )

    def summary(self) -> str:
        """Says what the change does."""
        return f"move team {self.team} to workspace {self.workspace}"


@change("remove-team")
@dataclasses.dataclass(slots=True)
class RemoveTeam:
    """Removes a team with its keys, open queues and services."""

    team: str

    def apply(self, config: configuration.Config) -> None:
        """Applies the change.

        Raises:
            InvalidError: There is no such team.
        """
        _require_team(config, self.team)
        del config.teams[self.team]
        if self.team not in config.removed_teams:
            config.removed_teams.append(self.team)
        for held in (config.keys, config.queues, config.services):
            for name in [
                n for n, item in held.items() if item.team == self.team
            ]:
                del held[name]

    def summary(self) -> str:
        """Says what the change does."""
        return f"remove team {self.team}"


@change("restore")
@dataclasses.dataclass(slots=True)
class Restore:
    """Puts an exported snapshot in place of the configuration.

    The configuration's number and its audit go on.
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
        """Says what the change does."""
        return f"restore the snapshot of configuration {self.snapshot.number}"
