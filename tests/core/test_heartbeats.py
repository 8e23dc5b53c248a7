"""What heartbeats tell and when."""

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


class HeartbeatTest(testtools.TestCase):
    """Heartbeats between daemons."""

    def _sum(self, described):
        return resources.total(
            [item.team_use.get("a", resources.ZERO) for item in described]
        )

    def test_what_teams_use_is_told_seldom_and_kept_in_between(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        made = deployments.Deployment(fleets.small(), config, daemons=2)
        assert made.run_until(made.ready, 10.0)
        made.run_s = lambda task: None
        sent = []
        send = made._send

        def watch(name, effect):
            if isinstance(effect.message, messages.Heartbeat):
                sent.append((name, effect.message))
            send(name, effect)

        made._send = watch
        for _ in range(6):
            made.submit("d0", "a", idempotent=True)
        tuning = made.tuning
        made.run(tuning.team_use_interval_s + 1.0)
        told = [message for name, message in sent if message.with_teams]
        self.assertLess(len(told), len(sent) / 2)
        self.assertNotEqual([], told)
        in_between = made.run_until(
            lambda: not any(message.with_teams for _, message in sent[-4:]),
            tuning.team_use_interval_s,
        )
        self.assertTrue(in_between)
        for _, message in sent:
            if not message.with_teams:
                for summary in message.summaries:
                    self.assertEqual({}, summary.team_use)
        for name, other in (("d0", "d1"), ("d1", "d0")):
            known = made.daemons[name].members[other].summaries
            shards = made.daemons[other].shards.values()
            self.assertEqual(
                self._sum(shards), self._sum(known.values()), other
            )
