"""Shards that may start nothing for a moment."""

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
LONG_AGO_S = 60.0


class ClosingTest(testtools.TestCase):
    """A task that comes while its owner can't be sure of its tenure."""

    def test_it_starts_once_the_owner_is_sure_again(self):
        config = deployments.team_config([configuration.Team("a", "north")])
        made = deployments.Deployment(fleets.small(), config)
        assert made.run_until(made.ready, 10.0)
        name, daemon = next(
            pair for pair in made.daemons.items() if pair[1].shards
        )
        shard = next(iter(daemon.shards.values()))
        self.assertTrue(shard.open)
        heard = {one: member.sent_at for one, member in daemon.members.items()}
        word_at, daemon.word_at = daemon.word_at, made.now - LONG_AGO_S
        for member in daemon.members.values():
            member.sent_at = made.now - LONG_AGO_S
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
            made.now + LONG_AGO_S,
            made.now,
            1.0,
            True,
        )
        place = messages.PlaceTask(
            shard.name, task, shard.epoch, hold=False, resent=False
        )
        event = events.PeerMessage(made.now, "d9", place)
        out = reducer.reduce(daemon, event)
        self.assertFalse([e for e in out if isinstance(e, effects.StartTask)])
        daemon.word_at = word_at
        for one, member in daemon.members.items():
            member.sent_at = heard[one]
        made.run(1.0)
        self.assertEqual([], list(shard.queue.waiting))
