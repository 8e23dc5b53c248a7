"""Authorization by keys, and the withdrawal of keys."""

import hypothesis
from hypothesis import strategies
import testtools

from mimosaridge_core import changes
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import events
from mimosaridge_core import keys
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

PROPAGATION_S = 7.0


def _deployment() -> deployments.Deployment:
    config = deployments.team_config(
        [configuration.Team("a", "north"), configuration.Team("b", "south")]
    )
    config.queues["open"] = configuration.Queue("open", "b")
    config.keys["k-analyst"] = configuration.Key(
        "k-analyst",
        keys.ANALYST,
        "",
        deployments.SALT,
        keys.digest(deployments.SALT, "secret"),
    )
    deployment = deployments.Deployment(fleets.small(), config)
    assert deployment.run_until(deployment.ready, 10.0)
    return deployment


class KeyTest(testtools.TestCase):
    """Which keys may submit, cancel and read, and until when."""

    def _submit(self, deployment, name, team, **fields):
        _, handle = deployment.submit(name, team, **fields)
        deployment.run(2.0)
        return deployment.replies[(name, handle)].code

    def test_key_submits_for_its_own_team_only(self):
        deployment = _deployment()
        self.assertEqual(codes.Code.OK, self._submit(deployment, "d0", "a"))
        for token in ("k-b.secret", "k-operator.secret", "k-analyst.secret"):
            code = self._submit(deployment, "d0", "a", token=token)
            self.assertEqual(codes.Code.WRONG_TEAM, code)
        for token in ("", "k-a", "k-a.", "k-a.Secret", "nobody.secret"):
            code = self._submit(deployment, "d0", "a", token=token)
            self.assertEqual(codes.Code.BAD_KEY, code)

    def test_open_queue_needs_no_key_until_it_is_closed(self):
        deployment = _deployment()
        open_queue = {"queue": "open", "token": ""}
        code = self._submit(deployment, "d1", "", **open_queue)
        self.assertEqual(codes.Code.OK, code)
        deployment.confirm("d0", changes.CloseQueue("open"))
        deployment.run(PROPAGATION_S)
        code = self._submit(deployment, "d1", "", **open_queue)
        self.assertEqual(codes.Code.WRONG_TEAM, code)

    def _withdraw_key(self, deployment, *unreachable):
        for other in unreachable:
            deployment.cut("d2", other)
        deployment.confirm("d0", changes.WithdrawKey("k-a"))
        deployment.run(PROPAGATION_S)

    def test_withdrawn_key_is_refused_by_every_daemon(self):
        deployment = _deployment()
        self._withdraw_key(deployment)
        for name in deployment.daemons:
            code = self._submit(deployment, name, "a")
            self.assertEqual(codes.Code.BAD_KEY, code)

    def test_withdrawn_key_is_refused_with_one_reachable_peer(self):
        deployment = _deployment()
        self._withdraw_key(deployment, "store", "d0")
        code = self._submit(deployment, "d2", "a")
        self.assertEqual(codes.Code.BAD_KEY, code)

    def test_withdrawn_key_is_refused_by_an_isolated_daemon(self):
        deployment = _deployment()
        self._withdraw_key(deployment, "store", "d0", "d1")
        code = self._submit(deployment, "d2", "a")
        self.assertEqual(codes.Code.STALE_CONFIG, code)

    def test_withdrawn_key_is_refused_by_a_resumed_daemon(self):
        deployment = _deployment()
        deployment.pause("d2")
        _, handle = deployment.submit("d2", "a")
        self._withdraw_key(deployment)
        deployment.resume("d2")
        deployment.run(2.0)
        code = deployment.replies[("d2", handle)].code
        self.assertIn(code, (codes.Code.STALE_CONFIG, codes.Code.BAD_KEY))

    def test_key_cancels_work_of_its_own_team_only(self):
        deployment = _deployment()
        deployment.run_s = lambda task: None
        work_id, _ = deployment.submit("d0", "a", kind=works.Kind.BATCH)
        deployment.run(2.0)
        deployment.cancel("d1", "b", work_id)
        deployment.run(3.0)
        self.assertEqual(1, deployment.running("a").slots)
        deployment.cancel("d1", "a", work_id)
        deployment.run(3.0)
        self.assertEqual(0, deployment.running("a").slots)

    def test_keys_are_listed_without_their_secrets(self):
        deployment = _deployment()
        deployment.post(
            "d0",
            events.ConfigRequested(
                deployment.now, 900, "k-analyst.secret", "keys"
            ),
        )
        deployment.post(
            "d0",
            events.ConfigRequested(deployment.now, 901, "k-a.secret", "keys"),
        )
        deployment.run(0.1)
        listing = deployment.replies[("d0", 900)].payload
        self.assertEqual(4, len(listing.items))
        self.assertNotIn("digest", repr(listing))
        refusal_code = deployment.replies[("d0", 901)].code
        self.assertEqual(codes.Code.NOT_ALLOWED, refusal_code)

    @hypothesis.given(
        secret=strategies.text(min_size=1), presented=strategies.text()
    )
    def test_only_the_exact_secret_is_accepted(self, secret, presented):
        config = configuration.Config()
        config.keys["k"] = configuration.Key(
            "k", keys.TEAM, "a", "salt", keys.digest("salt", secret)
        )
        holder = keys.verify(config, f"k.{presented}")
        self.assertEqual(secret == presented, holder is not None)

    def test_first_operator_key_disables_the_bootstrap_key(self):
        config = configuration.Config()
        found = keys.verify_administrator(config, "first", "first")
        self.assertEqual(keys.OPERATOR, found.role)
        changes.GrantKey("k", keys.OPERATOR, "", "s", "d").apply(config)
        self.assertIsNone(keys.verify_administrator(config, "first", "first"))
