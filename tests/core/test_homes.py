"""A home's word: recorded first, from the right owner, whole, and kept."""

import copy
import itertools
import random

import testtools

from mimosaridge_core import buckets
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import ledgers
from mimosaridge_core import messages
from mimosaridge_core import outcomes
from mimosaridge_core import reducer
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import tunables
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


class Tapped(deployments.Deployment):
    """A deployment that keeps every peer message."""

    def _send(self, name, effect):
        self.sent = [*getattr(self, "sent", ()), (name, copy.deepcopy(effect))]
        super()._send(name, effect)

    def of(self, kind):
        """Returns the messages of a type with sender and receiver."""
        return [
            (name, effect.daemon, effect.message)
            for name, effect in self.sent
            if isinstance(effect.message, kind)
        ]


def _deployment(hosts=None, **options) -> Tapped:
    config = deployments.team_config(
        [configuration.Team("a", "north"), configuration.Team("b", "south")]
    )
    made = Tapped(hosts or fleets.small(), config, **options)
    assert made.run_until(made.ready, 10.0)
    return made


def _home(made, work_id) -> str:
    return next(
        name
        for name, daemon in made.daemons.items()
        if work_id in daemon.works and daemon.works[work_id].recorded
    )


def _starts(made, work_id) -> int:
    return sum(
        task_id.startswith(work_id)
        for worker in made.workers.values()
        for _, task_id, _ in worker.starts
    )


def _settled(out) -> list:
    return [
        effect
        for effect in out
        if isinstance(getattr(effect, "message", None), messages.WorkSettled)
    ]


class RefusalTest(testtools.TestCase):
    """NOT_RUN is told once the ledger says so, and stays true."""

    def test_a_displaced_home_refuses_nothing(self):
        made = _deployment()
        work_id, _ = made.submit("d0", "a", idempotent=False)
        made.run(1.0)
        home = _home(made, work_id)
        for other in (*made.daemons, "store"):
            if other != home:
                made.cut(home, other)
        made.run(12.0)
        held = made.daemons[home]
        self.assertIn(held.works[work_id].home, held.buckets)
        late = messages.ForwardWork(
            copy.deepcopy(held.works[work_id].entry.work)
        )
        late.work.work_id = self._other_id(held, work_id)
        late.work.start_before = made.now - 1.0
        event = events.PeerMessage(made.now, "d9", late)
        self.assertEqual([], _settled(reducer.reduce(held, event)))

    def _other_id(self, held, work_id):
        """Returns an unused id of a bucket that a daemon holds."""
        wanted = held.works[work_id].home
        rng = random.Random(1)
        while True:
            other = deployments.make_id(held.now, rng)
            if buckets.bucket_of(held, other) == wanted:
                return other

    def test_a_late_duplicate_of_refused_work_does_not_run(self):
        made = _deployment()
        work_id, handle = made.submit("d0", "a", idempotent=False, within_s=-1)
        made.run(2.0)
        reply = made.replies[("d0", handle)]
        self.assertEqual(codes.Code.DEADLINE_PASSED, reply.code)
        for name in made.daemons:
            made.submit(name, "a", work_id=work_id, idempotent=False)
        made.run(3.0)
        self.assertEqual(0, _starts(made, work_id))

    def test_a_replaced_owner_cannot_deny_a_run(self):
        made = _deployment()
        made.run_s = lambda task: None
        work_id, handle = made.submit("d0", "a", idempotent=False)
        made.run(2.0)
        home = _home(made, work_id)
        _, _, update = made.of(messages.TaskUpdate)[0]
        denial = copy.deepcopy(update)
        denial.epoch -= 1
        denial.phase = works.Phase.NOT_RUN
        denial.outcome = works.Outcome(codes.Code.DEADLINE_PASSED)
        made.post(home, events.PeerMessage(made.now, "d9", denial))
        made.run(5.0)
        self.assertEqual(1, _starts(made, work_id))
        self.assertNotIn(("d0", handle), made.replies)

    def test_a_full_ledger_refuses_a_job_that_would_not_fit(self):
        made = _deployment()
        _, handle = made.submit("d0", "a", kind=works.Kind.BATCH, count=10_000)
        made.run(2.0)
        self.assertEqual(
            codes.Code.OVERLOADED, made.replies[("d0", handle)].code
        )


