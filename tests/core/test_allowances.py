"""Team limits across shards and daemons that exchange allowances."""

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

# Time in which a lowered limit takes effect.
LIMIT_CHANGE_GRACE_S = 8.0
ONE_SLOT = resources.Resources(slots=1)
TEAM = configuration.Team("a", "north")


def _slots(count: int) -> resources.Resources:
    return resources.Resources(slots=count)


def _deployment(limit: int) -> deployments.Deployment:
    team = configuration.Team("a", "north", 1.0, _slots(limit))
    config = deployments.team_config([team, configuration.Team("b", "south")])
    deployment = deployments.Deployment(fleets.small(), config)
    deployment.run_s = lambda task: None
    assert deployment.run_until(deployment.ready, 10.0)
    deployment.run(2.0)
    return deployment


def _submit_batch(
    deployment: deployments.Deployment, name: str, count: int
) -> str:
    work_id, _ = deployment.submit(
        name, "a", kind=works.Kind.BATCH, count=count, within_s=600.0
    )
    return work_id


def _end_one_run(deployment: deployments.Deployment) -> None:
    for worker in deployment.workers.values():
        for key, run in worker.runs.items():
            if not run.ended:
                deployment._report(worker, worker.end(key, True))
                return


class AllowanceTest(testtools.TestCase):
    """Allowances without faults."""

    def test_a_small_limit_is_fully_used_by_work_queued_in_any_shard(self):
        for limit in (1, 2, 5, 11):
            deployment = _deployment(limit)
            _submit_batch(deployment, "d1", 24)
            deployment.run(2.0)
            self.assertEqual(limit, deployment.running("a").slots)

    def test_a_freed_allowance_is_reused_by_another_shard_within_seconds(self):
        deployment = _deployment(3)
        _submit_batch(deployment, "d0", 24)
        deployment.run(3.0)
        for _ in range(10):
            _end_one_run(deployment)
            deployment.run(2.0)
            self.assertEqual(3, deployment.running("a").slots)

    def test_a_lowered_limit_stops_the_newest_batch_work(self):
        deployment = _deployment(8)
        older_work_id = _submit_batch(deployment, "d0", 4)
        deployment.run(3.0)
        _submit_batch(deployment, "d1", 4)
        deployment.run(3.0)
        self.assertEqual(8, deployment.running("a").slots)
        deployment.confirm("d2", changes.SetLimit("a", _slots(2)))
        deployment.run(6.0)
        self.assertEqual(2, deployment.running("a").slots)
        kept = {
            run.task.work_id
            for worker in deployment.workers.values()
            for run in worker.runs.values()
            if not run.ended
        }
        self.assertEqual({older_work_id}, kept)
        deployment.confirm("d2", changes.SetLimit("a", _slots(8)))
        deployment.run(20.0)
        self.assertEqual(8, deployment.running("a").slots)

    def test_a_limit_on_a_team_that_had_none_counts_running_tasks(self):
        deployment = _deployment(0)
        _submit_batch(deployment, "d0", 20)
        deployment.run(3.0)
        self.assertEqual(20, deployment.running("a").slots)
        deployment.confirm("d0", changes.SetLimit("a", _slots(6)))
        deployment.run(8.0)
        self.assertEqual(6, deployment.running("a").slots)

    def test_the_allowance_of_a_removed_shard_is_reclaimed(self):
        deployment = _deployment(6)
        _submit_batch(deployment, "d0", 6)
        deployment.run(3.0)
        for host in deployment.hosts:
            if host.zone == "z0":
                deployment.workers[host.worker_id].reachable = False
        deployment.run(30.0)
        deployment.hosts = [
            host for host in deployment.hosts if host.zone != "z0"
        ]
        for name in deployment.daemons:
            deployment.post(
                name,
                deployments.events.HostsListed(
                    deployment.now, deployment.hosts
                ),
            )
        deployment.run(40.0)
        _submit_batch(deployment, "d1", 6)
        deployment.run(5.0)
        self.assertEqual(6, deployment.running("a").slots)

    def test_an_unreadable_document_is_rebuilt_from_counts(self):
        deployment = _deployment(4)
        _submit_batch(deployment, "d0", 4)
        deployment.run(3.0)
        deployment.store._set("allowances/a", None, "")
        for daemon in deployment.daemons.values():
            for cache in daemon.team_allowances.values():
                cache.loaded = False
        deployment.on_start = lambda: self.fail("started beyond the limit")
        _submit_batch(deployment, "d1", 4)
        deployment.run(4.0)
        deployment.on_start = lambda: None
        _end_one_run(deployment)
        deployment.run(4.0)
        self.assertEqual(4, deployment.running("a").slots)

    def test_a_lost_document_is_rebuilt_from_counts_by_all_daemons(self):
        deployment = _deployment(4)
        _submit_batch(deployment, "d0", 4)
        deployment.run(3.0)
        deployment.store._set("allowances/a", None, "")
        freed = messages.AllowanceFreed("a")
        deployment.post("d0", events.PeerMessage(deployment.now, "d9", freed))
        _submit_batch(deployment, "d1", 4)
        deployment.run(2.0)
        deployment.confirm("d0", changes.SetLimit("a", _slots(6)))
        deployment.run(8.0)
        self.assertEqual(6, deployment.running("a").slots)


