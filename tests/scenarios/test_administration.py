"""Steps of administration.feature."""

import subprocess
import sys

import pytest_bdd
from pytest_bdd import parsers

from mimosaridge_core import keys

pytest_bdd.scenarios("administration.feature")

SALT = "00cc"


def _grant(scene, role):
    grant = {"key_id": f"k-{role}", "role": role, "team": "", "salt": SALT}
    grant["digest"] = keys.digest(SALT, "secret")
    answer = scene.change("grant-key", **grant)
    assert answer["name"] == "OK", answer


def _run(scene, token, *arguments):
    command = [sys.executable, "-m", "mimosaridge_cli.main"]
    command += [f"--address={scene.deployment.url()}", f"--key={token}"]
    return subprocess.run(
        [*command, *arguments], capture_output=True, text=True, timeout=30
    )


@pytest_bdd.given("an operator with a key of their own")
def _operator(scene):
    _grant(scene, "operator")
    scene.token = "k-operator.secret"
    _grant(scene, "analyst")


@pytest_bdd.when(parsers.parse("the operator runs: {line}"))
def _command(scene, line):
    snapshot = str(scene.deployment.folder / "snapshot.json")
    arguments = line.replace("SNAPSHOT", snapshot).split()
    done = _run(scene, scene.token, *arguments)
    assert done.returncode == 0, done.stderr
    scene.output = done.stdout + done.stderr


@pytest_bdd.then(parsers.parse("the output names {text}"))
def _names(scene, text):
    assert text in scene.output, scene.output


@pytest_bdd.then("the output does not name the digest of a key")
def _no_digest(scene):
    assert keys.digest(SALT, "secret") not in scene.output


@pytest_bdd.then(parsers.parse("the output does not name tontine"))
def _gone(scene):
    assert "tontine" not in scene.output, scene.output


@pytest_bdd.then("an analyst's key is refused a change as NOT_ALLOWED")
def _analyst(scene):
    done = _run(scene, "k-analyst.secret", "change", "zone-out", "--zone=qld-a")
    assert done.returncode == 1
    assert "NOT_ALLOWED" in done.stderr
