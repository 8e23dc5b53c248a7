"""The generated pages on settings and metrics match the code."""

import pathlib
import random

import testtools
from testtools import matchers

from mimosaridge_core import state
from mimosaridge_daemon import engine as engines
from mimosaridge_daemon import pages
from mimosaridge_daemon import settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"
REGENERATE_HINT = "run scripts/pages"


class PagesTest(testtools.TestCase):
    """Compares the pages in docs/ with the code."""

    def test_settings_page_is_up_to_date(self):
        page = (DOCS / "SETTINGS.md").read_text(encoding="utf-8")
        self.assertEqual(pages.settings_page(), page, REGENERATE_HINT)

    def test_metrics_page_is_up_to_date(self):
        page = (DOCS / "METRICS.md").read_text(encoding="utf-8")
        self.assertEqual(pages.metrics_page(), page, REGENERATE_HINT)

    def test_help_lists_every_setting(self):
        text = settings.usage()
        for item in settings.describe():
            self.assertThat(text, matchers.Contains(f"--{item.name}="))
            self.assertThat(text, matchers.Contains(item.meaning))

    def test_every_gauge_sent_is_on_the_metrics_page(self):
        sent = []

        class Metrics:
            gauge = staticmethod(lambda name, value: sent.append((name, value)))

        engine = engines.Engine.__new__(engines.Engine)
        engine.metrics = Metrics
        engine.state = state.State("d0", "", "z", random.Random(1))
        engine.send_gauges()
        for name, value in sent:
            self.assertIsInstance(value, (int, float))
            self.assertIn(f"| `{name}` |", pages.metrics_page())
        self.assertNotEqual([], sent)
