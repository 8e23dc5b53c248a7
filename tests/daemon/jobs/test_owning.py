"""Tests of claims of ownership, of their loss and of yielding."""

import time

import result
import testtools

from mimosaridge_core.jobs import election
from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import owning
from mimosaridge_platform import storecalls

NO_ANSWER = result.Err(clients.Failure("no answer", is_sent=True))


class FakeStore:
    """Returns listed answers and records the requests."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.answering_since = 0.0
        self.requests = []

    def call(self, request):
        self.requests.append(request)
        return self.answers.pop(0)


def _owning(*answers, has_preferred=False):
    claimed, lost = [], []
    ownership = owning.Ownership(
        "a",
        "boot-a",
        FakeStore(*answers),
        lambda token, is_former_gone: claimed.append((token, is_former_gone)),
        lambda token, reason: lost.append(token),
        lambda live_only: has_preferred,
    )
    return ownership, claimed, lost


def _item(name, boot, revision, number=1):
    value = documents.encode(owning.Claim(name, boot, number))
    return storecalls.Item(documents.OWNER, value, revision)


def _encoded(item):
    import base64
    import json

    return json.dumps(
        {
            "key": item.key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
        }
    ).encode()


def _heartbeat(
    name, token=0, owner_token=0, owner_age_s=0.0, reaches_store=True, boot="b"
):
    return messages.Beat(
        name,
        boot,
        "ws://x",
        True,
        reaches_store,
        token,
        owner_token,
        owner_age_s,
    )


class ElectionTest(testtools.TestCase):
    """When a daemon should claim ownership."""

    def test_no_claim_before_key_is_read(self):
        view = election.OwnerView()
        self.assertFalse(election.should_claim(view, "a", "x", 100.0))

    def test_absent_key_is_claimed(self):
        view = election.OwnerView(is_known=True)
        self.assertTrue(election.should_claim(view, "a", "x", 100.0))

    def test_owner_in_contact_stays(self):
        view = election.OwnerView(True, 5, "b", "x", last_contact_at=99.5)
        self.assertFalse(election.should_claim(view, "a", "x", 100.0))

    def test_owner_in_contact_with_peer_stays(self):
        view = election.OwnerView(
            True, 5, "b", "x", 90.0, last_peer_contact_at=99.5
        )
        self.assertFalse(election.should_claim(view, "a", "x", 100.0))

    def test_silent_owner_is_replaced(self):
        view = election.OwnerView(True, 5, "b", "x", last_contact_at=98.0)
        self.assertTrue(election.should_claim(view, "a", "x", 100.0))

    def test_owner_without_store_is_replaced(self):
        view = election.OwnerView(True, 5, "b", "x", 99.9, storeless_since=97.0)
        self.assertTrue(election.should_claim(view, "a", "x", 100.0))

    def test_owner_without_store_stays_right_after_common_outage(self):
        view = election.OwnerView(True, 5, "b", "x", 99.9, storeless_since=95.0)
        self.assertFalse(election.should_claim(view, "a", "x", 100.0, 99.5))
        self.assertTrue(election.should_claim(view, "a", "x", 102.0, 99.5))

    def test_former_process_of_same_machine_is_replaced_immediately(self):
        view = election.OwnerView(True, 5, "a", "old", last_contact_at=100.0)
        self.assertTrue(election.should_claim(view, "a", "new", 100.0))


class OwningTest(testtools.TestCase):
    """Claims through the store."""

    def test_claim_is_conditional_on_read_revision(self):
        ownership, claimed, _ = _owning(result.Ok((200, b'{"revision":9}')))
        ownership.update_view(_item("b", "boot-b", 5))
        ownership.handle_leaving(5)
        ownership._claim()
        self.assertEqual([(9, True)], claimed)
        self.assertIn(b'"revision":5', ownership.store.requests[0].body)

    def test_a_claim_tells_when_the_former_owner_had_claimed(self):
        ownership, _, _ = _owning(result.Ok((200, b'{"revision":9}')))
        before = time.monotonic()
        ownership.update_view(_item("b", "boot-b", 5))
        after = time.monotonic()
        ownership.handle_leaving(5)
        ownership._claim()
        self.assertTrue(before <= ownership.former_claimed_at <= after)

    def test_claim_without_answer_that_won_is_detected(self):
        own = _item("a", "boot-a", 12)
        ownership, claimed, _ = _owning(
            NO_ANSWER, result.Ok((200, _encoded(own)))
        )
        ownership.update_view(None)
        ownership._claim()
        self.assertEqual([(12, False)], claimed)

    def test_claim_without_answer_that_lost_is_detected(self):
        other = _item("b", "boot-b", 12)
        ownership, claimed, _ = _owning(
            NO_ANSWER, result.Ok((200, _encoded(other)))
        )
        ownership.update_view(None)
        ownership._claim()
        self.assertEqual([], claimed)
        self.assertEqual("b", ownership.view.owner)

    def test_claim_with_malformed_answer_does_not_win(self):
        malformed = result.Ok((200, b"oops"))
        ownership, claimed, _ = _owning(malformed, malformed)
        ownership.update_view(None)
        ownership.try_to_claim()
        self.assertEqual([], claimed)

    def test_newer_key_ends_ownership(self):
        ownership, _, lost = _owning(result.Ok((200, b'{"revision":9}')))
        ownership.update_view(None)
        ownership._claim()
        ownership.update_view(_item("b", "boot-b", 10))
        self.assertEqual([9], lost)
        self.assertEqual(0, ownership.token)

    def test_heartbeat_with_newer_owner_ends_ownership(self):
        ownership, _, lost = _owning(result.Ok((200, b'{"revision":9}')))
        ownership.update_view(None)
        ownership._claim()
        ownership.handle_heartbeat(_heartbeat("c", owner_token=10))
        self.assertEqual([9], lost)

    def test_conflict_of_old_write_does_not_end_newer_ownership(self):
        ownership, _, lost = _owning(result.Ok((200, b'{"revision":9}')))
        ownership.update_view(None)
        ownership._claim()
        ownership.resign(5, "an old write")
        self.assertEqual([], lost)
        self.assertEqual(9, ownership.token)

    def test_heartbeats_count_as_contact_and_new_boot_id_means_gone(self):
        ownership, _, _ = _owning()
        ownership.update_view(_item("b", "boot-b", 5))
        ownership.view.last_contact_at = 0.0
        ownership.handle_heartbeat(_heartbeat("b", token=5, boot="boot-b"))
        self.assertLess(time.monotonic() - ownership.view.last_contact_at, 1.0)
        later = _heartbeat("b", owner_token=5, boot="boot-b2")
        ownership.handle_heartbeat(later)
        self.assertTrue(ownership.view.is_gone)

    def test_owner_reads_its_claim_and_learns_of_a_newer_one(self):
        ownership, _, lost = _owning(
            result.Ok((200, b'{"revision":9}')),
            result.Ok((200, _encoded(_item("a", "boot-a", 9)))),
            NO_ANSWER,
            result.Ok((200, _encoded(_item("b", "boot-b", 10)))),
        )
        ownership.update_view(None)
        ownership._claim()
        claimed_at = ownership.confirmed_at
        ownership._confirm()
        confirmed_at = ownership.confirmed_at
        self.assertLess(claimed_at, confirmed_at)
        ownership._confirm()
        self.assertEqual(confirmed_at, ownership.confirmed_at)
        ownership._confirm()
        self.assertEqual([9], lost)

    def test_daemons_that_know_of_a_claim_are_a_majority_once(self):
        ownership, _, _ = _owning(result.Ok((200, b'{"revision":9}')))
        ownership.update_view(None)
        ownership._claim()
        peers = ("b", "c", "d", "e", "f")
        self.assertFalse(ownership.record_informed("b", peers))
        self.assertFalse(ownership.record_informed("b", peers))
        self.assertFalse(ownership.record_informed("c", peers))
        self.assertTrue(ownership.record_informed("d", peers))
        self.assertFalse(ownership.record_informed("e", peers))

    def test_owner_becomes_known_by_its_heartbeat(self):
        ownership, _, _ = _owning()
        ownership.update_view(_item("b", "boot-b", 5))
        ownership.handle_heartbeat(_heartbeat("c", 7, 7, boot="boot-c"))
        self.assertEqual(7, ownership.view.revision)
        self.assertEqual("c", ownership.view.owner)
        ownership.update_view(_item("b", "boot-b", 5))
        self.assertEqual("c", ownership.view.owner)

    def test_late_heartbeat_of_an_earlier_process_ends_no_ownership(self):
        ownership, _, _ = _owning()
        ownership.update_view(_item("b", "boot-b2", 5))
        ownership.handle_heartbeat(_heartbeat("b", 3, 3, boot="boot-b1"))
        self.assertFalse(ownership.view.is_gone)
        self.assertFalse(ownership._should_claim())


class UnusedClaimTest(testtools.TestCase):
    """The store has a claim of a process that is not the owner."""

    def _claim_carried_out_late(self, *answers):
        """The first of two claims is stored after its answer was given up."""
        ownership, claimed, _ = _owning(
            NO_ANSWER, NO_ANSWER, result.Ok((200, b'{"revision":9}')), *answers
        )
        ownership.update_view(_item("b", "boot-b", 5))
        ownership.handle_leaving(5)
        ownership._claim()
        ownership.update_view(_item("a", "boot-a", 7))
        return ownership, claimed

    def test_a_claim_carried_out_late_does_not_keep_the_last_daemon_from_owning(
        self,
    ):
        ownership, claimed = self._claim_carried_out_late()
        self.assertTrue(ownership._should_claim())
        ownership.try_to_claim()
        self.assertEqual([(9, True)], claimed)
        self.assertIn(b'"revision":7', ownership.store.requests[-1].body)

    def test_a_conflict_with_an_own_earlier_claim_is_followed_by_another(self):
        earlier = _item("a", "boot-a", 7)
        ownership, claimed, _ = _owning(
            result.Ok((412, b'{"items":[%s]}' % _encoded(earlier))),
            result.Ok((200, b'{"revision":9}')),
        )
        ownership.update_view(_item("b", "boot-b", 5))
        ownership.handle_leaving(5)
        ownership.claim_count = 1
        ownership.try_to_claim()
        self.assertEqual([], claimed)
        self.assertTrue(ownership._should_claim())
        ownership.try_to_claim()
        self.assertEqual([(9, True)], claimed)

    def test_an_owner_that_a_worker_fenced_does_not_wait_for_another_daemon(
        self,
    ):
        ownership, _, lost = _owning(result.Ok((200, b'{"revision":9}')))
        ownership.update_view(None)
        ownership._claim()
        ownership.resign(9, "a worker accepted a newer fencing token")
        self.assertEqual([9], lost)
        self.assertTrue(ownership._should_claim())

    def test_the_owner_before_an_unused_claim_is_waited_for(self):
        ownership, _ = self._claim_carried_out_late()
        seen_at = ownership.view.claimed_at
        ownership.try_to_claim()
        self.assertEqual(seen_at, ownership.former_claimed_at)
        now = time.monotonic()
        until = election.displaced_until(
            now, ownership.former_claimed_at, ownership.is_former_gone
        )
        self.assertEqual(seen_at + election.LONGEST_DISPLACED_S, until)


class RefusedTest(testtools.TestCase):
    """Refused connections to an owner, which a cut of links causes as well."""

    def _refused(self, silent_s, token=5, peer_age_s=None):
        """Daemon b owns; its last heartbeat came `silent_s` ago."""
        ownership, claimed, _ = _owning(result.Ok((200, b'{"revision":9}')))
        ownership.update_view(_item("b", "boot-b", 5))
        ownership.handle_heartbeat(
            _heartbeat("b", token, owner_token=5, boot="boot-b")
        )
        ownership.view.last_contact_at = time.monotonic() - silent_s
        if peer_age_s is not None:
            ownership.handle_heartbeat(
                _heartbeat("c", owner_token=5, owner_age_s=peer_age_s)
            )
        ownership.handle_refused("b")
        return ownership, claimed

    def test_refused_connection_is_no_evidence_of_the_end_of_a_process(self):
        ownership, claimed = self._refused(silent_s=0.7)
        ownership.try_to_claim()
        self.assertEqual([(9, False)], claimed)

    def test_refused_owner_that_fell_silent_is_replaced_sooner(self):
        ownership, _ = self._refused(silent_s=0.7)
        self.assertTrue(ownership._should_claim())

    def test_refused_owner_that_was_just_heard_stays(self):
        ownership, _ = self._refused(silent_s=0.1)
        self.assertFalse(ownership._should_claim())

    def test_refused_owner_that_a_peer_has_just_heard_stays(self):
        ownership, _ = self._refused(silent_s=0.7, peer_age_s=0.1)
        self.assertFalse(ownership._should_claim())

    def test_displaced_owner_that_never_heard_its_successor_claims_no_sooner(
        self,
    ):
        ownership, _ = self._refused(silent_s=0.7, token=0)
        self.assertFalse(ownership._should_claim())

    def test_owner_that_is_heard_again_after_a_refusal_stays(self):
        ownership, _ = self._refused(silent_s=0.7)
        ownership.handle_heartbeat(_heartbeat("b", token=5, boot="boot-b"))
        ownership.view.refused_at -= 0.8
        ownership.view.last_contact_at -= 0.7
        self.assertFalse(ownership._should_claim())


class YieldTest(testtools.TestCase):
    """Owners that yield to daemons on preferred machines."""

    def _owner(self, has_preferred):
        ownership, _, lost = _owning(
            result.Ok((200, b'{"revision":9}')), has_preferred=has_preferred
        )
        ownership.update_view(None)
        ownership._claim()
        ownership.view.last_contact_at -= election.YIELD_AFTER_S + 1
        return ownership, lost

    def test_slightly_larger_machine_is_not_preferred(self):
        self.assertFalse(election.is_preferred_owner(1.1, 1.0))
        self.assertTrue(election.is_preferred_owner(2.15, 0.516))

    def test_owner_yields_to_preferred_daemon(self):
        ownership, _ = self._owner(has_preferred=True)
        self.assertTrue(ownership.should_yield())

    def test_owner_without_preferred_peer_stays(self):
        ownership, _ = self._owner(has_preferred=False)
        self.assertFalse(ownership.should_yield())

    def test_former_owner_claims_again_if_no_other_does(self):
        ownership, lost = self._owner(has_preferred=True)
        ownership.step_down(9, "a daemon on a preferred machine is in contact")
        self.assertEqual([9], lost)
        self.assertTrue(ownership._should_claim())

    def test_owner_yields_later_after_yielding_in_vain(self):
        ownership, _ = self._owner(has_preferred=True)
        ownership.step_down(9, "a daemon on a preferred machine is in contact")
        ownership._become_owner(11)
        ownership.view.last_contact_at -= election.YIELD_AFTER_S + 1
        self.assertFalse(ownership.should_yield())


class ChecksTest(testtools.TestCase):
    """When a daemon checks whether to claim."""

    def _following(self):
        ownership, _, _ = _owning()
        ownership.update_view(_item("b", "boot-b", 5))
        ownership.is_claim_due.clear()
        return ownership

    def test_the_end_of_the_owner_makes_a_check_due_at_once(self):
        for end in (
            lambda ownership: ownership.handle_refused("b"),
            lambda ownership: ownership.handle_leaving(5),
            lambda ownership: ownership.handle_heartbeat(
                _heartbeat("b", owner_token=5, boot="boot-later")
            ),
        ):
            ownership = self._following()
            end(ownership)
            self.assertTrue(ownership.is_claim_due.is_set())

    def test_the_end_of_another_daemon_makes_none_due(self):
        ownership = self._following()
        ownership.handle_refused("c")
        self.assertFalse(ownership.is_claim_due.is_set())

    def test_silence_is_noticed_when_it_has_lasted_long_enough(self):
        view = election.OwnerView(
            is_known=True, revision=5, owner="b", last_contact_at=100.0
        )
        silent_at = election.silent_at(view)
        self.assertFalse(
            election.should_claim(view, "a", "boot-a", silent_at - 0.01)
        )
        self.assertTrue(
            election.should_claim(view, "a", "boot-a", silent_at + 0.01)
        )


class IsolationTest(testtools.TestCase):
    """An owner on the side of a partition that has no store."""

    def _gives_up(self, unproven_s, heard, silent):
        return bool(election.reason_to_give_up(unproven_s, heard, silent))

    def test_an_owner_without_store_and_most_peers_gives_up(self):
        late_s = election.ISOLATION_S + 0.1
        self.assertTrue(self._gives_up(late_s, heard=2, silent=4))
        self.assertFalse(self._gives_up(2.0, heard=2, silent=4))

    def test_an_owner_that_hears_exactly_half_of_its_peers_gives_up(self):
        late_s = election.ISOLATION_S + 0.1
        self.assertTrue(self._gives_up(late_s, heard=3, silent=3))

    def test_an_owner_that_hears_its_peers_goes_on_without_the_store(self):
        self.assertFalse(self._gives_up(60.0, heard=6, silent=0))
        self.assertFalse(self._gives_up(60.0, heard=0, silent=0))
        self.assertFalse(self._gives_up(7.9, heard=5, silent=1))

    def test_an_owner_without_the_store_and_one_peer_gives_up_in_the_end(self):
        self.assertTrue(
            self._gives_up(election.AUTHORITY_S + 0.1, heard=5, silent=1)
        )

    def test_a_displaced_owner_gives_up_before_its_successor_counts_on_it(self):
        check_s = owning.MAX_CHECK_INTERVAL_S
        self.assertLessEqual(
            election.AUTHORITY_S + check_s, election.LONGEST_DISPLACED_S
        )
        for limit_s in (election.ISOLATION_S, election.HEARTBEAT_TIMEOUT_S):
            self.assertLessEqual(
                limit_s + check_s, election.INFORMED_DISPLACED_S
            )

    def test_a_successor_waits_for_the_owner_before_one_that_is_gone(self):
        longest_s = election.LONGEST_DISPLACED_S
        self.assertEqual(
            100.0 + longest_s, election.displaced_until(100.0, 40.0, False)
        )
        self.assertEqual(
            99.0 + longest_s, election.displaced_until(100.0, 99.0, True)
        )
        self.assertEqual(100.0, election.displaced_until(100.0, 40.0, True))

    def test_an_owner_that_gave_up_claims_again(self):
        ownership, _, lost = _owning()
        ownership.update_view(_item("a", "boot-a", 9))
        ownership.token = 9
        self.assertFalse(ownership._should_claim())
        ownership.give_up("isolated")
        self.assertEqual([9], lost)
        self.assertEqual(0, ownership.token)
        self.assertTrue(ownership._should_claim())
