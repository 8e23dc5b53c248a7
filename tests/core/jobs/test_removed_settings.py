"""Jobs whose queue or team is removed from the configuration."""

import dataclasses

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

CORE = resources.Resources(1000, 100, 0)
ADVICE = model.AdviceSettings(0.03, 0.0004, 1.5)


def _world(daemons=1, **queue):
    world = jobclusters.Cluster(daemons=daemons, workers=2)
    names = frozenset(f"d{number}" for number in range(daemons))
    for number in range(daemons):
        world.deliver(number, events.PeersChanged(world.now, names))
    world.configure(world.configuration(version=2, **queue))
    world.claim(0)
    world.run(jobclusters.CONFIGURATION_APPLY_S)
    return world


def _remove(world, **removed):
    """Removes all queues, or what is given, in a newer configuration."""
    latest = world.configurations[-1][1]
    changes = removed or {"queues": {}}
    world.configure(
        dataclasses.replace(latest, version=latest.version + 1, **changes)
    )


def _put_back(world):
    """Puts the queue back as it was before the latest configuration."""
    latest, before = world.configurations[-1][1], world.configurations[-2][1]
    world.configure(dataclasses.replace(before, version=latest.version + 1))


def _fail_first_run(world):
    """The first run of j1 fails after 0.5 s."""
    world.faults.failed_run_share = 1.0
    world.submit("j1", model.Step(1, CORE, 0.5))
    world.run(0.2)
    world.faults.failed_run_share = 0.0


class RemovedQueueTest(testtools.TestCase):
    """The queue of an accepted job is removed, for a time or for good."""

    def test_a_failure_while_the_queue_is_removed_leaves_other_attempts(self):
        world = _world(max_attempts=4)
        _fail_first_run(world)
        _remove(world)
        world.run(3.0)
        _put_back(world)
        world.run(3.0)
        self.assertEqual(2, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_a_daemon_that_never_knew_the_queue_keeps_its_attempts(self):
        world = _world(daemons=2, max_attempts=4)
        _fail_first_run(world)
        _remove(world)
        world.restart_daemon(1)
        world.claim(1, is_former_gone=True)
        world.run(3.0)
        self.assertEqual({}, world.daemons[1].removed_queues)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_a_job_on_a_removed_queue_fails_after_all_its_attempts(self):
        world = _world(max_attempts=3)
        world.hopeless.add("j1")
        world.submit("j1", model.Step(1, CORE, 0.2))
        world.run(0.1)
        _remove(world)
        world.run(10.0)
        self.assertEqual(3, len(world.starts))
        self.assertEqual(model.JobState.FAILED, world.state_of("j1"))

    def test_a_job_stored_without_its_queue_is_not_failed_by_a_default(self):
        world = _world(daemons=2, max_attempts=4)
        world.faults.failed_run_share = 1.0
        world.submit("j1", model.Step(1, CORE, 0.5), accepted_under=None)
        world.run(0.2)
        world.faults.failed_run_share = 0.0
        _remove(world)
        world.restart_daemon(1)
        world.claim(1, is_former_gone=True)
        world.run(3.0)
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_tasks_of_a_removed_queue_start_only_with_tickets(self):
        world = _world(advice=ADVICE)
        world.submit("j1", model.Step(1, CORE, 0.5))
        world.submit("j2", model.Step(1, CORE, 0.5, after=()))
        _remove(world)
        world.run(5.0)
        self.assertEqual([], [s for s in world.starts if not s.ticket])
        for job_id in ("j1", "j2"):
            self.assertEqual(model.JobState.COMPLETED, world.state_of(job_id))

    def test_only_queues_that_jobs_need_are_kept(self):
        world = _world()
        _remove(world)
        self.assertEqual({}, world.daemons[0].removed_queues)
        _put_back(world)
        world.submit("j1", model.Step(1, CORE, 0.5))
        _remove(world)
        self.assertIn(jobclusters.QUEUE, world.daemons[0].removed_queues)
        _put_back(world)
        self.assertEqual({}, world.daemons[0].removed_queues)


class RemovedTeamTest(testtools.TestCase):
    """The team of accepted jobs is removed."""

    def test_a_removed_team_keeps_its_upper_limit(self):
        world = _world(upper_limit=resources.Resources(2000, 0, 0))
        world.submit("j1", model.Step(6, CORE, 2.0))
        world.run(0.2)
        _remove(world, teams={}, team_of_secret={})
        world.run(3.0)
        running = sum(len(worker.running) for worker in world.workers.values())
        self.assertEqual(2, running)
