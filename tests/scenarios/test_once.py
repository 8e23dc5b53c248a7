"""Steps of once.feature."""

import base64
import collections
import json
import socket
import threading
import time

import pytest_bdd
from pytest_bdd import parsers
import uuid6

from mimosaridge_core import codes
from mimosaridge_standins import deployments

pytest_bdd.scenarios("once.feature")

WAIT_TIMEOUT_S = 25.0


class Payouts:
    """The payouts that were sent and the answers to their callers."""

    def __init__(self, scene) -> None:
        self.scene = scene
        self.bodies = {}
        self.answers = collections.defaultdict(list)
        self.threads = []
        self._wait_for_configuration()

    def _wait_for_configuration(self) -> None:
        """Waits until all live daemons have the same configuration."""
        deadline = time.time() + WAIT_TIMEOUT_S
        deployment = self.scene.deployment
        while time.time() < deadline:
            states = [deployment.status(name) for name in deployment.addresses]
            numbers = {state["config_number"] for state in states if state}
            if len(numbers) == 1:
                return
            time.sleep(0.05)
        raise TimeoutError("the configuration is not in force everywhere")

    def send(self, daemon: str, work_id: str = "", **task) -> None:
        """Sends or resends a payout without waiting for its answer."""
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
        """Waits until every call has returned."""
        deadline = time.time() + WAIT_TIMEOUT_S
        for thread in self.threads:
            thread.join(max(0.0, deadline - time.time()))
            assert not thread.is_alive(), "a call has not returned"

    def runs(self) -> collections.Counter:
        """Returns how often each payout was started, over all workers."""
        url = self.scene.deployment.workers_url + "/state"
        workers = deployments.fetch("GET", url)["workers"].values()
        return collections.Counter(
            task_id.partition("/")[0]
            for worker in workers
            for _, task_id, _ in worker["starts"]
        )


def _set_faults(scene, url: str, **faults) -> None:
    deployments.fetch("POST", url, faults)


@pytest_bdd.when(
    parsers.parse(
        "team {team} sends {count:d} payouts to daemon-0, which is killed"
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
def _resend(payouts):
    for work_id in list(payouts.bodies):
        payouts.send("daemon-1", work_id)
        payouts.send("daemon-2", work_id)


@pytest_bdd.when(
    parsers.parse("the store loses the next {count:d} answers to ledger writes")
)
def _lose_answers(scene, count):
    url = scene.deployment.store_url + "/v1/faults"
    _set_faults(scene, url, lose_answers=count, lose_prefix="ledgers/")


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
    _set_faults(scene, url, down=True)
    recovery = threading.Timer(
        seconds, _set_faults, (scene, url), {"down": False}
    )
    recovery.daemon = True
    recovery.start()


@pytest_bdd.when(
    parsers.parse(
        "team {team} sends {count:d} payouts to every daemon with a start"
        " deadline of {seconds:d} seconds"
    ),
    target_fixture="payouts",
)
def _send_with_deadline(scene, team, count, seconds):
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


@pytest_bdd.when("open connections to all workers stop responding")
def _silence_connections(scene):
    for host in scene.deployment.hosts:
        _set_faults(scene, host["url"] + "/faults", silent=True)


@pytest_bdd.when(
    parsers.parse(
        "team {team} sends {count:d} payouts of {size:d} bytes to every daemon"
    ),
    target_fixture="payouts",
)
def _send_large(scene, team, count, size):
    return _send_all(scene, count, answer_bytes=size)


@pytest_bdd.then("every payout is answered completely and ran once")
def _answered_and_ran_once(payouts):
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


@pytest_bdd.then("no payout that was reported as not run ever ran")
def _refused_never_ran(payouts):
    runs = payouts.runs()
    for work_id, answers in payouts.answers.items():
        if any(codes.is_not_run(answer["code"]) for answer in answers):
            assert runs[work_id] == 0, answers


@pytest_bdd.then("every payout has an outcome")
def _all_have_outcomes(payouts):
    assert all(payouts.answers[work_id] for work_id in payouts.bodies)


@pytest_bdd.when(
    parsers.parse(
        "team {team} submits {count:d} jobs of {tasks:d} tasks that take"
        " {seconds:d} seconds each"
    ),
    target_fixture="jobs",
)
def _submit_jobs(scene, team, count, tasks, seconds):
    answers = [
        scene.submit(
            team,
            "daemon-0",
            kind="batch",
            count=tasks,
            needs={"slots": 8, "cpu_millis": 1000},
            start_before=time.time() + 120.0,
            task={"run_s": seconds},
        )
        for _ in range(count)
    ]
    assert {answer["name"] for answer in answers} == {"ACCEPTED"}, answers
    return [answer["work_id"] for answer in answers]


@pytest_bdd.when("daemon-2 is killed after each job has ended in part")
def _kill_home(scene):
    time.sleep(2.5)
    scene.deployment.kill("daemon-2")


@pytest_bdd.then(parsers.parse("every job is done within {seconds:d} seconds"))
def _jobs_done(scene, jobs, seconds):
    deadline = time.time() + seconds
    for work_id in jobs:
        while not _is_done(scene, work_id):
            assert time.time() < deadline, scene.explanation(work_id)
            time.sleep(0.3)


def _is_done(scene, work_id):
    answer = scene.submit(
        "tontine",
        "daemon-1",
        work_id=work_id,
        kind="request",
        idempotent=False,
        start_before=time.time() + 1.0,
    )
    return answer["name"] == "OK"


@pytest_bdd.then("no task of a job was started twice")
def _each_started_once(scene, jobs):
    url = scene.deployment.workers_url + "/state"
    workers = deployments.fetch("GET", url)["workers"].values()
    starts = collections.Counter(
        task_id for worker in workers for _, task_id, _ in worker["starts"]
    )
    assert set(starts.values()) == {1}, starts
    assert len(starts) == 4 * len(jobs)


@pytest_bdd.when(
    parsers.parse("{count:d} callers send an incomplete payout and disconnect")
)
def _send_incomplete(scene, count):
    host, _, port = scene.deployment.addresses["daemon-0"][0].partition(":")
    body = json.dumps(
        {
            "work_id": str(uuid6.uuid7()),
            "team": "tontine",
            "idempotent": False,
            "start_before": time.time() + 20.0,
        }
    )
    for number in range(count):
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(
                b"POST /v1/work HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer k-tontine.secret\r\n"
                + f"Content-Length: {len(body) + 1}\r\n\r\n".encode()
                + body[: len(body) - number].encode()
            )


@pytest_bdd.then("nothing else ran")
def _nothing_else_ran(payouts):
    assert set(payouts.runs()) == set(payouts.bodies)
