"""Which ended runs the owner lets a worker forget."""

import contextlib

import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import runs
from mimosaridge_fakes import jobclusters

SMALL = resources.Resources(100, 10, 0)


class AcknowledgedEndsTest(testtools.TestCase):
    """Only ended runs whose results are stored."""

    def test_a_write_does_not_store_the_ends_of_the_next_incarnation(self):
        world = jobclusters.Cluster(daemons=1, workers=1)
        world.claim(0)
        world.run(1.0)
        written = []
        store_write = world.store.write
        world.store.write = lambda *write: written.append(write)
        world.submit("j1", model.Step(2, SMALL, 0.1))
        world.run(1.5)
        self.assertEqual(2, world.daemons[0].owner.workers["w0"].processed_end)
        world.restart_worker("w0")
        world.run(1.5)
        world.submit("j2", model.Step(2, SMALL, 0.1))
        world.run(1.5)
        self.assertEqual(2, world.daemons[0].owner.workers["w0"].processed_end)
        (first,) = written
        world.store.write = store_write
        world.store.write(*first)
        world.run(jobclusters.TICK_S)
        self.assertNotIn("j2.0.0.0", world.acknowledged)
        self.assertEqual(
            0, world.daemons[0].owner.workers["w0"].acknowledged_end
        )

    def test_an_end_whose_handling_fails_is_not_acknowledged(self):
        world = jobclusters.Cluster(daemons=1, workers=1)
        world.claim(0)
        world.run(1.0)
        handle_end, failed = runs.handle_end, []

        def fail_once(st, owner, worker, row, *args):
            if not failed:
                failed.append(row)
                raise ValueError("unexpected")
            handle_end(st, owner, worker, row, *args)

        self.patch(runs, "handle_end", fail_once)
        reduce = world._reduce

        def reduce_as_a_daemon_does(number, event):
            with contextlib.suppress(ValueError):
                reduce(number, event)

        self.patch(world, "_reduce", reduce_as_a_daemon_does)
        world.submit("j1", model.Step(1, SMALL, 0.1))
        world.run(5.0)
        self.assertEqual("j1.0.0.0", failed[0].task_id)
        self.assertEqual([], world.violations)
        self.assertEqual(1, len(world.starts))
        self.assertEqual(model.JobState.COMPLETED, world.state_of("j1"))

    def test_ends_are_acknowledged_while_results_come_faster_than_a_write(self):
        world = jobclusters.Cluster(daemons=1, workers=60)
        world.claim(0)
        world.run(1.0)
        processed = []
        for number in range(100):
            for part in range(20):
                step = model.Step(1, SMALL, 0.2 + 0.01 * part)
                world.submit(f"j{number}-{part}", step)
            world.run(2 * jobclusters.TICK_S)
            workers = world.daemons[0].owner.workers
            processed.append(
                {name: worker.processed_end for name, worker in workers.items()}
            )
        self.assertEqual([], world.violations)
        self.assertLess(100, sum(processed[-1].values()))
        # Until then a worker is polled at intervals and tells of ends late.
        for name, end in processed[-10].items():
            self.assertLessEqual(end, workers[name].acknowledged_end)

    def test_a_failed_write_keeps_the_ends_of_its_jobs_only(self):
        world = jobclusters.Cluster(daemons=1, workers=2)
        world.claim(0)
        world.run(1.0)
        jobs = [f"j{number:02}" for number in range(20)]
        kept = {}
        store_write = world.store.write

        def fail_first(number, effect):
            if "j00" in effect.items and not kept:
                kept.update(effect.items)
                world.schedule(
                    0.01,
                    lambda: world.deliver(
                        number,
                        events.ProgressWritten(
                            world.now, effect.batch, {}, False
                        ),
                    ),
                )
            else:
                store_write(number, effect)

        for job_id in jobs:
            world.submit(job_id, model.Step(1, SMALL, 0.1))
        world.run(0.12)
        world.store.write = fail_first
        world.run(5.0)
        self.assertNotEqual({}, kept)
        self.assertEqual([], world.violations)
        for job_id in jobs:
            self.assertEqual(model.JobState.COMPLETED, world.state_of(job_id))
        self.assertEqual(len(jobs), len(world.starts))
