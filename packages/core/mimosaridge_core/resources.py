"""Resource vectors of workers' capacity and tasks' needs."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """A vector of resource amounts.

    Attributes:
        cpu_millis: Processor time in thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Whole accelerators.
        slots: Number of concurrently running tasks.
        connections: Number of open connections to the worker's endpoint.
    """

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def at_least(self, other: "Resources") -> "Resources":
        """Returns the larger amount of each resource."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mib, other.memory_mib),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
            max(self.connections, other.connections),
        )

    def at_most(self, other: "Resources") -> "Resources":
        """Returns the smaller amount of each resource."""
        return Resources(
            min(self.cpu_millis, other.cpu_millis),
            min(self.memory_mib, other.memory_mib),
            min(self.accelerators, other.accelerators),
            min(self.slots, other.slots),
            min(self.connections, other.connections),
        )

    def halved(self) -> "Resources":
        """Returns half of each resource, rounded down."""
        return Resources(
            self.cpu_millis // 2,
            self.memory_mib // 2,
            self.accelerators // 2,
            self.slots // 2,
            self.connections // 2,
        )

    def times(self, factor: int) -> "Resources":
        """Returns each resource multiplied by a factor."""
        return Resources(
            self.cpu_millis * factor,
            self.memory_mib * factor,
            self.accelerators * factor,
            self.slots * factor,
            self.connections * factor,
        )

    def fits(self, room: "Resources") -> bool:
        """Returns whether each resource is at most that of `room`."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mib <= room.memory_mib
            and self.accelerators <= room.accelerators
            and self.slots <= room.slots
            and self.connections <= room.connections
        )

    def dominant_fraction(self, total: "Resources") -> float:
        """Returns the largest fraction of `total` over all resources.

        Source: dominant resource fairness (Ghodsi et al., NSDI 2011).
        """
        pairs = (
            (self.cpu_millis, total.cpu_millis),
            (self.memory_mib, total.memory_mib),
            (self.accelerators, total.accelerators),
            (self.slots, total.slots),
        )
        return max((used / have for used, have in pairs if have), default=0.0)


ZERO = Resources()
NAMES = tuple(field.name for field in dataclasses.fields(Resources))


def total(amounts: "list[Resources]") -> Resources:
    """Returns the sum of all amounts, at a fraction of adding one by one."""
    return Resources(
        sum(amount.cpu_millis for amount in amounts),
        sum(amount.memory_mib for amount in amounts),
        sum(amount.accelerators for amount in amounts),
        sum(amount.slots for amount in amounts),
        sum(amount.connections for amount in amounts),
    )
