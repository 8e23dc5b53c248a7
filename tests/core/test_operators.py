"""Configuration changes: propagation, conflicts, failures and audit."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from mimosaridge_core import audits
from mimosaridge_core import changes
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import events
from mimosaridge_core import freshness
from mimosaridge_core import resources
from mimosaridge_core import snapshots
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

PROPAGATION_S = 9.0


def _deployment() -> deployments.Deployment:
    config = deployments.team_config([configuration.Team("a", "north")])
    deployment = deployments.Deployment(fleets.small(), config)
    assert deployment.run_until(deployment.ready, 10.0)
    return deployment


def _set_share(value: float) -> changes.SetShare:
    return changes.SetShare("a", value)


class ChangeTest(testtools.TestCase):
    """Individual changes, each with at most one kind of fault."""

    def _confirm(self, deployment, name, change, base=-1, seconds=3.0):
        handle = deployment.confirm(name, change, base)
        deployment.run(seconds)
        return deployment.replies[(name, handle)]

    def test_second_concurrent_change_gets_a_conflict_and_a_new_plan(self):
        deployment = _deployment()
        first = deployment.confirm("d0", _set_share(2.0))
        second = deployment.confirm("d1", _set_share(3.0))
        deployment.run(3.0)
        replies = [
            deployment.replies[("d0", first)],
            deployment.replies[("d1", second)],
        ]
        replies.sort(key=lambda reply: reply.code)
        self.assertEqual(codes.Code.OK, replies[0].code)
        self.assertEqual(codes.Code.CONFLICT, replies[1].code)
        self.assertEqual(2, replies[1].payload.base_number)

    def test_answer_lists_daemons_where_the_change_is_in_force(self):
        deployment = _deployment()
        for other in ("d0", "d1", "store"):
            deployment.cut("d2", other)
        reply = self._confirm(deployment, "d0", _set_share(2.0))
        self.assertEqual(["d0", "d1"], reply.payload.in_force)
        self.assertEqual(["d2"], reply.payload.missing)

    def test_outdated_daemon_reads_the_store_before_it_refuses(self):
        deployment = _deployment()
        for other in ("d0", "d1", "store"):
            deployment.cut("d2", other)
        self._confirm(deployment, "d0", _set_share(2.0))
        deployment.heal()
        reply = self._confirm(deployment, "d2", _set_share(3.0), base=2)
        self.assertEqual(codes.Code.OK, reply.code)
        self.assertEqual(3, deployment.daemons["d0"].config.number)

    def test_lost_store_answer_is_resolved_after_another_change(self):
        deployment = _deployment()
        original_write = deployment.store.write
        lost_writes = []

        def write_and_lose_answer(effect, lease, now):
            answer = original_write(effect, lease, now)
            if effect.key != "config" or lost_writes:
                return answer
            lost_writes.append(effect)
            return events.StoreAnswered(now, effect.op_id, "unknown")

        deployment.store.write = write_and_lose_answer
        first = deployment.confirm("d0", _set_share(2.0))
        deployment.run(0.2)
        reply = self._confirm(deployment, "d1", _set_share(3.0), base=2)
        self.assertEqual(codes.Code.OK, reply.code)
        self.assertEqual(codes.Code.OK, deployment.replies[("d0", first)].code)
        self.assertEqual(2, deployment.replies[("d0", first)].payload.number)

    def test_duplicate_confirmation_is_applied_once(self):
        deployment = _deployment()
        deployment.confirm("d0", _set_share(2.0))
        deployment.handle -= 1
        deployment.confirm("d1", _set_share(2.0))
        deployment.run(3.0)
        self.assertEqual(2, deployment.daemons["d0"].config.number)

    def test_expired_plan_is_refused(self):
        deployment = _deployment()
        deployment.pause("d0")
        handle = deployment.confirm("d0", _set_share(2.0))
        deployment.run(deployment.tuning.plan_lifetime_s + 1.0)
        deployment.resume("d0")
        deployment.run(1.0)
        reply = deployment.replies[("d0", handle)]
        self.assertEqual(codes.Code.PLAN_EXPIRED, reply.code)

    def test_store_outage_is_reported_and_nothing_changes(self):
        deployment = _deployment()
        deployment.store.down = True
        reply = self._confirm(deployment, "d0", _set_share(2.0), seconds=12.0)
        self.assertEqual(codes.Code.STORE_UNAVAILABLE, reply.code)
        self.assertEqual(1, deployment.daemons["d0"].config.number)

    def test_older_or_missing_document_does_not_revert_the_configuration(self):
        for document in (configuration.Config(number=1), None):
            deployment = _deployment()
            self._confirm(deployment, "d0", _set_share(2.0))
            deployment.store._set("config", document, "")
            deployment.run(3.0)
            for daemon in deployment.daemons.values():
                self.assertEqual(2, daemon.config.number)
            reply = self._confirm(deployment, "d1", _set_share(3.0))
            self.assertEqual(codes.Code.OK, reply.code)
            stored = deployment.store.items["config"].value
            self.assertEqual((3, 3.0), (stored.number, stored.teams["a"].share))

    def test_next_change_replaces_an_unreadable_document(self):
        deployment = _deployment()
        revision = deployment.store._set("config", configuration.Config(), "")
        revision = deployment.store.revision
        for name in deployment.daemons:
            deployment.post(name, events.StoreUnreadable(0, "config", revision))
        reply = self._confirm(deployment, "d1", _set_share(3.0))
        self.assertEqual(codes.Code.OK, reply.code)
        self.assertEqual(2, deployment.daemons["d2"].config.number)

    def test_restored_snapshot_gets_the_next_configuration_number(self):
        deployment = _deployment()
        exported = snapshots.export(deployment.store.items["config"].value)
        self._confirm(deployment, "d0", _set_share(7.0))
        wrong_checksum = changes.Restore(exported.snapshot, "0" * 64)
        self.assertEqual(
            codes.Code.BAD_INPUT,
            self._confirm(deployment, "d0", wrong_checksum).code,
        )
        right_checksum = changes.Restore(exported.snapshot, exported.checksum)
        self.assertEqual(
            codes.Code.OK, self._confirm(deployment, "d1", right_checksum).code
        )
        config = deployment.daemons["d2"].config
        self.assertEqual((3, 1.0), (config.number, config.teams["a"].share))
        self.assertEqual(2, len(config.audit))

    def test_snapshot_is_restored_into_an_empty_store(self):
        exported = snapshots.export(_deployment().store.items["config"].value)
        empty = deployments.Deployment(fleets.small(), configuration.Config())
        empty.store._set("config", None, "")
        empty.run(3.0)
        for daemon in empty.daemons.values():
            daemon.bootstrap_key = "k-operator.secret"
        change = changes.Restore(exported.snapshot, exported.checksum)
        reply = self._confirm(empty, "d0", change)
        self.assertEqual(codes.Code.OK, reply.code)
        self.assertIn("a", empty.daemons["d1"].config.teams)

    def test_worker_taken_out_starts_no_tasks_until_it_is_back_in(self):
        deployment = _deployment()
        deployment.run_s = lambda task: None
        self._confirm(deployment, "d0", changes.WorkerOut("w0-0"))
        for _ in range(30):
            deployment.submit("d1", "a")
        deployment.run(5.0)
        self.assertEqual(0, len(deployment.workers["w0-0"].starts))
        self._confirm(deployment, "d2", changes.WorkerIn("w0-0"))
        deployment.run(5.0)
        self.assertGreater(len(deployment.workers["w0-0"].starts), 0)

    def test_plans_describe_the_effects_of_a_change(self):
        deployment = _deployment()
        deployment.run_s = lambda task: None
        for _ in range(6):
            deployment.submit("d1", "a")
        deployment.run(2.0)
        plan_texts = {}
        for change in (
            changes.SetLimit("a", resources.Resources(slots=2)),
            changes.WithdrawKey("k-a"),
            changes.RemoveTeam("a"),
            changes.ZoneOut("z0"),
        ):
            deployment.handle += 1
            event = events.PlanRequested(
                deployment.now, deployment.handle, "k-operator.secret", change
            )
            deployment.post("d0", event)
            deployment.run(0.1)
            plan = deployment.replies[("d0", deployment.handle)].payload
            plan_texts[type(change)] = " ".join(plan.lines)
        self.assertIn("newest batch work", plan_texts[changes.SetLimit])
        self.assertIn("no key left", plan_texts[changes.WithdrawKey])
        self.assertIn("key k-a stops working", plan_texts[changes.RemoveTeam])
        self.assertIn("2 workers take no new work", plan_texts[changes.ZoneOut])

    def test_last_operator_key_cannot_be_withdrawn(self):
        deployment = _deployment()
        change = changes.WithdrawKey("k-operator")
        reply = self._confirm(deployment, "d0", change)
        self.assertEqual(codes.Code.BAD_INPUT, reply.code)


class ChangeMachine(stateful.RuleBasedStateMachine):
    """Concurrent operators while daemons, links and the store fail."""

    @stateful.initialize()
    def initialize_deployment(self):
        self.original_page_entries = audits.PAGE_ENTRIES
        audits.PAGE_ENTRIES = 2
        self.deployment = _deployment()
        self.deployment.late_s = 1.0
        self.sent = {}
        self.accepted = [(0.0, 1)]
        self.highest_seen = {}

    def daemon_names(self):
        return sorted(self.deployment.daemons)

    def daemon_name(self, number):
        return self.daemon_names()[number % len(self.daemon_names())]

    @stateful.rule(
        number=strategies.integers(0, 9),
        behind=strategies.integers(0, 1),
        count=strategies.integers(1, 4),
        fault=strategies.sampled_from(("", "lost", "late")),
    )
    def confirm(self, number, behind, count, fault):
        self.deployment.store.lose_answers = int(fault == "lost")
        self.deployment.late_writes = int(fault == "late")
        name = self.daemon_name(number)
        for _ in range(count):
            base = max(0, self.deployment.daemons[name].config.number - behind)
            share = float(len(self.sent) + 2)
            handle = self.deployment.confirm(name, _set_share(share), base)
            self.sent[(name, handle)] = f"change-{handle}"
            self.run(3)

    @stateful.rule(number=strategies.integers(0, 9))
    def kill(self, number):
        if len(self.daemon_names()) > 1:
            name = self.daemon_name(number)
            self.deployment.kill(name)
            self.highest_seen.pop(name, None)

    @stateful.rule()
    def start(self):
        for name in sorted({"d0", "d1", "d2"} - set(self.deployment.daemons)):
            self.deployment.start(name)

    @stateful.rule(number=strategies.integers(0, 9))
    def pause(self, number):
        self.deployment.pause(self.daemon_name(number))

    @stateful.rule()
    def resume(self):
        for name in sorted(self.deployment.paused):
            self.deployment.resume(name)

    @stateful.rule(
        number=strategies.integers(0, 9),
        other=strategies.sampled_from(("store", "d0", "d1", "d2")),
    )
    def cut(self, number, other):
        self.deployment.cut(self.daemon_name(number), other)

    @stateful.rule()
    def heal(self):
        self.deployment.heal()
        self.deployment.store.down = False

    @stateful.rule()
    def outage(self):
        self.deployment.store.down = True

    @stateful.rule(tenths=strategies.integers(1, 60))
    def run(self, tenths):
        for _ in range(tenths):
            self.deployment.run(0.1)
            self.check_configuration_numbers()

    def check_configuration_numbers(self):
        """Checks the configuration number of each daemon.

        A daemon never returns to an older configuration, and one that
        considers its configuration current has all changes that were accepted
        at least PROPAGATION_S ago.
        """
        number = self.deployment.store.items["config"].value.number
        if number != self.accepted[-1][1]:
            assert number == self.accepted[-1][1] + 1
            self.accepted.append((self.deployment.now, number))
        required_number = max(
            number
            for at, number in self.accepted
            if at <= self.deployment.now - PROPAGATION_S or not at
        )
        for name, daemon in self.deployment.daemons.items():
            assert daemon.config.number >= self.highest_seen.get(name, 0)
            self.highest_seen[name] = daemon.config.number
            if name in self.deployment.paused:
                continue
            if freshness.is_current(daemon):
                assert daemon.config.number >= required_number, name

    def audit_trail(self):
        """Returns all audit entries, oldest first."""
        config = self.deployment.store.items["config"].value
        entries, page = list(config.audit), config.audit_page
        while page:
            document = self.deployment.store.items[page].value
            assert isinstance(document, documents.AuditPage)
            entries = document.entries + entries
            page = document.previous
        return entries

    def teardown(self):
        """Ends all faults and checks the final configuration and audit."""
        if not hasattr(self, "deployment"):
            return
        try:
            self.heal()
            self.resume()
            self.start()
            self.deployment.store.lose_answers = 0
            self.deployment.late_writes = 0
            self.deployment.run(20.0)
            self.check_final_state()
        finally:
            audits.PAGE_ENTRIES = self.original_page_entries

    def check_final_state(self):
        number = self.deployment.store.items["config"].value.number
        for daemon in self.deployment.daemons.values():
            assert daemon.config.number == number
        entries = self.audit_trail()
        numbers = [entry.revision_after for entry in entries]
        assert numbers == list(range(2, number + 1))
        recorded_ids = {entry.change_id for entry in entries}
        for call, change_id in self.sent.items():
            reply = self.deployment.replies.get(call)
            if reply is None:
                continue
            if reply.code == codes.Code.OK:
                assert change_id in recorded_ids
            elif reply.code != codes.Code.STORE_UNAVAILABLE:
                assert change_id not in recorded_ids, reply


ChangeMachineTest = ChangeMachine.TestCase
ChangeMachineTest.settings = hypothesis.settings(
    max_examples=20, stateful_step_count=20, deadline=None
)
