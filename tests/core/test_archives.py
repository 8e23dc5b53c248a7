"""Accounts of settled work outlive the daemons that decided."""

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
    """Explanations after all daemons were replaced or have forgotten."""

    def setUp(self):
        super().setUp()
        config = deployments.team_config([configuration.Team("a", "north")])
        self.made = deployments.Deployment(
            fleets.small(), config, tuning=TUNING
        )
        assert self.made.run_until(self.made.ready, 10.0)

    def _explained(self, work_id):
        self.made.handle += 1
        handle = self.made.handle
        event = events.ExplainRequested(0, handle, "k-a.secret", work_id)
        self.made.post("d0", event)
        self.made.run(2.0)
        payload = self.made.replies[("d0", handle)].payload
        return " ".join(line.text for line in payload.lines)

    def _replace_all(self):
        for name in list(self.made.daemons):
            self.made.kill(name)
        self.made.run(10.0)
        for number in range(3):
            self.made.start(f"d{number}")
        assert self.made.run_until(self.made.ready, 60.0)

    def _tells_all(self, text):
        for part in (
            "for team a, through d1",
            "Placed on worker",
            "Ended as done",
        ):
            self.assertThat(text, matchers.Contains(part))

    def test_an_account_outlives_every_daemon(self):
        work_id, _ = self.made.submit("d1", "a", idempotent=False)
        self.made.run(5.0)
        self._replace_all()
        self._tells_all(self._explained(work_id))

    def test_an_account_is_kept_when_its_work_is_forgotten(self):
        work_id, _ = self.made.submit("d1", "a", idempotent=False)
        self.made.run(60.0)
        homes = [d for d in self.made.daemons.values() if work_id in d.works]
        self.assertEqual([], homes)
        self._replace_all()
        self._tells_all(self._explained(work_id))

    def test_work_settled_before_its_home_died_is_archived_by_the_next(self):
        work_id, _ = self.made.submit("d1", "a", kind=works.Kind.BATCH, count=2)
        done = self.made.run_until(lambda: self._is_settled(work_id), 5.0)
        self.assertTrue(done)
        self._replace_all()
        self.made.run(10.0)
        text = self._explained(work_id)
        self.assertThat(text, matchers.Contains("All 2 tasks ended well"))

    def _is_settled(self, work_id):
        items = self.made.store.items.items()
        ledgers = [v.value for k, v in items if k.startswith("ledgers/")]
        entries = [e.entries[work_id] for e in ledgers if work_id in e.entries]
        return any(entry.outcome for entry in entries)

    def test_work_is_not_forgotten_before_the_store_has_its_account(self):
        write = self.made.store.write
        self.made.store.write = self._refuse_accounts
        work_id, _ = self.made.submit("d1", "a", idempotent=False)
        self.made.run(60.0)
        self.made.store.write = write
        self._replace_all()
        self.made.run(10.0)
        text = self._explained(work_id)
        self.assertThat(text, matchers.Contains("It was done"))

    def _refuse_accounts(self, effect, lease, now):
        if effect.key.startswith("accounts/"):
            return events.StoreAnswered(now, effect.op_id, "unknown")
        return type(self.made.store).write(self.made.store, effect, lease, now)
