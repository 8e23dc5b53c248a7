"""Steps of path.feature."""

import base64
import json
import time

import pytest_bdd
from pytest_bdd import parsers

pytest_bdd.scenarios("path.feature")

NEEDS = {"cpu_millis": 500, "memory_mib": 256, "connections": 1}


@pytest_bdd.when(
    parsers.parse("team {team} sends {count:d} requests to each daemon")
)
def _send(scene, team, count):
    for daemon in scene.deployment.addresses:
        for number in range(count):
            mark = f"{daemon}/{number}"
            answer = scene.submit(
                team,
                daemon,
                endpoint="registry",
                needs=NEEDS,
                idempotent=number % 2 == 0,
                task={"mark": mark, "answer_bytes": 100_000 * number},
            )
            scene.answers.append((mark, number, answer))


@pytest_bdd.then("every answer carries the content of its own request")
def _answers_match(scene):
    for mark, number, answer in scene.answers:
        assert answer["name"] == "OK", answer
        content = json.loads(base64.b64decode(answer["answer"]))
        assert content["echo"]["mark"] == mark
        assert len(content["padding"]) == 100_000 * number


@pytest_bdd.then(
    "every daemon explains the last request from admission to completion"
)
def _explained_everywhere(scene):
    work_id = scene.answers[-1][2]["work_id"]
    for daemon in scene.deployment.addresses:
        text = scene.explanation(work_id, daemon)
        for phrase in (
            "took request work",
            "Placed on worker",
            "Ended as done",
        ):
            assert phrase in text, text


@pytest_bdd.when(
    parsers.parse("team {team} submits a batch job of {count:d} tasks")
)
def _submit_batch(scene, team, count):
    answer = scene.submit(team, kind="batch", count=count, task={"run_s": 0.2})
    assert answer["name"] == "ACCEPTED", answer
    scene.work_id = answer["work_id"]


@pytest_bdd.then(parsers.parse("the job is done within {seconds:d} seconds"))
def _done(scene, seconds):
    deadline = time.time() + seconds
    while "It was done." not in scene.explanation(scene.work_id):
        assert time.time() < deadline
        time.sleep(0.1)


@pytest_bdd.then(
    "a request with the key of another team is refused as WRONG_TEAM"
)
def _wrong_team(scene):
    scene.create_team("other")
    answer = scene.submit("tontine", token="k-other.secret")
    assert answer["name"] == "WRONG_TEAM"


@pytest_bdd.then("a request with an unknown field is refused as BAD_INPUT")
def _unknown_field(scene):
    answer = scene.submit("tontine", surprise=1)
    assert answer["name"] == "BAD_INPUT"
    assert "surprise" in answer["detail"]
