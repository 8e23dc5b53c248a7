"""Configuration of all tests: fixed seeds and the known failures."""

import pathlib

import hypothesis
import pytest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

# Failing examples are not shrunk: shrinking a state machine's run takes
# minutes.
hypothesis.settings.register_profile(
    "repository",
    derandomize=True,
    deadline=None,
    database=None,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
hypothesis.settings.load_profile("repository")


def _known_red() -> dict[str, str]:
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests listed in KNOWN-RED.txt as expected failures."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            reason = known[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: object) -> None:
    """Prints the entries of KNOWN-RED.txt."""
    for line in _known_red().values():
        terminalreporter.write_line(f"known red: {line}")
