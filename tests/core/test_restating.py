"""What an owner says of ends that it found under an earlier epoch."""

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

# A home that no daemon holds: ends that are told to it stay with the owner.
NO_HOME = "bucket-none"
WORK_ID = "01a2419e-2af4-7adf-80db-f3e0824c81cf"
TASK_ID = f"{WORK_ID}/0"


class RestatingTest(testtools.TestCase):
    """An owner that lost its shard's key in an outage and holds it again."""

    def setUp(self):
        super().setUp()
        self.made = deployments.Deployment(
            fleets.small(), deployments.team_config([])
        )
        assert self.made.run_until(self.made.ready, 10.0)
        self.owner, self.daemon = next(
            (name, daemon)
            for name, daemon in self.made.daemons.items()
            if daemon.shards
        )
        self.shard = next(iter(self.daemon.shards.values()))

    def _place(self, resent, start_before):
        task = works.Task(
            TASK_ID,
            1,
            WORK_ID,
            NO_HOME,
            "a",
            works.Kind.REQUEST,
            resources.Resources(100, 100, 0),
            "",
            works.Urgency.NORMAL,
            start_before,
            self.made.now,
            1.0,
            False,
        )
        place = messages.PlaceTask(
            self.shard.name, task, self.shard.epoch, hold=False, resent=resent
        )
        self.made.post(
            self.owner, events.PeerMessage(self.made.now, "d9", place)
        )
        return task.task_id, task.attempt

    def _hold_again(self):
        self.shard.epoch += 1
        out = []
        shards.acquire(self.daemon, self.shard.name, self.shard.epoch, out)
        for effect in out:
            self.made._execute(self.owner, effect)
        assert self.made.run_until(
            lambda: summaries.all_workers_reported(self.daemon, self.shard),
            10.0,
        )

    def test_a_task_that_did_not_run_is_found_anew(self):
        key = self._place(False, self.made.now - 1.0)
        self.made.run(0.2)
        first = self.shard.ended[key].update
        self.assertEqual(works.Phase.NOT_RUN, first.phase)
        self._hold_again()
        self._place(True, self.made.now - 1.0)
        self.made.run(0.2)
        update = self.shard.ended[key].update
        self.assertEqual(self.shard.epoch, update.epoch)
        self.assertEqual(codes.Code.DEADLINE_PASSED, update.outcome.code)

    def test_an_unknown_fate_stays_unknown(self):
        key = self._place(False, self.made.now - 1.0)
        self.made.run(0.2)
        kept = self.shard.ended[key]
        kept.update.phase = works.Phase.UNKNOWN
        kept.update.outcome = works.Outcome(codes.Code.UNKNOWN)
        self._hold_again()
        self._place(True, self.made.now - 1.0)
        self.made.run(0.2)
        update = self.shard.ended[key].update
        self.assertEqual(self.shard.epoch, update.epoch)
        self.assertEqual(works.Phase.UNKNOWN, update.phase)
