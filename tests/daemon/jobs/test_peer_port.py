"""Any bytes on the port for peers leave it open for good messages."""

import socket
import threading

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools
from websockets.sync import client

from mimosaridge_daemon import codec
from mimosaridge_daemon import peers
from mimosaridge_daemon.jobs import messages

codec.register_messages(messages.ALL)

SECRET = "secret"
TIMEOUT_S = 30.0
HEADERS = (
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
    b"Connection: Upgrade\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
    b"Sec-WebSocket-Version: 13\r\n"
)


class PeerPortTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.received = threading.Event()
        self.links = peers.Peers(
            "d1",
            "127.0.0.1:0",
            SECRET,
            lambda sender, message: self.received.set(),
            lambda name: None,
        )
        self.port = self.links.server.socket.getsockname()[1]
        serving = threading.Thread(
            target=self.links.server.serve_forever, daemon=True
        )
        serving.start()
        self.addCleanup(self.links.server.shutdown)

    def _connect(self):
        return client.connect(
            f"ws://127.0.0.1:{self.port}",
            additional_headers={peers.SECRET_HEADER: SECRET},
            compression=None,
            open_timeout=TIMEOUT_S,
            proxy=None,
        )

    def _assert_serves(self):
        self.received.clear()
        with self._connect() as link:
            link.send(codec.encode_message("d2", messages.Leaving(5)))
            self.assertTrue(self.received.wait(TIMEOUT_S))

    def _send_raw(self, data):
        with socket.create_connection(("127.0.0.1", self.port)) as raw:
            raw.settimeout(TIMEOUT_S)
            raw.sendall(data)

    def test_odd_handshakes_are_refused(self):
        name = peers.SECRET_HEADER.encode()
        for lines in (
            b"",
            name + b": " + b"x" * 100_000 + b"\r\n\r\n",
            name + b": \xff\xfe\r\n\r\n",
            name + b": secret\r\n" + name + b": secret\r\n\r\n",
            b"\r\n",
            b"\x00" * 100,
        ):
            self._send_raw(HEADERS + lines)
        self._assert_serves()

    @settings(
        deadline=None,
        max_examples=25,
        suppress_health_check=[HealthCheck.differing_executors],
    )
    @given(
        strategies.binary(max_size=200),
        strategies.binary(max_size=200) | strategies.text(max_size=50),
    )
    def test_any_bytes_leave_the_port_open(self, raw, message):
        self._send_raw(raw)
        with self._connect() as link:
            link.send(message)
        self._assert_serves()
