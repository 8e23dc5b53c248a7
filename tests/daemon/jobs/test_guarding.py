"""Unexpected exceptions end no loop and leave no call without an answer."""

import dataclasses
import io
import time
from unittest import mock

import gevent
import result
import testtools

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_daemon import clients
from mimosaridge_daemon import clocks
from mimosaridge_daemon import peers
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import engine as engines
from mimosaridge_daemon.jobs import following
from mimosaridge_daemon.jobs import front
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import recording
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_daemon.jobs import workerlinks
from mimosaridge_platform import calls
from mimosaridge_platform import daemonsettings
from mimosaridge_platform import storecalls

SETTINGS = {
    "nodeName": "front-1",
    "ip": "127.0.0.1",
    "zone": "zone-a",
    "listenAddresses.front": "127.0.0.1:1",
    "listenAddresses.readiness": "127.0.0.1:1",
    "internalPortRange": "7180,7195",
    "platform.address": "127.0.0.1:1",
    "recommendation": "127.0.0.1:1",
}
NO_ADVICE = {
    name: value for name, value in SETTINGS.items() if name != "recommendation"
}
HOLD = effects.Hold("w1", "10.0.0.1:80", 7, 3, 9_000, 1_200, 2)
START = effects.Start(
    "w1", "10.0.0.1:80", 7, "j.0.0.0", 70_001, "text", "", "", 9_000, 2
)
STOP = effects.Stop("w1", "10.0.0.1:80", 7, "j.0.0.0", 70_001, 2)
NO_ANSWER = result.Err(clients.Failure("no answer", is_sent=True))


class UnexpectedError(Exception):
    """An exception that no code expects."""


def _fail(*args, **kwargs):
    raise UnexpectedError


def _errors():
    """Returns how many unexpected exceptions were counted."""
    text = telemetry.exposition().decode()
    return sum(
        float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if line.startswith("mimosaridge_unexpected_errors_total")
    )


# Longest wait for something that must happen at some time, seconds.
WAIT_S = 30.0


def _wait_for(is_met, timeout_s=WAIT_S):
    """Waits until a condition is met; returns whether it is."""
    deadline = time.monotonic() + timeout_s
    while not is_met() and time.monotonic() < deadline:
        gevent.sleep(0.005)
    return is_met()


class FailingOnce:
    """Wraps a function whose first call raises; counts the calls."""

    def __init__(self, function):
        self.function = function
        self.count = 0

    def __call__(self, *args, **kwargs):
        self.count += 1
        if self.count == 1:
            raise UnexpectedError
        return self.function(*args, **kwargs)


class SilentStore:
    """Never answers."""

    answering_since = 0.0
    has_store = False

    def call(self, request, timeout_s=1.0):
        gevent.sleep(0.01)
        return NO_ANSWER

    def storeless_s(self):
        return 60.0

    def reaches_store(self, within_s):
        return False


class _EngineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = dataclasses.replace(
            daemonsettings.decode(SETTINGS), peer_port=0
        )
        self.engine = engines.Engine(settings, "secret")
        self.addCleanup(self.engine.peering.links.server.socket.close)
        self.engine.store = SilentStore()
        self.engine.ownership.store = self.engine.store

    def _posted(self):
        inbox = self.engine.inbox
        return [inbox.get() for _ in range(inbox.qsize())]


