"""Work is accepted only for the key's team; a withdrawn key stops."""

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

SECONDS = 7.0


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
    made = deployments.Deployment(fleets.small(), config)
    assert made.run_until(made.ready, 10.0)
    return made


class KeyTest(testtools.TestCase):
    """Who may submit, and until when."""

    def _submit(self, made, name, team, **fields):
        _, handle = made.submit(name, team, **fields)
        made.run(2.0)
        return made.replies[(name, handle)].code

    def test_a_key_submits_for_its_own_team_only(self):
        made = _deployment()
        self.assertEqual(codes.Code.OK, self._submit(made, "d0", "a"))
        for token in ("k-b.secret", "k-operator.secret", "k-analyst.secret"):
            code = self._submit(made, "d0", "a", token=token)
            self.assertEqual(codes.Code.WRONG_TEAM, code)
        for token in ("", "k-a", "k-a.", "k-a.Secret", "nobody.secret"):
            code = self._submit(made, "d0", "a", token=token)
            self.assertEqual(codes.Code.BAD_KEY, code)

    def test_a_queue_open_to_all_needs_no_key_until_it_closes(self):
        made = _deployment()
        open_queue = {"queue": "open", "token": ""}
        code = self._submit(made, "d1", "", **open_queue)
        self.assertEqual(codes.Code.OK, code)
        made.confirm("d0", changes.CloseQueue("open"))
        made.run(SECONDS)
        code = self._submit(made, "d1", "", **open_queue)
        self.assertEqual(codes.Code.WRONG_TEAM, code)

    def _withdraw(self, made, *cuts):
        for other in cuts:
            made.cut("d2", other)
        made.confirm("d0", changes.WithdrawKey("k-a"))
        made.run(SECONDS)

    def test_a_withdrawn_key_stops_at_every_daemon(self):
        made = _deployment()
        self._withdraw(made)
        for name in made.daemons:
            code = self._submit(made, name, "a")
            self.assertEqual(codes.Code.BAD_KEY, code)

    def test_a_withdrawn_key_stops_where_only_a_peer_is_heard(self):
        made = _deployment()
        self._withdraw(made, "store", "d0")
        code = self._submit(made, "d2", "a")
        self.assertEqual(codes.Code.BAD_KEY, code)

    def test_a_withdrawn_key_stops_where_nothing_is_heard(self):
        made = _deployment()
        self._withdraw(made, "store", "d0", "d1")
        code = self._submit(made, "d2", "a")
        self.assertEqual(codes.Code.STALE_CONFIG, code)

    def test_a_withdrawn_key_stops_at_a_daemon_that_was_paused(self):
        made = _deployment()
        made.pause("d2")
        _, handle = made.submit("d2", "a")
        self._withdraw(made)
        made.resume("d2")
        made.run(2.0)
        code = made.replies[("d2", handle)].code
        self.assertIn(code, (codes.Code.STALE_CONFIG, codes.Code.BAD_KEY))

    def test_a_key_cancels_its_own_teams_work_only(self):
        made = _deployment()
        made.run_s = lambda task: None
        work_id, _ = made.submit("d0", "a", kind=works.Kind.BATCH)
        made.run(2.0)
        made.cancel("d1", "b", work_id)
        made.run(3.0)
        self.assertEqual(1, made.running("a").slots)
        made.cancel("d1", "a", work_id)
        made.run(3.0)
        self.assertEqual(0, made.running("a").slots)

    def test_keys_are_listed_without_their_secrets(self):
        made = _deployment()
        made.post(
            "d0",
            events.ConfigRequested(made.now, 900, "k-analyst.secret", "keys"),
        )
        made.post(
            "d0", events.ConfigRequested(made.now, 901, "k-a.secret", "keys")
        )
        made.run(0.1)
        listing = made.replies[("d0", 900)].payload
        self.assertEqual(4, len(listing.items))
        self.assertNotIn("digest", repr(listing))
        refused = made.replies[("d0", 901)].code
        self.assertEqual(codes.Code.NOT_ALLOWED, refused)

    @hypothesis.given(
        secret=strategies.text(min_size=1), shown=strategies.text()
    )
    def test_only_the_secret_itself_opens(self, secret, shown):
        config = configuration.Config()
        config.keys["k"] = configuration.Key(
            "k", keys.TEAM, "a", "salt", keys.digest("salt", secret)
        )
        holder = keys.verify(config, f"k.{shown}")
        self.assertEqual(secret == shown, holder is not None)

    def test_the_bootstrap_key_ends_with_the_first_operators_key(self):
        config = configuration.Config()
        found = keys.verify_administrator(config, "first", "first")
        self.assertEqual(keys.OPERATOR, found.role)
        changes.GrantKey("k", keys.OPERATOR, "", "s", "d").apply(config)
        self.assertIsNone(keys.verify_administrator(config, "first", "first"))
