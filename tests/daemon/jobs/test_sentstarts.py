"""Starts that an owner sends just before its end."""

import time
import types

import testtools

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import tunables
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import sentstarts


class SentStartsTest(testtools.TestCase):
    """The next owner knows the last starts of the former one."""

    def setUp(self):
        super().setUp()
        self.sent = []
        self.peers = types.SimpleNamespace(
            is_mesh=lambda: True, broadcast=self.sent.append
        )
        self.starts = sentstarts.SentStarts(self.peers)

    def _order(self, task_id, ticket=""):
        return effects.Start(
            "w1", "w1:80", 7, task_id, 3, "text", "", ticket, 1000, 1
        )

    def test_peers_are_told_of_the_starts_of_a_round_at_once(self):
        self.starts.add(self._order("j1.0.0.0"))
        self.starts.add(self._order("j1.0.0.1"))
        self.assertEqual([], self.sent)
        self.starts.flush()
        self.starts.flush()
        self.assertEqual(
            [
                messages.StartsSent(
                    {"j1.0.0.0": ("w1", 3), "j1.0.0.1": ("w1", 3)}
                )
            ],
            self.sent,
        )

    def test_a_start_with_a_ticket_is_not_told(self):
        self.starts.add(self._order("j1.0.0.0", ticket="t1"))
        self.starts.flush()
        self.assertEqual([], self.sent)

    def test_a_large_fleet_is_not_told(self):
        self.peers.is_mesh = lambda: False
        self.starts.add(self._order("j1.0.0.0"))
        self.starts.flush()
        self.assertEqual([], self.sent)

    def _answer(self, result, run=3):
        return events.StartAnswered(1.0, "w1", "j1.0.0.0", run, 7, 1, result)

    def test_an_answered_start_is_not_kept(self):
        self.starts.add(self._order("j1.0.0.0"))
        self.starts.flush()
        for answer in (
            self._answer(events.CallResult.UNKNOWN),
            self._answer(events.CallResult.DONE, run=2),
        ):
            self.starts.add_answer(answer)
            self.starts.flush()
            self.assertEqual({"j1.0.0.0"}, self.starts.last().keys())
        self.starts.add_answer(self._answer(events.CallResult.DONE))
        self.starts.flush()
        self.assertEqual(messages.StartsSent({}, ("j1.0.0.0",)), self.sent[-1])
        self.assertEqual({}, self.starts.last())

    def test_the_last_moment_is_kept_until_the_owner_is_replaced(self):
        now = time.monotonic()
        self.patch(time, "monotonic", lambda: now)
        self.starts.record(messages.StartsSent({"old": ("w1", 1)}))
        now += sentstarts.LAST_S + 0.1
        self.starts.record(messages.StartsSent({"j1": ("w1", 2)}))
        now += 0.1
        self.starts.record(messages.StartsSent({"j2": ("w2", 3)}))
        sent_at = now
        now += 5.0
        last = self.starts.last()
        self.assertEqual({"j1", "j2"}, last.keys())
        until = sent_at + tunables.LATE_CALL_S
        self.assertEqual(("w2", 3, until), last["j2"])
