"""One odd entry among those of the workers ends nothing."""

import base64
import dataclasses
import time

import gevent
import oddvalues
import result
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import engine as engines
from mimosaridge_daemon.jobs import following
from mimosaridge_daemon.jobs import owning
from mimosaridge_daemon.jobs import reading
from mimosaridge_platform import daemonsettings
from mimosaridge_platform import storecalls

GOOD = {
    "service": "registry",
    "address": "10.0.0.1:8080",
    "zone": "zone-a",
    "state": "ready",
    "capacity": {"cpu": 4000, "memoryRequestMb": 512, "gpus": 1},
    "born": 5,
}
ODD = {
    "deep nesting": oddvalues.DEEP_JSON,
    "deeply nested field": oddvalues.encode(
        GOOD | {"labels": oddvalues.nested(oddvalues.DEPTH)}
    ),
    "long time": oddvalues.encode(GOOD | {"remainingMs": 10**400}),
    "long number": oddvalues.encode(GOOD | {"remainingMs": 10**5000}),
    "infinite time": oddvalues.encode(GOOD | {"remainingMs": float("inf")}),
    "large capacity": oddvalues.encode(GOOD | {"capacity": {"cpu": 10**400}}),
    "negative capacity": oddvalues.encode(GOOD | {"capacity": {"cpu": -5}}),
    "late start": oddvalues.encode(GOOD | {"born": 10**400}),
    "port 0": oddvalues.encode(GOOD | {"address": "10.0.0.1:0"}),
    "port 99999": oddvalues.encode(GOOD | {"address": "10.0.0.1:99999"}),
    "port x": oddvalues.encode(GOOD | {"address": "10.0.0.1:x"}),
    "no bytes": b"",
    "other bytes": b"\xff\x00",
}
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
TOKEN = 7


def _row(worker_id, value, revision):
    return _item(f"{storecalls.WORKER_PREFIX}{worker_id}", value, revision)


def _item(key, value, revision):
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
    }


def _ok(fields):
    return result.Ok((200, oddvalues.encode(fields)))


def _list(revision, *rows):
    return _ok({"items": list(rows), "hasMore": False, "atRevision": revision})


def _changes(revision, *rows):
    return _ok({"events": list(rows), "atRevision": revision})


