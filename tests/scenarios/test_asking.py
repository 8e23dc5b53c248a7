"""Steps of asking.feature."""

import subprocess
import sys
import time

import pytest_bdd
from pytest_bdd import parsers

from mimosaridge_core import keys

pytest_bdd.scenarios("asking.feature")

SALT = "00aa"
WHOLE_WORKER = {"cpu_millis": 128000}


def _run_as_analyst(scene, *arguments: str) -> str:
    command = [
        sys.executable,
        "-m",
        "mimosaridge_cli.main",
        f"--address={scene.deployment.url()}",
        "--key=k-analyst.secret",
        *arguments,
    ]
    result = subprocess.run(command, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
    return result.stdout


@pytest_bdd.given("an analyst with a key")
def _analyst(scene):
    scene.change(
        "grant-key",
        key_id="k-analyst",
        role="analyst",
        team="",
        salt=SALT,
        digest=keys.digest(SALT, "secret"),
    )


@pytest_bdd.when(
    parsers.parse(
        "team {team} submits a batch job of {count:d} tasks that fill an"
        " actuarial worker for {seconds:d} seconds"
    )
)
def _submit(scene, team, count, seconds):
    answer = scene.submit(
        team,
        kind="batch",
        count=count,
        endpoint="actuarial",
        needs=WHOLE_WORKER,
        task={"run_s": seconds},
    )
    assert answer["name"] == "ACCEPTED", answer
    scene.work_id = answer["work_id"]
    time.sleep(1.0)


@pytest_bdd.then(parsers.parse('why-waiting reports for the last job "{text}"'))
def _why_waiting(scene, text):
    assert text in _run_as_analyst(scene, "why-waiting", scene.work_id)


@pytest_bdd.then(parsers.parse("history lists {count:d} work items"))
def _history(scene, count):
    assert _run_as_analyst(scene, "history").count(" batch ") == count


@pytest_bdd.then(
    parsers.parse(
        'explain reports for the last job within {seconds:d} seconds "{text}"'
    )
)
def _explain(scene, seconds, text):
    deadline = time.time() + seconds
    while text not in _run_as_analyst(scene, "explain", scene.work_id):
        assert time.time() < deadline
        time.sleep(0.2)


@pytest_bdd.then(parsers.parse('audit contains "{text}"'))
def _audit(scene, text):
    assert text in _run_as_analyst(scene, "audit")


@pytest_bdd.then(parsers.parse("top shows the share of team {team}"))
def _top(scene, team):
    assert team in _run_as_analyst(scene, "top", "--times=1")
