"""Accounts of settled work survive the loss of the daemons."""

import testtools
from testtools import matchers

from mimosaridge_core import configuration
from mimosaridge_core import events
from mimosaridge_core import tunables
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

TUNING = tunables.Tunables(retention_s=20.0)


class ArchiveTest(testtools.TestCase):
    """Explanations after all daemons restarted or dropped the work."""

    def setUp(self):
        super().setUp()
        config = deployments.team_config([configuration.Team("a", "north")])
        self.deployment = deployments.Deployment(
            fleets.small(), config, tuning=TUNING
        )
        assert self.deployment.run_until(self.deployment.ready, 10.0)

    def _explain(self, work_id):
        self.deployment.handle += 1
        handle = self.deployment.handle
        event = events.ExplainRequested(0, handle, "k-a.secret", work_id)
        self.deployment.post("d0", event)
        self.deployment.run(2.0)
        payload = self.deployment.replies[("d0", handle)].payload
        return " ".join(line.text for line in payload.lines)

    def _replace_all(self):
        for name in list(self.deployment.daemons):
            self.deployment.kill(name)
        self.deployment.run(10.0)
        for number in range(3):
            self.deployment.start(f"d{number}")
        assert self.deployment.run_until(self.deployment.ready, 60.0)

    def _assert_complete_account(self, text):
        for expected in (
            "for team a, through d1",
            "Placed on worker",
            "Ended as done",
        ):
            self.assertThat(text, matchers.Contains(expected))

    def test_account_survives_replacement_of_all_daemons(self):
        work_id, _ = self.deployment.submit("d1", "a", idempotent=False)
        self.deployment.run(5.0)
        self._replace_all()
        self._assert_complete_account(self._explain(work_id))

    def test_account_is_kept_after_daemons_drop_the_work(self):
        work_id, _ = self.deployment.submit("d1", "a", idempotent=False)
        self.deployment.run(60.0)
        holders = [
            d for d in self.deployment.daemons.values() if work_id in d.works
        ]
        self.assertEqual([], holders)
        self._replace_all()
        self._assert_complete_account(self._explain(work_id))

    def test_new_home_archives_work_settled_by_a_failed_home(self):
        work_id, _ = self.deployment.submit(
            "d1", "a", kind=works.Kind.BATCH, count=2
        )
        done = self.deployment.run_until(lambda: self._is_settled(work_id), 5.0)
        self.assertTrue(done)
        self._replace_all()
        self.deployment.run(10.0)
        text = self._explain(work_id)
        self.assertThat(text, matchers.Contains("All 2 tasks ended well"))

    def _is_settled(self, work_id):
        items = self.deployment.store.items.items()
        ledgers = [v.value for k, v in items if k.startswith("ledgers/")]
        entries = [e.entries[work_id] for e in ledgers if work_id in e.entries]
        return any(entry.outcome for entry in entries)

    def test_work_is_not_dropped_before_its_account_is_stored(self):
        original_write = self.deployment.store.write
        self.deployment.store.write = self._drop_account_writes
        work_id, _ = self.deployment.submit("d1", "a", idempotent=False)
        self.deployment.run(60.0)
        self.deployment.store.write = original_write
        self._replace_all()
        self.deployment.run(10.0)
        text = self._explain(work_id)
        self.assertThat(text, matchers.Contains("It was done"))

    def _drop_account_writes(self, effect, lease, now):
        if effect.key.startswith("accounts/"):
            return events.StoreAnswered(now, effect.op_id, "unknown")
        return type(self.deployment.store).write(
            self.deployment.store, effect, lease, now
        )
