"""Preemption of runs with slack in favour of urgent tasks."""

import dataclasses

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)
LOW_PRIORITY = "reconciling"


def _world(stretch=20.0):
    """Returns a world of one 4-core worker and a low-priority queue."""
    world = jobclusters.Cluster(workers=1)
    first = world.configuration(version=2, stretch=2.0)
    low_priority = model.Queue(
        LOW_PRIORITY, "host", "/p/", jobclusters.BACKEND, 2, 3, stretch
    )
    queues = first.queues | {LOW_PRIORITY: low_priority}
    world.configure(dataclasses.replace(first, queues=queues))
    world.claim(0)
    world.run(0.2)
    return world


def _preemptions(world):
    return [
        decision for decision in world.decisions if decision.rule == "preempt"
    ]


class PreemptionTest(testtools.TestCase):
    """An urgent job arrives while the only worker is full."""

    def _fill(self, world, **step):
        world.submit(
            "patient", model.Step(4, CORE, 20.0, **step), queue=LOW_PRIORITY
        )
        world.run(1.0)
        self.assertEqual(4, len(world.starts))

    def test_an_urgent_job_preempts_runs_with_slack(self):
        world = _world()
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(2, CORE, 1.0))
        world.run(3.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("urgent"))
        self.assertEqual(2, len(_preemptions(world)))
        world.run(60.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("patient"))
        self.assertEqual([], world.violations)

    def test_nothing_is_preempted_for_tasks_beyond_the_upper_limit(self):
        world = _world()
        before = world.configurations[-1][1]
        limited = dataclasses.replace(
            before.teams["a"], name="b", upper_limit=CORE
        )
        teams = {**before.teams, "b": limited}
        world.configure(dataclasses.replace(before, version=3, teams=teams))
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(4, CORE, 1.0), team="b")
        world.run(3.0)
        self.assertEqual(1, len(_preemptions(world)))
        self.assertEqual([], world.violations)

    def test_an_urgent_job_does_not_wait_for_advice_on_other_workers(self):
        world = _world()
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(2, CORE, 1.0))
        owner = world.daemons[0].owner
        group = owner.groups["urgent.0.0"]
        group.advice_pending["other-worker"] = world.now + 60.0
        world.run(3.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("urgent"))
        self.assertEqual(2, len(_preemptions(world)))

    def test_runs_without_checkpoints_are_not_preempted(self):
        world = _world()
        self._fill(world)
        world.submit("urgent", model.Step(2, CORE, 1.0))
        world.run(3.0)
        self.assertEqual([], _preemptions(world))

    def test_runs_whose_job_would_be_late_are_not_preempted(self):
        world = _world(stretch=1.2)
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(2, CORE, 1.0))
        world.run(3.0)
        self.assertEqual([], _preemptions(world))

    def test_nothing_is_preempted_long_before_the_latest_start(self):
        world = _world()
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(2, CORE, 8.0))
        world.run(3.0)
        self.assertEqual([], _preemptions(world))

    def test_a_job_of_the_same_priority_is_not_preempted(self):
        world = _world()
        self._fill(world, checkpoints=True)
        world.submit("other", model.Step(2, CORE, 0.1), queue=LOW_PRIORITY)
        world.run(3.0)
        self.assertEqual([], _preemptions(world))

    def test_preemption_respects_the_limit_of_tasks_per_worker(self):
        world = _world()
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(3, CORE, 1.0, most_per_worker=1))
        world.run(1.0)
        self.assertEqual(1, len(_preemptions(world)))