class SafetyTest(testtools.TestCase):
    """Owners that must not yet start tasks under a new allowance."""

    def _deployment_without_limit(self) -> deployments.Deployment:
        deployment = _deployment(0)
        _submit_batch(deployment, "d0", 12)
        deployment.run(3.0)
        self.assertEqual(12, deployment.running("a").slots)
        return deployment

    def _assert_no_starts(
        self, deployment: deployments.Deployment, seconds: float
    ):
        deployment.on_start = lambda: self.fail("started beyond the limit")
        _submit_batch(deployment, "d1", 8)
        deployment.run(seconds)

    def test_nothing_starts_before_all_owners_have_reported_their_use(self):
        deployment = self._deployment_without_limit()
        deployment.pause("d2")
        deployment.confirm("d0", changes.SetLimit("a", _slots(12)))
        self._assert_no_starts(deployment, 3.0)

    def test_use_is_not_reported_before_all_workers_are_known(self):
        deployment = self._deployment_without_limit()
        for name in ("d0", "d1"):
            for worker_id in deployment.workers:
                if worker_id.startswith("w0"):
                    deployment.cut(name, worker_id)
        deployment.kill("d2")
        deployment.run(9.0)
        deployment.confirm("d0", changes.SetLimit("a", _slots(12)))
        self._assert_no_starts(deployment, 5.0)

    def _allowance_cache(self, amount: int) -> limits.AllowanceCache:
        part = documents.Part(7, 1, _slots(amount))
        return limits.AllowanceCache(
            documents.Allowances(1, {"shard-z0-0": part})
        )

    def test_a_decrease_is_in_force_before_it_is_confirmed(self):
        cache = self._allowance_cache(6)
        cache.pending = self._allowance_cache(2).document
        part = limits.effective_part(cache, "shard-z0-0", 7, TEAM)
        self.assertEqual(_slots(2), part)

    def test_an_increase_is_not_in_force_until_it_is_confirmed(self):
        cache = self._allowance_cache(2)
        cache.pending = self._allowance_cache(6).document
        part = limits.effective_part(cache, "shard-z0-0", 7, TEAM)
        self.assertEqual(_slots(2), part)

    def test_a_part_of_an_earlier_epoch_is_not_in_force(self):
        self.assertIsNone(
            limits.effective_part(
                self._allowance_cache(6), "shard-z0-0", 8, TEAM
            )
        )

    def test_a_decrease_is_in_force_when_the_store_answer_is_lost(self):
        deployment = _deployment(4)
        _submit_batch(deployment, "d0", 4)
        deployment.run(3.0)
        while deployment.running("a").slots:
            _end_one_run(deployment)
        deployment.run(2.0)
        original = deployment.store.write
        unanswered = []

        def write_without_answer(effect, lease, now):
            if effect.key != "allowances/a":
                return original(effect, lease, now)
            unanswered.append(effect)
            return events.StoreAnswered(now, effect.op_id, "unknown")

        deployment.store.write = write_without_answer
        request = messages.AskAllowance("a", ONE_SLOT)
        for name in deployment.daemons:
            deployment.post(
                name, events.PeerMessage(deployment.now, "d9", request)
            )
        self.assertTrue(deployment.run_until(lambda: unanswered, 2.0))
        document = unanswered[0].value
        for _ in range(60):
            deployment.run(0.05)
            for daemon in deployment.daemons.values():
                cache = daemon.team_allowances.get("a", limits.AllowanceCache())
                for shard in daemon.shards.values():
                    part = limits.effective_part(
                        cache, shard.name, shard.epoch, TEAM
                    )
                    given = document.parts.get(shard.name)
                    if part is not None and given.epoch == shard.epoch:
                        self.assertTrue(part.fits(given.amount))


