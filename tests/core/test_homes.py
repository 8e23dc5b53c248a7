"""Outcomes at homes: recorded before they are sent, fenced and retained."""

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


class RecordingDeployment(deployments.Deployment):
    """A deployment that records every peer message."""

    def _send(self, name, effect):
        self.sent = [*getattr(self, "sent", ()), (name, copy.deepcopy(effect))]
        super()._send(name, effect)

    def messages_of_type(self, kind):
        """Returns the sender, receiver and content of messages of a type."""
        return [
            (name, effect.daemon, effect.message)
            for name, effect in self.sent
            if isinstance(effect.message, kind)
        ]


def _deployment(hosts=None, **options) -> RecordingDeployment:
    config = deployments.team_config(
        [configuration.Team("a", "north"), configuration.Team("b", "south")]
    )
    deployment = RecordingDeployment(hosts or fleets.small(), config, **options)
    assert deployment.run_until(deployment.ready, 10.0)
    return deployment


def _home_name(deployment, work_id) -> str:
    return next(
        name
        for name, daemon in deployment.daemons.items()
        if work_id in daemon.works and daemon.works[work_id].recorded
    )


def _count_starts(deployment, work_id) -> int:
    return sum(
        task_id.startswith(work_id)
        for worker in deployment.workers.values()
        for _, task_id, _ in worker.starts
    )


def _settled_messages(produced) -> list:
    return [
        effect
        for effect in produced
        if isinstance(getattr(effect, "message", None), messages.WorkSettled)
    ]


class RefusalTest(testtools.TestCase):
    """Work reported as NOT_RUN is recorded as such first and never runs."""

    def test_an_isolated_home_refuses_nothing(self):
        deployment = _deployment()
        work_id, _ = deployment.submit("d0", "a", idempotent=False)
        deployment.run(1.0)
        home = _home_name(deployment, work_id)
        for other in (*deployment.daemons, "store"):
            if other != home:
                deployment.cut(home, other)
        deployment.run(12.0)
        isolated = deployment.daemons[home]
        self.assertIn(isolated.works[work_id].home, isolated.buckets)
        expired = messages.ForwardWork(
            copy.deepcopy(isolated.works[work_id].entry.work)
        )
        expired.work.work_id = self._unused_id(isolated, work_id)
        expired.work.start_before = deployment.now - 1.0
        event = events.PeerMessage(deployment.now, "d9", expired)
        self.assertEqual([], _settled_messages(reducer.reduce(isolated, event)))

    def _unused_id(self, daemon, work_id):
        """Returns an unused ID in the bucket of a work."""
        bucket_name = daemon.works[work_id].home
        rng = random.Random(1)
        while True:
            other = deployments.make_id(daemon.now, rng)
            if buckets.bucket_of(daemon, other) == bucket_name:
                return other

    def test_a_late_duplicate_of_refused_work_does_not_run(self):
        deployment = _deployment()
        work_id, handle = deployment.submit(
            "d0", "a", idempotent=False, within_s=-1
        )
        deployment.run(2.0)
        reply = deployment.replies[("d0", handle)]
        self.assertEqual(codes.Code.DEADLINE_PASSED, reply.code)
        for name in deployment.daemons:
            deployment.submit(name, "a", work_id=work_id, idempotent=False)
        deployment.run(3.0)
        self.assertEqual(0, _count_starts(deployment, work_id))

    def test_a_former_owner_cannot_report_a_run_as_not_run(self):
        deployment = _deployment()
        deployment.run_s = lambda task: None
        work_id, handle = deployment.submit("d0", "a", idempotent=False)
        deployment.run(2.0)
        home = _home_name(deployment, work_id)
        _, _, update = deployment.messages_of_type(messages.TaskUpdate)[0]
        stale_update = copy.deepcopy(update)
        stale_update.epoch -= 1
        stale_update.phase = works.Phase.NOT_RUN
        stale_update.outcome = works.Outcome(codes.Code.DEADLINE_PASSED)
        deployment.post(
            home, events.PeerMessage(deployment.now, "d9", stale_update)
        )
        deployment.run(5.0)
        self.assertEqual(1, _count_starts(deployment, work_id))
        self.assertNotIn(("d0", handle), deployment.replies)

    def test_a_job_that_is_too_large_for_its_ledger_is_refused(self):
        deployment = _deployment()
        _, handle = deployment.submit(
            "d0", "a", kind=works.Kind.BATCH, count=10_000
        )
        deployment.run(2.0)
        self.assertEqual(
            codes.Code.OVERLOADED, deployment.replies[("d0", handle)].code
        )


