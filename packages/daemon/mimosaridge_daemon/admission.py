"""What the clients of a process may hold of its memory and descriptors.

The load that this answers: clients outside the limits, which open connections
without end and send heads and bodies that never end. Each connection is
counted with what it holds. When the process has no more to give, the connection
that has held most for longest without moving is closed; a request that is being
answered never is. Small requests keep a part of the memory for themselves.
"""

from collections.abc import Callable
import dataclasses
import enum
import time

import prometheus_client

from mimosaridge_core.jobs import model

MEGABYTE = 1_000_000
# A machine without stated limits has at least what the smallest ones have.
DEFAULT_MEMORY_MB = 160.0
DEFAULT_DESCRIPTORS = 1_024
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Part of the other descriptors that clients may use; workers, peers and the
# store need the rest.
CLIENT_DESCRIPTORS_SHARE = 0.5
# Parts of the machine's memory: that of connections with their heads and
# buffers, and that of bodies.
CONNECTIONS_SHARE = 0.15
BODIES_SHARE = 0.15
# Memory of a connection beside its body, bytes: buffers of the kernel and of
# the server, and a head that is being parsed.
CONNECTION_BYTES = 128_000
# Most bytes that the kernel keeps of a connection until they are read.
RECEIVE_BUFFER_BYTES = 32_768
# Bodies up to this size may use the part of the memory kept for small ones.
SMALL_BODY_BYTES = 16_384
SMALL_SHARE = 0.25
# A request that is being answered holds this many times the size of its body:
# the body, the decoded job, and the encoded write to the store.
ANSWERING_FACTOR = 4
# Most memory of the jobs that all daemons keep; a deployment's smallest machine
# has 160 MB.
TABLE_BYTES = 32_000_000
# Least bytes that a connection counts with when one is chosen to be closed.
LEAST_HELD_BYTES = 1_000
# Clients inside the limits send a head within 3 s and leave a connection idle
# for 15 s.
HEAD_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
# Clients inside the limits send heads of 16 KiB and bodies of 256 KiB, unless
# the configuration has other limits.
HEAD_BYTES = 65_536
BODY_BYTES = 1_048_576

CLOSED = prometheus_client.Counter(
    "mimosaridge_closed_clients",
    "Connections of clients closed to stay inside the limits",
    ["reason"],
    registry=None,
)


class Phase(enum.StrEnum):
    """What a connection is doing."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"


@dataclasses.dataclass(eq=False, slots=True)
class Connection:
    """A connection of a client.

    Attributes:
        close: Closes it from outside of its greenlet.
        phase: What it is doing.
        held_bytes: Memory that it holds for a body.
        moved_at: When it last brought bytes, monotonic seconds.
    """

    close: Callable[[str], None]
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    moved_at: float = 0.0

    def burden(self, now: float) -> float:
        """Returns how much it has held for how long without moving."""
        held = max(self.held_bytes, LEAST_HELD_BYTES)
        return held * (now - self.moved_at)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the clients of a process may use.

    Attributes:
        connections: Most connections at a time.
        body_bytes: Most memory for bodies at a time.
    """

    connections: int
    body_bytes: int

    @classmethod
    def of_machine(cls, memory_mb: float, descriptors: int) -> "Limits":
        """Returns the limits for a machine's memory and descriptors."""
        memory = memory_mb * MEGABYTE
        sockets = max(1, descriptors - FILE_DESCRIPTORS)
        return cls(
            connections=max(
                1,
                min(
                    int(sockets * CLIENT_DESCRIPTORS_SHARE),
                    int(memory * CONNECTIONS_SHARE / CONNECTION_BYTES),
                ),
            ),
            body_bytes=int(memory * BODIES_SHARE),
        )


class Admission:
    """Counts the connections of clients and what they hold.

    Attributes:
        limits: What they may use.
        connections: Open connections.
        held_bytes: Memory that they hold for bodies.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.connections: set[Connection] = set()
        self.held_bytes = 0

    def admit(self, connection: Connection) -> bool:
        """Adds a connection, in place of another one if there are too many.

        Returns:
            False if all others are being answered; it must be closed then.
        """
        if len(self.connections) >= self.limits.connections:
            victim = self._heaviest(time.monotonic())
            if victim is None:
                CLOSED.labels("refused").inc()
                return False
            self._evict(victim, "connections")
        connection.moved_at = time.monotonic()
        self.connections.add(connection)
        return True

    def remove(self, connection: Connection) -> None:
        """Forgets a connection that has ended and what it held."""
        self.connections.discard(connection)
        self.release(connection)

    def reserve(self, connection: Connection, size: int, body: int) -> bool:
        """Reserves memory for a body; returns whether there is enough.

        Connections that hold more for longer are closed to make room.

        Args:
            connection: The connection.
            size: How many more bytes it will hold.
            body: Size of its body as far as it is known.
        """
        most = self.limits.body_bytes
        if body > SMALL_BODY_BYTES:
            most = int(most * (1 - SMALL_SHARE))
        now = time.monotonic()
        while self.held_bytes + size > most:
            victim = self._heaviest(now, connection)
            if victim is None or not victim.held_bytes:
                CLOSED.labels("no-memory").inc()
                return False
            self._evict(victim, "memory")
        connection.held_bytes += size
        connection.moved_at = now
        self.held_bytes += size
        return True

    def release(self, connection: Connection) -> None:
        """Releases what a connection holds for a body."""
        self.held_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def _heaviest(
        self, now: float, own: Connection | None = None
    ) -> Connection | None:
        """Returns the connection to close first; None if none may be closed."""
        candidates = [
            connection
            for connection in self.connections
            if connection.phase != Phase.ANSWERING and connection is not own
        ]
        return max(candidates, key=lambda each: each.burden(now), default=None)

    def _evict(self, connection: Connection, reason: str) -> None:
        CLOSED.labels(reason).inc()
        self.remove(connection)
        connection.close(reason)


# Limits of servers that only the platform calls.
FEW = Limits(connections=16, body_bytes=100_000)


def largest_head(configuration: model.Configuration | None) -> int:
    """Returns the largest head that is read, bytes.

    Twice the operators' limit, because they may count a head otherwise.
    """
    if configuration is None or not configuration.largest_head:
        return HEAD_BYTES
    return 2 * configuration.largest_head
