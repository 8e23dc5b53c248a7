"""Which waiting tasks are placed when room is freed."""

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
    """The placement index against a look at every worker."""

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
        fitting = {name for name, room in free.items() if needs.fits(room)}
        for fit in (placement.best_fit, placement.first_fit):
            found = index.find(fit, "registry", needs)
            if fitting:
                self.assertIn(found, fitting)
            else:
                self.assertIsNone(found)
        slots = any(room.slots > 0 for room in free.values())
        self.assertEqual(not slots, index.is_full("registry"))


class WaitingTest(testtools.TestCase):
    """Waiting tasks over the whole path."""

    def _deployment(self, **teams):
        config = deployments.team_config(
            [
                configuration.Team(name, "north", **more)
                for name, more in teams.items()
            ]
        )
        hosts = fleets.small(zones=1, per_zone=1, slots=2)
        made = deployments.Deployment(hosts, config, daemons=1)
        assert made.run_until(made.ready, 10.0)
        made.run_s = lambda task: None
        return made

    def _started(self, made):
        (worker,) = made.workers.values()
        return [task_id.partition("/")[0] for _, task_id, _ in worker.starts]

    def _end_all(self, made):
        (worker,) = made.workers.values()
        for key, run in list(worker.runs.items()):
            if not run.ended:
                made._report(worker, worker.end(key, True))

    def test_freed_room_goes_by_urgency_then_to_the_team_below_its_share(self):
        made = self._deployment(a={}, b={})
        for _ in range(2):
            made.submit("d0", "a", idempotent=True)
        made.run(1.0)
        options = {"idempotent": True}
        late, _ = made.submit(
            "d0", "b", urgency=works.Urgency.BACKGROUND, **options
        )
        first, _ = made.submit("d0", "a", **options)
        second, _ = made.submit("d0", "b", **options)
        urgent, _ = made.submit(
            "d0", "a", urgency=works.Urgency.URGENT, **options
        )
        made.run(1.0)
        self.assertEqual(2, len(self._started(made)))
        self._end_all(made)
        made.run(1.0)
        self.assertEqual([urgent, second], self._started(made)[2:])
        self._end_all(made)
        made.run(1.0)
        self.assertEqual([first, late], self._started(made)[4:])

    def test_a_raised_limit_places_what_waited_for_it(self):
        limit = resources.Resources(slots=1)
        made = self._deployment(a={"upper_limit": limit})
        for _ in range(2):
            made.submit("d0", "a", idempotent=True)
        made.run(1.0)
        self.assertEqual(1, len(self._started(made)))
        state = made.daemons["d0"]
        raised = deployments.team_config([configuration.Team("a", "north")])
        raised.number = state.config.number + 1
        key, revision = "config", state.config_revision
        made.store.write(
            deployments.effects.StoreWrite(0, key, raised, revision),
            "",
            made.now,
        )
        made.run(1.0)
        self.assertEqual(2, len(self._started(made)))
