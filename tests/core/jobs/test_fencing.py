"""Fencing tokens of orders, and orders that they refuse."""

import dataclasses

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fencing
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


def _hold(token, incarnation):
    return effects.Hold("w0", "w0:80", token, 0, 0, 0, incarnation)


class TokenTest(testtools.TestCase):
    """Order of the tokens."""

    def test_tokens_rise_with_incarnations_and_more_with_owners(self):
        tokens = [
            fencing.token_of(_hold(token, incarnation))
            for token, incarnation in (
                (7, 1),
                (7, 2),
                (7, fencing.INCARNATIONS_PER_OWNER + 5),
                (8, 0),
            )
        ]
        self.assertEqual(sorted(set(tokens)), tokens)


class FormerOrderTest(testtools.TestCase):
    """Orders for a former incarnation that reach the next one."""

    def setUp(self):
        super().setUp()
        self.world = jobclusters.Cluster(daemons=1, workers=1)
        self.world.claim(0)
        self.world.submit("j1", model.Step(1, CORE, 60.0))
        self.world.run(0.5)
        (self.start,) = self.world.starts
        self.world.restart_worker("w0")
        self.world.run(1.0)

    def test_the_next_incarnation_refuses_a_start_once_it_is_held(self):
        late = dataclasses.replace(self.start, start_before_ms=10**9)
        self.assertEqual(
            events.CallResult.FENCED,
            self.world.calls.start_run(late, self.world.workers["w0"]),
        )

    def test_a_fenced_order_for_a_former_incarnation_ends_no_ownership(self):
        owner = self.world.daemons[0].owner
        now, token = self.world.now, owner.token
        incarnation = owner.workers["w0"].incarnation - 1
        fenced = events.CallResult.FENCED
        for event in (
            events.HoldAnswered(now, "w0", now, token, incarnation, fenced),
            events.StartAnswered(
                now,
                "w0",
                self.start.task_id,
                self.start.run,
                token,
                incarnation,
                fenced,
            ),
            events.StopAnswered(
                now,
                "w0",
                self.start.task_id,
                self.start.run,
                token,
                incarnation,
                fenced,
            ),
        ):
            self.world.deliver(0, event)
        self.assertIs(owner, self.world.daemons[0].owner)

    def test_a_fenced_order_for_the_present_incarnation_ends_it(self):
        owner = self.world.daemons[0].owner
        incarnation = owner.workers["w0"].incarnation
        now, fenced = self.world.now, events.CallResult.FENCED
        self.world.deliver(
            0,
            events.HoldAnswered(
                now, "w0", now, owner.token, incarnation, fenced
            ),
        )
        self.assertIsNone(self.world.daemons[0].owner)
