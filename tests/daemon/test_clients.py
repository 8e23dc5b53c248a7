"""HTTP calls: what is sent, and when a connection is used again."""

import socket
import threading
import time

from gevent import socket as gevent_socket
import testtools

from mimosaridge_daemon import clients

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
HEADER_END = b"\r\n\r\n"


class _Server:
    """Records what each read returns; closes after a number of answers."""

    def __init__(self, answers_per_connection):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.answers_per_connection = answers_per_connection
        self.reads = []
        self.connections = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            with connection:
                self._answer(connection)

    def _answer(self, connection):
        for _ in range(self.answers_per_connection):
            data = connection.recv(65_536)
            if not data:
                return
            self.reads.append(data)
            connection.sendall(ANSWER)


class ClientTest(testtools.TestCase):
    def _calls(self, count, answers_per_connection):
        server = _Server(answers_per_connection)
        self.addCleanup(server.listener.close)
        client = clients.Client(f"http://127.0.0.1:{server.port}", 2)
        self.addCleanup(client.close)
        answers = []
        for _ in range(count):
            answers.append(
                client.exchange("POST", "/x", b'{"a":1}', {"X-A": "b"}, 2.0)
            )
            # The server closes its connection after the answer has arrived.
            time.sleep(0.05)
        return server, answers

    def test_headers_and_body_are_sent_at_once(self):
        server, answers = self._calls(1, 1)
        self.assertEqual((200, b"{}"), answers[0].ok_value)
        headers, _, body = server.reads[0].partition(HEADER_END)
        self.assertIn(b"X-A: b", headers)
        self.assertIn(b"Content-Length: 7", headers)
        self.assertEqual(b'{"a":1}', body)

    def test_an_open_connection_is_used_again(self):
        server, answers = self._calls(3, 3)
        self.assertTrue(all(answer.is_ok() for answer in answers))
        self.assertEqual(1, server.connections)

    def test_a_closed_connection_is_replaced_before_anything_is_sent(self):
        server, answers = self._calls(3, 1)
        self.assertTrue(all(answer.is_ok() for answer in answers))
        self.assertEqual(3, server.connections)

    def test_a_refused_connection_means_that_nothing_was_sent(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        client = clients.Client(f"http://127.0.0.1:{port}", 2)
        answer = client.exchange("POST", "/x", b"{}", {}, 1.0)
        self.assertFalse(answer.err_value.is_sent)


class ConnectionTest(testtools.TestCase):
    """Whether an idle connection of a daemon can be used again."""

    def setUp(self):
        super().setUp()
        here, self.peer = gevent_socket.socketpair()
        self.addCleanup(here.close)
        self.addCleanup(self.peer.close)
        self.connection = clients.Connection("127.0.0.1")
        self.connection.sock = here

    def test_an_open_one_can(self):
        self.assertTrue(self.connection.is_connected)

    def test_one_that_the_peer_has_closed_can_not(self):
        self.peer.close()
        self.assertFalse(self.connection.is_connected)

    def test_one_with_unexpected_bytes_can_not(self):
        self.peer.send(b"late")
        self.assertFalse(self.connection.is_connected)
