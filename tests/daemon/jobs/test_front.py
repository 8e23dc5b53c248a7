"""Tests of writes to the store on behalf of callers."""

import time

import result
import testtools

from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import front
from mimosaridge_platform import storecalls

NO_ANSWER = result.Err(clients.Failure("no answer", is_sent=True))
REQUEST = storecalls.write({}, {"k": b"v"})


class FakeStore:
    """A store with a slow probe and one fixed answer."""

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
    """The attributes of an engine that writes need."""

    def __init__(self, store):
        self.store = store
        self.store_timeout_s = 1.0


class WriteTest(testtools.TestCase):
    """Results of writes and the caller's deadline."""

    def _write(self, probe_s, answer, time_s=0.05):
        application = front.Front.__new__(front.Front)
        self.store = FakeStore(probe_s, answer)
        application.engine = FakeEngine(self.store)
        application._deadline = lambda: time.monotonic() + time_s
        return application._write(REQUEST)[0]

    def test_nothing_is_sent_after_the_deadline(self):
        outcome = self._write(0.1, NO_ANSWER)
        self.assertEqual(storecalls.WriteResult.NOT_APPLIED, outcome)
        self.assertEqual([], self.store.timeouts)

    def test_write_without_answer_is_in_doubt(self):
        self.assertIsNone(self._write(0.0, NO_ANSWER))
        self.assertTrue(all(wait > 0 for wait in self.store.timeouts))
