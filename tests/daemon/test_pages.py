"""The pages on settings and metrics say what the code does."""

import pathlib
import random

import testtools
from testtools import matchers

from mimosaridge_core import account
from mimosaridge_core import state
from mimosaridge_daemon import engine as engines
from mimosaridge_daemon import gauges
from mimosaridge_daemon import settings

DOCS = pathlib.Path(__file__).parents[2] / "docs"


def _rows(page):
    lines = (DOCS / page).read_text(encoding="utf-8").splitlines()
    rows = [line.strip("| ").split(" | ") for line in lines if "| `" in line]
    return [[cell.strip("`") for cell in row] for row in rows]


class PagesTest(testtools.TestCase):
    """Pages against code."""

    def test_every_setting_is_described(self):
        expected = [
            [f"--{item.name}", item.variable, item.default or "empty"]
            for item in settings.describe()
        ]
        rows = _rows("SETTINGS.md")
        self.assertEqual(expected, [row[:3] for row in rows])
        meanings = [item.meaning for item in settings.describe()]
        self.assertEqual(meanings, [row[3] for row in rows])

    def test_help_lists_every_setting(self):
        text = settings.usage()
        for item in settings.describe():
            self.assertThat(text, matchers.Contains(f"--{item.name}="))
            self.assertThat(text, matchers.Contains(item.meaning))

    def test_every_metric_is_described(self):
        sent = []

        class Metrics:
            gauge = staticmethod(lambda name, value: sent.append((name, value)))

        engine = engines.Engine.__new__(engines.Engine)
        engine.metrics = Metrics
        engine.inbox = engines.queue.Queue()
        engine.state = state.State("d0", "", "z", random.Random(1))
        engine.send_gauges()
        self.assertTrue(all(isinstance(v, (int, float)) for _, v in sent))
        meanings = {"inbox": "Events that wait for the reducer."}
        meanings |= {name: fn.__doc__ for name, fn in gauges.GAUGES.items()}
        rows = dict(_rows("METRICS.md"))
        for name, _ in sent:
            self.assertEqual(meanings[name], rows.pop(name))
        counters = {f"decision.{rule}" for rule in account.Rule}
        counters |= {"reducer.failed", "effect.failed"}
        self.assertEqual(counters, set(rows))
