"""Connections between daemons."""

import socket
import threading

import testtools

from mimosaridge_daemon import peers


def _free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class OutgoingLinkTest(testtools.TestCase):
    def test_unacknowledged_bytes_break_a_connection(self):
        port = _free_port()
        accepting = peers.Peers(
            "a", f"127.0.0.1:{port}", "secret", print, print
        )
        serving = threading.Thread(target=accepting.server.serve_forever)
        serving.start()
        link = peers.OutgoingLink(
            f"ws://127.0.0.1:{port}", "secret", lambda: None
        )
        with link.connect() as connection:
            timeout_ms = connection.socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
        accepting.server.shutdown()
        serving.join()
        self.assertEqual(peers.UNACKNOWLEDGED_MS, timeout_ms)
