"""Ports for the processes of a test."""

import fcntl
import itertools
import pathlib
import tempfile

from mimosaridge_standins import deployments


def test_a_port_that_another_test_holds_is_not_given_out(monkeypatch):
    taken = deployments.free_port()
    while deployments.PORT_LOCKS:
        deployments.PORT_LOCKS.pop().close()
    offered = itertools.count(taken)
    monkeypatch.setattr(
        deployments.random, "randrange", lambda *ends: next(offered)
    )
    folder = pathlib.Path(tempfile.gettempdir())
    with open(folder / f"mimosaridge-port-{taken}", "w") as held:
        fcntl.flock(held, fcntl.LOCK_EX)
        assert deployments.free_port() != taken
