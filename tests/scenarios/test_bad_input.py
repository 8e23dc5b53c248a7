"""Steps of bad_input.feature."""

import json
import socket

import cbor2
import pytest
import pytest_bdd
import urllib3
from websockets import exceptions
from websockets.sync import client

from mimosaridge_daemon import codec
from mimosaridge_daemon import peers
from mimosaridge_standins import deployments

pytest_bdd.scenarios("bad_input.feature")

PATHS = ("/v1/work", "/v1/plans", "/v1/confirmations")
LARGEST_BODY = 1_000_000
GARBAGE = (b"\x00" * 2000, b"\xff\xfe\r\n\r\n", b"GET /" + b"x" * 100_000)
BODIES = (
    b"",
    b"\xff\xfe\xfd",
    b"{" * 50_000,
    b'{"work_id": NaN}',
    b'{"start_before": 1e999}',
    b" " * (LARGEST_BODY + 1),
)
MESSAGES = (
    b"",
    b"\x07",
    codec.PLAIN + b"\x81" * 100_000,
    codec.PLAIN + cbor2.dumps(["PlaceTask", "daemon-1", {"shard": 7}]),
    codec.PLAIN + cbor2.dumps(["Heartbeat", 3, None]),
    codec.COMPRESSED + b"not compressed",
)


def _peer_url(scene):
    return "ws://" + scene.deployment.addresses["daemon-0"][1]


@pytest_bdd.when("bytes that are no HTTP reach both ports of daemon-0")
def _garbage(scene):
    for address in scene.deployment.addresses["daemon-0"]:
        host, _, port = address.rpartition(":")
        for data in GARBAGE:
            with socket.create_connection((host, int(port)), 5) as link:
                try:
                    link.sendall(data)
                    link.shutdown(socket.SHUT_WR)
                    link.recv(1)
                except OSError:
                    pass


@pytest_bdd.when("malformed and oversized bodies reach every path of daemon-0")
def _bodies(scene):
    pool = urllib3.PoolManager(retries=False)
    url = scene.deployment.url("daemon-0")
    headers = {"Authorization": f"Bearer {deployments.BOOTSTRAP_KEY}"}
    scene.answers = [
        json.loads(
            pool.request("POST", url + path, body=body, headers=headers).data
        )
        for path in PATHS
        for body in BODIES
    ]


@pytest_bdd.when(
    "a stranger without the peers' secret calls daemon-0",
    target_fixture="turned_away",
)
def _stranger(scene):
    with pytest.raises(exceptions.InvalidStatus) as caught:
        client.connect(_peer_url(scene), proxy=None)
    return caught.value.response.status_code


@pytest_bdd.when("a peer sends daemon-0 messages that are malformed")
def _malformed(scene):
    secret = {peers.SECRET_HEADER: deployments.PEER_SECRET}
    for data in MESSAGES:
        link = client.connect(
            _peer_url(scene), additional_headers=secret, proxy=None
        )
        with link:
            link.send(data)
            with pytest.raises(exceptions.ConnectionClosed):
                link.recv(timeout=5)


@pytest_bdd.then("every body was refused with a numbered code")
def _refused(scene):
    names = {answer["name"] for answer in scene.answers}
    assert names == {"BAD_INPUT", "TOO_LARGE"}
    assert all(answer["code"] >= 300 for answer in scene.answers)


@pytest_bdd.then("the stranger was turned away")
def _turned_away(turned_away):
    assert turned_away == 403


@pytest_bdd.then("team tontine gets an answer from each daemon")
def _answered(scene):
    for name in scene.deployment.addresses:
        answer = scene.submit("tontine", name, endpoint="registry")
        assert answer["name"] == "OK", answer


@pytest_bdd.then("every process still runs")
def _alive(scene):
    for process in scene.deployment.processes.values():
        assert process.poll() is None
