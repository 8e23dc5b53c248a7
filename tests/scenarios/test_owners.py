"""Steps of owners.feature."""

import base64
import collections
import itertools
import json
import threading
import time

import pytest_bdd
from pytest_bdd import parsers

from mimosaridge_standins import deployments

pytest_bdd.scenarios("owners.feature")

NEEDS = {"cpu_millis": 500, "memory_mib": 256}


def _workers(scene):
    url = scene.deployment.workers_url + "/state"
    return deployments.fetch("GET", url)["workers"]


def _starts(scene, zone=""):
    zones = {host["worker_id"]: host["zone"] for host in scene.deployment.hosts}
    return [
        (*start, worker_id)
        for worker_id, worker in _workers(scene).items()
        if not zone or zones[worker_id] == zone
        for start in worker["starts"]
    ]


def _set_store_faults(scene, **faults):
    url = scene.deployment.store_url + "/v1/faults"
    deployments.fetch("POST", url, faults)


def _wait_for_configuration(scene):
    """Waits until every daemon has the configuration with the team's key."""
    deadline = time.time() + 10.0
    numbers = {0, 1}
    while len(numbers) > 1:
        assert time.time() < deadline, numbers
        numbers = {
            scene.deployment.status(name)["config_number"]
            for name in scene.deployment.addresses
        }


@pytest_bdd.given(
    parsers.parse("a batch job of {count:d} tasks of {run_s:d} seconds")
)
@pytest_bdd.when(
    parsers.parse(
        "a batch job of {count:d} tasks of {run_s:d} seconds is submitted"
    )
)
def _submit_job(scene, count, run_s):
    scene.submitted_at = time.time()
    scene.run_s = run_s
    answer = scene.submit(
        "tontine", kind="batch", count=count, needs=NEEDS, task={"run_s": run_s}
    )
    assert answer["name"] == "ACCEPTED", answer
    scene.work_id = answer["work_id"]
    time.sleep(1.0)


@pytest_bdd.when(parsers.parse("{name} is killed"))
def _kill(scene, name):
    scene.deployment.kill(name)


@pytest_bdd.when(parsers.parse("{name} is paused for {seconds:d} seconds"))
def _pause(scene, name, seconds):
    scene.deployment.pause(name)
    time.sleep(seconds)
    scene.deployment.resume(name)


@pytest_bdd.when(
    parsers.parse("the store goes down for {seconds:d} seconds"),
)
def _outage(scene, seconds):
    _wait_for_configuration(scene)
    _set_store_faults(scene, down=True)
    scene.outage_ends_at = time.time() + seconds


@pytest_bdd.when("the store goes down permanently")
def _permanent_outage(scene):
    _set_store_faults(scene, down=True)


@pytest_bdd.then("every daemon answers idempotent requests during the outage")
def _answered_during_outage(scene):
    while time.time() < scene.outage_ends_at:
        for daemon in scene.deployment.addresses:
            answer = scene.submit(
                "tontine", daemon, needs=NEEDS, idempotent=True
            )
            assert answer["name"] == "OK", answer
        time.sleep(0.2)
    _set_store_faults(scene, down=False)


@pytest_bdd.then(
    parsers.parse("every task of the job ends within {seconds:d} seconds")
)
def _job_ends(scene, seconds):
    deadline = time.time() + seconds
    text = ""
    while "tasks ended well" not in text and "It was done." not in text:
        assert time.time() < deadline, text[-2000:]
        time.sleep(0.3)
        text = scene.explanation(scene.work_id)


@pytest_bdd.then("no worker was allocated more than its capacity")
def _capacity(scene):
    for worker_id, worker in _workers(scene).items():
        assert worker["overcommits"] == 0, worker_id
        for name, amount in worker["most_used"].items():
            assert amount <= worker["capacity"][name], (worker_id, name)


@pytest_bdd.then("no task ran twice at the same time")
def _no_overlapping_runs(scene):
    runs = collections.defaultdict(list)
    for worker in _workers(scene).values():
        ends = {(end[1], end[2]): end[0] for end in worker["ends"]}
        for at, task_id, attempt in worker["starts"]:
            end = ends.get((task_id, attempt), float("inf"))
            runs[task_id].append((at, end))
    for task_id, spans in runs.items():
        spans.sort()
        for (_, end), (start, _) in itertools.pairwise(spans):
            assert end <= start, (task_id, spans)