class LateMessageTest(testtools.TestCase):
    """Messages that come after what they ask for is over."""

    def test_a_late_placement_does_not_start_an_ended_attempt_again(self):
        made = _deployment()
        work_id, _ = made.submit("d0", "a", idempotent=False)
        made.run(3.0)
        sender, owner, place = made.of(messages.PlaceTask)[0]
        made.post(owner, events.PeerMessage(made.now, sender, place))
        made.run(3.0)
        self.assertEqual(1, _starts(made, work_id))

    def test_a_late_placement_does_not_start_it_at_the_next_owner(self):
        made = _deployment()
        work_id, _ = made.submit("d0", "a", idempotent=False, within_s=60.0)
        made.run(3.0)
        _, owner, place = made.of(messages.PlaceTask)[0]
        made.kill(owner)
        made.run(15.0)
        for name in made.daemons:
            event = events.PeerMessage(made.now, "d9", copy.deepcopy(place))
            made.post(name, event)
        made.run(3.0)
        self.assertEqual(1, _starts(made, work_id))

    def test_an_idempotent_request_runs_again_for_another_daemon(self):
        made = _deployment(hosts=fleets.small(zones=1, per_zone=1))
        work_id, _ = made.submit("d0", "a", idempotent=True)
        made.run(2.0)
        _, handle = made.submit("d1", "a", work_id=work_id, idempotent=True)
        made.run(3.0)
        reply = made.replies[("d1", handle)]
        self.assertEqual(codes.Code.OK, reply.code)

    def test_a_new_owner_is_asked_once_the_ledger_names_it(self):
        made = _deployment()
        made.run_s = lambda task: None
        work_id, _ = made.submit("d0", "a", idempotent=False)
        made.run(2.0)
        home = made.daemons[_home(made, work_id)]
        assignment = home.works[work_id].entry.assignments[0]
        newer = assignment.epoch + 1000
        made.store.down = True
        home.known_owners[assignment.shard] = state.KnownOwner("d9", newer)
        made.run(3.0)
        asked = [item[2].epoch for item in made.of(messages.PlaceTask)]
        self.assertNotIn(newer, asked)
        made.store.down = False
        home.known_owners[assignment.shard] = state.KnownOwner("d9", newer)
        made.run(3.0)
        asked = [item[2].epoch for item in made.of(messages.PlaceTask)]
        self.assertIn(newer, asked)

    def test_a_store_answer_of_an_earlier_tenure_confirms_nothing(self):
        made = _deployment()
        work_id, _ = made.submit("d0", "a", idempotent=False)
        made.run(2.0)
        home = made.daemons[_home(made, work_id)]
        name = home.works[work_id].home
        work = copy.deepcopy(home.works[work_id].entry.work)
        ledgers.unload(home, name, [])
        empty = state.Bucket(name, 1, loaded=True)
        home.buckets[name] = empty
        event = events.PeerMessage(made.now, "d9", messages.ForwardWork(work))
        first = _writes(reducer.reduce(home, event))
        ledgers.unload(home, name, [])
        home.buckets[name] = state.Bucket(name, 2, loaded=True)
        reducer.reduce(home, event)
        answer = events.StoreAnswered(made.now, first[0].op_id, "ok", None, 7)
        out = reducer.reduce(home, answer)
        self.assertEqual(1, len(first))
        self.assertEqual(
            [], [e for e in out if isinstance(e, effects.SendPeer)]
        )


def _writes(out) -> list:
    return [item for item in out if isinstance(item, effects.StoreWrite)]


