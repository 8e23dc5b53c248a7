"""Tests of log lines and metrics."""

import json
from unittest import mock

import gevent
import logbook
import testtools

from mimosaridge_core.jobs import effects
from mimosaridge_daemon.jobs import telemetry


class TelemetryTest(testtools.TestCase):
    """Structure of lines, limit of the queue, and counters."""

    def test_decision_is_json_line_with_fields(self):
        handler = telemetry.QueuedHandler("front-1", "INFO")
        with handler.applicationbound():
            telemetry.write_decision(
                effects.Decision("start", "j1", "j1.0.0.0", {"run": 3})
            )
        line = json.loads(handler.lines[0])
        self.assertEqual("start", line["message"])
        self.assertEqual("j1.0.0.0", line["task"])
        self.assertEqual(3, line["run"])

    def test_lines_beyond_the_limit_are_dropped_and_counted(self):
        handler = telemetry.QueuedHandler("front-1", "INFO")
        with handler.applicationbound():
            for _ in range(telemetry.MAX_QUEUED_LINES + 5):
                logbook.info("line")
        self.assertEqual(telemetry.MAX_QUEUED_LINES, len(handler.lines))
        self.assertEqual(5, handler.dropped)

    def test_nothing_wakes_up_without_lines(self):
        handler = telemetry.QueuedHandler("front-1", "INFO")
        with (
            mock.patch.object(telemetry.gevent_os, "make_nonblocking"),
            mock.patch.object(handler, "flush_lines") as flush,
        ):
            running = gevent.spawn(handler.run)
            gevent.sleep(telemetry.WRITE_INTERVAL_S * 3)
            self.assertEqual(0, flush.call_count)
            with handler.applicationbound():
                logbook.info("line")
            gevent.sleep(telemetry.WRITE_INTERVAL_S * 3)
            running.kill()
            self.assertEqual(1, flush.call_count)

    def test_decisions_are_counted_by_rule(self):
        telemetry.write_decision(effects.Decision("counted", "", "", {}))
        text = telemetry.exposition().decode()
        self.assertIn('mimosaridge_decisions_total{rule="counted"} 1.0', text)
