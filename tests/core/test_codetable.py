"""The documented result codes are those of the code."""

import pathlib

import testtools

from mimosaridge_core import codes
from mimosaridge_core import codetable

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "RESULT-CODES.md"


class CodeTableTest(testtools.TestCase):
    """docs/RESULT-CODES.md."""

    def test_the_page_is_the_table_of_the_code(self):
        self.assertEqual(codetable.render(), PAGE.read_text(encoding="utf-8"))

    def test_every_code_has_a_meaning(self):
        self.assertEqual(set(codes.Code), set(codes.MEANINGS))