class LoopTest(_EngineTest):
    def _start(self):
        """Starts all loops; they end with the test."""
        greenlets = []
        spawn = gevent.spawn

        def spawn_recorded(*args, **kwargs):
            greenlets.append(spawn(*args, **kwargs))
            return greenlets[-1]

        self.engine.peering.links.start = lambda: None
        patch = mock.patch.object(gevent, "spawn", spawn_recorded)
        patch.start()
        self.addCleanup(patch.stop)
        self.addCleanup(lambda: gevent.killall(greenlets))
        self.engine.start()

    def _assert_survives(self, owner, name, timeout_s=WAIT_S):
        failing = FailingOnce(getattr(owner, name))
        setattr(owner, name, failing)
        self._start()
        survives = _wait_for(lambda: failing.count > 1, timeout_s)
        self.assertTrue(survives, f"{name} was called {failing.count} times")

    def test_heartbeats_go_on(self):
        self._assert_survives(self.engine.peering, "send_heartbeat")

    def test_ticks_go_on(self):
        self._assert_survives(self.engine.peering, "live_daemons")

    def test_registration_goes_on(self):
        self._assert_survives(self.engine, "_write_entry")

    def test_checks_of_ownership_go_on(self):
        self._assert_survives(self.engine.ownership, "_should_claim")

    def test_checks_of_agents_go_on(self):
        self._assert_survives(self.engine.router, "check_unless_late")

    def test_following_goes_on(self):
        """Each of the three followers fails in its first call."""
        paths = []

        def call(request, timeout_s=1.0):
            paths.append(request.path)
            gevent.sleep(0.01)
            if paths.count(request.path) == 1:
                raise UnexpectedError
            return NO_ANSWER

        self.engine.store.call = call
        self.engine.ownership.token = 7
        self._start()
        for prefix in (
            storecalls.WORKER_PREFIX,
            storecalls.OPERATOR_PREFIX,
            documents.ROOT,
        ):
            path = storecalls.list_prefix(prefix).path
            self.assertTrue(_wait_for(lambda path=path: paths.count(path) > 1))

    def test_events_are_handled_after_a_failed_flush(self):
        self.engine.ownership.token = 7
        self._assert_survives(self.engine.router, "flush")

    def test_exceptions_are_counted(self):
        before = _errors()
        self._assert_survives(self.engine.peering, "send_heartbeat")
        self.assertEqual(before + 1, _errors())


class FollowerTest(testtools.TestCase):
    def test_a_change_whose_handling_fails_hides_no_other(self):
        def answer(key, revision):
            item = {"key": key, "value": "", "revision": revision}
            fields = {"events": [item], "atRevision": revision}
            return result.Ok((200, calls.encode(fields)))

        class Store:
            answers = [answer("p/odd", 11), answer("p/good", 12)]

            def call(self, request, timeout_s=1.0):
                gevent.sleep(0.001)
                return self.answers.pop(0) if self.answers else NO_ANSWER

        seen = []

        def handle(item):
            seen.append(item.key)
            if item.key == "p/odd":
                raise UnexpectedError

        follower = following.Follower(
            Store(), "p/", 1000, lambda: 0.0, lambda page: None, handle
        )
        follower.revision = 10
        running = gevent.spawn(follower.run)
        self.addCleanup(running.kill)
        self.assertTrue(_wait_for(lambda: "p/good" in seen))
        self.assertEqual(["p/odd", "p/good"], seen)


class WithoutAdviceTest(testtools.TestCase):
    def test_daemon_without_an_advice_service_runs(self):
        for fields in (SETTINGS | {"recommendation": ""}, NO_ADVICE):
            settings = dataclasses.replace(
                daemonsettings.decode(fields), peer_port=0
            )
            engine = engines.Engine(settings, "secret")
            engine.peering.links.server.socket.close()
            engine._make_advice_call(
                effects.AskAdvice("front-1", "j.0.0", ("w1",), 1)
            )
            self.assertFalse(engine.inbox.get().answered)


class IsolationTest(_EngineTest):
    def test_an_owner_cut_off_with_its_workers_gives_up(self):
        now = clocks.since_boot_s()
        for name, silent_s in (("d1", 0.1), ("d2", 9.0), ("d3", 9.0)):
            self.engine.peering.add(name, f"ws://{name}")
            peer = self.engine.peering.peers[name]
            peer.owner_token = 7
            peer.last_heartbeat_at = now - silent_s
        self.engine.ownership.token = 7
        self.engine.ownership.view.revision = 7
        self.engine.post(events.Tick(now, now))
        loop = gevent.spawn(self.engine._run)
        self.addCleanup(loop.kill)
        self.assertTrue(_wait_for(lambda: not self.engine.ownership.token))
        self.assertTrue(self.engine.ownership.view.is_gone)


