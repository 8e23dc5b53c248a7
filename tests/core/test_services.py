"""Replicas of standing services: each in one place, as many as wanted."""

import copy

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


def _deployment(**options) -> deployments.Deployment:
    config = deployments.team_config([configuration.Team("a", "north")])
    made = deployments.Deployment(fleets.small(), config, **options)
    assert made.run_until(made.ready, 10.0)
    return made


def _scale(made: deployments.Deployment, replicas: int | None) -> None:
    config = copy.deepcopy(made.store.items["config"].value)
    config.number += 1
    config.services.clear()
    if replicas is not None:
        config.services["watch"] = configuration.Service(
            "watch", "a", replicas, resources.Resources(slots=1)
        )
    made.store._set("config", config, "")


def _running(made: deployments.Deployment) -> list[str]:
    return sorted(
        key[0].rpartition("/")[2]
        for worker in made.workers.values()
        for key, run in worker.runs.items()
        if not run.ended
    )


def _home(made: deployments.Deployment) -> str:
    return next(
        name
        for name, daemon in made.daemons.items()
        if "service-watch" in daemon.works
    )


class ReplicasTest(testtools.TestCase):
    """Services that are resized, removed and taken over."""

    def test_a_replica_that_is_wanted_again_starts_again(self):
        made = _deployment()
        for replicas in (3, 1, 3, 0, 2):
            _scale(made, replicas)
            made.run(8.0)
            wanted = [str(index) for index in range(replicas)]
            self.assertEqual(wanted, _running(made))

    def test_a_service_that_returns_under_its_name_starts_again(self):
        made = _deployment()
        for replicas in (2, None, 2):
            _scale(made, replicas)
            made.run(8.0)
            self.assertEqual(replicas or 0, len(_running(made)))

    def test_a_stop_that_was_lost_is_sent_again(self):
        made = _deployment()
        _scale(made, 3)
        made.run(5.0)
        for one in made.daemons:
            for worker_id in made.workers:
                made.cut(one, worker_id)
        _scale(made, 1)
        made.run(3.0)
        made.heal()
        made.run(10.0)
        self.assertEqual(["0"], _running(made))

    def test_replicas_outlive_the_death_of_their_home(self):
        made = _deployment()
        _scale(made, 3)
        made.run(5.0)
        made.kill(_home(made))
        for _ in range(300):
            made.run(0.1)
            running = _running(made)
            self.assertEqual(len(set(running)), len(running))
        self.assertEqual(["0", "1", "2"], running)
        _scale(made, 1)
        made.run(8.0)
        self.assertEqual(["0"], _running(made))
