"""Steps of jobs.feature: daemon processes against a platform stand-in."""

import itertools
import signal
import time

import platforms
import pytest
import pytest_bdd
from pytest_bdd import parsers

pytest_bdd.scenarios("jobs.feature")

# Each scenario uses its own loopback network.
NETWORKS = itertools.count(1)


@pytest.fixture
def platform(tmp_path, worker_id):
    offset = int(worker_id.removeprefix("gw") or 0) if "gw" in worker_id else 0
    running = platforms.Platform(tmp_path, 20 + offset * 40 + next(NETWORKS))
    yield running
    running.stop()


@pytest_bdd.given(
    parsers.parse("a platform with {daemons:d} daemons and {count:d} workers")
)
def given_platform(platform, daemons, count):
    platform.start(daemons, count)


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
        lambda: _starts(platform)[0] or ms < 1000, "no task is started"
    )


@pytest_bdd.when("the same job is submitted to every daemon")
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


@pytest_bdd.when("the owner is terminated")
def terminate_owner(platform):
    platform.daemons[platform.owner()][0].send_signal(signal.SIGTERM)


@pytest_bdd.when("it is cancelled")
def cancel(platform):
    platform.call(
        "DELETE", platform.live()[-1], platforms.PREFIX + platform.job
    )
    assert platform.status == 200


@pytest_bdd.when("the store is down")
def take_store_down(platform):
    platform.call_standin("POST", "/test/mode", {"mode": "down"})


@pytest_bdd.when("the store is up again")
def bring_store_up(platform):
    platform.call_standin("POST", "/test/mode", {"mode": "up"})


@pytest_bdd.when("the state of a job that was never submitted is requested")
def query_unknown_job(platform):
    platform.call("GET", platform.live()[0], platforms.PREFIX + "0" * 16)


def _starts(platform):
    workers = platform.call_standin("GET", "/test/starts").values()
    starts = [task for worker in workers for task in worker["starts"]]
    overlaps = [task for worker in workers for task in worker["overlaps"]]
    return starts, overlaps


@pytest_bdd.then(parsers.parse("its state becomes {state}"))
def state_becomes(platform, state):
    platform.wait_for(
        lambda: platform.state() == state, f"the state does not become {state}"
    )


@pytest_bdd.then(
    parsers.parse("{count:d} tasks were started, none of them twice")
)
def started(platform, count):
    starts, overlaps = _starts(platform)
    assert sorted(starts) == sorted(set(starts))
    assert len(starts) == count
    assert overlaps == []


@pytest_bdd.then("no more tasks are started")
def no_more_starts(platform):
    before = _starts(platform)
    time.sleep(1.0)
    assert _starts(platform) == before


@pytest_bdd.then(parsers.parse("the response status is {status:d}"))
def response_status(platform, status):
    assert platform.status == status


@pytest_bdd.then(
    parsers.parse("the response status is {status:d} with a Retry-After header")
)
def response_status_with_retry_after(platform, status):
    assert platform.status == status
    assert int(platform.headers["Retry-After"]) > 0
