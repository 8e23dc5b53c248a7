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
MAX_BODY_BYTES = 1_000_000
GARBAGE = (b"\x00" * 2000, b"\xff\xfe\r\n\r\n", b"GET /" + b"x" * 100_000)
BODIES = (
    b"",
    b"\xff\xfe\xfd",
    b"{" * 50_000,
    b'{"work_id": NaN}',
    b'{"start_before": 1e999}',
    b" " * (MAX_BODY_BYTES + 1),
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


@pytest_bdd.when("bytes that are not HTTP are sent to both ports of daemon-0")
def _send_invalid_http(scene):
    for address in scene.deployment.addresses["daemon-0"]:
        host, _, port = address.rpartition(":")
        for data in GARBAGE:
            with socket.create_connection((host, int(port)), 5) as connection:
                try:
                    connection.sendall(data)
                    connection.shutdown(socket.SHUT_WR)
                    connection.recv(1)
                except OSError:
                    pass


@pytest_bdd.when(
    "malformed and oversized bodies are posted to every path of daemon-0"
)
def _post_invalid_bodies(scene):
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
    "a client without the peer secret connects to daemon-0",
    target_fixture="rejection_status",
)
def _connect_without_secret(scene):
    with pytest.raises(exceptions.InvalidStatus) as caught:
        client.connect(_peer_url(scene), proxy=None)
    return caught.value.response.status_code


@pytest_bdd.when("a peer sends malformed messages to daemon-0")
def _send_malformed_messages(scene):
    secret = {peers.SECRET_HEADER: deployments.PEER_SECRET}
    for data in MESSAGES:
        connection = client.connect(
            _peer_url(scene), additional_headers=secret, proxy=None
        )
        with connection:
            connection.send(data)
            with pytest.raises(exceptions.ConnectionClosed):
                connection.recv(timeout=5)


@pytest_bdd.then("every body was refused with a result code")
def _all_refused(scene):
    names = {answer["name"] for answer in scene.answers}
    assert names == {"BAD_INPUT", "TOO_LARGE"}
    assert all(answer["code"] >= 300 for answer in scene.answers)


@pytest_bdd.then("the client without the secret was rejected")
def _rejected(rejection_status):
    assert rejection_status == 403


@pytest_bdd.then("team tontine gets an answer from each daemon")
def _answered(scene):
    for name in scene.deployment.addresses:
        answer = scene.submit("tontine", name, endpoint="registry")
        assert answer["name"] == "OK", answer


@pytest_bdd.then("every process is still running")
def _all_running(scene):
    for process in scene.deployment.processes.values():
        assert process.poll() is None
