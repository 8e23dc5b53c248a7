"""Starting from an empty or partly written store, and after crashes."""

import hypothesis
from hypothesis import strategies
import testtools

from mimosaridge_core import audits
from mimosaridge_core import changes
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import keys
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

LIMIT = resources.Resources(slots=3)
NAMES = ("d0", "d1", "d2")


def _deployment() -> deployments.Deployment:
    team = configuration.Team("a", "north", 1.0, LIMIT)
    config = deployments.team_config([team])
    made = deployments.Deployment(fleets.small(), config)
    assert made.run_until(made.ready, 10.0)
    return made


def _restart_all(made: deployments.Deployment) -> None:
    for name in list(made.daemons):
        made.kill(name)
    made.run(8.0)
    for name in NAMES:
        made.start(name)
        made.daemons[name].bootstrap_key = "k-operator.secret"
    assert made.run_until(made.ready, 15.0)


class StoreTest(testtools.TestCase):
    """What a daemon makes of the store that it finds."""

    def _works(self, made: deployments.Deployment) -> None:
        """Checks that changes are accepted and work runs."""
        config = made.daemons["d1"].config
        if "a" not in config.teams:
            handle = made.confirm("d0", changes.CreateTeam("a", "north"))
            made.run(3.0)
            reply = made.replies[("d0", handle)]
            self.assertEqual(codes.Code.OK, reply.code)
        if "k-a" not in made.daemons["d1"].config.keys:
            digest = keys.digest(deployments.SALT, "secret")
            grant = changes.GrantKey(
                "k-a", keys.TEAM, "a", deployments.SALT, digest
            )
            made.confirm("d2", grant)
            made.run(3.0)
        handle = made.confirm("d1", changes.SetShare("a", 5.0))
        made.run(3.0)
        self.assertEqual(codes.Code.OK, made.replies[("d1", handle)].code)
        _, handle = made.submit("d2", "a")
        made.run(8.0)
        self.assertEqual(codes.Code.OK, made.replies[("d2", handle)].code)

    def test_an_empty_store_is_started_by_the_bootstrap_key(self):
        made = _deployment()
        for key in list(made.store.items):
            made.store._set(key, None, "")
        _restart_all(made)
        self._works(made)

    @hypothesis.settings(max_examples=12, deadline=None)
    @hypothesis.given(strategies.integers(0, 60))
    def test_a_crash_of_all_between_two_writes_leaves_a_clear_state(self, step):
        made = _deployment()
        made.run_s = lambda task: 0.5
        pages, audits.PAGE_ENTRIES = audits.PAGE_ENTRIES, 2
        try:
            last = made.store.writes + step
            for number in range(8):
                made.confirm("d0", changes.SetShare("a", number + 2.0))
                made.submit("d1", "a", kind=works.Kind.BATCH, count=3)
                crashed = made.run_until(lambda: made.store.writes >= last, 0.4)
                if crashed:
                    break
            _restart_all(made)
            self._works(made)
            self._audit_is_whole(made)
        finally:
            audits.PAGE_ENTRIES = pages

    def _audit_is_whole(self, made: deployments.Deployment) -> None:
        config = made.store.items["config"].value
        entries, page = list(config.audit), config.audit_page
        while page:
            document = made.store.items[page].value
            entries = document.entries + entries
            page = document.previous
        numbers = [entry.revision_after for entry in entries]
        self.assertEqual(list(range(2, config.number + 1)), numbers)

    @hypothesis.settings(max_examples=12, deadline=None)
    @hypothesis.given(strategies.randoms(use_true_random=False))
    def test_a_partly_written_store_is_taken_up(self, rng):
        made = _deployment()
        made.run_s = lambda task: 0.5
        made.submit("d0", "a", kind=works.Kind.BATCH, count=6)
        made.run(3.0)
        for key in sorted(made.store.items):
            if rng.random() < 0.4:
                made.store._set(key, None, "")
        _restart_all(made)
        self._works(made)
