"""WebSocket connections between daemons.

Each daemon opens one outgoing connection to each peer and accepts any number of
incoming ones.
"""

from collections.abc import Callable
import contextlib
import hmac
import http
import socket
from typing import Any

import gevent
from gevent import queue
import logbook
from websockets import exceptions
from websockets.sync import client
from websockets.sync import connection
from websockets.sync import server

from mimosaridge_daemon import codec
from mimosaridge_daemon import guarding

LOG = logbook.Logger("peers")
# Sent bytes that a peer does not acknowledge for this time break the
# connection. Heartbeats are sent all the time, so pings are a second check; one
# wakes both daemons twice.
UNACKNOWLEDGED_MS = 2000
PING_INTERVAL_S = 6.0
PING_TIMEOUT_S = 2.0
# The sender detects broken connections itself; pings on incoming connections
# only release those of lost daemons.
INCOMING_PING_INTERVAL_S = 10.0
CLOSE_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.3
MAX_QUEUED_MESSAGES = 20_000
# Connections at a time that have not shown the secret. A peer shows it in some
# milliseconds; a pending connection takes three descriptors and at most 1 MB.
MAX_PENDING_PEERS = 16
HANDSHAKE_TIMEOUT_S = 5.0
SECRET_HEADER = "X-Mimosaridge-Peer"


class Listener(socket.socket):
    """A listening socket with few connections that have not shown the secret.

    Anybody may connect, and each connection may bring a head of a megabyte.
    When there are too many, the oldest is ended.

    Attributes:
        pending: Connections that have not shown the secret, the oldest first.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_STREAM)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.bind(address)
        self.listen(MAX_PENDING_PEERS)
        self.pending: list[socket.socket] = []

    def accept(self) -> tuple[socket.socket, Any]:
        """Accepts a connection; ends the oldest pending one if too many."""
        connection, address = super().accept()
        self.pending = [each for each in self.pending if each.fileno() >= 0]
        while len(self.pending) >= MAX_PENDING_PEERS:
            with contextlib.suppress(OSError):
                self.pending.pop(0).shutdown(socket.SHUT_RDWR)
        self.pending.append(connection)
        return connection, address

    def admit(self, connection: socket.socket) -> None:
        """Counts a connection no longer: it has shown the secret."""
        self.pending = [
            each
            for each in self.pending
            if each.fileno() != connection.fileno()
        ]


class OutgoingLink:
    """Sends messages to one peer in order, over one connection at a time."""

    def __init__(
        self, url: str, secret: str, on_refused: Callable[[], None]
    ) -> None:
        self.url = url
        self.secret = secret
        self.on_refused = on_refused
        self.messages: queue.Queue = queue.Queue()
        self.closed = False

    def enqueue(self, data: bytes) -> None:
        """Queues a message; drops it if the queue is full."""
        if self.messages.qsize() < MAX_QUEUED_MESSAGES:
            self.messages.put(data)

    def run(self) -> None:
        """Sends queued messages until the link is closed; reconnects."""
        while not self.closed:
            try:
                self._send_queued()
            except ConnectionRefusedError:
                self.on_refused()
                gevent.sleep(RECONNECT_DELAY_S)
            except (OSError, exceptions.WebSocketException, TimeoutError):
                gevent.sleep(RECONNECT_DELAY_S)
            except Exception:
                guarding.record("link to a peer", url=self.url)
                gevent.sleep(RECONNECT_DELAY_S)

    def _send_queued(self) -> None:
        with self.connect() as link:
            while not self.closed:
                link.send(self.messages.get())

    def connect(self) -> client.ClientConnection:
        """Returns a new connection to the peer.

        Raises:
            ConnectionRefusedError: No process listens there, or a cut of the
                link refuses connections.
            OSError: The peer can't be reached.
            websockets.exceptions.WebSocketException: The peer is none of ours.
        """
        link = client.connect(
            self.url,
            additional_headers={SECRET_HEADER: self.secret},
            compression=None,
            open_timeout=PING_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=codec.MAX_MESSAGE_BYTES,
            proxy=None,
        )
        link.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
        return link


class Peers:
    """Outgoing links to all peers and the server for incoming ones.

    Args:
        name: Name of this daemon.
        address: IP:PORT of the server.
        secret: Secret that peers show.
        on_message: Called with the sender and each message.
        on_refused: Called with a peer whose machine refuses connections. Its
            process may go on: a cut of the link can refuse them too.
    """

    def __init__(
        self,
        name: str,
        address: str,
        secret: str,
        on_message: Callable[[str, Any], None],
        on_refused: Callable[[str], None],
    ) -> None:
        self.name = name
        self.secret = secret
        self.on_message = on_message
        self.on_refused = on_refused
        self.outgoing: dict[str, OutgoingLink] = {}
        self.last_message: Any = None
        self.last_encoded = b""
        host, _, port = address.rpartition(":")
        self.listener = Listener((host, int(port)))
        self.server = server.serve(
            self._receive,
            sock=self.listener,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            compression=None,
            process_request=self._check_secret,
            ping_interval=INCOMING_PING_INTERVAL_S,
            ping_timeout=INCOMING_PING_INTERVAL_S,
            max_size=codec.MAX_MESSAGE_BYTES,
        )

    def start(self) -> None:
        """Starts to accept connections."""
        guarding.spawn("peer server", self.server.serve_forever)

    def send(self, name: str, url: str, message: Any) -> None:
        """Sends a message to the peer at a URL, or to this daemon itself."""
        if name == self.name:
            self.on_message(name, message)
            return
        link = self.outgoing.get(name)
        if link is not None and link.url != url:
            link.closed = True
            link = None
        if link is None:
            link = OutgoingLink(url, self.secret, lambda: self.on_refused(name))
            self.outgoing[name] = link
            gevent.spawn(link.run)
        link.enqueue(self._encode(message))

    def _encode(self, message: Any) -> bytes:
        """Encodes a message, once for consecutive sends to several peers."""
        if message is not self.last_message:
            self.last_message = message
            self.last_encoded = codec.encode_message(self.name, message)
        return self.last_encoded

    def _check_secret(self, link: server.ServerConnection, request: Any) -> Any:
        secret = request.headers.get(SECRET_HEADER, "")
        if not hmac.compare_digest(secret.encode(), self.secret.encode()):
            return link.respond(
                http.HTTPStatus.FORBIDDEN, "invalid peer secret\n"
            )
        self.listener.admit(link.socket)
        return None

    def _receive(self, link: connection.Connection) -> None:
        try:
            for data in link:
                sender, message = codec.decode_message(data)
                self.on_message(sender, message)
        except codec.MalformedError as error:
            LOG.warning("{}", error)
        except exceptions.ConnectionClosedError as error:
            LOG.info("peer connection closed without a close frame: {}", error)