class AnswerTest(_EngineTest):
    def test_failed_call_to_a_worker_has_no_known_result(self):
        for order in (HOLD, START, STOP):
            posted = []
            links = workerlinks.Links(posted.append)
            links.clients[order.address] = mock.Mock(exchange=_fail)
            links.give(order)
            self.assertTrue(_wait_for(lambda posted=posted: posted))
            expected = workerlinks.answer_to(order, events.CallResult.UNKNOWN)
            self.assertIs(type(expected), type(posted[0]))
            self.assertEqual("unknown", posted[0].result)

    def test_address_that_cannot_be_parsed_has_no_known_result(self):
        for address in ("10.0.0.1:99999", "10.0.0.1:x", "", "[::1"):
            posted = []
            order = dataclasses.replace(HOLD, address=address)
            workerlinks.Links(posted.append).give(order)
            self.assertTrue(_wait_for(lambda posted=posted: posted))
            self.assertIn(posted[0].result, ("unknown", "unhealthy"))

    def test_order_that_cannot_be_given_has_no_known_result(self):
        self.engine.router.zone_of = _fail
        self.engine.ownership.token = HOLD.token
        for order in (HOLD, START, STOP):
            self.engine._execute(order)
            (event,) = self._posted()
            self.assertEqual(events.CallResult.UNKNOWN, event.result)

    def test_failed_call_for_advice_is_unanswered(self):
        self.engine.peering.call_via = _fail
        self.engine._execute(effects.AskAdvice("front-1", "j.0.0", ("w1",), 1))
        self.assertTrue(_wait_for(lambda: self.engine.inbox.qsize()))
        (event,) = self._posted()
        self.assertFalse(event.answered)
        self.assertEqual(("w1",), event.asked)

    def test_failed_write_is_not_written(self):
        progress = model.Progress(model.JobState.COMPLETED)
        good = effects.WriteProgress(3, {"j1": (progress, 4)})
        for effect in (good, effects.WriteProgress(3, {"j1": (object(), 4)})):
            posted = []
            recorder = recording.Recorder(
                mock.Mock(call=_fail), posted.append, _fail, _fail
            )
            recorder.write(7, effect)
            self.assertTrue(_wait_for(lambda posted=posted: posted))
            self.assertFalse(posted[0].written)
            self.assertEqual(3, posted[0].batch)

    def test_failed_relayed_call_is_answered(self):
        sent = []
        self.engine.peering.send = lambda name, message: sent.append(message)
        self.engine.peering.store = mock.Mock(call_directly=_fail)
        call = messages.RelayCall(5, "store", "GET", "/", b"", 1.0)
        self.engine.peering.links.on_message("peer", call)
        self.assertTrue(_wait_for(lambda: sent))
        self.assertEqual(
            (5, 0, True), (sent[0].call_id, sent[0].status, sent[0].is_sent)
        )

    def test_ownership_starts_after_a_failed_read(self):
        self.engine.ownership.token = 7
        self.engine.state_reading.read = FailingOnce(lambda token: True)
        gevent.spawn(self.engine._start_owning, 7, False).join(2.0)
        self.assertIsInstance(self._posted()[-1], events.OwnershipClaimed)

    def test_message_whose_handling_fails_does_not_end_its_connection(self):
        self.engine.peering.on_message = _fail
        self.engine.peering.links.on_message("peer", messages.Leaving(5))

    def test_link_to_a_url_that_cannot_be_parsed_does_not_end(self):
        link = peers.OutgoingLink("ws://127.0.0.1:99999", "s", lambda: None)
        running = gevent.spawn(link.run)
        self.addCleanup(running.kill)
        running.join(0.5)
        self.assertFalse(running.dead)

    def test_failed_request_of_a_caller_is_in_doubt(self):
        application = front.Front(self.engine)
        application._answer = _fail
        statuses = []
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/q/0123456789abcdef",
            "wsgi.input": io.BytesIO(b""),
            "wsgi.errors": io.StringIO(),
        }
        application.app(environ, lambda status, *args: statuses.append(status))
        self.assertEqual("504 Gateway Timeout", statuses[0])
