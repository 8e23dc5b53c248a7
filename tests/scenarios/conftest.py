"""Fixtures and steps shared by all scenarios.

The scenarios run against daemons as separate processes.
"""

import base64
import json
import time

import pytest
import pytest_bdd
import uuid6

from mimosaridge_core import keys
from mimosaridge_standins import deployments

SALT = "00ff"


class Scene:
    """A deployment and the state of the scenario that uses it.

    Attributes:
        deployment: The running deployment.
        answers: Answers that the scenario has collected.
        work_id: Id of the last submitted work.
        token: Operator's bearer token.
    """

    def __init__(self, fleet: str, daemons: int) -> None:
        self.deployment = deployments.Deployment(fleet, daemons)
        self.deployment.start()
        self.answers = []
        self.work_id = ""
        self.token = deployments.BOOTSTRAP_KEY

    def change(self, name: str, daemon: str = "daemon-0", **arguments):
        """Plans and confirms a change and returns the answer."""
        url = self.deployment.url(daemon)
        intent = {"change": name, "arguments": arguments}
        plan = self.post(url + "/v1/plans", intent)["plan"]
        return self.post(
            url + "/v1/confirmations",
            {
                "intent": intent,
                "base_number": plan["base_number"],
                "expires_at": plan["expires_at"],
                "change_id": str(uuid6.uuid7()),
            },
        )

    def post(self, url: str, body, token: str | None = None):
        """Posts to a daemon; without a token, as the operator."""
        bearer = self.token if token is None else token
        return deployments.fetch("POST", url, body, bearer)

    def create_team(self, team: str) -> None:
        """Creates a team with the key "k-TEAM.secret"."""
        self.change("create-team", team=team, workspace="north")
        self.change(
            "grant-key",
            key_id=f"k-{team}",
            role="team",
            team=team,
            salt=SALT,
            digest=keys.digest(SALT, "secret"),
        )

    def submit(self, team: str, daemon: str = "daemon-0", **fields):
        """Submits work and returns the answer."""
        task = json.dumps(fields.pop("task", {})).encode()
        work = {
            "work_id": str(uuid6.uuid7()),
            "team": team,
            "start_before": time.time() + 20.0,
            "body": base64.b64encode(task).decode(),
        }
        token = fields.pop("token", f"k-{team}.secret")
        url = self.deployment.url(daemon) + "/v1/work"
        return self.post(url, work | fields, token)

    def explanation(self, work_id: str, daemon: str = "daemon-0") -> str:
        """Returns the text of the explanation of some work."""
        url = f"{self.deployment.url(daemon)}/v1/explain/{work_id}"
        answer = deployments.fetch("GET", url, token=deployments.BOOTSTRAP_KEY)
        records = answer.get("explanation", {"lines": []})["lines"]
        return " ".join(line["text"] for line in records)


@pytest.fixture
def scenes():
    """Returns a function that starts scenes; stops them after the test."""
    started = []

    def start(fleet: str, daemons: int) -> Scene:
        scene = Scene(fleet, daemons)
        started.append(scene)
        return scene

    yield start
    for scene in started:
        scene.deployment.stop()


@pytest_bdd.given(
    pytest_bdd.parsers.parse("a {fleet} deployment with {count:d} daemons"),
    target_fixture="scene",
)
def _deployment(scenes, fleet, count):
    return scenes(fleet, count)


@pytest_bdd.given(pytest_bdd.parsers.parse("a team {team} with a key"))
def _team(scene, team):
    scene.create_team(team)
