"""How often ledgers are written."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import tunables
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

REQUESTS = 20
GAP_S = 0.12


class LedgerWritesTest(testtools.TestCase):
    """Writes of one bucket under a stream of requests."""

    def test_outcomes_that_nobody_waits_for_go_with_a_later_write(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        tuning = tunables.Tunables(buckets=1)
        made = deployments.Deployment(
            fleets.small(), config, daemons=1, tuning=tuning
        )
        assert made.run_until(made.ready, 10.0)
        made.run_s = lambda task: 0.02
        before = len(made.store.changes)
        calls = []
        for _ in range(REQUESTS):
            _, handle = made.submit("d0", "a")
            calls.append(("d0", handle))
            made.run(GAP_S)
        for call in calls:
            self.assertEqual(codes.Code.OK, made.replies[call].code)
        made.run(1.0)
        writes = [
            key
            for key, _, _ in made.store.changes[before:]
            if key.startswith(documents.LEDGERS)
        ]
        self.assertLessEqual(len(writes), REQUESTS + 2)
        (bucket,) = made.daemons["d0"].buckets.values()
        self.assertFalse(bucket.dirty)
