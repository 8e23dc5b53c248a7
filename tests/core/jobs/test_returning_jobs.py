"""Jobs that leave the owner's table and return while their runs are stopped."""

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)


class ReturningJobTest(testtools.TestCase):
    """A list lacks a job whose tasks run, and later news has it."""

    def _world(self, *steps):
        world = jobclusters.Cluster(daemons=1)
        world.claim(0)
        world.submit("j1", *steps)
        world.run(1.0)
        return world

    def _leave(self, world):
        revision = world.store.revision
        world.deliver(0, events.JobsListed(world.now, revision, {}, {}, {}))

    def _return(self, world):
        job, revision = world.jobs["j1"]
        world.deliver(0, events.JobAccepted(world.now, job, revision))

    def test_its_tasks_do_not_run_twice(self):
        world = self._world(model.Step(4, CORE, 5.0))
        self._leave(world)
        self._return(world)
        world.run(12.0)
        self.assertEqual([], world.violations)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_its_tasks_on_a_worker_out_of_reach_do_not_run_twice(self):
        world = self._world(model.Step(4, CORE, 5.0))
        world.workers[world.starts[0].worker_id].is_reachable = False
        world.run(0.1)
        self._leave(world)
        world.run(0.5)
        self._return(world)
        world.run(3.0)
        self.assertEqual([], world.violations)

    def test_its_runs_count_once_toward_the_team(self):
        world = self._world(model.Step(4, CORE, 5.0))
        self._leave(world)
        self._return(world)
        world.run(20.0)
        owner = world.daemons[0].owner
        self.assertEqual(set(), owner.forgotten)
        self.assertEqual(resources.ZERO, owner.usage["a"])

    def test_its_finished_tasks_do_not_run_again(self):
        world = self._world(
            model.Step(3, CORE, 0.3), model.Step(1, CORE, 5.0, after=(0,))
        )
        world.run(2.0)
        self.assertEqual(4, len(world.starts))
        self._leave(world)
        world.run(0.5)
        world.deliver(0, world.store.jobs_listed())
        world.run(8.0)
        self.assertEqual([], world.violations)
        self.assertEqual(5, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))
