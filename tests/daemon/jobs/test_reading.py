"""Tests of events from lists and changes of the store."""

import dataclasses

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import reducer
from mimosaridge_core.jobs import state
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import owning
from mimosaridge_daemon.jobs import reading
from mimosaridge_platform import storecalls

JOB = model.Job(
    "0" * 16,
    "q",
    "registry",
    "a",
    "text",
    (model.Step(2, resources.Resources(100, 10, 0)),),
    5.0,
)


class FakeRecorder:
    """Records the revision of the fleet."""

    fleet_revision = 0

    def update_fleet_revision(self, revision):
        self.fleet_revision = max(self.fleet_revision, revision)


class FakePeers:
    """Records the daemons that are added and removed."""

    def __init__(self):
        self.added = {}

    def add(self, name, url, cores=0.0, zone=""):
        self.added[name] = url

    def remove(self, name):
        self.added.pop(name, None)


def _reader():
    posted = []
    ownership = owning.Ownership(
        "a",
        "boot",
        None,
        lambda *args: None,
        lambda *args: None,
        lambda live_only: False,
    )
    peers = FakePeers()
    reader = reading.Reader(posted.append, ownership, peers, FakeRecorder())
    return reader, posted, peers


def _item(key, value, revision):
    return storecalls.Item(key, documents.encode(value), revision)


class ReaderTest(testtools.TestCase):
    """Lists and changes."""

    def test_list_has_jobs_progress_and_cancellations(self):
        reader, posted, peers = _reader()
        progress = model.Progress(model.JobState.RUNNING)
        daemon = documents.Daemon("b", "boot-b", "ws://b")
        items = (
            _item(documents.JOBS + JOB.job_id, JOB, 4),
            _item(documents.PROGRESS + JOB.job_id, progress, 6),
            storecalls.Item(documents.CANCELS + JOB.job_id, b"{}", 7),
            _item(documents.DAEMONS + "b", daemon, 3),
        )
        reader.load_state(storecalls.Page(items, False, 9))
        listed = posted[-1]
        self.assertEqual(9, listed.revision)
        self.assertEqual({JOB.job_id: (JOB, 4)}, listed.jobs)
        self.assertEqual({JOB.job_id: (progress, 6)}, listed.progress)
        self.assertEqual({JOB.job_id: 7}, listed.cancelled)
        self.assertEqual({"b": "ws://b"}, peers.added)
        self.assertTrue(reader.has_job_table)

    def test_list_with_unreadable_rows_removes_no_unfinished_job(self):
        other = dataclasses.replace(JOB, job_id="1" * 16)
        odd = storecalls.Item(documents.JOBS + other.job_id, b"oops", 5)
        good = _item(documents.JOBS + JOB.job_id, JOB, 4)
        both = {JOB.job_id, other.job_id}
        for page, expected in (
            (storecalls.Page((good,), False, 9), {JOB.job_id}),
            (storecalls.Page((good, odd), False, 9), both),
            (storecalls.Page((good,), False, 9, malformed=1), both),
        ):
            reader, posted, _ = _reader()
            reader.load_state(page)
            st = state.State()
            reducer.reduce(st, events.JobAccepted(1.0, other, 5), [])
            reducer.reduce(st, posted[-1], [])
            self.assertEqual(expected, set(st.table))

    def test_registration_of_an_earlier_process_does_not_end_its_successor(
        self,
    ):
        reader, _, _ = _reader()
        claim = owning.Claim("b", "boot-b2", 1)
        earlier = documents.Daemon("b", "boot-b1", "ws://b", 1.0, "zone-a")
        reader.apply_state_change(_item(documents.OWNER, claim, 9))
        reader.apply_state_change(_item(documents.DAEMONS + "b", earlier, 3))
        self.assertEqual("boot-b2", reader.ownership.view.boot)
        self.assertFalse(reader.ownership.view.is_gone)

    def test_removal_of_an_earlier_job_with_its_id_removes_no_job(self):
        for revision, expected in ((4, {JOB.job_id}), (6, set())):
            reader, posted, _ = _reader()
            key = documents.JOBS + JOB.job_id
            reader.apply_state_change(storecalls.Item(key, None, revision))
            st = state.State()
            reducer.reduce(st, events.JobAccepted(1.0, JOB, 5), [])
            reducer.reduce(st, posted[-1], [])
            self.assertEqual(expected, set(st.table))

    def test_list_names_the_jobs_that_cannot_be_read(self):
        reader, posted, _ = _reader()
        items = (
            storecalls.Item(documents.JOBS + "j1", b"oops", 4),
            storecalls.Item(documents.PROGRESS + "j2", b"", 5),
            storecalls.Item(documents.FLEET, b"oops", 6),
        )
        reader.load_state(storecalls.Page(items, False, 9, malformed=1))
        (listed,) = posted
        self.assertEqual(frozenset({"j1"}), listed.unreadable_jobs)
        self.assertEqual(frozenset({"j2"}), listed.unreadable_progress)
        self.assertFalse(listed.is_complete)
        self.assertFalse(reader.is_fleet_readable)
        reader.load_state(storecalls.Page((), False, 10))
        self.assertTrue(posted[-1].is_complete)

    def test_older_fleet_is_ignored(self):
        reader, _, _ = _reader()
        reader.apply_state_change(
            _item(documents.FLEET, model.Fleet(("w2",)), 9)
        )
        reader.apply_state_change(
            _item(documents.FLEET, model.Fleet(("w1",)), 5)
        )
        self.assertEqual(("w2",), reader.fleet.workers)
        self.assertEqual(9, reader.recorder.fleet_revision)

    def test_owner_does_not_decode_progress_that_it_wrote(self):
        reader, posted, _ = _reader()
        reader.ownership.token = 7
        progress = model.Progress(model.JobState.RUNNING)
        key = documents.PROGRESS + JOB.job_id
        reader.apply_state_change(_item(key, progress, 8))
        self.assertEqual([], posted)

    def test_malformed_item_is_ignored(self):
        reader, posted, _ = _reader()
        item = storecalls.Item(documents.JOBS + JOB.job_id, b"oops", 4)
        reader.apply_state_change(item)
        self.assertEqual([], posted)

    def test_malformed_entry_means_worker_is_gone(self):
        reader, posted, _ = _reader()
        reader.apply_worker_change(storecalls.Item("servers/w1", b"\xff", 4))
        self.assertIsInstance(posted[0], events.WorkerChanged)
        self.assertIsNone(posted[0].entry)

    def test_zones_are_evacuated_and_restored(self):
        reader, posted, _ = _reader()
        reader.apply_operator_change(storecalls.Item("op/evacuate/z", b"{}", 4))
        self.assertEqual(frozenset({"z"}), posted[-1].zones)
        reader.apply_operator_change(storecalls.Item("op/evacuate/z", None, 5))
        self.assertEqual(frozenset(), posted[-1].zones)
