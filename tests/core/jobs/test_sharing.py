"""The pace of backfill beside serving tasks."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import sharing
from mimosaridge_core.jobs import state

CORE = resources.Resources(1000, 100, 0)
TARGET_MS = 100
TOKEN = 9
ENTRY = model.WorkerEntry(
    "w0", 1, "ledger", "w0:80", "zone-a", resources.Resources(4000, 4096, 0)
)


def _run(task_id, phase=state.Phase.RUNNING, **fields):
    return state.Run(task_id, 1, "w0", "a", CORE, CORE, phase, 0.0, **fields)


class SharedWorkerTest(testtools.TestCase):
    """One worker with a serving run and a run that is backfill."""

    def setUp(self):
        super().setUp()
        self.state = state.State(now=100.0)
        self.owner = state.Owner(TOKEN, 0.0)
        self.state.owner = self.owner
        self.serving = _run("s.0.0.0", target_ms=TARGET_MS)
        self.fill = _run("f.0.0.0", fills=True)
        self.worker = state.Worker(ENTRY, backfill=1, serving=1)
        for run in (self.serving, self.fill):
            self.worker.runs[(run.task_id, run.run)] = run
        self.owner.workers["w0"] = self.worker
        sharing.begin(self.state, self.worker, self.fill)

    def _report(self, tail_ms, fill_load=500.0, after_s=1.0):
        """The worker reports its runs; returns the orders that follow."""
        self.state.now += after_s
        self.serving.load = tail_ms
        self.fill.load = fill_load
        out = []
        sharing.follow_tails(self.state, self.owner, self.worker, out)
        sharing.check(self.state, self.owner, out)
        return [
            effect
            for effect in out
            if isinstance(effect, effects.Pace | effects.Stop)
        ]

    def _answer(self, order, result=events.CallResult.DONE):
        sharing.handle_pace_answer(
            self.state,
            events.PaceAnswered(
                self.state.now,
                order.worker_id,
                order.task_id,
                order.run,
                order.token,
                order.incarnation,
                order.percent,
                result,
            ),
            [],
        )

    def _reports(self, tail_ms, count):
        """Reports some times the same and confirms the orders."""
        for _ in range(count):
            for order in self._report(tail_ms):
                self._answer(order)

    def test_backfill_rests_when_sharing_begins(self):
        (order,) = self._report(tail_ms=70)
        self.assertEqual(0, order.percent)
        self.assertEqual("f.0.0.0", order.task_id)

    def test_the_pace_rises_while_tails_are_low(self):
        self._reports(tail_ms=40, count=4)
        self.assertEqual(40, self.fill.pace)
        self._reports(tail_ms=40, count=20)
        self.assertEqual(state.FULL_PACE, self.fill.pace)

    def test_the_pace_stays_while_tails_are_neither_low_nor_high(self):
        self._reports(tail_ms=40, count=3)
        self._reports(tail_ms=75, count=5)
        self.assertEqual(30, self.fill.pace)

    def test_backfill_rests_when_a_tail_comes_near_its_target(self):
        self._reports(tail_ms=40, count=5)
        self._reports(tail_ms=90, count=1)
        self.assertEqual(0, self.fill.pace)

    def test_a_late_order_that_made_backfill_work_again_is_made_up_for(self):
        self._reports(tail_ms=90, count=2)
        self.assertEqual(0, self.fill.pace)
        (order,) = self._report(tail_ms=90, fill_load=500.0)
        self.assertEqual(0, order.percent)

    def test_an_order_without_answer_is_sent_again(self):
        (order,) = self._report(tail_ms=70)
        self._answer(order, events.CallResult.UNKNOWN)
        self.assertEqual([], self._report(tail_ms=70, after_s=0.2))
        (order,) = self._report(tail_ms=70, after_s=0.4)
        self.assertEqual(0, order.percent)

    def test_backfill_that_does_not_rest_is_stopped_before_it_does_harm(self):
        stops = []
        for _ in range(6):
            orders = self._report(tail_ms=150, after_s=0.5)
            stops += [o for o in orders if isinstance(o, effects.Stop)]
        self.assertEqual(["f.0.0.0"], [order.task_id for order in stops])

    def test_backfill_that_rests_is_not_stopped_for_others_load(self):
        self._reports(tail_ms=90, count=1)
        for _ in range(10):
            self.assertEqual([], self._report(150, fill_load=0.0))

    def test_backfill_alone_works_at_full_speed_again(self):
        self._reports(tail_ms=90, count=1)
        del self.worker.runs[("s.0.0.0", 1)]
        self.worker.serving = 0
        (order,) = self._report(tail_ms=0)
        self.assertEqual(state.FULL_PACE, order.percent)

    def test_backfill_of_a_former_owner_gets_a_pace_of_this_one(self):
        self.worker.serving = 0
        self.fill.pace = None
        (order,) = self._report(tail_ms=0)
        self.assertEqual(state.FULL_PACE, order.percent)

    def test_an_order_that_a_worker_fences_ends_the_ownership(self):
        (order,) = self._report(tail_ms=70)
        self._answer(order, events.CallResult.FENCED)
        self.assertIsNone(self.state.owner)

    def test_an_answer_of_another_incarnation_confirms_nothing(self):
        (order,) = self._report(tail_ms=70)
        self.worker.incarnation += 1
        self._answer(order)
        self.assertEqual(state.FULL_PACE, self.fill.pace)