class LateMessageTest(testtools.TestCase):
    """Messages that arrive after their attempt, owner or epoch has ended."""

    def test_a_late_placement_does_not_start_an_ended_attempt_again(self):
        deployment = _deployment()
        work_id, _ = deployment.submit("d0", "a", idempotent=False)
        deployment.run(3.0)
        sender, owner, place_task = deployment.messages_of_type(
            messages.PlaceTask
        )[0]
        deployment.post(
            owner, events.PeerMessage(deployment.now, sender, place_task)
        )
        deployment.run(3.0)
        self.assertEqual(1, _count_starts(deployment, work_id))

    def test_a_late_placement_does_not_start_a_task_at_the_next_owner(self):
        deployment = _deployment()
        work_id, _ = deployment.submit(
            "d0", "a", idempotent=False, within_s=60.0
        )
        deployment.run(3.0)
        _, owner, place_task = deployment.messages_of_type(messages.PlaceTask)[
            0
        ]
        deployment.kill(owner)
        deployment.run(15.0)
        for name in deployment.daemons:
            event = events.PeerMessage(
                deployment.now, "d9", copy.deepcopy(place_task)
            )
            deployment.post(name, event)
        deployment.run(3.0)
        self.assertEqual(1, _count_starts(deployment, work_id))

    def test_an_idempotent_request_runs_again_for_another_daemon(self):
        deployment = _deployment(hosts=fleets.small(zones=1, per_zone=1))
        work_id, _ = deployment.submit("d0", "a", idempotent=True)
        deployment.run(2.0)
        _, handle = deployment.submit(
            "d1", "a", work_id=work_id, idempotent=True
        )
        deployment.run(3.0)
        reply = deployment.replies[("d1", handle)]
        self.assertEqual(codes.Code.OK, reply.code)

    def test_a_new_owner_is_sent_a_task_after_the_ledger_records_the_owner(
        self,
    ):
        deployment = _deployment()
        deployment.run_s = lambda task: None
        work_id, _ = deployment.submit("d0", "a", idempotent=False)
        deployment.run(2.0)
        home = deployment.daemons[_home_name(deployment, work_id)]
        assignment = home.works[work_id].entry.assignments[0]
        newer_epoch = assignment.epoch + 1000
        deployment.store.down = True
        home.known_owners[assignment.shard] = state.KnownOwner(
            "d9", newer_epoch
        )
        deployment.run(3.0)
        sent_epochs = [
            item[2].epoch
            for item in deployment.messages_of_type(messages.PlaceTask)
        ]
        self.assertNotIn(newer_epoch, sent_epochs)
        deployment.store.down = False
        home.known_owners[assignment.shard] = state.KnownOwner(
            "d9", newer_epoch
        )
        deployment.run(3.0)
        sent_epochs = [
            item[2].epoch
            for item in deployment.messages_of_type(messages.PlaceTask)
        ]
        self.assertIn(newer_epoch, sent_epochs)

    def test_a_store_answer_of_an_earlier_epoch_confirms_nothing(self):
        deployment = _deployment()
        work_id, _ = deployment.submit("d0", "a", idempotent=False)
        deployment.run(2.0)
        home = deployment.daemons[_home_name(deployment, work_id)]
        name = home.works[work_id].home
        work = copy.deepcopy(home.works[work_id].entry.work)
        ledgers.unload(home, name, [])
        empty = state.Bucket(name, 1, loaded=True)
        home.buckets[name] = empty
        event = events.PeerMessage(
            deployment.now, "d9", messages.ForwardWork(work)
        )
        first_writes = _store_writes(reducer.reduce(home, event))
        ledgers.unload(home, name, [])
        home.buckets[name] = state.Bucket(name, 2, loaded=True)
        reducer.reduce(home, event)
        answer = events.StoreAnswered(
            deployment.now, first_writes[0].op_id, "ok", None, 7
        )
        produced = reducer.reduce(home, answer)
        self.assertEqual(1, len(first_writes))
        self.assertEqual(
            [],
            [
                effect
                for effect in produced
                if isinstance(effect, effects.SendPeer)
            ],
        )


def _store_writes(produced) -> list:
    return [item for item in produced if isinstance(item, effects.StoreWrite)]


