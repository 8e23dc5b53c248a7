"""Clients outside the limits end no process and keep no caller from it.

Each test starts a daemon of the system beside a stand-in of the platform, lets
a small crowd send what no client inside the limits sends, and checks the
process while the crowd is still connected. Nothing here depends on the speed of
the machine. `scripts/test` runs these tests one at a time, after all others.
"""

import json
import os
import pathlib
import secrets
import time

import crowd
import platforms
import pytest

# The smallest machine of the deployments has this much memory. A daemon that
# serves nobody takes half of it.
MEMORY_MB = 160
# Descriptors of the daemon's machine; 200 of them are reserved for files.
DESCRIPTORS = 400
SOCKETS = DESCRIPTORS - 200
# Limits of the configuration, as the operators write them.
HEAD_BYTES = 16_384
BODY_BYTES = 700_000
# Clients at a time, and the bytes of those that would never end.
CLIENTS = 180
FEW_CLIENTS = 40
ENDLESS_BYTES = 6_000_000

# What has been received is read, or left unread for good, after this time.
SETTLE_S = 2.0

LINE = b"X-Filler-%d: " + b"x" * 60_000 + b"\r\n"
START = f"POST {platforms.PREFIX}%s HTTP/1.1\r\nHost: {platforms.HOST}\r\n"


class Flooded:
    """A daemon with a crowd of clients."""

    def __init__(self, folder, network):
        self.files = folder / "tmp"
        self.files.mkdir()
        limits = {"maxHeaderBytes": HEAD_BYTES, "maxBodyBytes": BODY_BYTES}
        self.platform = platforms.Platform(
            folder,
            network,
            settings={
                "limits.memoryMb": MEMORY_MB,
                "limits.fileDescriptors": DESCRIPTORS,
            },
            configuration=platforms.CONFIGURATION | {"limits": limits},
            environment={"TMPDIR": str(self.files)},
        )
        self.crowds = []

    def start(self):
        self.platform.start(daemons=1, workers=1)
        self.process, self.ip = self.platform.daemons["front-1"]

    def stop(self):
        for each in self.crowds:
            each.close()
        self.platform.stop()

    def send(self, clients, port=8686):
        self.crowds.append(crowd.Crowd((self.ip, port)))
        self.crowds[-1].send(clients)
        unread = None
        while unread != (unread := _unread_bytes(self.ip)):
            time.sleep(SETTLE_S)

    def check(self):
        """Checks the process while the crowd is connected."""
        assert self.process.poll() is None, "the process has ended"
        descriptors = list(self.proc.joinpath("fd").iterdir())
        sockets = sum(
            _target(each).startswith("socket:") for each in descriptors
        )
        assert sockets <= SOCKETS
        # Hosts have no disk: temporary files are in memory.
        files = sum(each.stat().st_size for each in self.files.iterdir())
        memory = _peak_bytes(self.proc), files, _unread_bytes(self.ip)
        assert sum(memory) / 1e6 <= MEMORY_MB, memory
        self.platform.job = secrets.token_hex(8)
        self.platform.submit([{"count": 1, "cpu": 100}], "10", self.ip)
        assert self.platform.status == 200

    @property
    def proc(self):
        return pathlib.Path(f"/proc/{self.process.pid}")


def _target(descriptor):
    try:
        return os.readlink(descriptor)
    except FileNotFoundError:
        return ""


