"""What a daemon concludes about an owner, and until when an owner goes on."""

import dataclasses
import time

import gevent
import result
import testtools

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import election
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import reducer
from mimosaridge_daemon import clocks
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import engine as engines
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import owning
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
TOKEN = 9


class FakeStore:
    """Accepts a claim; was last served some time ago."""

    answering_since = 0.0
    has_store = False

    def __init__(self, storeless_s=0.0):
        self.silent_s = storeless_s

    def call(self, request, timeout_s=1.0):
        return result.Ok((200, b'{"revision":%d}' % TOKEN))

    def storeless_s(self):
        return self.silent_s


class _EngineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = dataclasses.replace(
            daemonsettings.decode(SETTINGS), peer_port=0
        )
        self.engine = engines.Engine(settings, "secret")
        self.addCleanup(self.engine.peering.links.server.socket.close)

    def _use_store(self, store):
        self.engine.store = self.engine.ownership.store = store
        self.engine.state_reading.store = store

    def _add_peers(self, *silent_s):
        """Adds peers d0, d1 and so on, by the age of their last heartbeat."""
        for number, age_s in enumerate(silent_s):
            name = f"d{number}"
            self.engine.peering.add(name, f"ws://{name}")
            peer = self.engine.peering.peers[name]
            peer.last_heartbeat_at = clocks.since_boot_s() - age_s
            peer.followed_at = peer.last_heartbeat_at
            peer.owner_token = TOKEN

    def _posted(self):
        inbox = self.engine.inbox
        return [inbox.get() for _ in range(inbox.qsize())]


class ClaimTest(_EngineTest):
    """Claims of a daemon whose owner can't be connected to."""

    def test_owner_that_refuses_connections_is_not_taken_for_ended(self):
        self._use_store(FakeStore())
        self.engine.state_reading.read = lambda token: True
        ownership = self.engine.ownership
        value = documents.encode(owning.Claim("d0", "boot-d0", 1))
        ownership.update_view(storecalls.Item(documents.OWNER, value, 5))
        self._add_peers(0.7)
        ownership.view.last_contact_at -= 0.7
        ownership.view.is_heard = True
        self.engine.peering._handle_refused("d0")
        self.assertTrue(ownership._should_claim())
        ownership.try_to_claim()
        gevent.sleep(0.05)
        claimed = self._posted()[-1]
        self.assertIsInstance(claimed, events.OwnershipClaimed)
        self.assertFalse(claimed.is_former_gone)
        self.assertEqual("silent and refused", claimed.evidence)

    def test_end_of_the_former_owner_that_shows_after_the_claim_is_told(self):
        self._use_store(FakeStore())
        self.engine.state_reading.read = lambda token: True
        ownership = self.engine.ownership
        value = documents.encode(owning.Claim("d0", "boot-d0", 1))
        ownership.update_view(storecalls.Item(documents.OWNER, value, 5))
        ownership.try_to_claim()
        gevent.sleep(0.05)
        self.assertFalse(self._posted()[-1].is_former_gone)
        for boot, token in (
            ("boot-d0", ownership.token),
            ("boot-d0-earlier", 4),
        ):
            self._hear("d0", boot, token)
        self.assertEqual([], self._told())
        self._hear("d0", "boot-d0-later", ownership.token)
        self._hear("d0", "boot-d0-later", ownership.token)
        self.assertEqual([ownership.token], self._told())

    def _told(self):
        """Returns the claims for which the former owner's end was told."""
        return [
            event.token
            for event in self._posted()
            if isinstance(event, events.FormerOwnerGone)
        ]

    def _hear(self, name, boot, owner_token):
        heartbeat = messages.Beat(
            name, boot, f"ws://{name}", True, True, 0, owner_token, 0.0
        )
        self.engine._handle_message(name, heartbeat)


