"""Documents kept in the platform's key-value service, and their keys."""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_core import works

CONFIG_KEY = "config"
DAEMONS = "daemons/"
PARTITIONS = "partitions/"
LEDGERS = "ledgers/"
ACCOUNTS = "accounts/"
ALLOWANCES = "allowances/"
AUDIT = "audit/"


@dataclasses.dataclass(slots=True)
class Daemon:
    """A live daemon; the key goes with its store lease.

    Attributes:
        name: The daemon's name.
        url: Where its peers reach it.
        zone: Its availability zone.
    """

    name: str
    url: str
    zone: str


@dataclasses.dataclass(slots=True)
class Ownership:
    """Who holds a partition; the key goes with the owner's store lease.

    Attributes:
        owner: Name of the owning daemon.
    """

    owner: str


@dataclasses.dataclass(slots=True)
class Assignment:
    """Where one task of a piece of work was last sent.

    Attributes:
        attempt: The attempt that was sent.
        shard: The shard that it was sent to; empty if none holds it.
        outcome: What became of it, once settled.
        ran: What became of the latest attempt that may have run.
        epoch: Epoch of the shard's owner that it was sent to.
    """

    attempt: int = 0
    shard: str = ""
    outcome: works.Outcome | None = None
    ran: works.Outcome | None = None
    epoch: int = 0


@dataclasses.dataclass(slots=True)
class Entry:
    """One piece of accepted work and how far it has come.

    Attributes:
        work: The work as submitted.
        assignments: One for each task, by index.
        outcome: The outcome of the whole, once settled.
        settled_at: When it was settled, seconds since the epoch.
        cancelled: Whether its team or an operator cancelled it.
        archived: Whether its account is in the store.
    """

    work: works.Work
    assignments: list[Assignment]
    outcome: works.Outcome | None = None
    settled_at: float = 0.0
    cancelled: bool = False
    archived: bool = False


@dataclasses.dataclass(slots=True)
class Ledger:
    """All work that one bucket answers for.

    Attributes:
        writer: Daemon that wrote this version.
        write_id: Names the write, to settle a lost answer by reading back.
        entries: Entries by work id.
    """

    writer: str = ""
    write_id: str = ""
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Page:
    """Accounts of settled work of one bucket, by the minute of their ids.

    Attributes:
        accounts: Accounts by work id.
    """

    accounts: dict[str, account.WorkAccount] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Part:
    """A shard's part of a team's upper limit.

    Attributes:
        epoch: Epoch of the shard's owner that may use it.
        number: Configuration under which the shard's use was counted.
        amount: The most that the shard may run for the team.
    """

    epoch: int
    number: int
    amount: resources.Resources


@dataclasses.dataclass(slots=True)
class Allowances:
    """How a team's upper limit is divided among the shards.

    Attributes:
        number: Latest configuration under which it was written.
        parts: Parts by shard.
        since: Configuration under which an earlier document was found lost;
            parts counted before it don't count.
    """

    number: int = 0
    parts: dict[str, Part] = dataclasses.field(default_factory=dict)
    since: int = 0


@dataclasses.dataclass(slots=True)
class AuditPage:
    """Changes that the configuration document no longer carries.

    Attributes:
        previous: Key of the page before; empty for the first.
        entries: The changes, oldest first.
    """

    previous: str
    entries: list[configuration.AuditEntry]


KINDS: dict[str, type] = {
    CONFIG_KEY: configuration.Config,
    DAEMONS: Daemon,
    PARTITIONS: Ownership,
    LEDGERS: Ledger,
    ACCOUNTS: Page,
    ALLOWANCES: Allowances,
    AUDIT: AuditPage,
}


def kind_of(key: str) -> type | None:
    """Returns the type of the document under a key, or None if unknown."""
    prefix, slash, _ = key.partition("/")
    return KINDS.get(prefix + slash)
