"""Documents stored in the platform's key-value store, and their keys."""

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
    """A live daemon; its key is attached to the daemon's store lease.

    Attributes:
        name: Name of the daemon.
        url: URL at which its peers reach it.
        zone: Its availability zone.
    """

    name: str
    url: str
    zone: str


@dataclasses.dataclass(slots=True)
class Ownership:
    """Ownership of a partition; its key is attached to the owner's lease.

    Attributes:
        owner: Name of the owning daemon.
    """

    owner: str


@dataclasses.dataclass(slots=True)
class Assignment:
    """The latest assignment of one task to a shard.

    Attributes:
        attempt: Number of the latest attempt.
        shard: Shard that the attempt was sent to; empty if unassigned.
        outcome: Outcome of the task, once settled.
        ran: Outcome of the latest attempt that may have run.
        epoch: Epoch of the shard's owner that the attempt was sent to.
    """

    attempt: int = 0
    shard: str = ""
    outcome: works.Outcome | None = None
    ran: works.Outcome | None = None
    epoch: int = 0


@dataclasses.dataclass(slots=True)
class Entry:
    """One piece of accepted work and its progress.

    Attributes:
        work: The work as submitted.
        assignments: One assignment for each task, by index.
        outcome: Outcome of the work as a whole, once settled.
        settled_at: Settling time, in seconds since the epoch.
        cancelled: Whether the team or an operator cancelled the work.
        archived: Whether the account of the work is in the archive.
    """

    work: works.Work
    assignments: list[Assignment]
    outcome: works.Outcome | None = None
    settled_at: float = 0.0
    cancelled: bool = False
    archived: bool = False


@dataclasses.dataclass(slots=True)
class Ledger:
    """All work that belongs to one bucket.

    Attributes:
        writer: Daemon that wrote this version.
        write_id: Id of the write. If the store's answer is lost, reading the
            id back shows whether the write took effect.
        entries: Entries by work id.
    """

    writer: str = ""
    write_id: str = ""
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Page:
    """Accounts of one bucket's settled work with ids from the same minute.

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
        epoch: Epoch of the shard's owner that may use the part.
        number: Number of the configuration under which the shard's usage was
            counted.
        amount: Resources that the shard may use for the team at most.
    """

    epoch: int
    number: int
    amount: resources.Resources


@dataclasses.dataclass(slots=True)
class Allowances:
    """Division of a team's upper limit among the shards.

    Attributes:
        number: Number of the latest configuration under which the document
            was written.
        parts: Parts by shard.
        since: Number of the configuration under which an earlier document was
            found missing; parts with a lower number are ignored.
    """

    number: int = 0
    parts: dict[str, Part] = dataclasses.field(default_factory=dict)
    since: int = 0


@dataclasses.dataclass(slots=True)
class AuditPage:
    """Audit entries moved out of the configuration document.

    Attributes:
        previous: Key of the previous page; empty for the first page.
        entries: Audit entries, oldest first.
    """

    previous: str
    entries: list[configuration.AuditEntry]


DOCUMENT_TYPES: dict[str, type] = {
    CONFIG_KEY: configuration.Config,
    DAEMONS: Daemon,
    PARTITIONS: Ownership,
    LEDGERS: Ledger,
    ACCOUNTS: Page,
    ALLOWANCES: Allowances,
    AUDIT: AuditPage,
}


def document_type(key: str) -> type | None:
    """Returns the type of the document stored under a key, None if unknown."""
    prefix, slash, _ = key.partition("/")
    return DOCUMENT_TYPES.get(prefix + slash)
