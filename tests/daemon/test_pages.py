"""The pages on settings and metrics say what the code does."""

import pathlib
import random

import testtools
from testtools import matchers

from mimosaridge_core import state
from mimosaridge_daemon import engine as engines
from mimosaridge_daemon import pages
from mimosaridge_daemon import settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"
STALE = "run scripts/pages"


class PagesTest(testtools.TestCase):
    """Pages against code."""

    def test_the_page_on_settings_is_up_to_date(self):
        page = (DOCS / "SETTINGS.md").read_text(encoding="utf-8")
        self.assertEqual(pages.settings_page(), page, STALE)

    def test_the_page_on_metrics_is_up_to_date(self):
        page = (DOCS / "METRICS.md").read_text(encoding="utf-8")
        self.assertEqual(pages.metrics_page(), page, STALE)

    def test_help_lists_every_setting(self):
        text = settings.usage()
        for item in settings.describe():
            self.assertThat(text, matchers.Contains(f"--{item.name}="))
            self.assertThat(text, matchers.Contains(item.meaning))

    def test_every_gauge_on_the_page_is_sent(self):
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
