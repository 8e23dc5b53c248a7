"""Steps of limits.feature."""

import time

import pytest_bdd
from pytest_bdd import parsers

from mimosaridge_standins import deployments

pytest_bdd.scenarios("limits.feature")


def _count_running(scene):
    url = scene.deployment.workers_url + "/state"
    workers = deployments.fetch("GET", url)["workers"].values()
    return sum(len(worker["running"]) for worker in workers)


def _set_limit(scene, team, slots, daemon="daemon-0"):
    answer = scene.change(
        "set-limit", daemon, team=team, upper_limit={"slots": slots}
    )
    assert answer["name"] == "OK", answer


@pytest_bdd.given(
    parsers.parse("team {team} has an upper limit of {slots:d} slots")
)
def _given_limit(scene, team, slots):
    _set_limit(scene, team, slots)


@pytest_bdd.when(
    parsers.parse(
        "team {team} submits {count:d} tasks that never end to each daemon"
    )
)
def _submit(scene, team, count):
    scene.max_running = 0
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
    _set_limit(scene, team, slots)


@pytest_bdd.then(
    parsers.parse("team {team} uses {slots:d} slots within {seconds:d} seconds")
)
def _uses_slots(scene, team, slots, seconds):
    deadline = time.time() + seconds
    running = _count_running(scene)
    while running != slots:
        scene.max_running = max(scene.max_running, running)
        assert time.time() < deadline, running
        time.sleep(0.1)
        running = _count_running(scene)


@pytest_bdd.then(
    parsers.parse("team {team} never used more than {slots:d} slots")
)
def _never_above(scene, team, slots):
    assert scene.max_running <= slots
