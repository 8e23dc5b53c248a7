"""The table of result codes, as docs/RESULT-CODES.md carries it."""

from mimosaridge_core import codes

HEAD = """# Result codes

Written by `scripts/result-codes` from `codes.py`; a test compares them.
A code marked "never ran" promises that the work did not and will not run, so
that it may be sent again.

| number | name | never ran | meaning |
|---|---|---|---|"""


def render() -> str:
    """Returns the page."""
    rows = [
        f"| {int(code)} | {code.name} |"
        f" {'yes' if codes.is_not_run(code) else ''} |"
        f" {codes.MEANINGS[code]} |"
        for code in codes.Code
    ]
    return "\n".join([HEAD, *rows, ""])


if __name__ == "__main__":
    print(render(), end="")
