"""The documentation of the result codes matches the code."""

import pathlib

import testtools

from mimosaridge_core import codes
from mimosaridge_core import codetable

RESULT_CODES_PAGE = (
    pathlib.Path(__file__).parents[2] / "docs" / "RESULT-CODES.md"
)


class CodeTableTest(testtools.TestCase):
    """Contents of docs/RESULT-CODES.md."""

    def test_page_matches_the_rendered_codes(self):
        self.assertEqual(
            codetable.render(), RESULT_CODES_PAGE.read_text(encoding="utf-8")
        )

    def test_every_code_has_a_meaning(self):
        self.assertEqual(set(codes.Code), set(codes.MEANINGS))
