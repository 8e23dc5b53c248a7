"""Steps of administration.feature."""

import subprocess
import sys

import pytest_bdd
from pytest_bdd import parsers

from mimosaridge_core import keys

pytest_bdd.scenarios("administration.feature")

SALT = "00cc"


def _grant_key(scene, role):
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


@pytest_bdd.given("an operator with a personal key")
def _operator_with_key(scene):
    _grant_key(scene, "operator")
    scene.token = "k-operator.secret"
    _grant_key(scene, "analyst")


@pytest_bdd.when(parsers.parse("the operator runs: {line}"))
def _run_command(scene, line):
    snapshot = str(scene.deployment.folder / "snapshot.json")
    arguments = line.replace("SNAPSHOT", snapshot).split()
    result = _run(scene, scene.token, *arguments)
    assert result.returncode == 0, result.stderr
    scene.output = result.stdout + result.stderr


@pytest_bdd.then(parsers.parse("the output contains {text}"))
def _output_contains(scene, text):
    assert text in scene.output, scene.output


@pytest_bdd.then("the output does not contain the digest of a key")
def _no_digest_in_output(scene):
    assert keys.digest(SALT, "secret") not in scene.output


@pytest_bdd.then(parsers.parse("the output does not contain tontine"))
def _team_not_in_output(scene):
    assert "tontine" not in scene.output, scene.output


@pytest_bdd.then("a change with an analyst's key is refused as NOT_ALLOWED")
def _analyst_refused(scene):
    result = _run(
        scene, "k-analyst.secret", "change", "zone-out", "--zone=qld-a"
    )
    assert result.returncode == 1
    assert "NOT_ALLOWED" in result.stderr
