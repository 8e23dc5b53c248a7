"""Contents and frequency of heartbeats."""

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


class HeartbeatTest(testtools.TestCase):
    """Team use in heartbeats between daemons."""

    def _total_use(self, shards):
        return resources.total(
            [item.team_use.get("a", resources.ZERO) for item in shards]
        )

    def test_team_use_is_sent_rarely_and_kept_between_updates(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        deployment = deployments.Deployment(fleets.small(), config, daemons=2)
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run_s = lambda task: None
        sent = []
        original_send = deployment._send

        def record_and_send(name, effect):
            if isinstance(effect.message, messages.Heartbeat):
                sent.append((name, effect.message))
            original_send(name, effect)

        deployment._send = record_and_send
        for _ in range(6):
            deployment.submit("d0", "a", idempotent=True)
        tuning = deployment.tuning
        deployment.run(tuning.team_use_interval_s + 1.0)
        with_team_use = [
            message for name, message in sent if message.with_teams
        ]
        self.assertLess(len(with_team_use), len(sent) / 2)
        self.assertNotEqual([], with_team_use)
        recent_without_teams = deployment.run_until(
            lambda: not any(message.with_teams for _, message in sent[-4:]),
            tuning.team_use_interval_s,
        )
        self.assertTrue(recent_without_teams)
        for _, message in sent:
            if not message.with_teams:
                for summary in message.summaries:
                    self.assertEqual({}, summary.team_use)
        for name, other in (("d0", "d1"), ("d1", "d0")):
            received = deployment.daemons[name].members[other].summaries
            shards = deployment.daemons[other].shards.values()
            self.assertEqual(
                self._total_use(shards),
                self._total_use(received.values()),
                other,
            )
