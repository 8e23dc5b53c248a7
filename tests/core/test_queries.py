"""Explanation, standing and history queries across several daemons."""

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


class QueriesTest(testtools.TestCase):
    """Queries that are sent to every daemon."""

    def setUp(self):
        super().setUp()
        teams = [
            configuration.Team("a", "north"),
            configuration.Team("b", "south"),
        ]
        self.deployment = deployments.Deployment(
            fleets.small(), deployments.team_config(teams)
        )
        self.deployment.run_s = lambda task: 60.0
        assert self.deployment.run_until(self.deployment.ready, 10.0)

    def _query(self, make_event, daemon="d0"):
        self.deployment.handle += 1
        handle = self.deployment.handle
        self.deployment.post(daemon, make_event(handle))
        self.deployment.run(2.0)
        return self.deployment.replies[(daemon, handle)]

    def _submit_waiting_work(self) -> str:
        self.deployment.submit(
            "d0", "a", kind=BATCH, count=6, needs=WHOLE_WORKER
        )
        self.deployment.run(3.0)
        work_id, _ = self.deployment.submit(
            "d1", "b", kind=BATCH, count=1, needs=WHOLE_WORKER, within_s=500
        )
        self.deployment.run(1.0)
        return work_id

    def test_standing_shows_why_a_task_waits(self):
        work_id = self._submit_waiting_work()
        reply = self._query(
            lambda handle: events.StandingRequested(0, handle, TOKEN, work_id)
        )
        texts = " ".join(item.text for item in reply.payload.standings)
        self.assertThat(
            texts, matchers.Contains("no worker there has room for 4 cores")
        )

    def test_standing_names_the_worker_of_a_running_task(self):
        work_id, _ = self.deployment.submit("d0", "a", kind=BATCH)
        self.deployment.run(1.0)
        reply = self._query(
            lambda handle: events.StandingRequested(0, handle, TOKEN, work_id)
        )
        texts = " ".join(item.text for item in reply.payload.standings)
        self.assertThat(texts, matchers.Contains("It runs on worker w"))

    def test_an_answer_lists_daemons_that_did_not_reply(self):
        work_id = self._submit_waiting_work()
        self.deployment.pause("d2")
        reply = self._query(
            lambda handle: events.ExplainRequested(0, handle, TOKEN, work_id)
        )
        self.assertEqual(["d2"], reply.payload.silent)

    def test_history_pages_list_every_work_once(self):
        submitted = []
        for number in range(7):
            submitted.append(
                self.deployment.submit(f"d{number % 3}", "a", kind=BATCH)[0]
            )
            self.deployment.run(0.2)
        listed_ids, before = [], self.deployment.now + 1
        while before:
            reply = self._query(
                lambda handle, before=before: events.HistoryRequested(
                    0, handle, TOKEN, "", "", before, 3
                )
            )
            listed_ids += [row.work_id for row in reply.payload.rows]
            before = reply.payload.next_before
        self.assertEqual(submitted[::-1], listed_ids)

    def test_history_filters_by_team_and_outcome(self):
        self._submit_waiting_work()
        reply = self._query(
            lambda handle: events.HistoryRequested(
                0, handle, TOKEN, "b", "OPEN", self.deployment.now + 9, 10
            )
        )
        self.assertEqual(["b"], [row.team for row in reply.payload.rows])

    def test_a_query_with_an_unknown_key_is_refused(self):
        reply = self._query(
            lambda handle: events.HistoryRequested(
                0, handle, "x.y", "", "", 9, 9
            )
        )
        self.assertEqual(codes.Code.BAD_KEY, reply.code)
        self.assertIsNone(reply.payload)
