"""WebSocket links to the other daemons: one out to each, any number in."""

from collections.abc import Callable
import hmac
import http
import time
from typing import Any

import gevent
from gevent import queue
import logbook
from websockets import exceptions
from websockets.sync import client
from websockets.sync import connection
from websockets.sync import server

from mimosaridge_core import events
from mimosaridge_daemon import codec

LOG = logbook.Logger("peers")
PING_S = 1.0
PING_TIMEOUT_S = 2.0
# The other end checks its link itself; this only frees links of lost daemons.
INCOMING_PING_S = 5.0
RETRY_S = 0.3
QUEUE_MESSAGES = 20_000
SECRET_HEADER = "X-Mimosaridge-Peer"


class Outgoing:
    """Messages to one peer, in order, over one connection at a time."""

    def __init__(
        self, url: str, secret: str, refused: Callable[[], None]
    ) -> None:
        self.url = url
        self.secret = secret
        self.refused = refused
        self.messages: queue.Queue = queue.Queue()
        self.closed = False

    def put(self, data: bytes) -> None:
        """Queues a message; drops it if too many wait."""
        if self.messages.qsize() < QUEUE_MESSAGES:
            self.messages.put(data)

    def run(self) -> None:
        """Sends what is queued until the link is closed."""
        while not self.closed:
            try:
                self._serve()
            except ConnectionRefusedError:
                self.refused()
                gevent.sleep(RETRY_S)
            except (OSError, exceptions.WebSocketException, TimeoutError):
                gevent.sleep(RETRY_S)

    def _serve(self) -> None:
        link = client.connect(
            self.url,
            additional_headers={SECRET_HEADER: self.secret},
            compression=None,
            open_timeout=PING_TIMEOUT_S,
            ping_interval=PING_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=PING_S,
            max_size=codec.LARGEST_MESSAGE_BYTES,
            proxy=None,
        )
        with link:
            while not self.closed:
                link.send(self.messages.get())


class Peers:
    """Links to all peers."""

    def __init__(
        self,
        name: str,
        address: str,
        secret: str,
        post: Callable[[events.Event], None],
    ) -> None:
        self.name = name
        self.secret = secret
        self.post = post
        self.outgoing: dict[str, Outgoing] = {}
        self.latest: Any = None
        self.latest_data = b""
        host, _, port = address.rpartition(":")
        self.server = server.serve(
            self._receive,
            host,
            int(port),
            compression=None,
            process_request=self._check_secret,
            ping_interval=INCOMING_PING_S,
            ping_timeout=INCOMING_PING_S,
            max_size=codec.LARGEST_MESSAGE_BYTES,
        )

    def start(self) -> None:
        """Begins to take connections."""
        gevent.spawn(self.server.serve_forever)

    def send(self, name: str, url: str, message: Any) -> None:
        """Sends a message to a peer at a URL, or to this daemon itself."""
        if name == self.name:
            self.post(events.PeerMessage(time.time(), name, message))
            return
        link = self.outgoing.get(name)
        if link is not None and link.url != url:
            link.closed = True
            link = None
        if link is None:
            link = Outgoing(url, self.secret, lambda: self._refused(name))
            self.outgoing[name] = link
            gevent.spawn(link.run)
        link.put(self._encode(message))

    def _refused(self, name: str) -> None:
        self.post(events.PeerConnectionRefused(time.time(), name))

    def _encode(self, message: Any) -> bytes:
        """Encodes a message, but not again for each of several peers."""
        if message is not self.latest:
            self.latest = message
            self.latest_data = codec.encode_message(self.name, message)
        return self.latest_data

    def _check_secret(self, link: server.ServerConnection, request: Any) -> Any:
        given = request.headers.get(SECRET_HEADER, "")
        if not hmac.compare_digest(given.encode(), self.secret.encode()):
            return link.respond(
                http.HTTPStatus.FORBIDDEN, "wrong peer secret\n"
            )
        return None

    def _receive(self, link: connection.Connection) -> None:
        try:
            for data in link:
                sender, message = codec.decode_message(data)
                self.post(events.PeerMessage(time.time(), sender, message))
        except codec.MalformedError as error:
            LOG.warning("{}", error)
        except exceptions.ConnectionClosedError as error:
            LOG.info("link closed without a farewell: {}", error)
