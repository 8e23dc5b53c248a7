"""Steps of limits.feature."""

import time

import pytest_bdd
from pytest_bdd import parsers

from mimosaridge_standins import deployments

pytest_bdd.scenarios("limits.feature")


def _running(scene):
    url = scene.deployment.workers_url + "/state"
    workers = deployments.fetch("GET", url)["workers"].values()
    return sum(len(worker["running"]) for worker in workers)


def _limit(scene, team, slots, daemon="daemon-0"):
    answer = scene.change(
        "set-limit", daemon, team=team, upper_limit={"slots": slots}
    )
    assert answer["name"] == "OK", answer


@pytest_bdd.given(parsers.parse("team {team} may run at most {slots:d} slots"))
def _given_limit(scene, team, slots):
    _limit(scene, team, slots)


@pytest_bdd.when(
    parsers.parse(
        "team {team} submits {count:d} tasks that never end to each daemon"
    )
)
def _submit(scene, team, count):
    scene.most = 0
    for daemon in scene.deployment.addresses:
        answer = scene.submit(
            team, daemon, kind="batch", count=count, task={"run_s": 600.0}
        )
        assert answer["name"] == "ACCEPTED", answer


@pytest_bdd.when("daemon-1 is killed")
def _kill(scene):
    scene.deployment.kill("daemon-1")


@pytest_bdd.when(
    parsers.parse("operators lower the limit of team {team} to {slots:d} slots")
)
def _lower(scene, team, slots):
    _limit(scene, team, slots)


@pytest_bdd.then(
    parsers.parse("team {team} runs {slots:d} slots within {seconds:d} seconds")
)
def _runs(scene, team, slots, seconds):
    deadline = time.time() + seconds
    running = _running(scene)
    while running != slots:
        scene.most = max(scene.most, running)
        assert time.time() < deadline, running
        time.sleep(0.1)
        running = _running(scene)


@pytest_bdd.then(
    parsers.parse("team {team} never ran more than {slots:d} slots")
)
def _never(scene, team, slots):
    assert scene.most <= slots
