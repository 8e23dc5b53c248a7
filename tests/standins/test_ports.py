"""Reservation of free ports for test deployments."""

import fcntl
import itertools
import pathlib
import tempfile

from mimosaridge_standins import deployments


def test_port_locked_by_another_process_is_skipped(monkeypatch):
    port = deployments.free_port()
    while deployments.PORT_LOCKS:
        deployments.PORT_LOCKS.pop().close()
    candidates = itertools.count(port)
    monkeypatch.setattr(
        deployments.random, "randrange", lambda *bounds: next(candidates)
    )
    folder = pathlib.Path(tempfile.gettempdir())
    with open(folder / f"mimosaridge-port-{port}", "w") as lock_file:
        fcntl.flock(lock_file, fcntl.LOCK_EX)
        assert deployments.free_port() != port
