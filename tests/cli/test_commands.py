"""The command line: help, exit codes and output."""

import inspect
import json
import os
import subprocess
import sys
import time

import pytest

from mimosaridge_cli import main
from mimosaridge_cli import progress

COMMANDS = sorted(
    name for name in dir(main.Commands) if not name.startswith("_")
)


def _run(module, *arguments, **environment):
    kept = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("MIMOSARIDGE_")
    }
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        env=kept | environment | {"PAGER": "cat"},
        timeout=60,
        stdin=subprocess.DEVNULL,
    )


@pytest.mark.parametrize("command", COMMANDS)
def test_help_names_every_argument(command):
    done = _run("mimosaridge_cli.main", command, "--help")
    text = done.stdout + done.stderr
    assert done.returncode == 0
    method = getattr(main.Commands, command)
    assert inspect.getdoc(method).splitlines()[0] in text
    for name, parameter in inspect.signature(method).parameters.items():
        if name == "self" or parameter.kind is parameter.VAR_KEYWORD:
            continue
        assert name in text or name.upper() in text


def test_help_of_the_whole_names_every_command():
    done = _run("mimosaridge_cli.main", "--help")
    assert done.returncode == 0
    for command in COMMANDS:
        assert command in done.stdout + done.stderr


@pytest.mark.parametrize(
    "arguments", [("status",), ("nonsense",), ("run", "--nonsense=1")]
)
def test_wrong_usage_exits_with_2(arguments):
    done = _run("mimosaridge_cli.main", *arguments)
    assert done.returncode == 2
    assert done.stderr


def test_a_daemon_that_is_not_there_exits_with_3():
    done = _run(
        "mimosaridge_cli.main", "--address=http://127.0.0.1:1", "status"
    )
    assert done.returncode == 3
    assert "No daemon was reached" in done.stderr
    assert done.stdout == ""


def test_help_of_the_daemon_lists_its_settings():
    for flag in ("--help", "-h"):
        done = _run("mimosaridge_daemon.main", flag)
        assert done.returncode == 0
        assert "MIMOSARIDGE_LISTEN_HTTP" in done.stdout


def test_a_daemon_without_settings_exits_with_2():
    done = _run("mimosaridge_daemon.main")
    assert done.returncode == 2
    assert "--listen_http" in done.stderr


def test_a_long_wait_is_told_on_standard_error(capsys):
    with progress.shown("not answered", every_s=0.01):
        time.sleep(0.5)
    told = capsys.readouterr()
    assert told.out == ""
    assert "s: not answered" in told.err


def test_failures_are_told_to_machines_too():
    done = _run(
        "mimosaridge_cli.main",
        "--address=http://127.0.0.1:1",
        "--json",
        "status",
    )
    assert done.returncode == 3
    failure = json.loads(done.stdout)
    assert failure["code"] is None
    assert "No daemon was reached" in failure["detail"]