class LimitMachine(stateful.RuleBasedStateMachine):
    """Changes the limit while daemons and their links to the store fail."""

    @stateful.initialize(limit=strategies.integers(1, 8))
    def start_deployment(self, limit):
        self.made = _deployment(limit)
        self.limits = [(0.0, limit)]
        self.made.on_start = self.check_usage

    def check_usage(self):
        """Checks use against the limits of the last LIMIT_CHANGE_GRACE_S."""
        self.record_limit()
        now = self.made.now
        ends = [at for at, _ in self.limits[1:]] + [now]
        allowed = max(
            limit
            for (_, limit), end in zip(self.limits, ends, strict=True)
            if end >= now - LIMIT_CHANGE_GRACE_S
        )
        assert self.made.running("a").slots <= allowed

    def record_limit(self):
        config = self.made.store.items["config"].value
        limit = config.teams["a"].upper_limit.slots
        if limit != self.limits[-1][1]:
            self.limits.append((self.made.now, limit))

    def daemon_names(self):
        return sorted(self.made.daemons)

    @stateful.rule(
        count=strategies.integers(1, 8), daemon_index=strategies.integers(0, 9)
    )
    def submit(self, count, daemon_index):
        _submit_batch(
            self.made,
            self.daemon_names()[daemon_index % len(self.daemon_names())],
            count,
        )

    @stateful.rule(count=strategies.integers(1, 5))
    def end_runs(self, count):
        for _ in range(count):
            _end_one_run(self.made)

    @stateful.rule(
        limit=strategies.integers(1, 8), daemon_index=strategies.integers(0, 9)
    )
    def change_limit(self, limit, daemon_index):
        name = self.daemon_names()[daemon_index % len(self.daemon_names())]
        self.made.confirm(name, changes.SetLimit("a", _slots(limit)))

    @stateful.rule(daemon_index=strategies.integers(0, 9))
    def kill(self, daemon_index):
        if len(self.daemon_names()) > 1:
            self.made.kill(
                self.daemon_names()[daemon_index % len(self.daemon_names())]
            )

    @stateful.rule()
    def start(self):
        missing = {"d0", "d1", "d2"} - set(self.made.daemons)
        for name in sorted(missing):
            self.made.start(name)

    @stateful.rule(daemon_index=strategies.integers(0, 9))
    def pause(self, daemon_index):
        self.made.pause(
            self.daemon_names()[daemon_index % len(self.daemon_names())]
        )

    @stateful.rule()
    def resume(self):
        for name in sorted(self.made.paused):
            self.made.resume(name)

    @stateful.rule(daemon_index=strategies.integers(0, 9))
    def cut_from_store(self, daemon_index):
        self.made.cut(
            self.daemon_names()[daemon_index % len(self.daemon_names())],
            "store",
        )

    @stateful.rule()
    def heal(self):
        self.made.heal()
        self.made.store.down = False

    @stateful.rule()
    def fail_store(self):
        self.made.store.down = True

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_answers(self, count):
        self.made.store.lose_answers = count

    @stateful.rule(tenths=strategies.integers(1, 80))
    def run(self, tenths):
        self.made.run(tenths / 10)
        self.record_limit()

    def teardown(self):
        """Checks that use is within the last limit after all faults ended."""
        if not hasattr(self, "made"):
            return
        self.heal()
        self.resume()
        self.start()
        self.made.store.lose_answers = 0
        self.made.run(45.0)
        self.record_limit()
        assert self.made.running("a").slots <= self.limits[-1][1]


LimitTest = LimitMachine.TestCase
LimitTest.settings = hypothesis.settings(
    max_examples=15, stateful_step_count=20, deadline=None
)


class ArithmeticTest(testtools.TestCase):
    """Comparisons of limits by resource."""

    def test_a_zero_in_a_limit_leaves_that_resource_unlimited(self):
        use = resources.Resources(cpu_millis=9, slots=2)
        self.assertTrue(limits.within(use, _slots(2)))
        self.assertFalse(limits.within(use, _slots(1)))

    def test_a_limit_on_a_further_resource_is_detected(self):
        more = resources.Resources(cpu_millis=1, slots=1)
        self.assertTrue(limits.adds_limit(more, ONE_SLOT))
        self.assertFalse(limits.adds_limit(ONE_SLOT, more))
