"""Export and restore of the configuration."""

import copy
import dataclasses
import hashlib
import json

from mimosaridge_core import configuration
from mimosaridge_core import limits

RESTORED_FIELDS = (
    "shards_per_zone",
    "teams",
    "keys",
    "queues",
    "services",
    "zones_out",
    "workers_out",
    "policy",
)


@dataclasses.dataclass(slots=True)
class Snapshot:
    """An exported configuration.

    Attributes:
        snapshot: The configuration with its latest audit entries.
        checksum: SHA-256 of its canonical JSON, in hexadecimal.
    """

    snapshot: configuration.Config
    checksum: str


def checksum(config: configuration.Config) -> str:
    """Returns the hexadecimal SHA-256 of a configuration's canonical JSON."""
    text = json.dumps(
        dataclasses.asdict(config), sort_keys=True, separators=(",", ":")
    )
    return hashlib.sha256(text.encode()).hexdigest()


def export(config: configuration.Config) -> Snapshot:
    """Returns a snapshot of a configuration with its checksum."""
    return Snapshot(config, checksum(config))


def restore(
    config: configuration.Config, snapshot: configuration.Config
) -> None:
    """Replaces a configuration's content with that of a snapshot.

    The resulting number is greater than both previous numbers. The snapshot's
    audit trail is used only if the configuration has none. If the snapshot
    limits a resource of a team that had no limit before, limited_since is set
    to the resulting number, so that the team's use is counted again.

    Args:
        config: The configuration to modify, with its new number.
        snapshot: The configuration to restore from.
    """
    if not config.audit and not config.audit_page:
        config.audit = copy.deepcopy(snapshot.audit)
        config.audit_page = snapshot.audit_page
    config.number = max(config.number, snapshot.number + 1)
    config.bootstrapped = config.bootstrapped or snapshot.bootstrapped
    old_teams = config.teams
    for name in RESTORED_FIELDS:
        setattr(config, name, copy.deepcopy(getattr(snapshot, name)))
    for team in config.teams.values():
        old = old_teams.get(team.name)
        if old is None or limits.adds_limit(team.upper_limit, old.upper_limit):
            team.limited_since = config.number
        else:
            team.limited_since = old.limited_since
    removed = set(old_teams) - set(config.teams) - set(config.removed_teams)
    config.removed_teams.extend(sorted(removed))