class RetentionTest(testtools.TestCase):
    """Work and answers that a home keeps, by team and retention time."""

    def test_work_that_waits_for_room_is_accepted_once_it_is_recorded(self):
        deployment = _deployment()
        for daemon in deployment.daemons.values():
            daemon.config.zones_out = dict.fromkeys(("z0", "z1", "z2"))
        _, handle = deployment.submit("d0", "a", kind=works.Kind.BATCH)
        deployment.run(2.0)
        self.assertEqual(
            codes.Code.ACCEPTED, deployment.replies[("d0", handle)].code
        )

    def test_an_id_of_another_teams_work_is_refused(self):
        deployment = _deployment()
        work_id, _ = deployment.submit("d0", "a", idempotent=False)
        deployment.run(2.0)
        calls = [
            (
                name,
                deployment.submit(name, "b", work_id=work_id, idempotent=False)[
                    1
                ],
            )
            for name in deployment.daemons
        ]
        deployment.run(2.0)
        for call in calls:
            reply = deployment.replies[call]
            self.assertEqual(codes.Code.ID_TAKEN, reply.code)
            self.assertEqual(b"", reply.payload.answer)

    def test_a_large_answer_is_complete_until_its_retention_ends(self):
        tuning = tunables.Tunables(answer_retention_s=5.0)
        deployment = _deployment(tuning=tuning)
        large_answer = b"x" * 100_000
        for worker in deployment.workers.values():
            worker.end = _end_with_answer(worker, large_answer)
        work_id, first = deployment.submit("d0", "a", idempotent=False)
        deployment.run(2.0)
        _, second = deployment.submit(
            "d1", "a", work_id=work_id, idempotent=False
        )
        deployment.run(6.0)
        _, third = deployment.submit(
            "d2", "a", work_id=work_id, idempotent=False
        )
        deployment.run(2.0)
        self.assertEqual(
            large_answer, deployment.replies[("d0", first)].payload.answer
        )
        self.assertEqual(
            large_answer, deployment.replies[("d1", second)].payload.answer
        )
        self.assertEqual(
            codes.Code.ANSWER_NOT_KEPT, deployment.replies[("d2", third)].code
        )

    def test_an_id_is_refused_before_its_outcome_is_dropped(self):
        tuning = tunables.Tunables(retention_s=20.0)
        deployment = _deployment(tuning=tuning)
        work_id, _ = deployment.submit("d0", "a", idempotent=False)
        for number in range(40):
            deployment.run(1.0)
            name = f"d{number % 3}"
            deployment.submit(name, "a", work_id=work_id, idempotent=False)
        self.assertEqual(1, _count_starts(deployment, work_id))
        homes = [d for d in deployment.daemons.values() if work_id in d.works]
        self.assertEqual([], homes)

    def test_a_lagging_clock_drops_no_outcome_too_early(self):
        tuning = tunables.Tunables(retention_s=5.0, archive_interval_s=0.1)
        deployment = _deployment(tuning=tuning)
        deployment.clock_skews_s = dict.fromkeys(deployment.daemons, -0.9)
        deployment.run(2.0)
        work_id, _ = deployment.submit(
            "d0", "a", idempotent=False, within_s=1.0
        )
        for number in range(150):
            deployment.run(0.1)
            name = f"d{number % 3}"
            deployment.submit(name, "a", work_id=work_id, idempotent=False)
        self.assertEqual(1, _count_starts(deployment, work_id))

    def test_an_outcome_that_no_home_confirmed_outlives_the_retention(self):
        tuning = tunables.Tunables(retention_s=20.0)
        deployment = _deployment(tuning=tuning)
        deployment.run_s = lambda task: 0.5
        calls = {}
        for _ in range(22):
            work_id, handle = deployment.submit("d0", "a", idempotent=False)
            calls[("d0", handle)] = work_id
        deployment.run(0.3)
        for name, peer in itertools.combinations(deployment.daemons, 2):
            deployment.cut(name, peer)
        deployment.run(60.0)
        deployment.heal()
        deployment.run(30.0)
        for call, work_id in calls.items():
            self.assertEqual(1, _count_starts(deployment, work_id))
            self.assertFalse(codes.is_not_run(deployment.replies[call].code))

    def test_a_job_that_ran_in_part_is_not_reported_as_not_run(self):
        task_codes = [codes.Code.CANCELLED, codes.Code.OK]
        assignments = [
            documents.Assignment(1, "s", works.Outcome(code))
            for code in task_codes
        ]
        work = state.HomeWork(
            documents.Entry(None, assignments),
            "bucket-00",
            [state.TaskState() for _ in task_codes],
        )
        combined = outcomes.combine_outcomes(
            work, works.Outcome(task_codes[-1])
        )
        self.assertEqual(codes.Code.TASK_FAILED, combined.code)

    def test_a_job_that_is_cancelled_while_it_runs_settles_as_failed(self):
        deployment = _deployment()
        deployment.run_s = lambda task: None
        work_id, _ = deployment.submit(
            "d0", "a", kind=works.Kind.BATCH, count=40, within_s=500.0
        )
        deployment.run(3.0)
        deployment.cancel("d0", "a", work_id)
        deployment.run(10.0)
        self.assertGreater(_count_starts(deployment, work_id), 0)
        entry = (
            deployment.daemons[_home_name(deployment, work_id)]
            .works[work_id]
            .entry
        )
        self.assertEqual(codes.Code.TASK_FAILED, entry.outcome.code)

    def test_many_simultaneous_cancellations_settle_all_works(self):
        deployment = _deployment()
        deployment.run_s = lambda task: None
        needs = resources.Resources(cpu_millis=4000, slots=1)
        work_ids = [
            deployment.submit(
                f"d{number % 3}",
                "a",
                kind=works.Kind.BATCH,
                count=10,
                needs=needs,
                within_s=500.0,
            )[0]
            for number in range(300)
        ]
        deployment.run(3.0)
        for work_id in work_ids:
            deployment.cancel("d0", "a", work_id)
        deployment.run(10.0)
        unsettled_works = [
            work
            for daemon in deployment.daemons.values()
            for work in daemon.works.values()
            if work.entry.outcome is None
        ]
        self.assertEqual([], unsettled_works)


def _end_with_answer(worker, answer):
    original = type(worker).end

    def end(key, ok, detail=""):
        original(worker, key, ok, detail)
        worker.runs[key].answer = answer
        return worker.report(key)

    return end
