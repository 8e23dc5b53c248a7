"""Runs that can wait make room for urgent tasks that can't."""

import dataclasses

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobworlds

CORE = resources.Resources(1000, 100, 0)
PATIENT = "reconciling"


def _world(stretch=20.0):
    """Returns one worker of four cores, and a queue that can wait."""
    world = jobworlds.World(workers=1)
    first = world.configuration(version=2, stretch=2.0)
    patient = model.Queue(
        PATIENT, "host", "/p/", jobworlds.BACKEND, 2, 3, stretch
    )
    queues = first.queues | {PATIENT: patient}
    world.configure(dataclasses.replace(first, queues=queues))
    world.claim(0)
    world.run(0.2)
    return world


def _preempted(world):
    return [one for one in world.decisions if one.rule == "preempt"]


class PreemptingTest(testtools.TestCase):
    """A full worker and an urgent job."""

    def _fill(self, world, **step):
        world.submit(
            "patient", model.Step(4, CORE, 20.0, **step), queue=PATIENT
        )
        world.run(1.0)
        self.assertEqual(4, len(world.starts))

    def test_an_urgent_job_gets_the_room_of_runs_that_can_wait(self):
        world = _world()
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(2, CORE, 1.0))
        world.run(3.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("urgent"))
        self.assertEqual(2, len(_preempted(world)))
        world.run(60.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("patient"))
        self.assertEqual([], world.broken)

    def test_runs_that_save_nothing_stay(self):
        world = _world()
        self._fill(world)
        world.submit("urgent", model.Step(2, CORE, 1.0))
        world.run(3.0)
        self.assertEqual([], _preempted(world))

    def test_runs_whose_job_would_be_late_stay(self):
        world = _world(stretch=1.2)
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(2, CORE, 1.0))
        world.run(3.0)
        self.assertEqual([], _preempted(world))

    def test_nothing_is_stopped_before_time_presses(self):
        world = _world()
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(2, CORE, 8.0))
        world.run(3.0)
        self.assertEqual([], _preempted(world))

    def test_a_job_of_the_same_priority_makes_no_room(self):
        world = _world()
        self._fill(world, checkpoints=True)
        world.submit("other", model.Step(2, CORE, 0.1), queue=PATIENT)
        world.run(3.0)
        self.assertEqual([], _preempted(world))

    def test_no_more_tasks_than_allowed_get_room_on_a_worker(self):
        world = _world()
        self._fill(world, checkpoints=True)
        world.submit("urgent", model.Step(3, CORE, 1.0, most_per_worker=1))
        world.run(1.0)
        self.assertEqual(1, len(_preempted(world)))
