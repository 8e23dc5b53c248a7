"""Upper limits hold across shards and daemons while allowances move."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from mimosaridge_core import changes
from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import events
from mimosaridge_core import limits
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

GRACE_S = 8.0
ONE = resources.Resources(slots=1)
TEAM = configuration.Team("a", "north")


def _slots(count: int) -> resources.Resources:
    return resources.Resources(slots=count)


def _deployment(limit: int) -> deployments.Deployment:
    team = configuration.Team("a", "north", 1.0, _slots(limit))
    config = deployments.team_config([team, configuration.Team("b", "south")])
    made = deployments.Deployment(fleets.small(), config)
    made.run_s = lambda task: None
    assert made.run_until(made.ready, 10.0)
    made.run(2.0)
    return made


def _batch(made: deployments.Deployment, name: str, count: int) -> str:
    work_id, _ = made.submit(
        name, "a", kind=works.Kind.BATCH, count=count, within_s=600.0
    )
    return work_id


def _end_one(made: deployments.Deployment) -> None:
    for worker in made.workers.values():
        for key, run in worker.runs.items():
            if not run.ended:
                made._report(worker, worker.end(key, True))
                return


class AllowanceTest(testtools.TestCase):
    """Allowances without faults."""

    def test_a_small_limit_is_reached_wherever_the_work_waits(self):
        for limit in (1, 2, 5, 11):
            made = _deployment(limit)
            _batch(made, "d1", 24)
            made.run(2.0)
            self.assertEqual(limit, made.running("a").slots)

    def test_a_freed_allowance_serves_another_shard_within_seconds(self):
        made = _deployment(3)
        _batch(made, "d0", 24)
        made.run(3.0)
        for _ in range(10):
            _end_one(made)
            made.run(2.0)
            self.assertEqual(3, made.running("a").slots)

    def test_a_lowered_limit_stops_the_newest_batch_work(self):
        made = _deployment(8)
        old = _batch(made, "d0", 4)
        made.run(3.0)
        _batch(made, "d1", 4)
        made.run(3.0)
        self.assertEqual(8, made.running("a").slots)
        made.confirm("d2", changes.SetLimit("a", _slots(2)))
        made.run(6.0)
        self.assertEqual(2, made.running("a").slots)
        kept = {
            run.task.work_id
            for worker in made.workers.values()
            for run in worker.runs.values()
            if not run.ended
        }
        self.assertEqual({old}, kept)
        made.confirm("d2", changes.SetLimit("a", _slots(8)))
        made.run(20.0)
        self.assertEqual(8, made.running("a").slots)

    def test_a_limit_on_a_team_that_had_none_counts_what_runs(self):
        made = _deployment(0)
        _batch(made, "d0", 20)
        made.run(3.0)
        self.assertEqual(20, made.running("a").slots)
        made.confirm("d0", changes.SetLimit("a", _slots(6)))
        made.run(8.0)
        self.assertEqual(6, made.running("a").slots)

    def test_the_part_of_a_vanished_shard_comes_back(self):
        made = _deployment(6)
        _batch(made, "d0", 6)
        made.run(3.0)
        for host in made.hosts:
            if host.zone == "z0":
                made.workers[host.worker_id].reachable = False
        made.run(30.0)
        made.hosts = [host for host in made.hosts if host.zone != "z0"]
        for name in made.daemons:
            made.post(
                name, deployments.events.HostsListed(made.now, made.hosts)
            )
        made.run(40.0)
        _batch(made, "d1", 6)
        made.run(5.0)
        self.assertEqual(6, made.running("a").slots)

    def test_a_document_that_cannot_be_read_is_counted_anew(self):
        made = _deployment(4)
        _batch(made, "d0", 4)
        made.run(3.0)
        made.store._set("allowances/a", None, "")
        for daemon in made.daemons.values():
            for book in daemon.team_allowances.values():
                book.loaded = False
        made.on_start = lambda: self.fail("started beyond the limit")
        _batch(made, "d1", 4)
        made.run(4.0)
        made.on_start = lambda: None
        _end_one(made)
        made.run(4.0)
        self.assertEqual(4, made.running("a").slots)

    def test_a_lost_document_is_counted_anew_by_all(self):
        made = _deployment(4)
        _batch(made, "d0", 4)
        made.run(3.0)
        made.store._set("allowances/a", None, "")
        freed = messages.AllowanceFreed("a")
        made.post("d0", events.PeerMessage(made.now, "d9", freed))
        _batch(made, "d1", 4)
        made.run(2.0)
        made.confirm("d0", changes.SetLimit("a", _slots(6)))
        made.run(8.0)
        self.assertEqual(6, made.running("a").slots)


class SafetyTest(testtools.TestCase):
    """What an owner may not do yet."""

    def _running_unlimited(self) -> deployments.Deployment:
        made = _deployment(0)
        _batch(made, "d0", 12)
        made.run(3.0)
        self.assertEqual(12, made.running("a").slots)
        return made

    def _starts_nothing(self, made: deployments.Deployment, seconds: float):
        made.on_start = lambda: self.fail("started beyond the limit")
        _batch(made, "d1", 8)
        made.run(seconds)

    def test_nothing_starts_before_all_owners_have_counted(self):
        made = self._running_unlimited()
        made.pause("d2")
        made.confirm("d0", changes.SetLimit("a", _slots(12)))
        self._starts_nothing(made, 3.0)

    def test_nothing_is_counted_before_all_workers_are_known(self):
        made = self._running_unlimited()
        for name in ("d0", "d1"):
            for worker_id in made.workers:
                if worker_id.startswith("w0"):
                    made.cut(name, worker_id)
        made.kill("d2")
        made.run(9.0)
        made.confirm("d0", changes.SetLimit("a", _slots(12)))
        self._starts_nothing(made, 5.0)

    def _book(self, amount: int) -> limits.AllowanceCache:
        part = documents.Part(7, 1, _slots(amount))
        return limits.AllowanceCache(
            documents.Allowances(1, {"shard-z0-0": part})
        )

    def test_a_giver_keeps_to_the_smaller_part_at_once(self):
        book = self._book(6)
        book.pending = self._book(2).document
        part = limits.effective_part(book, "shard-z0-0", 7, TEAM)
        self.assertEqual(_slots(2), part)

    def test_a_taker_waits_until_the_larger_part_is_confirmed(self):
        book = self._book(2)
        book.pending = self._book(6).document
        part = limits.effective_part(book, "shard-z0-0", 7, TEAM)
        self.assertEqual(_slots(2), part)

    def test_a_part_of_an_earlier_epoch_is_not_in_force(self):
        self.assertIsNone(
            limits.effective_part(self._book(6), "shard-z0-0", 8, TEAM)
        )

    def test_a_giver_whose_answer_was_lost_keeps_to_the_smaller_part(self):
        made = _deployment(4)
        _batch(made, "d0", 4)
        made.run(3.0)
        while made.running("a").slots:
            _end_one(made)
        made.run(2.0)
        original = made.store.write
        lost = []

        def losing(effect, lease, now):
            if effect.key != "allowances/a":
                return original(effect, lease, now)
            lost.append(effect)
            return events.StoreAnswered(now, effect.op_id, "unknown")

        made.store.write = losing
        ask = messages.AskAllowance("a", ONE)
        for name in made.daemons:
            made.post(name, events.PeerMessage(made.now, "d9", ask))
        self.assertTrue(made.run_until(lambda: lost, 2.0))
        document = lost[0].value
        for _ in range(60):
            made.run(0.05)
            for daemon in made.daemons.values():
                book = daemon.team_allowances.get("a", limits.AllowanceCache())
                for shard in daemon.shards.values():
                    part = limits.effective_part(
                        book, shard.name, shard.epoch, TEAM
                    )
                    given = document.parts.get(shard.name)
                    if part is not None and given.epoch == shard.epoch:
                        self.assertTrue(part.fits(given.amount))


class LimitMachine(stateful.RuleBasedStateMachine):
    """Owners die, pause and are cut off while the limit changes."""

    @stateful.initialize(limit=strategies.integers(1, 8))
    def begin(self, limit):
        self.made = _deployment(limit)
        self.limits = [(0.0, limit)]
        self.made.on_start = self.check

    def check(self):
        """Compares what runs with the limits of the last seconds."""
        self.read_limit()
        now = self.made.now
        ends = [at for at, _ in self.limits[1:]] + [now]
        allowed = max(
            limit
            for (_, limit), end in zip(self.limits, ends, strict=True)
            if end >= now - GRACE_S
        )
        assert self.made.running("a").slots <= allowed

    def read_limit(self):
        config = self.made.store.items["config"].value
        limit = config.teams["a"].upper_limit.slots
        if limit != self.limits[-1][1]:
            self.limits.append((self.made.now, limit))

    def names(self):
        return sorted(self.made.daemons)

    @stateful.rule(
        count=strategies.integers(1, 8), pick=strategies.integers(0, 9)
    )
    def submit(self, count, pick):
        _batch(self.made, self.names()[pick % len(self.names())], count)

    @stateful.rule(count=strategies.integers(1, 5))
    def end(self, count):
        for _ in range(count):
            _end_one(self.made)

    @stateful.rule(
        limit=strategies.integers(1, 8), pick=strategies.integers(0, 9)
    )
    def change(self, limit, pick):
        name = self.names()[pick % len(self.names())]
        self.made.confirm(name, changes.SetLimit("a", _slots(limit)))

    @stateful.rule(pick=strategies.integers(0, 9))
    def kill(self, pick):
        if len(self.names()) > 1:
            self.made.kill(self.names()[pick % len(self.names())])

    @stateful.rule()
    def start(self):
        missing = {"d0", "d1", "d2"} - set(self.made.daemons)
        for name in sorted(missing):
            self.made.start(name)

    @stateful.rule(pick=strategies.integers(0, 9))
    def pause(self, pick):
        self.made.pause(self.names()[pick % len(self.names())])

    @stateful.rule()
    def resume(self):
        for name in sorted(self.made.paused):
            self.made.resume(name)

    @stateful.rule(pick=strategies.integers(0, 9))
    def cut(self, pick):
        self.made.cut(self.names()[pick % len(self.names())], "store")

    @stateful.rule()
    def heal(self):
        self.made.heal()
        self.made.store.down = False

    @stateful.rule()
    def outage(self):
        self.made.store.down = True

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_answers(self, count):
        self.made.store.lose_answers = count

    @stateful.rule(tenths=strategies.integers(1, 80))
    def run(self, tenths):
        self.made.run(tenths / 10)
        self.read_limit()

    def teardown(self):
        """What was lowered is kept to once all faults have ended."""
        if not hasattr(self, "made"):
            return
        self.heal()
        self.resume()
        self.start()
        self.made.store.lose_answers = 0
        self.made.run(45.0)
        self.read_limit()
        assert self.made.running("a").slots <= self.limits[-1][1]


LimitTest = LimitMachine.TestCase
LimitTest.settings = hypothesis.settings(
    max_examples=15, stateful_step_count=20, deadline=None
)


class ArithmeticTest(testtools.TestCase):
    """Limits by resource."""

    def test_a_zero_in_a_limit_leaves_that_resource_free(self):
        use = resources.Resources(cpu_millis=9, slots=2)
        self.assertTrue(limits.within(use, _slots(2)))
        self.assertFalse(limits.within(use, _slots(1)))

    def test_limiting_another_resource_is_noticed(self):
        more = resources.Resources(cpu_millis=1, slots=1)
        self.assertTrue(limits.adds_limit(more, ONE))
        self.assertFalse(limits.adds_limit(ONE, more))