class AuthorityTest(_EngineTest):
    """Until when an owner goes on without word from the store."""

    def _owner(self, unconfirmed_s, *silent_s):
        self._use_store(FakeStore(unconfirmed_s))
        self._add_peers(*silent_s)
        ownership = self.engine.ownership
        ownership.token = ownership.view.revision = TOKEN
        ownership.confirmed_at = clocks.since_boot_s() - unconfirmed_s
        return ownership

    def _assert_gives_up(self, ownership):
        loop = gevent.spawn(self.engine._run)
        self.addCleanup(loop.kill)
        self.engine.post(events.Tick(time.monotonic(), time.time()))
        gevent.sleep(0.05)
        self.assertEqual(0, ownership.token)

    def test_owner_whose_peers_refuse_all_connections_gives_up(self):
        ownership = self._owner(election.ISOLATION_S + 0.1, 3.0, 3.0, 3.0)
        for name in ("d0", "d1", "d2"):
            self.engine.peering._handle_refused(name)
        self._assert_gives_up(ownership)

    def test_owner_that_hears_half_of_its_peers_gives_up(self):
        ownership = self._owner(2.5, 0.1, 0.1, 3.0, 3.0)
        self._assert_gives_up(ownership)

    def test_owner_that_hears_most_peers_gives_up_after_the_longest_time(self):
        ownership = self._owner(8.1, 0.1, 0.1, 0.1, 8.1)
        self._assert_gives_up(ownership)

    def test_owner_that_hears_all_peers_goes_on(self):
        ownership = self._owner(60.0, 0.1, 0.1, 0.1)
        self.engine._check_authority()
        self.assertEqual(TOKEN, ownership.token)

    def test_owner_on_a_machine_that_was_suspended_gives_up(self):
        """The steady clock stood still, so all heartbeats seem recent."""
        ownership = self._owner(0.1, 0.1, 0.1, 0.1)
        wake_at = clocks.since_boot_s() + 10.0
        self.patch(time, "clock_gettime", lambda clock: wake_at)
        self._assert_gives_up(ownership)

    def _receive(self, *owner_sent_s):
        """Receives heartbeats that peers sent when they still knew no other.

        By the age of the owner's heartbeat that each of them answers.
        """
        self.engine.peering.send = lambda name, message: None
        for number, age_s in enumerate(owner_sent_s):
            name = f"d{number}"
            sent_at = clocks.since_boot_s() - age_s
            beat = messages.Beat(
                name, "b", f"ws://{name}", True, True, 0, TOKEN, 0.0
            )
            self.engine.peering._receive_safely(
                name, dataclasses.replace(beat, owner_sent_at=sent_at)
            )

    def test_heartbeats_that_lay_unread_while_it_stood_still_do_not_count(self):
        ownership = self._owner(9.0, 9.5, 9.5, 9.5)
        self._receive(9.2, 9.2, 9.2)
        self._assert_gives_up(ownership)

    def test_heartbeats_that_lay_unread_prove_no_ownership_until_now(self):
        self._owner(9.0, 9.5, 9.5)
        self._receive(8.7, 8.8)
        self.engine._post_proof()
        proof = self._posted()[-1]
        self.assertAlmostEqual(8.8, proof.now - proof.proven_at, delta=0.05)

    def test_owner_whose_heartbeats_are_answered_goes_on(self):
        ownership = self._owner(9.0, 9.5, 9.5, 9.5)
        self._receive(1.2, 1.2, 1.2)
        self.engine._check_authority()
        self.assertEqual(TOKEN, ownership.token)

    def test_peers_answer_with_the_time_of_the_owners_latest_heartbeat(self):
        ownership = self.engine.ownership
        self.engine.peering.send = lambda name, message: None
        for token, sent_at in (
            (5, 40.0),
            (TOKEN, 7.0),
            (TOKEN, 6.0),
            (5, 50.0),
        ):
            beat = messages.Beat(
                "d0", "b", "ws://d", True, True, token, token, 0
            )
            ownership.handle_heartbeat(
                dataclasses.replace(beat, sent_at=sent_at)
            )
        answer = self.engine._heartbeat()
        self.assertEqual(
            (TOKEN, 7.0), (answer.owner_token, answer.owner_sent_at)
        )

    def test_ownership_is_proven_by_the_store_or_by_all_peers(self):
        ownership = self._owner(3.0, 0.1, 0.1)
        self.engine._post_proof()
        (proof,) = self._posted()
        self.assertEqual(ownership.token, proof.token)
        self.assertAlmostEqual(0.1, proof.now - proof.proven_at, delta=0.05)
        self.engine.peering.peers["d1"].owner_token = TOKEN + 1
        self.engine._post_proof()
        (proof,) = self._posted()
        self.assertAlmostEqual(3.0, proof.now - proof.proven_at, delta=0.05)

    def test_authority_is_checked_before_events_that_came_meanwhile(self):
        ownership = self._owner(8.1, 8.1)
        tokens = []
        self.engine._handle = lambda event: tokens.append(ownership.token)
        self.engine.post(events.Tick(time.monotonic(), time.time()))
        self.engine._handle_next()
        self.assertEqual([0], tokens)

    def test_owner_that_gave_up_sends_no_orders_of_events_that_came_before(
        self,
    ):
        ownership = self._owner(8.1, 8.1)
        hold = effects.Hold("w1", "10.0.0.1:80", TOKEN, 0, 4_000, 0, 0)
        self.patch(reducer, "reduce", lambda st, event, out: out.append(hold))
        given = []
        self.engine.links.give = given.append
        for _ in range(3):
            self.engine.post(events.Tick(time.monotonic(), time.time()))
            self.engine._handle_next()
        self.assertEqual(0, ownership.token)
        self.assertEqual([], given)


class SuccessorTest(_EngineTest):
    """What a new owner learns about its claim."""

    def test_a_majority_that_knows_of_the_claim_is_posted_once(self):
        self._use_store(FakeStore())
        self._add_peers(0.1, 0.1, 0.1, 0.1)
        self.engine.peering.send = lambda name, message: None
        self.engine.ownership.token = TOKEN
        self.engine.ownership.view.revision = TOKEN
        for name, token in (("d0", TOKEN), ("d1", 5), ("d2", TOKEN)):
            self.assertEqual([], self._posted())
            beat = messages.Beat(name, "b", "ws://d", True, True, 0, token, 0.0)
            self.engine._handle_message(name, beat)
        (informed,) = self._posted()
        self.assertIsInstance(informed, events.DaemonsInformed)
        self.assertEqual(TOKEN, informed.token)
