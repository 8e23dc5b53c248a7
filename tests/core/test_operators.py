"""Changes: in force everywhere, never reverted, audited in the same swap."""

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

SPREAD_S = 9.0


def _deployment() -> deployments.Deployment:
    config = deployments.team_config([configuration.Team("a", "north")])
    made = deployments.Deployment(fleets.small(), config)
    assert made.run_until(made.ready, 10.0)
    return made


def _share(value: float) -> changes.SetShare:
    return changes.SetShare("a", value)


class ChangeTest(testtools.TestCase):
    """Single changes under single faults."""

    def _confirm(self, made, name, change, base=-1, seconds=3.0):
        handle = made.confirm(name, change, base)
        made.run(seconds)
        return made.replies[(name, handle)]

    def test_of_two_racing_operators_one_gets_a_conflict_and_a_new_plan(self):
        made = _deployment()
        one = made.confirm("d0", _share(2.0))
        two = made.confirm("d1", _share(3.0))
        made.run(3.0)
        replies = [made.replies[("d0", one)], made.replies[("d1", two)]]
        replies.sort(key=lambda reply: reply.code)
        self.assertEqual(codes.Code.OK, replies[0].code)
        self.assertEqual(codes.Code.CONFLICT, replies[1].code)
        self.assertEqual(2, replies[1].payload.base_number)

    def test_the_answer_says_where_a_change_is_in_force(self):
        made = _deployment()
        for other in ("d0", "d1", "store"):
            made.cut("d2", other)
        reply = self._confirm(made, "d0", _share(2.0))
        self.assertEqual(["d0", "d1"], reply.payload.in_force)
        self.assertEqual(["d2"], reply.payload.missing)

    def test_a_daemon_that_is_behind_reads_before_it_refuses(self):
        made = _deployment()
        for other in ("d0", "d1", "store"):
            made.cut("d2", other)
        self._confirm(made, "d0", _share(2.0))
        made.heal()
        reply = self._confirm(made, "d2", _share(3.0), base=2)
        self.assertEqual(codes.Code.OK, reply.code)
        self.assertEqual(3, made.daemons["d0"].config.number)

    def test_a_lost_answer_is_settled_also_under_another_change(self):
        made = _deployment()
        original = made.store.write
        lost = []

        def losing(effect, lease, now):
            answer = original(effect, lease, now)
            if effect.key != "config" or lost:
                return answer
            lost.append(effect)
            return events.StoreAnswered(now, effect.op_id, "unknown")

        made.store.write = losing
        one = made.confirm("d0", _share(2.0))
        made.run(0.2)
        reply = self._confirm(made, "d1", _share(3.0), base=2)
        self.assertEqual(codes.Code.OK, reply.code)
        self.assertEqual(codes.Code.OK, made.replies[("d0", one)].code)
        self.assertEqual(2, made.replies[("d0", one)].payload.number)

    def test_a_confirm_sent_twice_is_made_once(self):
        made = _deployment()
        made.confirm("d0", _share(2.0))
        made.handle -= 1
        made.confirm("d1", _share(2.0))
        made.run(3.0)
        self.assertEqual(2, made.daemons["d0"].config.number)

    def test_an_expired_plan_is_refused(self):
        made = _deployment()
        made.pause("d0")
        handle = made.confirm("d0", _share(2.0))
        made.run(made.tuning.plan_lifetime_s + 1.0)
        made.resume("d0")
        made.run(1.0)
        reply = made.replies[("d0", handle)]
        self.assertEqual(codes.Code.PLAN_EXPIRED, reply.code)

    def test_an_outage_is_told_and_nothing_changes(self):
        made = _deployment()
        made.store.down = True
        reply = self._confirm(made, "d0", _share(2.0), seconds=12.0)
        self.assertEqual(codes.Code.STORE_UNAVAILABLE, reply.code)
        self.assertEqual(1, made.daemons["d0"].config.number)

    def test_an_older_or_missing_document_does_not_revert_what_is_in_force(
        self,
    ):
        for document in (configuration.Config(number=1), None):
            made = _deployment()
            self._confirm(made, "d0", _share(2.0))
            made.store._set("config", document, "")
            made.run(3.0)
            for daemon in made.daemons.values():
                self.assertEqual(2, daemon.config.number)
            reply = self._confirm(made, "d1", _share(3.0))
            self.assertEqual(codes.Code.OK, reply.code)
            stored = made.store.items["config"].value
            self.assertEqual((3, 3.0), (stored.number, stored.teams["a"].share))

    def test_an_unreadable_document_is_replaced_by_the_next_change(self):
        made = _deployment()
        revision = made.store._set("config", configuration.Config(), "")
        revision = made.store.revision
        for name in made.daemons:
            made.post(name, events.StoreUnreadable(0, "config", revision))
        reply = self._confirm(made, "d1", _share(3.0))
        self.assertEqual(codes.Code.OK, reply.code)
        self.assertEqual(2, made.daemons["d2"].config.number)

    def test_a_restored_snapshot_goes_on_from_the_present_number(self):
        made = _deployment()
        exported = snapshots.export(made.store.items["config"].value)
        self._confirm(made, "d0", _share(7.0))
        bad = changes.Restore(exported.snapshot, "0" * 64)
        self.assertEqual(
            codes.Code.BAD_INPUT, self._confirm(made, "d0", bad).code
        )
        good = changes.Restore(exported.snapshot, exported.checksum)
        self.assertEqual(codes.Code.OK, self._confirm(made, "d1", good).code)
        config = made.daemons["d2"].config
        self.assertEqual((3, 1.0), (config.number, config.teams["a"].share))
        self.assertEqual(2, len(config.audit))

    def test_a_snapshot_restores_into_an_empty_store(self):
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

    def test_a_worker_set_aside_takes_no_new_work_until_it_is_back(self):
        made = _deployment()
        made.run_s = lambda task: None
        self._confirm(made, "d0", changes.WorkerOut("w0-0"))
        for _ in range(30):
            made.submit("d1", "a")
        made.run(5.0)
        self.assertEqual(0, len(made.workers["w0-0"].starts))
        self._confirm(made, "d2", changes.WorkerIn("w0-0"))
        made.run(5.0)
        self.assertGreater(len(made.workers["w0-0"].starts), 0)

    def test_plans_say_what_stops_and_what_breaks(self):
        made = _deployment()
        made.run_s = lambda task: None
        for _ in range(6):
            made.submit("d1", "a")
        made.run(2.0)
        told = {}
        for change in (
            changes.SetLimit("a", resources.Resources(slots=2)),
            changes.WithdrawKey("k-a"),
            changes.RemoveTeam("a"),
            changes.ZoneOut("z0"),
        ):
            made.handle += 1
            event = events.PlanRequested(
                made.now, made.handle, "k-operator.secret", change
            )
            made.post("d0", event)
            made.run(0.1)
            plan = made.replies[("d0", made.handle)].payload
            told[type(change)] = " ".join(plan.lines)
        self.assertIn("newest batch work", told[changes.SetLimit])
        self.assertIn("no key left", told[changes.WithdrawKey])
        self.assertIn("key k-a stops working", told[changes.RemoveTeam])
        self.assertIn("2 workers take no new work", told[changes.ZoneOut])

    def test_the_last_operators_key_is_not_withdrawn(self):
        made = _deployment()
        change = changes.WithdrawKey("k-operator")
        reply = self._confirm(made, "d0", change)
        self.assertEqual(codes.Code.BAD_INPUT, reply.code)


