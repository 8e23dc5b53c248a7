"""Explanations, standings and histories over several daemons."""

import testtools
from testtools import matchers

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import events
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

TOKEN = "k-a.secret"
WHOLE_WORKER = resources.Resources(cpu_millis=4000, slots=1)
BATCH = works.Kind.BATCH


class QuestionsTest(testtools.TestCase):
    """Questions that go to every daemon."""

    def setUp(self):
        super().setUp()
        teams = [
            configuration.Team("a", "north"),
            configuration.Team("b", "south"),
        ]
        self.made = deployments.Deployment(
            fleets.small(), deployments.team_config(teams)
        )
        self.made.run_s = lambda task: 60.0
        assert self.made.run_until(self.made.ready, 10.0)

    def _ask(self, make, daemon="d0"):
        self.made.handle += 1
        handle = self.made.handle
        self.made.post(daemon, make(handle))
        self.made.run(2.0)
        return self.made.replies[(daemon, handle)]

    def _fill_and_wait(self) -> str:
        self.made.submit("d0", "a", kind=BATCH, count=6, needs=WHOLE_WORKER)
        self.made.run(3.0)
        work_id, _ = self.made.submit(
            "d1", "b", kind=BATCH, count=1, needs=WHOLE_WORKER, within_s=500
        )
        self.made.run(1.0)
        return work_id

    def test_standing_tells_why_a_task_waits(self):
        work_id = self._fill_and_wait()
        reply = self._ask(
            lambda handle: events.StandingRequested(0, handle, TOKEN, work_id)
        )
        texts = " ".join(item.text for item in reply.payload.standings)
        self.assertThat(
            texts, matchers.Contains("no worker there has room for 4 cores")
        )

    def test_standing_names_the_worker_of_a_running_task(self):
        work_id, _ = self.made.submit("d0", "a", kind=BATCH)
        self.made.run(1.0)
        reply = self._ask(
            lambda handle: events.StandingRequested(0, handle, TOKEN, work_id)
        )
        texts = " ".join(item.text for item in reply.payload.standings)
        self.assertThat(texts, matchers.Contains("It runs on worker w"))

    def test_an_answer_names_daemons_that_are_silent(self):
        work_id = self._fill_and_wait()
        self.made.pause("d2")
        reply = self._ask(
            lambda handle: events.ExplainRequested(0, handle, TOKEN, work_id)
        )
        self.assertEqual(["d2"], reply.payload.silent)

    def test_history_pages_through_all_work_once(self):
        sent = []
        for number in range(7):
            sent.append(self.made.submit(f"d{number % 3}", "a", kind=BATCH)[0])
            self.made.run(0.2)
        seen, before = [], self.made.now + 1
        while before:
            reply = self._ask(
                lambda handle, before=before: events.HistoryRequested(
                    0, handle, TOKEN, "", "", before, 3
                )
            )
            seen += [row.work_id for row in reply.payload.rows]
            before = reply.payload.next_before
        self.assertEqual(sent[::-1], seen)

    def test_history_filters_by_team_and_outcome(self):
        self._fill_and_wait()
        reply = self._ask(
            lambda handle: events.HistoryRequested(
                0, handle, TOKEN, "b", "OPEN", self.made.now + 9, 10
            )
        )
        self.assertEqual(["b"], [row.team for row in reply.payload.rows])

    def test_a_stranger_learns_nothing(self):
        reply = self._ask(
            lambda handle: events.HistoryRequested(
                0, handle, "x.y", "", "", 9, 9
            )
        )
        self.assertEqual(codes.Code.BAD_KEY, reply.code)
        self.assertIsNone(reply.payload)
