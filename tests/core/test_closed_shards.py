"""Shards that are temporarily closed to starts."""

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import reducer
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

WORK_ID = "01a2419e-2af4-7adf-80db-f3e0824c81cf"
MINUTE_S = 60.0


class ClosedShardTest(testtools.TestCase):
    """A task that arrives while its owner is uncertain of its ownership."""

    def test_a_task_starts_once_ownership_is_certain_again(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        deployment = deployments.Deployment(fleets.small(), config)
        assert deployment.run_until(deployment.ready, 10.0)
        name, daemon = next(
            pair for pair in deployment.daemons.items() if pair[1].shards
        )
        shard = next(iter(daemon.shards.values()))
        self.assertTrue(shard.open)
        sent_times = {
            member_name: member.sent_at
            for member_name, member in daemon.members.items()
        }
        previous_word_at, daemon.word_at = (
            daemon.word_at,
            deployment.now - MINUTE_S,
        )
        for member in daemon.members.values():
            member.sent_at = deployment.now - MINUTE_S
        task = works.Task(
            f"{WORK_ID}/0",
            1,
            WORK_ID,
            "bucket-none",
            "a",
            works.Kind.REQUEST,
            resources.Resources(100, 100, 0),
            "",
            works.Urgency.NORMAL,
            deployment.now + MINUTE_S,
            deployment.now,
            1.0,
            True,
        )
        place_task = messages.PlaceTask(
            shard.name, task, shard.epoch, hold=False, resent=False
        )
        event = events.PeerMessage(deployment.now, "d9", place_task)
        produced = reducer.reduce(daemon, event)
        self.assertFalse(
            [
                effect
                for effect in produced
                if isinstance(effect, effects.StartTask)
            ]
        )
        daemon.word_at = previous_word_at
        for member_name, member in daemon.members.items():
            member.sent_at = sent_times[member_name]
        deployment.run(1.0)
        self.assertEqual([], list(shard.queue.waiting))
