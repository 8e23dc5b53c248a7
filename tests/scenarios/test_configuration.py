"""Steps of configuration.feature."""

import threading
import time

import pytest_bdd
from pytest_bdd import parsers
import uuid6

from mimosaridge_standins import deployments

pytest_bdd.scenarios("configuration.feature")


def _confirmation(scene, share, daemon="daemon-0"):
    """Plans a new share of team tontine and returns the confirmation."""
    intent = {
        "change": "set-share",
        "arguments": {"team": "tontine", "share": share},
    }
    url = scene.deployment.url(daemon)
    plan = scene.post(url + "/v1/plans", intent)["plan"]
    return {
        "intent": intent,
        "base_number": plan["base_number"],
        "expires_at": plan["expires_at"],
        "change_id": str(uuid6.uuid7()),
    }


def _confirm(scene, confirmation, daemon="daemon-0"):
    url = scene.deployment.url(daemon) + "/v1/confirmations"
    return scene.post(url, confirmation)


def _call_store(scene, method, path, body):
    return deployments.fetch(method, scene.deployment.store_url + path, body)


def _assert_accepted(scene, answer):
    assert answer["name"] == "OK", answer
    scene.number = answer["confirmed"]["number"]


@pytest_bdd.when(
    "two operators confirm changes of team tontine made on the same plan"
)
def _confirm_concurrently(scene):
    confirmations = [
        (_confirmation(scene, 2.0, "daemon-0"), "daemon-0"),
        (_confirmation(scene, 3.0, "daemon-1"), "daemon-1"),
    ]
    threads = [
        threading.Thread(
            target=lambda item: scene.answers.append(_confirm(scene, *item)),
            args=(item,),
        )
        for item in confirmations
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@pytest_bdd.then(
    "one change is accepted and the other is answered with a new plan"
)
def _one_accepted(scene):
    scene.answers.sort(key=lambda answer: answer["code"])
    accepted, refused = scene.answers
    _assert_accepted(scene, accepted)
    assert refused["name"] == "CONFLICT", refused
    assert refused["plan"]["base_number"] == scene.number


@pytest_bdd.then(
    parsers.parse(
        "the change is in force at every daemon within {seconds:d} seconds"
    )
)
def _in_force(scene, seconds):
    deadline = time.time() + seconds
    for daemon in scene.deployment.addresses:
        status = scene.deployment.status(daemon)
        while status is None or status["config_number"] < scene.number:
            assert time.time() < deadline, daemon
            time.sleep(0.1)
            status = scene.deployment.status(daemon)


@pytest_bdd.then("the audit lists every change once")
def _audit(scene):
    url = scene.deployment.url("daemon-2") + "/v1/audit"
    token = deployments.BOOTSTRAP_KEY
    audit = deployments.fetch("GET", url, token=token)["audit"]
    numbers = [entry["revision_after"] for entry in audit["entries"]]
    assert numbers == list(range(1, scene.number + 1))
    assert "'" + "0" * 4 not in str(audit)


@pytest_bdd.when("the store loses the answer to a change of team tontine")
def _lose_answer(scene):
    confirmation = _confirmation(scene, 4.0)
    faults = {"lose_answers": 1, "lose_prefix": "config"}
    _call_store(scene, "POST", "/v1/faults", faults)
    scene.answers = [_confirm(scene, confirmation)]


@pytest_bdd.then("that change is accepted")
def _change_accepted(scene):
    _assert_accepted(scene, scene.answers[0])


@pytest_bdd.when("the store is down while daemon-2 is killed and started again")
def _restart_during_outage(scene):
    scene.confirmation = _confirmation(scene, 5.0)
    _call_store(scene, "POST", "/v1/faults", {"down": True})
    scene.deployment.kill("daemon-2")
    scene.deployment.start_daemon("daemon-2")
    time.sleep(6.0)


@pytest_bdd.then("daemon-0 still accepts work of team tontine")
def _accepts_work(scene):
    answer = scene.submit("tontine", idempotent=True)
    assert answer["name"] == "OK", answer


@pytest_bdd.then("a change is refused as STORE_UNAVAILABLE")
def _store_unavailable(scene):
    answer = _confirm(scene, scene.confirmation)
    assert answer["name"] == "STORE_UNAVAILABLE", answer


@pytest_bdd.when("the store is up again")
def _end_outage(scene):
    _call_store(scene, "POST", "/v1/faults", {"down": False})


@pytest_bdd.when("the configuration in the store is corrupted")
def _corrupt_configuration(scene):
    body = {"value": {"number": "many"}, "expected": None, "lease": ""}
    _call_store(scene, "PUT", "/v1/kv/config", body)
    time.sleep(2.0)


@pytest_bdd.then("the next change is accepted")
def _next_accepted(scene):
    _assert_accepted(scene, _confirm(scene, _confirmation(scene, 6.0)))


@pytest_bdd.when("daemon-2 is paused")
def _pause(scene):
    scene.deployment.pause("daemon-2")


@pytest_bdd.when("operators withdraw the key of team tontine")
def _withdraw(scene):
    answer = scene.change("withdraw-key", key_id="k-tontine")
    assert answer["name"] == "OK", answer


@pytest_bdd.then(
    parsers.parse(
        "every running daemon refuses the key within {seconds:d} seconds"
    )
)
def _key_refused(scene, seconds):
    deadline = time.time() + seconds
    for daemon in ("daemon-0", "daemon-1"):
        while scene.submit("tontine", daemon)["name"] != "BAD_KEY":
            assert time.time() < deadline, daemon
            time.sleep(0.1)


@pytest_bdd.when(parsers.parse("daemon-2 is resumed after {seconds:d} seconds"))
def _resume(scene, seconds):
    time.sleep(seconds)
    scene.deployment.resume("daemon-2")


@pytest_bdd.then("daemon-2 never accepts the key")
def _never_accepts(scene):
    for _ in range(20):
        answer = scene.submit("tontine", "daemon-2", idempotent=True)
        assert answer["name"] in ("BAD_KEY", "STALE_CONFIG"), answer
        time.sleep(0.1)
