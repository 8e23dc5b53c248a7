"""Reports of outcomes that an owner decided under an earlier epoch."""

import testtools

from mimosaridge_core import codes
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import shards
from mimosaridge_core import summaries
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

# No daemon owns this bucket: outcomes sent to it stay with the shard's owner.
UNOWNED_BUCKET = "bucket-none"
WORK_ID = "01a2419e-2af4-7adf-80db-f3e0824c81cf"
TASK_ID = f"{WORK_ID}/0"


class RegainedShardTest(testtools.TestCase):
    """An owner that lost its shard's key in an outage and acquired it again."""

    def setUp(self):
        super().setUp()
        self.deployment = deployments.Deployment(
            fleets.small(), deployments.team_config([])
        )
        assert self.deployment.run_until(self.deployment.ready, 10.0)
        self.owner, self.daemon = next(
            (name, daemon)
            for name, daemon in self.deployment.daemons.items()
            if daemon.shards
        )
        self.shard = next(iter(self.daemon.shards.values()))

    def _place(self, resent, start_before):
        task = works.Task(
            TASK_ID,
            1,
            WORK_ID,
            UNOWNED_BUCKET,
            "a",
            works.Kind.REQUEST,
            resources.Resources(100, 100, 0),
            "",
            works.Urgency.NORMAL,
            start_before,
            self.deployment.now,
            1.0,
            False,
        )
        place_task = messages.PlaceTask(
            self.shard.name, task, self.shard.epoch, hold=False, resent=resent
        )
        self.deployment.post(
            self.owner,
            events.PeerMessage(self.deployment.now, "d9", place_task),
        )
        return task.task_id, task.attempt

    def _regain_shard(self):
        self.shard.epoch += 1
        produced = []
        shards.acquire(self.daemon, self.shard.name, self.shard.epoch, produced)
        for effect in produced:
            self.deployment._execute(self.owner, effect)
        assert self.deployment.run_until(
            lambda: summaries.all_workers_reported(self.daemon, self.shard),
            10.0,
        )

    def test_a_not_run_outcome_is_reported_under_the_new_epoch(self):
        key = self._place(False, self.deployment.now - 1.0)
        self.deployment.run(0.2)
        first = self.shard.ended[key].update
        self.assertEqual(works.Phase.NOT_RUN, first.phase)
        self._regain_shard()
        self._place(True, self.deployment.now - 1.0)
        self.deployment.run(0.2)
        update = self.shard.ended[key].update
        self.assertEqual(self.shard.epoch, update.epoch)
        self.assertEqual(codes.Code.DEADLINE_PASSED, update.outcome.code)

    def test_an_unknown_outcome_stays_unknown(self):
        key = self._place(False, self.deployment.now - 1.0)
        self.deployment.run(0.2)
        ended_attempt = self.shard.ended[key]
        ended_attempt.update.phase = works.Phase.UNKNOWN
        ended_attempt.update.outcome = works.Outcome(codes.Code.UNKNOWN)
        self._regain_shard()
        self._place(True, self.deployment.now - 1.0)
        self.deployment.run(0.2)
        update = self.shard.ended[key].update
        self.assertEqual(self.shard.epoch, update.epoch)
        self.assertEqual(works.Phase.UNKNOWN, update.phase)