class ChangeMachine(stateful.RuleBasedStateMachine):
    """Racing operators while daemons and the store fail."""

    @stateful.initialize()
    def begin(self):
        self.pages = audits.PAGE_ENTRIES
        audits.PAGE_ENTRIES = 2
        self.made = _deployment()
        self.made.late_s = 1.0
        self.sent = {}
        self.accepted = [(0.0, 1)]
        self.highest = {}

    def names(self):
        return sorted(self.made.daemons)

    def pick(self, number):
        return self.names()[number % len(self.names())]

    @stateful.rule(
        number=strategies.integers(0, 9),
        behind=strategies.integers(0, 1),
        count=strategies.integers(1, 4),
        fault=strategies.sampled_from(("", "lost", "late")),
    )
    def confirm(self, number, behind, count, fault):
        self.made.store.lose_answers = int(fault == "lost")
        self.made.late_writes = int(fault == "late")
        name = self.pick(number)
        for _ in range(count):
            base = max(0, self.made.daemons[name].config.number - behind)
            share = float(len(self.sent) + 2)
            handle = self.made.confirm(name, _share(share), base)
            self.sent[(name, handle)] = f"change-{handle}"
            self.run(3)

    @stateful.rule(number=strategies.integers(0, 9))
    def kill(self, number):
        if len(self.names()) > 1:
            name = self.pick(number)
            self.made.kill(name)
            self.highest.pop(name, None)

    @stateful.rule()
    def start(self):
        for name in sorted({"d0", "d1", "d2"} - set(self.made.daemons)):
            self.made.start(name)

    @stateful.rule(number=strategies.integers(0, 9))
    def pause(self, number):
        self.made.pause(self.pick(number))

    @stateful.rule()
    def resume(self):
        for name in sorted(self.made.paused):
            self.made.resume(name)

    @stateful.rule(
        number=strategies.integers(0, 9),
        other=strategies.sampled_from(("store", "d0", "d1", "d2")),
    )
    def cut(self, number, other):
        self.made.cut(self.pick(number), other)

    @stateful.rule()
    def heal(self):
        self.made.heal()
        self.made.store.down = False

    @stateful.rule()
    def outage(self):
        self.made.store.down = True

    @stateful.rule(tenths=strategies.integers(1, 60))
    def run(self, tenths):
        for _ in range(tenths):
            self.made.run(0.1)
            self.look()

    def look(self):
        """No daemon goes back, or acts long on what is no longer in force."""
        number = self.made.store.items["config"].value.number
        if number != self.accepted[-1][1]:
            assert number == self.accepted[-1][1] + 1
            self.accepted.append((self.made.now, number))
        due = max(
            number
            for at, number in self.accepted
            if at <= self.made.now - SPREAD_S or not at
        )
        for name, daemon in self.made.daemons.items():
            assert daemon.config.number >= self.highest.get(name, 0)
            self.highest[name] = daemon.config.number
            if name in self.made.paused:
                continue
            if freshness.is_current(daemon):
                assert daemon.config.number >= due, name

    def trail(self):
        """Returns the whole audit trail, oldest first."""
        config = self.made.store.items["config"].value
        entries, page = list(config.audit), config.audit_page
        while page:
            document = self.made.store.items[page].value
            assert isinstance(document, documents.AuditPage)
            entries = document.entries + entries
            page = document.previous
        return entries

    def teardown(self):
        """All agree in the end, and the audit tells all that was accepted."""
        if not hasattr(self, "made"):
            return
        try:
            self.heal()
            self.resume()
            self.start()
            self.made.store.lose_answers = 0
            self.made.late_writes = 0
            self.made.run(20.0)
            self.settle()
        finally:
            audits.PAGE_ENTRIES = self.pages

    def settle(self):
        number = self.made.store.items["config"].value.number
        for daemon in self.made.daemons.values():
            assert daemon.config.number == number
        trail = self.trail()
        numbers = [entry.revision_after for entry in trail]
        assert numbers == list(range(2, number + 1))
        made = {entry.change_id for entry in trail}
        for call, change_id in self.sent.items():
            reply = self.made.replies.get(call)
            if reply is None:
                continue
            if reply.code == codes.Code.OK:
                assert change_id in made
            elif reply.code != codes.Code.STORE_UNAVAILABLE:
                assert change_id not in made, reply


ChangeMachineTest = ChangeMachine.TestCase
ChangeMachineTest.settings = hypothesis.settings(
    max_examples=20, stateful_step_count=20, deadline=None
)
