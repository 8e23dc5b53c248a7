"""Number of ledger writes."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import tunables
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

REQUESTS = 20
REQUEST_INTERVAL_S = 0.12


class LedgerWritesTest(testtools.TestCase):
    """Ledger writes of one bucket during a series of requests."""

    def test_outcomes_without_a_waiting_caller_share_a_later_write(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        tuning = tunables.Tunables(buckets=1)
        deployment = deployments.Deployment(
            fleets.small(), config, daemons=1, tuning=tuning
        )
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run_s = lambda task: 0.02
        changes_before = len(deployment.store.changes)
        calls = []
        for _ in range(REQUESTS):
            _, handle = deployment.submit("d0", "a")
            calls.append(("d0", handle))
            deployment.run(REQUEST_INTERVAL_S)
        for call in calls:
            self.assertEqual(codes.Code.OK, deployment.replies[call].code)
        deployment.run(1.0)
        writes = [
            key
            for key, _, _ in deployment.store.changes[changes_before:]
            if key.startswith(documents.LEDGERS)
        ]
        self.assertLessEqual(len(writes), REQUESTS + 2)
        (bucket,) = deployment.daemons["d0"].buckets.values()
        self.assertFalse(bucket.dirty)
