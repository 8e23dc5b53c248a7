"""Tests of the command line: help, exit codes and output."""

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
    inherited = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("MIMOSARIDGE_")
    }
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        env=inherited | environment | {"PAGER": "cat"},
        timeout=60,
        stdin=subprocess.DEVNULL,
    )


@pytest.mark.parametrize("command", COMMANDS)
def test_command_help_lists_every_argument(command):
    completed = _run("mimosaridge_cli.main", command, "--help")
    text = completed.stdout + completed.stderr
    assert completed.returncode == 0
    method = getattr(main.Commands, command)
    assert inspect.getdoc(method).splitlines()[0] in text
    for name, parameter in inspect.signature(method).parameters.items():
        if name == "self" or parameter.kind is parameter.VAR_KEYWORD:
            continue
        assert name in text or name.upper() in text


def test_top_level_help_lists_every_command():
    completed = _run("mimosaridge_cli.main", "--help")
    assert completed.returncode == 0
    for command in COMMANDS:
        assert command in completed.stdout + completed.stderr


@pytest.mark.parametrize(
    "arguments", [("status",), ("nonsense",), ("run", "--nonsense=1")]
)
def test_usage_error_exits_with_2(arguments):
    completed = _run("mimosaridge_cli.main", *arguments)
    assert completed.returncode == 2
    assert completed.stderr


def test_unreachable_daemon_exits_with_3():
    completed = _run(
        "mimosaridge_cli.main", "--address=http://127.0.0.1:1", "status"
    )
    assert completed.returncode == 3
    assert "No daemon was reached" in completed.stderr
    assert completed.stdout == ""


def test_daemon_help_lists_settings():
    for flag in ("--help", "-h"):
        completed = _run("mimosaridge_daemon.main", flag)
        assert completed.returncode == 0
        assert "MIMOSARIDGE_LISTEN_HTTP" in completed.stdout


def test_daemon_without_settings_exits_with_2():
    completed = _run("mimosaridge_daemon.main")
    assert completed.returncode == 2
    assert "--listen_http" in completed.stderr


def test_long_call_reports_progress_on_standard_error(capsys):
    with progress.report_periodically("not answered", every_s=0.01):
        time.sleep(0.5)
    captured = capsys.readouterr()
    assert captured.out == ""
    assert "s: not answered" in captured.err


def test_failure_is_printed_as_json():
    completed = _run(
        "mimosaridge_cli.main",
        "--address=http://127.0.0.1:1",
        "--json",
        "status",
    )
    assert completed.returncode == 3
    failure = json.loads(completed.stdout)
    assert failure["code"] is None
    assert "No daemon was reached" in failure["detail"]
