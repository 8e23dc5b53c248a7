"""In-memory key-value store that executes store effects."""

import dataclasses
import pickle
from typing import Any

from mimosaridge_core import effects
from mimosaridge_core import events


def copy_document(value: Any) -> Any:
    """Returns a deep copy of a document."""
    return pickle.loads(pickle.dumps(value))


@dataclasses.dataclass
class Item:
    """A value with its revision and the lease that it is attached to."""

    value: Any
    revision: int
    lease: str


class Store:
    """Key-value store with revisions, leases and compare-and-swap.

    Attributes:
        down: Whether all calls fail with an unknown result and no effect.
        lose_answers: Number of next writes that take effect but whose result
            is reported as unknown.
        writes: Number of writes that took effect, including deletions.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[str, float] = {}
        self.lease_ttls: dict[str, float] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.writes = 0
        self.changes: list[tuple[str, Any, int]] = []

    def write(
        self, effect: effects.StoreWrite, lease: str, now: float
    ) -> events.StoreAnswered:
        """Executes a compare-and-swap."""
        if self.down:
            return events.StoreAnswered(now, effect.op_id, "unknown")
        item = self.items.get(effect.key)
        revision = item.revision if item else 0
        if effect.expected not in (-1, revision):
            return events.StoreAnswered(now, effect.op_id, "conflict")
        if effect.leased and lease not in self.leases:
            return events.StoreAnswered(now, effect.op_id, "conflict")
        self._set(effect.key, effect.value, lease if effect.leased else "")
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return events.StoreAnswered(now, effect.op_id, "unknown")
        return events.StoreAnswered(
            now, effect.op_id, "ok", revision=self.revision
        )

    def _set(self, key: str, value: Any, lease: str) -> None:
        self.revision += 1
        self.writes += 1
        stored = copy_document(value)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = Item(stored, self.revision, lease)
        self.changes.append((key, stored, self.revision))

    def read(
        self, effect: effects.StoreRead, now: float
    ) -> events.StoreAnswered:
        """Returns the value and revision of a key."""
        if self.down:
            return events.StoreAnswered(now, effect.op_id, "unknown")
        item = self.items.get(effect.key)
        if item is None:
            return events.StoreAnswered(now, effect.op_id, "absent")
        value = copy_document(item.value)
        return events.StoreAnswered(
            now, effect.op_id, "ok", value, item.revision
        )

    def renew(
        self, effect: effects.RenewLease, name: str, now: float
    ) -> events.LeaseAnswered:
        """Renews a lease, or grants one if the effect names none."""
        if self.down:
            return events.LeaseAnswered(now, "", "unknown", now)
        lease = effect.lease_id
        if lease and lease not in self.leases:
            return events.LeaseAnswered(now, "", "lost", now)
        if not lease:
            self.revision += 1
            lease = f"{name}-{self.revision}"
        self.leases[lease] = now + effect.ttl_s
        return events.LeaseAnswered(now, lease, "ok", now)

    def sweep(self, now: float) -> None:
        """Ends expired leases and deletes their keys."""
        for lease, expires_at in list(self.leases.items()):
            if expires_at < now:
                self.end_lease(lease)

    def end_lease(self, lease: str) -> None:
        """Revokes a lease and deletes its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self._set(key, None, "")

    def list_prefix(self, prefix: str, now: float) -> events.StoreListed:
        """Returns all keys under a prefix."""
        found = {
            key: item
            for key, item in self.items.items()
            if key.startswith(prefix)
        }
        return events.StoreListed(
            now,
            prefix,
            self.revision,
            {key: copy_document(item.value) for key, item in found.items()},
            {key: item.revision for key, item in found.items()},
            now,
        )
