"""Steps of jobs.feature: daemons as real processes against a stand-in."""

import itertools
import signal
import time

import platforms
import pytest
import pytest_bdd
from pytest_bdd import parsers

pytest_bdd.scenarios("jobs.feature")

# Each scenario has loopback addresses of its own.
NETWORKS = itertools.count(1)


@pytest.fixture
def platform(tmp_path, worker_id):
    offset = int(worker_id.removeprefix("gw") or 0) if "gw" in worker_id else 0
    made = platforms.Platform(tmp_path, 20 + offset * 40 + next(NETWORKS))
    yield made
    made.end()


@pytest_bdd.given(
    parsers.parse("a platform with {daemons:d} daemons and {count:d} workers")
)
def given_platform(platform, daemons, count):
    platform.begin(daemons, count)


STEP = {"cpu": 1000, "memoryRequestMb": 64, "estimatedMs": 300}


@pytest_bdd.when(
    parsers.parse(
        "a job of {first:d} tasks and then {second:d} tasks of {ms:d} ms"
        " is submitted"
    )
)
def submit(platform, first, second, ms):
    platform.steps = [
        STEP | {"count": first},
        STEP | {"count": second, "after": [0]},
    ]
    platform.content = str(ms)

    def accepted():
        platform.submit(platform.steps, platform.content)
        return platform.status == 200

    platform.wait_for(accepted, "the job is not accepted")
    platform.wait_for(
        lambda: _starts(platform)[0] or ms < 1000, "nothing is started"
    )


@pytest_bdd.when("the same job is submitted at every daemon")
def submit_again(platform):
    for ip in platform.live():
        platform.submit(platform.steps, platform.content, ip)
        assert platform.status == 200


@pytest_bdd.when(parsers.parse('a job is submitted with the key "{key}"'))
def submit_with_key(platform, key):
    platform.submit([STEP | {"count": 1}], "100", key=key)


@pytest_bdd.when("the owner is killed")
def kill_owner(platform):
    platform.daemons[platform.owner()][0].kill()


@pytest_bdd.when("the owner is told to end")
def end_owner(platform):
    platform.daemons[platform.owner()][0].send_signal(signal.SIGTERM)


@pytest_bdd.when("it is cancelled")
def cancel(platform):
    platform.call(
        "DELETE", platform.live()[-1], platforms.PREFIX + platform.job
    )
    assert platform.status == 200


@pytest_bdd.when("the store is down")
def down(platform):
    platform.ask_standin("POST", "/test/mode", {"mode": "down"})


@pytest_bdd.when("the store is back")
def back(platform):
    platform.ask_standin("POST", "/test/mode", {"mode": "up"})


@pytest_bdd.when("the state of a job that nobody submitted is asked for")
def ask_unknown(platform):
    platform.call("GET", platform.live()[0], platforms.PREFIX + "0" * 16)


def _starts(platform):
    found = platform.ask_standin("GET", "/test/starts").values()
    starts = [task for worker in found for task in worker["starts"]]
    overlaps = [task for worker in found for task in worker["overlaps"]]
    return starts, overlaps


@pytest_bdd.then(parsers.parse("it is shown as {state}"))
def shown(platform, state):
    platform.wait_for(
        lambda: platform.state() == state, f"it is not shown as {state}"
    )


@pytest_bdd.then(
    parsers.parse("{count:d} tasks were started, none of them twice")
)
def started(platform, count):
    starts, overlaps = _starts(platform)
    assert sorted(starts) == sorted(set(starts))
    assert len(starts) == count
    assert overlaps == []


@pytest_bdd.then("nothing is started any more")
def quiet(platform):
    before = _starts(platform)
    time.sleep(1.0)
    assert _starts(platform) == before


@pytest_bdd.then(parsers.parse("the answer is {status:d}"))
def answered(platform, status):
    assert platform.status == status


@pytest_bdd.then(
    parsers.parse("the answer is {status:d} with a time to come back")
)
def answered_later(platform, status):
    assert platform.status == status
    assert int(platform.headers["Retry-After"]) > 0
