"""Recovery from an empty or partly written store and from crashes."""

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
DAEMONS = ("d0", "d1", "d2")


def _deployment() -> deployments.Deployment:
    team = configuration.Team("a", "north", 1.0, LIMIT)
    config = deployments.team_config([team])
    deployment = deployments.Deployment(fleets.small(), config)
    assert deployment.run_until(deployment.ready, 10.0)
    return deployment


def _restart_all(deployment: deployments.Deployment) -> None:
    for name in list(deployment.daemons):
        deployment.kill(name)
    deployment.run(8.0)
    for name in DAEMONS:
        deployment.start(name)
        deployment.daemons[name].bootstrap_key = "k-operator.secret"
    assert deployment.run_until(deployment.ready, 15.0)


class StoreTest(testtools.TestCase):
    """Restart of all daemons on an incomplete store."""

    def _check_changes_and_work(
        self, deployment: deployments.Deployment
    ) -> None:
        """Checks that changes are accepted and that work runs.

        Creates the team and its key if the store no longer has them.
        """
        config = deployment.daemons["d1"].config
        if "a" not in config.teams:
            handle = deployment.confirm("d0", changes.CreateTeam("a", "north"))
            deployment.run(3.0)
            reply = deployment.replies[("d0", handle)]
            self.assertEqual(codes.Code.OK, reply.code)
        if "k-a" not in deployment.daemons["d1"].config.keys:
            digest = keys.digest(deployments.SALT, "secret")
            grant = changes.GrantKey(
                "k-a", keys.TEAM, "a", deployments.SALT, digest
            )
            deployment.confirm("d2", grant)
            deployment.run(3.0)
        handle = deployment.confirm("d1", changes.SetShare("a", 5.0))
        deployment.run(3.0)
        self.assertEqual(codes.Code.OK, deployment.replies[("d1", handle)].code)
        _, handle = deployment.submit("d2", "a")
        deployment.run(8.0)
        self.assertEqual(codes.Code.OK, deployment.replies[("d2", handle)].code)

    def test_bootstrap_key_initializes_an_empty_store(self):
        deployment = _deployment()
        for key in list(deployment.store.items):
            deployment.store._set(key, None, "")
        _restart_all(deployment)
        self._check_changes_and_work(deployment)

    @hypothesis.settings(max_examples=12, deadline=None)
    @hypothesis.given(strategies.integers(0, 60))
    def test_crash_of_all_daemons_between_writes_is_recoverable(self, step):
        deployment = _deployment()
        deployment.run_s = lambda task: 0.5
        original_page_entries, audits.PAGE_ENTRIES = audits.PAGE_ENTRIES, 2
        try:
            crash_at = deployment.store.writes + step
            for number in range(8):
                deployment.confirm("d0", changes.SetShare("a", number + 2.0))
                deployment.submit("d1", "a", kind=works.Kind.BATCH, count=3)
                crashed = deployment.run_until(
                    lambda: deployment.store.writes >= crash_at, 0.4
                )
                if crashed:
                    break
            _restart_all(deployment)
            self._check_changes_and_work(deployment)
            self._check_audit_is_complete(deployment)
        finally:
            audits.PAGE_ENTRIES = original_page_entries

    def _check_audit_is_complete(
        self, deployment: deployments.Deployment
    ) -> None:
        config = deployment.store.items["config"].value
        entries, page = list(config.audit), config.audit_page
        while page:
            document = deployment.store.items[page].value
            entries = document.entries + entries
            page = document.previous
        numbers = [entry.revision_after for entry in entries]
        self.assertEqual(list(range(2, config.number + 1)), numbers)

    @hypothesis.settings(max_examples=12, deadline=None)
    @hypothesis.given(strategies.randoms(use_true_random=False))
    def test_partly_written_store_is_recoverable(self, rng):
        deployment = _deployment()
        deployment.run_s = lambda task: 0.5
        deployment.submit("d0", "a", kind=works.Kind.BATCH, count=6)
        deployment.run(3.0)
        for key in sorted(deployment.store.items):
            if rng.random() < 0.4:
                deployment.store._set(key, None, "")
        _restart_all(deployment)
        self._check_changes_and_work(deployment)
