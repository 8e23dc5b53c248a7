"""Detection of outdated configuration by a daemon."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import freshness
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

STALE_AFTER_S = 10.0


def _deployment() -> deployments.Deployment:
    config = deployments.team_config([configuration.Team("a", "north")])
    deployment = deployments.Deployment(fleets.small(), config)
    assert deployment.run_until(deployment.ready, 10.0)
    return deployment


def _is_current(deployment: deployments.Deployment, name: str) -> bool:
    return freshness.is_current(deployment.daemons[name])


class FreshnessTest(testtools.TestCase):
    """Which daemons may accept work without contact to the store."""

    def test_fully_isolated_daemon_stops_accepting_work(self):
        deployment = _deployment()
        for other in ("store", "d1", "d2"):
            deployment.cut("d0", other)
        deployment.run(STALE_AFTER_S)
        self.assertFalse(_is_current(deployment, "d0"))
        self.assertTrue(_is_current(deployment, "d1"))
        _, handle = deployment.submit("d0", "a")
        deployment.run(1.0)
        reply = deployment.replies[("d0", handle)]
        self.assertEqual(codes.Code.STALE_CONFIG, reply.code)
        deployment.heal()
        deployment.run(STALE_AFTER_S)
        self.assertTrue(_is_current(deployment, "d0"))

    def test_daemon_cut_off_from_the_store_relies_on_its_peers(self):
        deployment = _deployment()
        deployment.cut("d0", "store")
        deployment.run(STALE_AFTER_S)
        self.assertTrue(_is_current(deployment, "d0"))

    def test_all_daemons_continue_through_a_store_outage(self):
        deployment = _deployment()
        deployment.store.down = True
        deployment.run(60.0)
        for name in deployment.daemons:
            self.assertTrue(_is_current(deployment, name))

    def test_daemon_exit_during_an_outage_stops_no_other_daemon(self):
        deployment = _deployment()
        deployment.store.down = True
        deployment.run(STALE_AFTER_S)
        deployment.kill("d2")
        deployment.run(STALE_AFTER_S)
        self.assertTrue(_is_current(deployment, "d0"))

    def test_unresponsive_daemon_during_an_outage_stops_the_others(self):
        deployment = _deployment()
        deployment.store.down = True
        deployment.pause("d2")
        deployment.run(STALE_AFTER_S)
        self.assertFalse(_is_current(deployment, "d0"))

    def test_resumed_daemon_does_not_trust_its_queued_events(self):
        deployment = _deployment()
        deployment.pause("d0")
        deployment.run(3.0)
        for other in ("store", "d1", "d2"):
            deployment.cut("d0", other)
        deployment.run(60.0)
        deployment.resume("d0")
        deployment.run(0.2)
        self.assertFalse(_is_current(deployment, "d0"))
