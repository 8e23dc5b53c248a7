"""Clients that stay outside the limits, all at once, over plain sockets."""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import selectors
import socket

# The crowd is left alone once no client could send for this time: all have
# sent everything, are blocked, or have been cut off.
QUIET_S = 5.0
PIECE_BYTES = 16_384


def pieces(total: int, piece: bytes) -> Iterator[bytes]:
    """Yields copies of a piece until they have a total size in bytes."""
    sent = 0
    while sent < total:
        yield piece
        sent += len(piece)


class Crowd:
    """Open connections of clients, kept open until the crowd is closed.

    Attributes:
        address: IP address and port that all connect to.
        sockets: Connections that were open when the clients were last busy.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.sockets: list[socket.socket] = []

    def send(self, clients: Iterable[Iterator[bytes]]) -> None:
        """Lets each client connect and send; returns once all are quiet.

        A client that is refused or cut off stops; the others go on.
        """
        with selectors.DefaultSelector() as selector:
            for client in clients:
                connection = socket.socket()
                connection.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    connection.connect(self.address)
                self.sockets.append(connection)
                selector.register(
                    connection, selectors.EVENT_WRITE, [client, b""]
                )
            while selector.get_map():
                ready = selector.select(QUIET_S)
                if not ready:
                    return
                for key, _ in ready:
                    if not _send_next(key.fileobj, key.data):
                        selector.unregister(key.fileobj)

    def close(self) -> None:
        """Closes all connections."""
        for connection in self.sockets:
            connection.close()


def _send_next(connection: socket.socket, rest: list) -> bool:
    """Sends a piece; returns whether the client has more to send."""
    if not rest[1]:
        rest[1] = next(rest[0], b"")
    if not rest[1]:
        return False
    try:
        sent = connection.send(rest[1])
    except BlockingIOError:
        return True
    except OSError:
        return False
    rest[1] = rest[1][sent:]
    return True
