"""Log lines that tell why steps wait and which teams exceed their limits."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import waiting
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)
ADVICE = model.AdviceSettings(0.05, 0.0, 2.0)


def _world(workers=1, **changes):
    world = jobclusters.Cluster(workers=workers)
    world.configure(world.configuration(version=2, **changes))
    world.claim(0)
    world.run(0.5)
    return world


def _lines(world, rule, **fields):
    return [
        decision.fields
        for decision in world.decisions
        if decision.rule == rule and fields.items() <= decision.fields.items()
    ]


class StepWaitsTest(testtools.TestCase):
    """The reason for which a step waits."""

    def _reasons(self, world, job_id):
        return {
            line["reason"]
            for line in _lines(world, "step-waits")
            if line["group"].startswith(job_id)
        }

    def test_no_room(self):
        world = _world()
        world.submit("j1", model.Step(4, CORE, 50.0))
        world.run(0.5)
        world.submit("j2", model.Step(1, CORE, 1.0))
        world.run(4)
        self.assertEqual(
            {waiting.WaitReason.NO_ROOM}, self._reasons(world, "j2")
        )

    def test_team_limit(self):
        world = _world(upper_limit=resources.Resources(2000, 0, 0))
        world.submit("j1", model.Step(2, CORE, 50.0))
        world.run(0.5)
        world.submit("j2", model.Step(1, CORE, 1.0))
        world.run(4)
        self.assertEqual(
            {waiting.WaitReason.TEAM_LIMIT}, self._reasons(world, "j2")
        )

    def test_no_ticket(self):
        world = _world(advice=ADVICE)
        world.good_share = 0.0
        world.submit("j1", model.Step(1, CORE, 1.0))
        world.run(4)
        self.assertEqual(
            {waiting.WaitReason.NO_TICKET}, self._reasons(world, "j1")
        )

    def test_no_worker(self):
        world = _world()
        world.unlist_worker("w0")
        world.submit("j1", model.Step(1, CORE, 1.0))
        world.run(4)
        self.assertEqual(
            {waiting.WaitReason.NO_WORKER}, self._reasons(world, "j1")
        )

    def test_unheld_worker(self):
        world = _world(workers=2)
        world.submit("j1", model.Step(1, CORE, 50.0))
        world.run(0.5)
        for worker in world.workers.values():
            if worker.running:
                worker.is_reachable = False
        world.claim(1)
        world.run(4)
        self.assertEqual(
            {waiting.WaitReason.UNHELD_WORKER}, self._reasons(world, "j1")
        )

    def test_explanations_are_limited_in_number(self):
        world = _world()
        world.submit("j0", model.Step(4, CORE, 50.0))
        for number in range(100):
            world.submit(f"k{number}", model.Step(1, CORE, 1.0))
        world.run(waiting.EXPLAIN_AFTER_S + waiting.CHECK_INTERVAL_S)
        lines = _lines(world, "step-waits")
        self.assertLessEqual(len(lines), 2 * waiting.MAX_EXPLAINED)


class TeamOverLimitTest(testtools.TestCase):
    """Usage beyond an upper limit is logged once."""

    def test_a_lowered_limit(self):
        world = _world()
        world.submit("j1", model.Step(3, CORE, 50.0))
        world.run(0.5)
        limit = resources.Resources(2000, 0, 0)
        world.configure(world.configuration(version=3, upper_limit=limit))
        world.run(2)
        lines = _lines(world, "team-over-limit", team="a")
        self.assertEqual([[3000, 300, 0]], [line["usage"] for line in lines])
        self.assertEqual([[2000, 0, 0]], [line["limit"] for line in lines])


class OwnerStatusTest(testtools.TestCase):
    """The state of the workers as the owner sees it."""

    def test_counts_workers_by_state(self):
        world = _world(workers=3)
        world.workers["w0"].is_reachable = False
        world.run(waiting.STATUS_INTERVAL_S + 1.0)
        line = _lines(world, "owner-status")[-1]
        self.assertEqual(3, line["workers"])
        self.assertEqual(1, line["unanswered"])
        self.assertEqual(2, line["open_in_store"])
        self.assertEqual(0, line["fleets_in_doubt"])
