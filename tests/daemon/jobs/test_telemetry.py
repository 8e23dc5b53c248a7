"""Log lines are bounded and structured; metrics are text."""

import json

import logbook
import testtools

from mimosaridge_core.jobs import effects
from mimosaridge_daemon.jobs import telemetry


class TelemetryTest(testtools.TestCase):
    """Lines and counters."""

    def test_a_decision_is_one_json_line_with_its_fields(self):
        handler = telemetry.QueuedHandler("front-1", "INFO")
        with handler.applicationbound():
            telemetry.write_decision(
                effects.Decision("start", "j1", "j1.0.0.0", {"run": 3})
            )
        line = json.loads(handler.lines[0])
        self.assertEqual("start", line["message"])
        self.assertEqual("j1.0.0.0", line["task"])
        self.assertEqual(3, line["run"])

    def test_lines_that_nobody_reads_are_dropped_and_counted(self):
        handler = telemetry.QueuedHandler("front-1", "INFO")
        with handler.applicationbound():
            for _ in range(telemetry.WAITING_LINES + 5):
                logbook.info("line")
        self.assertEqual(telemetry.WAITING_LINES, len(handler.lines))
        self.assertEqual(5, handler.dropped)

    def test_decisions_are_counted_by_rule(self):
        telemetry.write_decision(effects.Decision("counted", "", "", {}))
        text = telemetry.exposition().decode()
        self.assertIn('mimosaridge_decisions_total{rule="counted"} 1.0', text)
