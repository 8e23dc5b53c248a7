"""The pages on settings and metrics, written from the code."""

from mimosaridge_core import account
from mimosaridge_daemon import gauges
from mimosaridge_daemon import settings
from mimosaridge_daemon.jobs import telemetry

SETTINGS_HEAD = """\
# Settings of a daemon

Written by `scripts/pages` from the code; a test compares them. A flag
`--name=value` goes before the environment variable. All problems are reported
at once, with exit code 2, before anything is started.

| flag | variable | default | meaning |
|---|---|---|---|
"""
SETTINGS_FOOT = """
The command line reads `MIMOSARIDGE_ADDRESS` (one or more addresses of daemons,
divided by commas) and `MIMOSARIDGE_KEY`; the flags `--address` and `--key` go
before them. Its exit codes: 0 done, 1 refused or failed (the result code is
printed), 2 wrong usage, 3 no daemon was reached.

## On the users' platform

The daemon of `deploy/system.toml` reads the platform's settings file, whose
path stands in `MIMOSARIDGE_CONFIG` (lines `a.b=value`; docs of the platform
name all fields, unknown ones are ignored). It needs `nodeName`, `ip`, `zone`,
`listenAddresses.front`, `listenAddresses.readiness`, `internalPortRange`
(peers use the first port) and `platform.address`; it uses `recommendation` if
it is there. Of the time limits it uses `bounds.maxHoldMs`, `stopTimeoutMs`,
`restoreMs`, `status_s` and `graceS` (`mimosaridge_core/jobs/timing.py`).
`seedNodes` is read and not used yet. Missing or malformed fields end the start
with exit code 2 and are named. The file is read again at SIGHUP and within a
second of a change: the line `reload` names what changed; time limits count at
once, the rest from the next start; a file that can't be used changes nothing
(`reload refused`). Everything else is a constant with its unit and source in
`mimosaridge_core/jobs/tunables.py` or beside its use. Metrics are answered on
port 9464.
"""
METRICS_HEAD = """\
# Metrics

Written by `scripts/pages` from the code; a test compares them. Sent by statsd
to the address in `--statsd`, each name after `mimosaridge.<daemon>.`; nothing
is sent without that setting.

## Gauges

Sent every 10 s.

| name | meaning |
|---|---|
"""
COUNTERS_HEAD = """
## Counters

| name | meaning |
|---|---|
"""
PLATFORM_HEAD = """
## On the users' platform

The daemon of `deploy/system.toml` sends nothing; it answers on its metrics
address (port 9464, `/metrics`) with text.

| name | kind | labels | meaning |
|---|---|---|---|
"""
COUNTERS = {
    "reducer.failed": "Events that the reducer could not take; see the log.",
    "effect.failed": "Effects that could not be carried out; see the log.",
}


def settings_page() -> str:
    """Returns docs/SETTINGS.md."""
    rows = [
        f"| `--{item.name}` | `{item.variable}` | {item.default or 'empty'}"
        f" | {item.meaning} |\n"
        for item in settings.describe()
    ]
    return SETTINGS_HEAD + "".join(rows) + SETTINGS_FOOT


def metrics_page() -> str:
    """Returns docs/METRICS.md."""
    rows = [
        f"| `{name}` | {measure.__doc__} |\n"
        for name, measure in gauges.GAUGES.items()
    ]
    counters = COUNTERS | {
        f"decision.{rule}": f'Decisions by the rule "{rule}".'
        for rule in account.Rule
    }
    counted = [f"| `{name}` | {text} |\n" for name, text in counters.items()]
    exposed = [
        f"| `{metric.name}` | {metric.type}"
        f" | {', '.join(telemetry.LABELS.get(metric.name, ())) or 'none'}"
        f" | {metric.documentation} |\n"
        for metric in telemetry.REGISTRY.collect()
    ]
    return "".join(
        [METRICS_HEAD, *rows, COUNTERS_HEAD, *counted, PLATFORM_HEAD, *exposed]
    )
