"""Style rules that the linter does not check."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = sorted(
    path
    for folder in ("packages", "platform", "standins", "bench", "tests")
    for path in (ROOT / folder).rglob("*.py")
    if "build" not in path.parts
)
NAME_IMPORTS_ALLOWED_FROM = {
    "typing",
    "collections.abc",
    "hypothesis",
    "hypothesis.stateful",
}


def _is_module(package: str, name: str) -> bool:
    import importlib.util

    try:
        return importlib.util.find_spec(f"{package}.{name}") is not None
    except (ImportError, AttributeError):
        return False


@pytest.mark.parametrize(
    "path", SOURCES, ids=lambda path: str(path.relative_to(ROOT))
)
def test_modules_are_imported_not_names(path):
    tree = ast.parse(path.read_text(encoding="utf-8"))
    imported_names = [
        f"{node.module}.{alias.name}"
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        and node.module not in NAME_IMPORTS_ALLOWED_FROM
        for alias in node.names
        if not _is_module(node.module, alias.name)
    ]
    assert imported_names == []
