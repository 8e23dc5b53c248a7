"""Placement of queued tasks when capacity is freed."""

import hypothesis
from hypothesis import strategies
import testtools

from mimosaridge_core import configuration
from mimosaridge_core import placement
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets

AMOUNTS = strategies.integers(0, 3)
NEEDS = strategies.builds(
    resources.Resources, AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS
)
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abcdef"),
        strategies.one_of(strategies.none(), NEEDS),
    ),
    max_size=30,
)


class IndexTest(testtools.TestCase):
    """The placement index compared with a scan of all workers."""

    @hypothesis.given(CHANGES, NEEDS)
    def test_finds_a_worker_exactly_when_one_has_room(self, changes, needs):
        index = placement.Index()
        free = {}
        for worker_id, amount in changes:
            if amount is None:
                index.drop("registry", worker_id)
                free.pop(worker_id, None)
            else:
                index.put("registry", worker_id, amount)
                free[worker_id] = amount
        fitting = {
            name for name, capacity in free.items() if needs.fits(capacity)
        }
        for fit in (placement.best_fit, placement.first_fit):
            found = index.find(fit, "registry", needs)
            if fitting:
                self.assertIn(found, fitting)
            else:
                self.assertIsNone(found)
        has_slots = any(capacity.slots > 0 for capacity in free.values())
        self.assertEqual(not has_slots, index.is_full("registry"))


class QueuedTaskTest(testtools.TestCase):
    """Queued tasks from submission to start."""

    def _deployment(self, **teams):
        config = deployments.team_config(
            [
                configuration.Team(name, "north", **settings)
                for name, settings in teams.items()
            ]
        )
        hosts = fleets.small(zones=1, per_zone=1, slots=2)
        deployment = deployments.Deployment(hosts, config, daemons=1)
        assert deployment.run_until(deployment.ready, 10.0)
        deployment.run_s = lambda task: None
        return deployment

    def _started_ids(self, deployment):
        (worker,) = deployment.workers.values()
        return [task_id.partition("/")[0] for _, task_id, _ in worker.starts]

    def _end_all(self, deployment):
        (worker,) = deployment.workers.values()
        for key, run in list(worker.runs.items()):
            if not run.ended:
                deployment._report(worker, worker.end(key, True))

    def test_freed_capacity_is_assigned_by_urgency_then_team_share(self):
        deployment = self._deployment(a={}, b={})
        for _ in range(2):
            deployment.submit("d0", "a", idempotent=True)
        deployment.run(1.0)
        options = {"idempotent": True}
        late, _ = deployment.submit(
            "d0", "b", urgency=works.Urgency.BACKGROUND, **options
        )
        first, _ = deployment.submit("d0", "a", **options)
        second, _ = deployment.submit("d0", "b", **options)
        urgent, _ = deployment.submit(
            "d0", "a", urgency=works.Urgency.URGENT, **options
        )
        deployment.run(1.0)
        self.assertEqual(2, len(self._started_ids(deployment)))
        self._end_all(deployment)
        deployment.run(1.0)
        self.assertEqual([urgent, second], self._started_ids(deployment)[2:])
        self._end_all(deployment)
        deployment.run(1.0)
        self.assertEqual([first, late], self._started_ids(deployment)[4:])

    def test_a_raised_limit_starts_the_task_that_waited_for_it(self):
        limit = resources.Resources(slots=1)
        deployment = self._deployment(a={"upper_limit": limit})
        for _ in range(2):
            deployment.submit("d0", "a", idempotent=True)
        deployment.run(1.0)
        self.assertEqual(1, len(self._started_ids(deployment)))
        state = deployment.daemons["d0"]
        raised = deployments.team_config([configuration.Team("a", "north")])
        raised.number = state.config.number + 1
        key, revision = "config", state.config_revision
        deployment.store.write(
            deployments.effects.StoreWrite(0, key, raised, revision),
            "",
            deployment.now,
        )
        deployment.run(1.0)
        self.assertEqual(2, len(self._started_ids(deployment)))
