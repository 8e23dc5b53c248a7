"""Calls to workers that an agent may have carried out as well."""

import gevent
import testtools

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_daemon.jobs import workerlinks

START = effects.Start(
    "w1", "10.0.0.1:80", 7, "j.0.0.0", 70_001, "text", "", "", 9_000, 2
)
STOP = effects.Stop("w1", "10.0.0.1:80", 7, "j.0.0.0", 70_001, 2)
PACE = effects.Pace("w1", "10.0.0.1:80", 7, "j.0.0.0", 70_001, 20, 2)


class RepeatedOrderTest(testtools.TestCase):
    """The answer to an order given a second time."""

    def _results(self, order, result):
        posted = []
        links = workerlinks.Links(posted.append)
        links.call = lambda order: workerlinks.answer_to(order, result)
        links.give(order)
        links.repeat(order)
        gevent.sleep(0.01)
        return [event.result for event in posted]

    def test_a_refused_repeated_start_is_not_taken_for_not_run(self):
        for result in (
            events.CallResult.REFUSED,
            events.CallResult.NO_TICKET,
            events.CallResult.UNHEALTHY,
        ):
            self.assertEqual(
                [result, events.CallResult.UNKNOWN],
                self._results(START, result),
            )

    def test_other_answers_are_passed_on(self):
        for result in (
            events.CallResult.DONE,
            events.CallResult.FENCED,
            events.CallResult.OTHER_INCARNATION,
        ):
            self.assertEqual([result] * 2, self._results(START, result))

    def test_a_refused_repeated_stop_or_pace_is_passed_on(self):
        refused = events.CallResult.REFUSED
        for order in (STOP, PACE):
            self.assertEqual([refused] * 2, self._results(order, refused))

    def test_a_repeated_hold_does_not_wait_and_is_marked(self):
        posted, made = [], []
        links = workerlinks.Links(posted.append)

        def call(order):
            made.append(order.wait_ms)
            return workerlinks.answer_to(order, events.CallResult.DONE)

        links.call = call
        hold = effects.Hold("w1", "10.0.0.1:80", 7, 3, 0, 1_200, 2)
        links.give(hold)
        links.repeat(hold)
        gevent.sleep(0.01)
        self.assertEqual([1_200, 0], made)
        self.assertEqual([False, True], [event.is_repeated for event in posted])
