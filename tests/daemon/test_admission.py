"""What clients may hold of a process's memory and descriptors."""

import io

import hypothesis
from hypothesis import strategies
import testtools

from mimosaridge_daemon import admission
from mimosaridge_daemon import serving

LIMITS = admission.Limits(connections=4, body_bytes=100_000)
PHASES = strategies.sampled_from(admission.Phase)
OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("open", "reserve", "release", "close")),
        strategies.integers(0, 9),
        strategies.integers(1, 60_000),
        PHASES,
    ),
    max_size=60,
)


class Client:
    """A client's connection; records whether it was closed from outside."""

    def __init__(self):
        self.closed = ""
        self.connection = admission.Connection(self._close)

    def _close(self, reason):
        self.closed = reason


class AdmissionTest(testtools.TestCase):
    """Connections and the memory for bodies."""

    @hypothesis.given(OPERATIONS)
    def test_clients_never_hold_more_than_the_limits(self, operations):
        admitted = admission.Admission(LIMITS)
        clients = [Client() for _ in range(10)]
        for name, number, size, phase in operations:
            client = clients[number]
            connection = client.connection
            is_open = connection in admitted.connections
            others = [
                each
                for each in clients
                if each.connection in admitted.connections
                and each.connection.phase == admission.Phase.ANSWERING
            ]
            if name == "open" and not is_open:
                client.closed = ""
                connection.phase = admission.Phase.IDLE
                admitted.admit(connection)
            elif name == "reserve" and is_open:
                connection.phase = admission.Phase.BODY
                admitted.reserve(connection, size, size)
                connection.phase = phase
            elif name == "release" and is_open:
                admitted.release(connection)
            elif name == "close" and is_open:
                admitted.remove(connection)
            held = sum(each.connection.held_bytes for each in clients)
            self.assertEqual(held, admitted.held_bytes)
            self.assertLessEqual(held, LIMITS.body_bytes)
            self.assertLessEqual(len(admitted.connections), LIMITS.connections)
            for other in others:
                if other is not client:
                    self.assertEqual("", other.closed)

    def _filled(self, phase):
        admitted = admission.Admission(LIMITS)
        clients = [Client() for _ in range(LIMITS.connections)]
        for client in clients:
            self.assertTrue(admitted.admit(client.connection))
            client.connection.phase = phase
        return admitted, clients

    def test_the_one_that_held_most_for_longest_goes_first(self):
        admitted, clients = self._filled(admission.Phase.BODY)
        for size, client in zip(
            (100, 30_000, 40_000, 20), clients, strict=True
        ):
            self.assertTrue(admitted.reserve(client.connection, size, size))
        clients[1].connection.moved_at -= 60.0
        self.assertTrue(admitted.admit(Client().connection))
        self.assertEqual(
            ["", "connections", "", ""], [each.closed for each in clients]
        )

    def test_requests_that_are_being_answered_are_not_closed(self):
        admitted, clients = self._filled(admission.Phase.ANSWERING)
        self.assertFalse(admitted.admit(Client().connection))
        self.assertEqual([""] * 4, [each.closed for each in clients])

    def test_small_bodies_keep_a_part_for_themselves(self):
        admitted, clients = self._filled(admission.Phase.ANSWERING)
        large, small = clients[0].connection, clients[1].connection
        self.assertFalse(admitted.reserve(large, 90_000, 90_000))
        self.assertTrue(admitted.reserve(large, 75_000, 90_000))
        self.assertTrue(admitted.reserve(small, 16_000, 16_000))

    def test_limits_follow_the_machine(self):
        small = admission.Limits.of_machine(160, 1_638)
        large = admission.Limits.of_machine(552, 8_192)
        # Callers inside the limits keep one connection each.
        self.assertGreater(small.connections, 150)
        self.assertGreater(large.connections, small.connections)
        # The largest body of the pages is served in calm on the smallest one.
        connection = Client().connection
        admitted = admission.Admission(small)
        self.assertTrue(admitted.admit(connection))
        size = admission.ANSWERING_FACTOR * 262_144
        self.assertTrue(admitted.reserve(connection, size, 262_144))
        few = admission.Limits.of_machine(160, 250)
        self.assertEqual(25, few.connections)


class HeadReaderTest(testtools.TestCase):
    """Heads up to a size."""

    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=40), max_size=10),
        strategies.integers(0, 200),
    )
    def test_no_more_than_the_limit_is_read(self, lines, limit):
        data = b"\r\n".join(lines)
        file = io.BytesIO(data)
        head = serving.HeadReader(file, limit)
        read = b""
        try:
            while line := head.readline(65_537):
                read += line
        except serving.HeadTooLargeError:
            self.assertGreater(len(data), limit)
        else:
            self.assertEqual(data, read)
        self.assertLessEqual(file.tell(), limit + 1)
