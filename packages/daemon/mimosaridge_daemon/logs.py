"""Logging as JSON lines on standard error."""

import dataclasses
import json
import sys

import logbook

from mimosaridge_core import account

DECISIONS = logbook.Logger("decision")
DECISION_FIELDS = tuple(
    field.name for field in dataclasses.fields(account.Record)
)


class JsonHandler(logbook.StreamHandler):
    """Writes each log record as one JSON line."""

    def __init__(self, daemon: str, level: str) -> None:
        super().__init__(sys.stderr, level=level)
        DECISIONS.level = self.level
        self.daemon = daemon

    def format(self, record: logbook.LogRecord) -> str:
        """Returns the record as a JSON object."""
        fields = {
            "at": record.time.isoformat(),
            "level": record.level_name,
            "daemon": self.daemon,
            "channel": record.channel,
            "message": record.message,
        }
        decision = record.extra.pop("decision", None)
        if decision is not None:
            fields |= {
                name: getattr(decision, name) for name in DECISION_FIELDS
            }
        fields.update(record.extra)
        if record.formatted_exception:
            fields["exception"] = record.formatted_exception
        return json.dumps(fields, default=str)


def write_decision(record: account.Record) -> None:
    """Logs a decision with all its fields."""
    DECISIONS.info(record.text, extra={"decision": record})