@pytest_bdd.when(parsers.parse("operators take zone {zone} out of service"))
def _evacuate_zone(scene, zone):
    assert scene.change("zone-out", zone=zone)["name"] == "OK"
    scene.evacuated_at = time.time()


@pytest_bdd.then(
    parsers.parse("nothing runs in zone {zone} within {seconds:d} seconds")
)
def _zone_empty(scene, zone, seconds):
    zones = {host["worker_id"]: host["zone"] for host in scene.deployment.hosts}
    deadline = time.time() + seconds
    running = [zone]
    while running:
        assert time.time() < deadline, running
        time.sleep(0.1)
        running = [
            key
            for worker_id, worker in _workers(scene).items()
            if zones[worker_id] == zone
            for key in worker["running"]
        ]


@pytest_bdd.then(
    parsers.parse(
        "nothing starts in zone {zone} later than {seconds:d} seconds after"
        " that"
    )
)
def _no_starts(scene, zone, seconds):
    since = scene.evacuated_at + seconds
    time.sleep(max(0.0, since + 2.0 - time.time()))
    assert [s for s in _starts(scene, zone) if s[0] > since] == []


@pytest_bdd.when(parsers.parse("worker {worker_id} announces its departure"))
def _announce_departure(scene, worker_id):
    url = f"{scene.deployment.workers_url}/workers/{worker_id}/leaving"
    deployments.fetch("POST", url, {"leaving": True})


@pytest_bdd.when(parsers.parse("{seconds:d} seconds pass"))
def _wait(seconds):
    time.sleep(seconds)


@pytest_bdd.then(
    parsers.parse(
        "no task was started on worker {worker_id} after the submission"
    )
)
def _none_started_since(scene, worker_id):
    _job_ends(scene, 20)
    late_starts = [
        start
        for start in _starts(scene)
        if start[0] > scene.submitted_at and start[3] == worker_id
    ]
    assert late_starts == []
    assert len(_starts(scene)) >= 60


@pytest_bdd.when("each daemon is restarted by SIGTERM while requests are sent")
def _rolling_restart(scene):
    _wait_for_configuration(scene)
    names = list(scene.deployment.addresses)
    scene.draining = ""
    scene.stop = False
    threads = [
        threading.Thread(target=_send_requests, args=(scene, number, names))
        for number in range(6)
    ]
    for thread in threads:
        thread.start()
    scene.exits = []
    for name in names:
        time.sleep(0.5)
        scene.draining = name
        scene.exits.append(scene.deployment.terminate(name))
        scene.deployment.start_daemon(name)
        scene.deployment.wait_ready()
        scene.draining = ""
    scene.stop = True
    for thread in threads:
        thread.join()


def _send_requests(scene, number, names):
    """Sends requests to the daemons that are not being restarted.

    Does what a load balancer would do.
    """
    sequence = 0
    while not scene.stop:
        sequence += 1
        name = names[(number + sequence) % len(names)]
        if name == scene.draining:
            continue
        mark = f"{number}/{sequence}"
        answer = scene.submit(
            "tontine",
            name,
            needs=NEEDS,
            idempotent=sequence % 2 == 0,
            task={"mark": mark, "run_s": 0.2, "answer_bytes": 50_000},
        )
        scene.answers.append((mark, answer))


@pytest_bdd.then("every accepted request was answered completely")
def _answers_complete(scene):
    names = collections.Counter(answer["name"] for _, answer in scene.answers)
    assert set(names) <= {"OK", "DRAINING"}, names
    assert names["OK"] > 100, names
    for mark, answer in scene.answers:
        if answer["name"] == "OK":
            content = json.loads(base64.b64decode(answer["answer"]))
            assert content["echo"]["mark"] == mark
            assert len(content["padding"]) == 50_000


@pytest_bdd.then("every daemon exited with status 0")
def _exited_cleanly(scene):
    assert scene.exits == [0, 0, 0]


@pytest_bdd.then("no request was started twice")
def _no_request_started_twice(scene):
    counts = collections.Counter(start[1] for start in _starts(scene))
    assert [task for task, count in counts.items() if count > 1] == []


@pytest_bdd.then(parsers.parse("{name} exits with status 0 after SIGTERM"))
def _exits_cleanly(scene, name):
    assert scene.deployment.terminate(name) == 0