class KeptTest(testtools.TestCase):
    """What a home keeps, for whom, and for how long."""

    def test_work_that_waits_for_room_is_accepted_once_it_is_recorded(self):
        made = _deployment()
        for daemon in made.daemons.values():
            daemon.config.zones_out = dict.fromkeys(("z0", "z1", "z2"))
        _, handle = made.submit("d0", "a", kind=works.Kind.BATCH)
        made.run(2.0)
        self.assertEqual(codes.Code.ACCEPTED, made.replies[("d0", handle)].code)

    def test_work_of_another_team_is_not_joined(self):
        made = _deployment()
        work_id, _ = made.submit("d0", "a", idempotent=False)
        made.run(2.0)
        handles = [
            (name, made.submit(name, "b", work_id=work_id, idempotent=False)[1])
            for name in made.daemons
        ]
        made.run(2.0)
        for call in handles:
            reply = made.replies[call]
            self.assertEqual(codes.Code.ID_TAKEN, reply.code)
            self.assertEqual(b"", reply.payload.answer)

    def test_a_large_answer_is_whole_at_first_and_owned_up_to_later(self):
        tuning = tunables.Tunables(answer_retention_s=5.0)
        made = _deployment(tuning=tuning)
        whole = b"x" * 100_000
        for worker in made.workers.values():
            worker.end = _large(worker, whole)
        work_id, first = made.submit("d0", "a", idempotent=False)
        made.run(2.0)
        _, second = made.submit("d1", "a", work_id=work_id, idempotent=False)
        made.run(6.0)
        _, third = made.submit("d2", "a", work_id=work_id, idempotent=False)
        made.run(2.0)
        self.assertEqual(whole, made.replies[("d0", first)].payload.answer)
        self.assertEqual(whole, made.replies[("d1", second)].payload.answer)
        self.assertEqual(
            codes.Code.ANSWER_NOT_KEPT, made.replies[("d2", third)].code
        )

    def test_an_id_is_refused_before_its_outcome_is_forgotten(self):
        tuning = tunables.Tunables(retention_s=20.0)
        made = _deployment(tuning=tuning)
        work_id, _ = made.submit("d0", "a", idempotent=False)
        for number in range(40):
            made.run(1.0)
            name = f"d{number % 3}"
            made.submit(name, "a", work_id=work_id, idempotent=False)
        self.assertEqual(1, _starts(made, work_id))
        kept = [d for d in made.daemons.values() if work_id in d.works]
        self.assertEqual([], kept)

    def test_a_clock_that_lags_forgets_no_outcome_too_early(self):
        tuning = tunables.Tunables(retention_s=5.0, archive_interval_s=0.1)
        made = _deployment(tuning=tuning)
        made.clock_skews_s = dict.fromkeys(made.daemons, -0.9)
        made.run(2.0)
        work_id, _ = made.submit("d0", "a", idempotent=False, within_s=1.0)
        for number in range(150):
            made.run(0.1)
            name = f"d{number % 3}"
            made.submit(name, "a", work_id=work_id, idempotent=False)
        self.assertEqual(1, _starts(made, work_id))

    def test_an_end_that_no_home_took_outlives_the_retention(self):
        tuning = tunables.Tunables(retention_s=20.0)
        made = _deployment(tuning=tuning)
        made.run_s = lambda task: 0.5
        calls = {}
        for _ in range(22):
            work_id, handle = made.submit("d0", "a", idempotent=False)
            calls[("d0", handle)] = work_id
        made.run(0.3)
        for one, other in itertools.combinations(made.daemons, 2):
            made.cut(one, other)
        made.run(60.0)
        made.heal()
        made.run(30.0)
        for call, work_id in calls.items():
            self.assertEqual(1, _starts(made, work_id))
            self.assertFalse(codes.is_not_run(made.replies[call].code))

    def test_a_job_that_ran_in_part_is_not_told_to_be_not_run(self):
        ended = [codes.Code.CANCELLED, codes.Code.OK]
        assignments = [
            documents.Assignment(1, "s", works.Outcome(code)) for code in ended
        ]
        work = state.HomeWork(
            documents.Entry(None, assignments),
            "bucket-00",
            [state.TaskState() for _ in ended],
        )
        whole = outcomes.combine_outcomes(work, works.Outcome(ended[-1]))
        self.assertEqual(codes.Code.TASK_FAILED, whole.code)

    def test_a_job_that_is_cancelled_while_it_runs_has_run(self):
        made = _deployment()
        made.run_s = lambda task: None
        work_id, _ = made.submit(
            "d0", "a", kind=works.Kind.BATCH, count=40, within_s=500.0
        )
        made.run(3.0)
        made.cancel("d0", "a", work_id)
        made.run(10.0)
        self.assertGreater(_starts(made, work_id), 0)
        entry = made.daemons[_home(made, work_id)].works[work_id].entry
        self.assertEqual(codes.Code.TASK_FAILED, entry.outcome.code)

    def test_a_wave_of_cancellations_ends_all_that_waits(self):
        made = _deployment()
        made.run_s = lambda task: None
        needs = resources.Resources(cpu_millis=4000, slots=1)
        work_ids = [
            made.submit(
                f"d{number % 3}",
                "a",
                kind=works.Kind.BATCH,
                count=10,
                needs=needs,
                within_s=500.0,
            )[0]
            for number in range(300)
        ]
        made.run(3.0)
        for work_id in work_ids:
            made.cancel("d0", "a", work_id)
        made.run(10.0)
        open_works = [
            work
            for daemon in made.daemons.values()
            for work in daemon.works.values()
            if work.entry.outcome is None
        ]
        self.assertEqual([], open_works)


def _large(worker, whole):
    original = type(worker).end

    def end(key, ok, detail=""):
        original(worker, key, ok, detail)
        worker.runs[key].answer = whole
        return worker.report(key)

    return end
