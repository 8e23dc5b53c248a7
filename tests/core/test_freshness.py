"""A daemon knows whether its configuration is the latest."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import freshness
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

STALE_S = 10.0


def _deployment() -> deployments.Deployment:
    config = deployments.team_config([configuration.Team("a", "north")])
    made = deployments.Deployment(fleets.small(), config)
    assert made.run_until(made.ready, 10.0)
    return made


def _current(made: deployments.Deployment, name: str) -> bool:
    return freshness.is_current(made.daemons[name])


class FreshnessTest(testtools.TestCase):
    """Who may go on without word from the store."""

    def test_a_daemon_cut_off_from_all_stops_accepting(self):
        made = _deployment()
        for other in ("store", "d1", "d2"):
            made.cut("d0", other)
        made.run(STALE_S)
        self.assertFalse(_current(made, "d0"))
        self.assertTrue(_current(made, "d1"))
        _, handle = made.submit("d0", "a")
        made.run(1.0)
        reply = made.replies[("d0", handle)]
        self.assertEqual(codes.Code.STALE_CONFIG, reply.code)
        made.heal()
        made.run(STALE_S)
        self.assertTrue(_current(made, "d0"))

    def test_a_daemon_cut_off_from_the_store_has_word_from_peers(self):
        made = _deployment()
        made.cut("d0", "store")
        made.run(STALE_S)
        self.assertTrue(_current(made, "d0"))

    def test_all_go_on_through_an_outage_that_all_see(self):
        made = _deployment()
        made.store.down = True
        made.run(60.0)
        for name in made.daemons:
            self.assertTrue(_current(made, name))

    def test_the_death_of_a_daemon_in_an_outage_stops_no_other(self):
        made = _deployment()
        made.store.down = True
        made.run(STALE_S)
        made.kill("d2")
        made.run(STALE_S)
        self.assertTrue(_current(made, "d0"))

    def test_the_silence_of_a_daemon_in_an_outage_stops_the_others(self):
        made = _deployment()
        made.store.down = True
        made.pause("d2")
        made.run(STALE_S)
        self.assertFalse(_current(made, "d0"))

    def test_a_daemon_that_wakes_distrusts_what_waited_for_it(self):
        made = _deployment()
        made.pause("d0")
        made.run(3.0)
        for other in ("store", "d1", "d2"):
            made.cut("d0", other)
        made.run(60.0)
        made.resume("d0")
        made.run(0.2)
        self.assertFalse(_current(made, "d0"))
