"""Reference pages on settings and metrics, generated from the code."""

from mimosaridge_core import account
from mimosaridge_daemon import gauges
from mimosaridge_daemon import settings
from mimosaridge_daemon.jobs import telemetry

SETTINGS_HEAD = """\
# Settings of a daemon

Generated from the code by `scripts/pages`; a test checks that the page is up to
date. A flag `--name=value` overrides the environment variable. All invalid
settings are reported together, with exit code 2, before the daemon starts.

| flag | variable | default | meaning |
|---|---|---|---|
"""
SETTINGS_FOOT = """
The command line reads `MIMOSARIDGE_ADDRESS` (comma-separated addresses of one
or more daemons) and `MIMOSARIDGE_KEY`; the flags `--address` and `--key`
override them. Its exit codes: 0 success, 1 refused or failed (the result code
is printed), 2 usage error, 3 no daemon could be reached.

## On the users' platform

The daemon of `deploy/system.toml` reads the platform's settings file, whose
path is in `MIMOSARIDGE_CONFIG` (lines `a.b=value`; the platform's documentation
lists all fields, unknown ones are ignored). It requires `nodeName`, `ip`,
`zone`, `listenAddresses.front`, `listenAddresses.readiness`,
`internalPortRange` (peers use the first port) and `platform.address`;
`recommendation` is optional. Of the time limits it uses `bounds.maxHoldMs`,
`stopTimeoutMs`, `restoreMs`, `status_s` and `graceS`
(`mimosaridge_core/jobs/timing.py`). `seedNodes` is parsed but not used yet.
Missing or malformed fields are reported by name and the daemon exits with code
2. The file is reloaded on SIGHUP and within a second of a change: the log
message `reload` lists the changed fields; time limits take effect immediately,
other fields at the next start; an invalid file is ignored (`reload refused`).
`limits.memoryMb` and `limits.fileDescriptors` (160 and 1024 if absent) bound
what the clients of a daemon may hold; the operators' `maxHeaderBytes` and
`maxBodyBytes` bound one request, and 64 KiB and 1 MiB without them:

| limit | default | a client inside the pages' limits |
|---|---|---|
| connections | half of the descriptors beyond 200; 15% of memory | keeps one |
| bodies at a time | 15% of memory, a quarter for small ones | 256 KiB |
| head of a request | twice `maxHeaderBytes`, 10 s | 16 KiB, 3 s |
| idle connection | 60 s | 15 s |
| stored jobs | 32 MB in all | some MB a day |

docs/design/0067 says what is closed or refused first.
`MIMOSARIDGE_LEARN_RUN_TIMES=0` in the environment switches the learning of run
times off (docs/design/0066); it is on by default.
All other parameters are constants with their unit and source in
`mimosaridge_core/jobs/tunables.py` or in the module that uses them. Metrics are
served on port 9464.
"""
METRICS_HEAD = """\
# Metrics

Generated from the code by `scripts/pages`; a test checks that the page is up to
date. Metrics are sent to the statsd server at `--statsd`, each name prefixed
with `mimosaridge.<daemon>.`; none are sent without that setting.

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

The daemon of `deploy/system.toml` sends no statsd metrics; it serves metrics as
text on its metrics address (port 9464, `/metrics`).

| name | kind | labels | meaning |
|---|---|---|---|
"""
COUNTERS = {
    "reducer.failed": "Events that the reducer failed to process; see the log.",
    "effect.failed": "Effects that failed to execute; see the log.",
}


def settings_page() -> str:
    """Returns the content of docs/SETTINGS.md."""
    rows = [
        f"| `--{item.name}` | `{item.variable}` | {item.default or 'empty'}"
        f" | {item.meaning} |\n"
        for item in settings.describe()
    ]
    return SETTINGS_HEAD + "".join(rows) + SETTINGS_FOOT


def metrics_page() -> str:
    """Returns the content of docs/METRICS.md."""
    gauge_rows = [
        f"| `{name}` | {measure.__doc__} |\n"
        for name, measure in gauges.GAUGES.items()
    ]
    counters = COUNTERS | {
        f"decision.{rule}": f'Decisions by the rule "{rule}".'
        for rule in account.Rule
    }
    counter_rows = [
        f"| `{name}` | {text} |\n" for name, text in counters.items()
    ]
    exported_rows = [
        f"| `{metric.name}` | {metric.type}"
        f" | {', '.join(telemetry.LABELS.get(metric.name, ())) or 'none'}"
        f" | {metric.documentation} |\n"
        for metric in telemetry.REGISTRY.collect()
    ]
    return "".join(
        [
            METRICS_HEAD,
            *gauge_rows,
            COUNTERS_HEAD,
            *counter_rows,
            PLATFORM_HEAD,
            *exported_rows,
        ]
    )
