"""When a daemon claims ownership and how a claim without answer ends."""

import time

import result
import testtools

from mimosaridge_core.jobs import election
from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import owning
from mimosaridge_platform import storecalls

LOST = result.Err(clients.Failure("no answer", is_sent=True))


class FakeStore:
    """Answers calls from a list, and keeps the requests."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.answering_since = 0.0
        self.requests = []

    def call(self, request):
        self.requests.append(request)
        return self.answers.pop(0)


def _owning(*answers, fitter=False):
    claimed, lost = [], []
    made = owning.Owning(
        "a",
        "boot-a",
        FakeStore(*answers),
        lambda token, gone: claimed.append((token, gone)),
        lambda token, reason: lost.append(token),
        lambda heard: fitter,
    )
    return made, claimed, lost


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


def _beat(name, token=0, owner_token=0, age=0.0, reaches=True, boot="b"):
    return messages.Beat(
        name, boot, "ws://x", True, reaches, token, owner_token, age
    )


class ElectionTest(testtools.TestCase):
    """Who should try."""

    def test_no_one_claims_before_the_key_was_read(self):
        view = election.OwnerView()
        self.assertFalse(election.should_claim(view, "a", "x", 100.0))

    def test_a_free_key_is_claimed(self):
        view = election.OwnerView(is_known=True)
        self.assertTrue(election.should_claim(view, "a", "x", 100.0))

    def test_an_owner_that_is_heard_stays(self):
        view = election.OwnerView(True, 5, "b", "x", last_contact_at=99.5)
        self.assertFalse(election.should_claim(view, "a", "x", 100.0))

    def test_an_owner_heard_by_a_peer_stays(self):
        view = election.OwnerView(
            True, 5, "b", "x", 90.0, last_peer_contact_at=99.5
        )
        self.assertFalse(election.should_claim(view, "a", "x", 100.0))

    def test_a_silent_owner_is_replaced(self):
        view = election.OwnerView(True, 5, "b", "x", last_contact_at=98.0)
        self.assertTrue(election.should_claim(view, "a", "x", 100.0))

    def test_an_owner_without_any_store_is_replaced(self):
        view = election.OwnerView(True, 5, "b", "x", 99.9, storeless_since=97.0)
        self.assertTrue(election.should_claim(view, "a", "x", 100.0))

    def test_an_owner_without_store_is_kept_just_after_an_outage_of_all(self):
        view = election.OwnerView(True, 5, "b", "x", 99.9, storeless_since=95.0)
        self.assertFalse(election.should_claim(view, "a", "x", 100.0, 99.5))
        self.assertTrue(election.should_claim(view, "a", "x", 102.0, 99.5))

    def test_a_former_process_of_this_machine_is_replaced_at_once(self):
        view = election.OwnerView(True, 5, "a", "old", last_contact_at=100.0)
        self.assertTrue(election.should_claim(view, "a", "new", 100.0))


class OwningTest(testtools.TestCase):
    """Claims through the store."""

    def test_a_claim_expects_the_revision_that_was_read(self):
        made, claimed, _ = _owning(result.Ok((200, b'{"revision":9}')))
        made.read(_item("b", "boot-b", 5))
        made.hear_refused("b")
        made._claim()
        self.assertEqual([(9, True)], claimed)
        self.assertIn(b'"revision":5', made.store.requests[0].body)

    def test_a_claim_without_answer_that_was_made_counts(self):
        own = _item("a", "boot-a", 12)
        made, claimed, _ = _owning(LOST, result.Ok((200, _encoded(own))))
        made.read(None)
        made._claim()
        self.assertEqual([(12, False)], claimed)

    def test_a_claim_without_answer_that_another_won_does_not(self):
        other = _item("b", "boot-b", 12)
        made, claimed, _ = _owning(LOST, result.Ok((200, _encoded(other))))
        made.read(None)
        made._claim()
        self.assertEqual([], claimed)
        self.assertEqual("b", made.view.owner)

    def test_a_claim_whose_answer_cannot_be_read_is_no_claim(self):
        broken = result.Ok((200, b"oops"))
        made, claimed, _ = _owning(broken, broken)
        made.read(None)
        made.try_to_claim()
        self.assertEqual([], claimed)

    def test_a_newer_key_displaces(self):
        made, _, lost = _owning(result.Ok((200, b'{"revision":9}')))
        made.read(None)
        made._claim()
        made.read(_item("b", "boot-b", 10))
        self.assertEqual([9], lost)
        self.assertEqual(0, made.token)

    def test_a_peer_that_knows_a_newer_owner_displaces(self):
        made, _, lost = _owning(result.Ok((200, b'{"revision":9}')))
        made.read(None)
        made._claim()
        made.hear(_beat("c", owner_token=10))
        self.assertEqual([9], lost)

    def test_an_old_writes_conflict_does_not_end_a_newer_claim(self):
        made, _, lost = _owning(result.Ok((200, b'{"revision":9}')))
        made.read(None)
        made._claim()
        made.resign(5, "an old write")
        self.assertEqual([], lost)
        self.assertEqual(9, made.token)

    def test_beats_keep_the_owner_and_a_new_process_ends_it(self):
        made, _, _ = _owning()
        made.read(_item("b", "boot-b", 5))
        made.view.last_contact_at = 0.0
        made.hear(_beat("b", token=5, boot="boot-b"))
        self.assertLess(time.monotonic() - made.view.last_contact_at, 1.0)
        made.hear(_beat("b", boot="boot-b2"))
        self.assertTrue(made.view.is_gone)


class FitnessTest(testtools.TestCase):
    """Owners on machines that can hold them."""

    def _owner(self, fitter):
        made, _, lost = _owning(
            result.Ok((200, b'{"revision":9}')), fitter=fitter
        )
        made.read(None)
        made._claim()
        made.view.last_contact_at -= election.YIELD_AFTER_S + 1
        return made, lost

    def test_a_machine_that_is_hardly_stronger_is_not_fitter(self):
        self.assertFalse(election.is_preferred_owner(1.1, 1.0))
        self.assertTrue(election.is_preferred_owner(2.15, 0.516))

    def test_an_owner_yields_to_a_fitter_daemon(self):
        made, _ = self._owner(fitter=True)
        self.assertTrue(made.should_yield())

    def test_an_owner_that_no_one_is_fitter_than_stays(self):
        made, _ = self._owner(fitter=False)
        self.assertFalse(made.should_yield())

    def test_who_yielded_claims_again_if_no_one_else_does(self):
        made, lost = self._owner(fitter=True)
        made.give_up(9, "a fitter daemon is heard")
        self.assertEqual([9], lost)
        self.assertTrue(made._should_claim())

    def test_who_yielded_in_vain_yields_later(self):
        made, _ = self._owner(fitter=True)
        made.give_up(9, "a fitter daemon is heard")
        made._take(11)
        made.view.last_contact_at -= election.YIELD_AFTER_S + 1
        self.assertFalse(made.should_yield())
