"""Orders to workers by agents, whose failure costs an order nothing."""

import time

import gevent
import testtools

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_daemon import codec
from mimosaridge_daemon.jobs import agentcalls
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import routing
from mimosaridge_daemon.jobs import workerlinks

TOKEN = 7


def _start(worker_id="w1", token=TOKEN, run=70_001):
    return effects.Start(
        worker_id,
        "10.0.0.1:80",
        token,
        "j.0.0.0",
        run,
        "text",
        "",
        "",
        9_000,
        2,
    )


def _hold(worker_id="w1", token=TOKEN):
    return effects.Hold(worker_id, "10.0.0.1:80", token, 3, 9_000, 1_200, 2)


class _Links:
    """Answers calls at once and records them."""

    def __init__(self):
        self.given = []

    def give(self, order):
        self.given.append(order)

    def repeat(self, order):
        self.given.append(order)

    def call(self, order):
        self.given.append(order)
        return workerlinks.answer_to(order, events.CallResult.DONE)


class _RouterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.links = _Links()
        self.posted = []
        self.sent = []
        self.token = TOKEN
        self.router = routing.Router(
            self.links,
            self.posted.append,
            lambda name, message: self.sent.append((name, message)),
            lambda worker_id: "z",
            lambda: self.token,
        )
        self.router.set_agents({"z": ("agent",)})

    def _give(self, *orders):
        for order in orders:
            self.router.give(order)
        self.router.flush()

    def _answer(self, result=events.CallResult.DONE):
        for number, pending in list(self.router.pending.items()):
            event = workerlinks.answer_to(pending.order, result)
            self.router.handle_answers(
                "agent", messages.WorkerAnswers.of([(number, event)])
            )


class RouterTest(_RouterTest):
    """The owner's side."""

    def test_orders_of_a_round_go_in_one_message(self):
        self._give(_hold(), _start(), _start("w2"))
        self.assertEqual(1, len(self.sent))
        name, message = self.sent[0]
        self.assertEqual("agent", name)
        self.assertEqual(3, len(message.all()))
        self.assertEqual([], self.links.given)

    def test_an_answer_is_posted_once(self):
        self._give(_start())
        number = next(iter(self.router.pending))
        event = workerlinks.answer_to(_start(), events.CallResult.DONE)
        for _ in range(2):
            self.router.handle_answers(
                "agent", messages.WorkerAnswers.of([(number, event)])
            )
        self.assertEqual([event], self.posted)

    def test_a_hold_counts_as_made_when_it_was_given(self):
        self._give(_hold())
        given_at = next(iter(self.router.pending.values())).sent_at
        time.sleep(0.01)
        self._answer()
        self.assertEqual(given_at, self.posted[0].sent_at)

    def test_orders_of_a_silent_agent_are_given_directly(self):
        self._give(_hold(), _start())
        now = time.monotonic()
        self.router.check(now + routing.AGENT_SILENCE_S / 2)
        self.assertEqual([], self.links.given)
        self.router.check(now + routing.AGENT_SILENCE_S * 2)
        self.assertEqual([_hold(), _start()], self.links.given)
        self._give(_start("w2"))
        self.assertEqual(1, len(self.sent))
        self.assertEqual(_start("w2"), self.links.given[-1])

    def test_an_agent_that_speaks_is_not_silent(self):
        self._give(_start())
        self.router.handle_heartbeat("agent")
        self.router.check(time.monotonic() + routing.AGENT_SILENCE_S * 2)
        self.assertEqual([], self.links.given)

    def test_orders_of_an_agent_whose_process_ended_are_given_directly(self):
        self._give(_hold(), _start())
        self.router.fail("agent", "its connection was refused")
        self.assertEqual([_hold(), _start()], self.links.given)
        self.assertEqual({}, self.router.pending)

    def test_a_worker_that_its_agent_cannot_reach_is_called_directly(self):
        self._give(_hold())
        self._answer(events.CallResult.UNHEALTHY)
        self._give(_hold(), _hold("w2"))
        self.assertEqual([_hold()], self.links.given)
        self.assertEqual(2, len(self.sent))

    def test_an_order_without_answer_is_given_directly(self):
        self._give(_start())
        self.router.handle_heartbeat("agent")
        self.router.check(time.monotonic() + 1.0)
        self.assertEqual([_start()], self.links.given)

    def test_an_owner_that_stood_still_reads_its_answers_first(self):
        self._give(_start())
        now = time.monotonic()
        self.router.check_unless_late(now + 0.05, now + 3.0)
        self.assertEqual([], self.links.given)
        self._answer()
        self.router.check_unless_late(now + 3.05, now + 3.05)
        self.assertEqual([], self.links.given)
        self.assertEqual(1, len(self.posted))

    def test_orders_of_a_former_ownership_are_not_repeated(self):
        self._give(_start())
        self.token = 0
        self.router.fail("agent", "its connection was refused")
        self.assertEqual([], self.links.given)

    def test_orders_of_an_ownership_that_has_ended_are_not_given(self):
        self.token = 0
        self._give(_start(), _hold("w2"))
        self.router.set_agents({})
        self._give(_start(), _hold("w2"))
        self.assertEqual([], self.sent)
        self.assertEqual([], self.links.given)

    def test_orders_are_forgotten_when_ownership_ends(self):
        self._give(_start())
        self.router.give(_start("w2"))
        self.router.reset()
        self.router.flush()
        self.assertEqual(1, len(self.sent))
        self._answer()
        self.assertEqual([], self.posted)


class AgentTest(testtools.TestCase):
    """The agent's side."""

    def _handle(self, *orders, newest=TOKEN):
        links, sent = _Links(), []
        agent = agentcalls.AgentCalls(
            links, lambda name, message: sent.append(message), lambda: newest
        )
        agent.handle_orders(
            "owner", messages.WorkerOrders.of(list(enumerate(orders)))
        )
        deadline = time.monotonic() + 2.0

        while not sent and time.monotonic() < deadline:
            gevent.sleep(0.005)
        return links.given, sent

    def test_answers_go_back_in_one_message(self):
        given, sent = self._handle(_start(), _hold())
        self.assertEqual(2, len(given))
        self.assertEqual(1, len(sent))
        self.assertEqual({0, 1}, {number for number, _ in sent[0].all()})

    def test_orders_of_a_replaced_owner_are_not_carried_out(self):
        given, sent = self._handle(_start(), newest=TOKEN + 1)
        self.assertEqual([], given)
        (_, answer), *_ = sent[0].all()
        self.assertEqual(events.CallResult.FENCED, answer.result)


class CodecTest(testtools.TestCase):
    """Orders and answers between daemons."""

    def test_orders_and_answers_survive_the_codec(self):
        codec.register_messages(messages.ALL)
        pace = effects.Pace("w1", "10.0.0.1:80", TOKEN, "j.0.0.0", 1, 20, 2)
        orders = messages.WorkerOrders.of(
            [(1, _hold()), (2, _start()), (3, pace)]
        )
        self.assertEqual(3, len(orders.all()))
        answers = messages.WorkerAnswers.of(
            [
                (1, workerlinks.answer_to(_hold(), events.CallResult.UNKNOWN)),
                (2, workerlinks.answer_to(_start(), events.CallResult.FENCED)),
                (3, workerlinks.answer_to(pace, events.CallResult.DONE)),
            ]
        )
        for message in (orders, answers):
            data = codec.encode_message("d1", message)
            self.assertEqual(("d1", message), codec.decode_message(data))
