"""Services run exactly the configured replicas, each of them once."""

import copy

import testtools

from mimosaridge_core import configuration
from mimosaridge_core import resources
from mimosaridge_fakes import deployments
from mimosaridge_fakes import fleets


def _deployment(**options) -> deployments.Deployment:
    config = deployments.team_config([configuration.Team("a", "north")])
    deployment = deployments.Deployment(fleets.small(), config, **options)
    assert deployment.run_until(deployment.ready, 10.0)
    return deployment


def _set_replicas(
    deployment: deployments.Deployment, replicas: int | None
) -> None:
    config = copy.deepcopy(deployment.store.items["config"].value)
    config.number += 1
    config.services.clear()
    if replicas is not None:
        config.services["watch"] = configuration.Service(
            "watch", "a", replicas, resources.Resources(slots=1)
        )
    deployment.store._set("config", config, "")


def _running_replicas(deployment: deployments.Deployment) -> list[str]:
    return sorted(
        key[0].rpartition("/")[2]
        for worker in deployment.workers.values()
        for key, run in worker.runs.items()
        if not run.ended
    )


def _home(deployment: deployments.Deployment) -> str:
    return next(
        name
        for name, daemon in deployment.daemons.items()
        if "service-watch" in daemon.works
    )


class ReplicasTest(testtools.TestCase):
    """Services that are scaled, removed or taken over by a new home."""

    def test_removed_replica_starts_again_when_scaled_up(self):
        deployment = _deployment()
        for replicas in (3, 1, 3, 0, 2):
            _set_replicas(deployment, replicas)
            deployment.run(8.0)
            expected = [str(index) for index in range(replicas)]
            self.assertEqual(expected, _running_replicas(deployment))

    def test_recreated_service_of_the_same_name_starts_again(self):
        deployment = _deployment()
        for replicas in (2, None, 2):
            _set_replicas(deployment, replicas)
            deployment.run(8.0)
            self.assertEqual(replicas or 0, len(_running_replicas(deployment)))

    def test_lost_stop_request_is_sent_again(self):
        deployment = _deployment()
        _set_replicas(deployment, 3)
        deployment.run(5.0)
        for daemon in deployment.daemons:
            for worker_id in deployment.workers:
                deployment.cut(daemon, worker_id)
        _set_replicas(deployment, 1)
        deployment.run(3.0)
        deployment.heal()
        deployment.run(10.0)
        self.assertEqual(["0"], _running_replicas(deployment))

    def test_replicas_survive_the_failure_of_their_home(self):
        deployment = _deployment()
        _set_replicas(deployment, 3)
        deployment.run(5.0)
        deployment.kill(_home(deployment))
        for _ in range(300):
            deployment.run(0.1)
            running = _running_replicas(deployment)
            self.assertEqual(len(set(running)), len(running))
        self.assertEqual(["0", "1", "2"], running)
        _set_replicas(deployment, 1)
        deployment.run(8.0)
        self.assertEqual(["0"], _running_replicas(deployment))