class FakeStore:
    """Returns listed answers, then no answer."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.answering_since = 0.0

    def call(self, request, timeout_s=1.0):
        gevent.sleep(0)
        if self.answers:
            return self.answers.pop(0)
        gevent.sleep(0.01)
        return result.Err(clients.Failure("no answer", is_sent=True))


def _wait_for(is_met, timeout_s=2.0):
    """Waits until a condition is met; returns whether it is."""
    deadline = time.monotonic() + timeout_s
    while not is_met() and time.monotonic() < deadline:
        gevent.sleep(0.005)
    return is_met()


class _WorkersTest(testtools.TestCase):
    """Follows the workers with a real follower and reader."""

    def _follow(self, *answers):
        self.posted = []
        ownership = owning.Ownership(
            "a",
            "boot",
            None,
            lambda *args: None,
            lambda *args: None,
            lambda live_only: False,
        )
        reader = reading.Reader(self.posted.append, ownership, None, None)
        follower = following.Follower(
            FakeStore(*answers),
            storecalls.WORKER_PREFIX,
            1000,
            lambda: 0.0,
            reader.load_workers,
            reader.apply_worker_change,
        )
        self.following = gevent.spawn(follower.run)
        self.addCleanup(self.following.kill)

    def _changes_of(self, worker_id):
        return [
            event.entry
            for event in self.posted
            if isinstance(event, events.WorkerChanged)
            and event.worker_id == worker_id
        ]

    def _workers_listed(self):
        return [
            set(event.workers)
            for event in self.posted
            if isinstance(event, events.WorkersListed)
        ]


class OddEntryTest(_WorkersTest):
    def test_workers_are_followed_after_an_odd_entry_in_the_list(self):
        good = oddvalues.encode(GOOD)
        for name, odd in ODD.items():
            with self.subTest(name):
                self._follow(
                    _list(10, _row("odd", odd, 4), _row("w1", good, 5)),
                    _changes(12, _row("w2", good, 12)),
                )
                self.assertTrue(_wait_for(lambda: self._changes_of("w2")))
                self.assertEqual([{"w1"}], self._workers_listed())
                self.assertIsNotNone(self._changes_of("w2")[0])

    def test_workers_are_followed_after_an_odd_entry_among_changes(self):
        good = oddvalues.encode(GOOD)
        for name, odd in ODD.items():
            with self.subTest(name):
                self._follow(
                    _list(10, _row("w1", good, 5)),
                    _changes(13, _row("w1", odd, 12), _row("w2", good, 13)),
                    _changes(14, _row("w1", good, 14)),
                )
                self.assertTrue(
                    _wait_for(lambda: len(self._changes_of("w1")) == 2)
                )
                unreadable, readable = self._changes_of("w1")
                self.assertIsNone(unreadable)
                self.assertIsNotNone(readable)
                self.assertIsNotNone(self._changes_of("w2")[0])

    def test_a_change_without_key_leads_to_a_new_list(self):
        good = oddvalues.encode(GOOD)
        keyless = {"revision": 12}
        self._follow(
            _list(10, _row("w1", good, 5)),
            _changes(13, keyless, _row("w2", good, 13)),
            _list(14, keyless, _row("w2", good, 13)),
        )
        self.assertTrue(_wait_for(lambda: len(self._workers_listed()) == 2))
        self.assertEqual([{"w1"}, {"w2"}], self._workers_listed())
        self.assertIsNotNone(self._changes_of("w2")[0])

    def test_an_entry_whose_value_is_not_base64_names_no_worker(self):
        good = oddvalues.encode(GOOD)
        odd = _row("w1", good, 12) | {"value": "?"}
        self._follow(_list(10, _row("w1", good, 5)), _changes(12, odd))
        self.assertTrue(_wait_for(lambda: self._changes_of("w1")))
        self.assertEqual([None], self._changes_of("w1"))


class OwnershipTest(testtools.TestCase):
    def test_a_new_owner_knows_the_fleet_although_its_row_has_no_key(self):
        engine = self._engine()
        fleet = _item(
            documents.FLEET, documents.encode(model.Fleet(("w1",))), 5
        )
        keyless = {name: fleet[name] for name in ("value", "revision")}
        claim = documents.encode(owning.Claim("front-1", engine.boot, 1))
        owner = _item(documents.OWNER, claim, TOKEN)
        engine.store = engine.state_reading.store = FakeStore(
            _list(9, keyless, owner), _ok(fleet), _list(10)
        )
        gevent.spawn(engine._start_owning, TOKEN, False).join(2.0)
        posted = [engine.inbox.get() for _ in range(engine.inbox.qsize())]
        self.assertEqual(("w1",), posted[-1].fleet.workers)

    def test_a_new_owner_knows_the_progress_although_its_row_has_no_key(self):
        engine = self._engine()
        job_id = "1" * 16
        step = model.Step(1, resources.Resources(1, 1, 0))
        job = model.Job(job_id, "q", "registry", "a", "text", (step,), 0.0)
        row = _item(documents.JOBS + job_id, documents.encode(job), 4)
        progress = model.Progress(steps={"0.0": model.StepProgress(done=[0])})
        stored = _item(
            documents.PROGRESS + job_id, documents.encode(progress), 5
        )
        fleet = _item(documents.FLEET, documents.encode(model.Fleet()), 5)
        keyless = {name: stored[name] for name in ("value", "revision")}
        claim = documents.encode(owning.Claim("front-1", engine.boot, 1))
        owner = _item(documents.OWNER, claim, TOKEN)
        engine.store = engine.state_reading.store = FakeStore(
            _list(9, keyless, fleet, owner, row), _ok(stored), _list(10)
        )
        gevent.spawn(engine._start_owning, TOKEN, False).join(2.0)
        listed = engine.inbox.get()
        self.assertEqual([0], listed.progress[job_id][0].steps["0.0"].done)

    def test_ownership_starts_although_an_entry_is_odd(self):
        engine = self._engine()
        good = oddvalues.encode(GOOD)
        claim = documents.encode(owning.Claim("front-1", engine.boot, 1))
        owner = _item(documents.OWNER, claim, TOKEN)
        for name, odd in ODD.items():
            with self.subTest(name):
                engine.store = engine.state_reading.store = FakeStore(
                    _list(9, owner),
                    _list(10, _row("odd", odd, 4), _row("w1", good, 5)),
                )
                gevent.spawn(engine._start_owning, TOKEN, False).join(2.0)
                posted = [
                    engine.inbox.get() for _ in range(engine.inbox.qsize())
                ]
                self.assertIsInstance(posted[-1], events.OwnershipClaimed)
                self.assertEqual({"w1"}, set(posted[-2].workers))

    def _engine(self):
        settings = dataclasses.replace(
            daemonsettings.decode(SETTINGS), peer_port=0
        )
        engine = engines.Engine(settings, "secret")
        self.addCleanup(engine.peering.links.server.socket.close)
        engine.ownership.token = TOKEN
        return engine
