"""What callers are told of writes to the store."""

import time

import result
import testtools

from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import front
from mimosaridge_platform import storecalls

LOST = result.Err(clients.Failure("no answer", is_sent=True))
REQUEST = storecalls.write({}, {"k": b"v"})


class FakeStore:
    """A store whose first probe may take long."""

    def __init__(self, probe_s, answer):
        self.probe_s = probe_s
        self.answer = answer
        self.timeouts = []

    def is_answering(self):
        time.sleep(self.probe_s)
        return True

    def call(self, request, timeout_s):
        self.timeouts.append(timeout_s)
        return self.answer


class FakeEngine:
    """What the front needs of an engine."""

    def __init__(self, store):
        self.store = store
        self.store_timeout_s = 1.0


class WriteTest(testtools.TestCase):
    """Writes within a caller's time."""

    def _write(self, probe_s, answer, time_s=0.05):
        made = front.Front.__new__(front.Front)
        self.store = FakeStore(probe_s, answer)
        made.engine = FakeEngine(self.store)
        made._deadline = lambda: time.monotonic() + time_s
        return made._write(REQUEST)[0]

    def test_nothing_is_sent_once_the_callers_time_is_up(self):
        outcome = self._write(0.1, LOST)
        self.assertEqual(storecalls.WriteResult.NOT_APPLIED, outcome)
        self.assertEqual([], self.store.timeouts)

    def test_a_write_without_answer_stays_in_doubt(self):
        self.assertIsNone(self._write(0.0, LOST))
        self.assertTrue(all(wait > 0 for wait in self.store.timeouts))
