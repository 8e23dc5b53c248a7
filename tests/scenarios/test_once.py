"""Steps of once.feature."""

import base64
import collections
import json
import threading
import time

import pytest_bdd
from pytest_bdd import parsers
import uuid6

from mimosaridge_core import codes
from mimosaridge_standins import deployments

pytest_bdd.scenarios("once.feature")

LONGEST_WAIT_S = 25.0


class Payouts:
    """Payouts that were sent, and what their callers heard."""

    def __init__(self, scene) -> None:
        self.scene = scene
        self.bodies = {}
        self.answers = collections.defaultdict(list)
        self.threads = []

    def send(self, daemon: str, work_id: str = "", **task) -> None:
        """Sends a payout, or one again, without waiting for its answer."""
        work_id = work_id or str(uuid6.uuid7())
        fields = self.bodies.setdefault(work_id, task)
        thread = threading.Thread(
            target=self._call, args=(daemon, work_id, dict(fields)), daemon=True
        )
        thread.start()
        self.threads.append(thread)

    def _call(self, daemon, work_id, task) -> None:
        start_before = time.time() + task.pop("within_s", 20.0)
        name = "STALE_CONFIG"
        while name == "STALE_CONFIG" and time.time() < start_before:
            try:
                answer = self.scene.submit(
                    "tontine",
                    daemon,
                    work_id=work_id,
                    endpoint="registry",
                    idempotent=False,
                    start_before=start_before,
                    task={"mark": work_id, **task},
                )
            except OSError:
                return
            name = answer["name"]
            time.sleep(0.1)
        self.answers[work_id].append(answer)

    def wait(self) -> None:
        """Waits until every call has ended."""
        deadline = time.time() + LONGEST_WAIT_S
        for thread in self.threads:
            thread.join(max(0.0, deadline - time.time()))
            assert not thread.is_alive(), "a caller still waits"

    def runs(self) -> collections.Counter:
        """Returns how often each payout was started on any worker."""
        url = self.scene.deployment.workers_url + "/state"
        workers = deployments.fetch("GET", url)["workers"].values()
        return collections.Counter(
            task_id.partition("/")[0]
            for worker in workers
            for _, task_id, _ in worker["starts"]
        )


def _faults(scene, url: str, **faults) -> None:
    deployments.fetch("POST", url, faults)


@pytest_bdd.when(
    parsers.parse(
        "team {team} sends {count:d} payouts to daemon-0 and it is killed"
        " meanwhile"
    ),
    target_fixture="payouts",
)
def _send_and_kill(scene, team, count):
    payouts = Payouts(scene)
    for _ in range(count):
        payouts.send("daemon-0", run_s=0.5)
        time.sleep(0.05)
    scene.deployment.kill("daemon-0")
    return payouts


@pytest_bdd.when("every payout is sent again to daemon-1 and daemon-2 at once")
def _again(payouts):
    for work_id in list(payouts.bodies):
        payouts.send("daemon-1", work_id)
        payouts.send("daemon-2", work_id)


@pytest_bdd.when(
    parsers.parse("the store loses the next {count:d} answers to ledger writes")
)
def _lose_answers(scene, count):
    url = scene.deployment.store_url + "/v1/faults"
    _faults(scene, url, lose_answers=count, lose_prefix="ledgers/")


@pytest_bdd.when(
    parsers.parse("team {team} sends {count:d} payouts to every daemon"),
    target_fixture="payouts",
)
def _send(scene, team, count):
    return _send_all(scene, count, run_s=0.2)


def _send_all(scene, count, **task):
    payouts = Payouts(scene)
    for daemon in scene.deployment.addresses:
        for _ in range(count):
            payouts.send(daemon, **task)
    return payouts


@pytest_bdd.when(parsers.parse("the store goes down for {seconds:d} seconds"))
def _outage(scene, seconds):
    url = scene.deployment.store_url + "/v1/faults"
    _faults(scene, url, down=True)
    back = threading.Timer(seconds, _faults, (scene, url), {"down": False})
    back.daemon = True
    back.start()


@pytest_bdd.when(
    parsers.parse(
        "team {team} sends {count:d} payouts to every daemon with {seconds:d}"
        " seconds to start"
    ),
    target_fixture="payouts",
)
def _send_short(scene, team, count, seconds):
    return _send_all(scene, count, within_s=float(seconds))


@pytest_bdd.when(
    parsers.parse(
        "daemon-1 is paused for {seconds:d} seconds while tontine sends"
        " {count:d} payouts"
    ),
    target_fixture="payouts",
)
def _pause(scene, seconds, count):
    payouts = Payouts(scene)
    for number in range(count):
        payouts.send(f"daemon-{number % 3}", run_s=0.5)
    scene.deployment.pause("daemon-1")
    time.sleep(seconds)
    scene.deployment.resume("daemon-1")
    return payouts


@pytest_bdd.when("open connections to all workers go silent")
def _silent(scene):
    for host in scene.deployment.hosts:
        _faults(scene, host["url"] + "/faults", silent=True)


@pytest_bdd.when(
    parsers.parse(
        "team {team} sends {count:d} payouts of {size:d} bytes to every daemon"
    ),
    target_fixture="payouts",
)
def _send_large(scene, team, count, size):
    return _send_all(scene, count, answer_bytes=size)


@pytest_bdd.then("every payout is answered whole and ran once")
def _answered(payouts):
    payouts.wait()
    runs = payouts.runs()
    for work_id, task in payouts.bodies.items():
        assert runs[work_id] == 1, (work_id, runs[work_id])
        assert payouts.answers[work_id], work_id
        for answer in payouts.answers[work_id]:
            assert answer["name"] == "OK", answer
            content = json.loads(base64.b64decode(answer["answer"]))
            assert content["echo"]["mark"] == work_id
            assert len(content["padding"]) == task.get("answer_bytes", 0)


@pytest_bdd.then("no payout ran more than once")
def _at_most_once(payouts):
    payouts.wait()
    assert set(payouts.runs().values()) <= {1}


@pytest_bdd.then("a payout that was not run never ran")
def _true_refusals(payouts):
    runs = payouts.runs()
    for work_id, answers in payouts.answers.items():
        if any(codes.is_not_run(answer["code"]) for answer in answers):
            assert runs[work_id] == 0, answers


@pytest_bdd.then("every payout has an outcome")
def _outcome(payouts):
    assert all(payouts.answers[work_id] for work_id in payouts.bodies)
