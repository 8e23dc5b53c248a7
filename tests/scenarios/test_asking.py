"""Steps of asking.feature."""

import subprocess
import sys
import time

import pytest_bdd
from pytest_bdd import parsers

from mimosaridge_core import keys

pytest_bdd.scenarios("asking.feature")

SALT = "00aa"
WHOLE = {"cpu_millis": 128000}


def _ask(scene, *arguments: str) -> str:
    command = [
        sys.executable,
        "-m",
        "mimosaridge_cli.main",
        f"--address={scene.deployment.url()}",
        "--key=k-analyst.secret",
        *arguments,
    ]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    return done.stdout


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
        "team {team} submits a batch job of {count:d} whole actuarial workers"
        " for {seconds:d} seconds"
    )
)
def _submit(scene, team, count, seconds):
    answer = scene.submit(
        team,
        kind="batch",
        count=count,
        endpoint="actuarial",
        needs=WHOLE,
        task={"run_s": seconds},
    )
    assert answer["name"] == "ACCEPTED", answer
    scene.work_id = answer["work_id"]
    time.sleep(1.0)


@pytest_bdd.then(parsers.parse('why-waiting says of the last job "{text}"'))
def _why(scene, text):
    assert text in _ask(scene, "why-waiting", scene.work_id)


@pytest_bdd.then(parsers.parse("history lists {count:d} pieces of work"))
def _history(scene, count):
    assert _ask(scene, "history").count(" batch ") == count


@pytest_bdd.then(
    parsers.parse(
        'explain tells within {seconds:d} seconds of the last job "{text}"'
    )
)
def _explain(scene, seconds, text):
    deadline = time.time() + seconds
    while text not in _ask(scene, "explain", scene.work_id):
        assert time.time() < deadline
        time.sleep(0.2)


@pytest_bdd.then(parsers.parse('audit names "{text}"'))
def _audit(scene, text):
    assert text in _ask(scene, "audit")


@pytest_bdd.then(parsers.parse("top shows the share of team {team}"))
def _top(scene, team):
    assert team in _ask(scene, "top", "--times=1")