def _peak_bytes(proc):
    """Returns the most memory that a process has had, in bytes."""
    lines = proc.joinpath("status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return int(fields["VmHWM"].split()[0]) * 1024


def _unread_bytes(ip):
    """Returns the bytes that wait unread at an IP address."""
    address = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    return sum(
        int(row.split()[4].split(":")[1], 16)
        for row in rows
        if row.split()[1].startswith(address) and row.split()[3] != "0A"
    )


def _body(size):
    """Returns a valid job of a size in bytes."""
    step = {"count": 1, "cpu": 100, "image": "x" * (size // 200)}
    steps = [step] * 200
    text = json.dumps({"taskSpec": "10", "steps": steps})
    while len(text) > size:
        steps = steps[1:]
        text = json.dumps({"taskSpec": "10", "steps": steps})
    return text.encode().ljust(size)


def _post(body, key="key-a", framing=None):
    head = (START % secrets.token_hex(8)) + f"X-Key: {key}\r\n"
    head += framing or f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n"


@pytest.fixture
def flooded(tmp_path):
    daemon = Flooded(tmp_path, network=240)
    try:
        daemon.start()
        yield daemon
    finally:
        daemon.stop()


@pytest.mark.parametrize("port", [8686, 8689, 9464, 7180])
def test_heads_over_the_limit(flooded, port):
    def head():
        yield b"GET /v1/readiness HTTP/1.1\r\nHost: a\r\n"
        for number in range(95):
            yield LINE % number

    flooded.send((head() for _ in range(FEW_CLIENTS)), port)
    flooded.check()


@pytest.mark.parametrize("port", [8686, 8689, 9464, 7180])
def test_heads_without_end(flooded, port):
    def head():
        yield b"GET /v1/readiness HTTP/1.1\r\nHost: a\r\nX-Filler: "
        yield from crowd.pieces(ENDLESS_BYTES, b"x" * crowd.PIECE_BYTES)

    flooded.send((head() for _ in range(CLIENTS)), port)
    flooded.check()


@pytest.mark.parametrize("port", [8686, 8689, 9464, 7180])
def test_empty_lines_without_end(flooded, port):
    lines = b"\r\n" * (crowd.PIECE_BYTES // 2)
    flooded.send(
        (crowd.pieces(ENDLESS_BYTES, lines) for _ in range(CLIENTS)), port
    )
    flooded.check()


def test_many_whole_bodies(flooded):
    body = _body(BODY_BYTES)
    flooded.send(iter([_post(body) + body]) for _ in range(CLIENTS))
    flooded.check()


def test_many_bodies_that_stop_short_of_their_end(flooded):
    body = _body(BODY_BYTES)
    flooded.send(iter([_post(body) + body[:-1]]) for _ in range(CLIENTS))
    flooded.check()


def test_many_bodies_piece_by_piece_that_stop_short_of_their_end(flooded):
    body = _body(BODY_BYTES)

    def client():
        yield _post(body)
        for start in range(0, BODY_BYTES - crowd.PIECE_BYTES, 4096):
            yield body[start : start + 4096]

    flooded.send(client() for _ in range(CLIENTS))
    flooded.check()


def test_many_chunked_bodies_without_end(flooded):
    chunk = b"%x\r\n" % crowd.PIECE_BYTES + b" " * crowd.PIECE_BYTES + b"\r\n"

    def client():
        yield _post(b"", framing="Transfer-Encoding: chunked\r\n")
        yield from crowd.pieces(ENDLESS_BYTES, chunk)

    flooded.send(client() for _ in range(FEW_CLIENTS))
    flooded.check()


def test_bodies_of_callers_without_a_key(flooded):
    body = _body(BODY_BYTES)
    flooded.send(
        iter([_post(body, key="none") + body[:-1]]) for _ in range(CLIENTS)
    )
    flooded.check()


def test_more_connections_than_descriptors(flooded):
    flooded.send(iter([b"GET /"]) for _ in range(2 * SOCKETS))
    flooded.check()


def test_one_request_at_the_limits_is_served(flooded):
    body = _body(BODY_BYTES)
    filler = b"x" * (HEAD_BYTES - 1000)
    flooded.platform.job = secrets.token_hex(8)
    response = flooded.platform.http.request(
        "POST",
        f"http://{flooded.ip}:8686{platforms.PREFIX}{flooded.platform.job}",
        body=body,
        headers={
            "Host": platforms.HOST,
            "X-Key": "key-a",
            "X-Filler": filler.decode(),
            "X-Deadline-Ms": "3000",
        },
        timeout=10,
    )
    assert response.status == 200
