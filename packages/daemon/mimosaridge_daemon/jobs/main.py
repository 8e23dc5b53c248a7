"""Entry point of the daemon on each machine of the users' platform."""

import signal
import sys
import time

import gevent
from gevent import event as gevent_event
import logbook

from mimosaridge_daemon import admission
from mimosaridge_daemon import collector
from mimosaridge_daemon import guarding
from mimosaridge_daemon import serving
from mimosaridge_daemon.jobs import engine as engines
from mimosaridge_daemon.jobs import front
from mimosaridge_daemon.jobs import reloading
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import daemonsettings

LOG = logbook.Logger("main")
BAD_SETTINGS_EXIT = 2
# The load balancer checks readiness each second and stops sending after two
# failures; requests that are already on their way are served after that.
BALANCER_DRAIN_S = 2.6
# Time before SIGKILL reserved for the last responses and log lines.
KILL_MARGIN_S = 0.9
POLL_S = 0.02
METRICS_PORT = 9464
ROLE = "front"
# Shared by all daemons of a deployment; the platform's network is closed.
PEER_SECRET = "mimosaridge-peers"


def _ready_app(engine: engines.Engine) -> serving.ResponseTracker:
    def answer(environ: dict, start_response: object) -> list[bytes]:
        status = "200 OK" if engine.is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    return serving.ResponseTracker(answer)


def _metrics_app(environ: dict, start_response: object) -> list[bytes]:
    body = telemetry.exposition()
    start_response(
        "200 OK",
        [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))],
    )
    return [body]


def run(role: str = ROLE) -> None:
    """Runs the daemon until it has drained after SIGTERM or SIGINT.

    Args:
        role: Role in the deployment file; must be "front".
    """
    if role != ROLE:
        print(f"unknown role {role!r}; use {ROLE!r}", file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT)
    mtime_ns = reloading.mtime_ns()
    try:
        settings = daemonsettings.load()
    except daemonsettings.InvalidError as error:
        print(error, file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT)
    handler = telemetry.QueuedHandler(settings.name, "INFO")
    with handler.applicationbound():
        _serve(settings, mtime_ns, handler)


def _serve(
    settings: daemonsettings.DaemonSettings,
    mtime_ns: int,
    handler: telemetry.QueuedHandler,
) -> None:
    """Serves until the process is told to end.

    Args:
        settings: The settings.
        mtime_ns: Modification time of their file before they were loaded, ns.
        handler: Writes the log.
    """
    engine = engines.Engine(settings, PEER_SECRET)
    answers = serving.ResponseTracker(front.Front(engine).app)
    limits = admission.Limits.of_machine(
        settings.memory_mb or admission.DEFAULT_MEMORY_MB,
        settings.descriptors or admission.DEFAULT_DESCRIPTORS,
    )
    servers = [
        serving.make_server(
            settings.front,
            answers,
            limits,
            lambda: admission.largest_head(engine.state.configuration),
        ),
        serving.make_server(
            settings.readiness, _ready_app(engine), admission.FEW
        ),
        serving.make_server(
            f"{settings.ip}:{METRICS_PORT}", _metrics_app, admission.FEW
        ),
    ]
    collector.configure()
    ended = gevent_event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    reloader = reloading.Reloader(settings, engine.apply_bounds, mtime_ns)
    gevent.signal_handler(signal.SIGHUP, reloader.reload, "signal")
    guarding.spawn("settings", reloader.run)
    guarding.spawn("log", handler.run)
    engine.start()
    for server in servers:
        server.start()
    LOG.notice("started", extra={"boot": engine.boot, "zone": settings.zone})
    ended.wait()
    LOG.notice("stopping", extra={"open": answers.pending})
    left_s = max(0.0, engine.state.bounds.grace_s - KILL_MARGIN_S)
    deadline = time.monotonic() + left_s
    engine.drain()
    gevent.sleep(min(BALANCER_DRAIN_S, left_s / 2))
    answers.close_connections = True
    while time.monotonic() < deadline and answers.pending:
        gevent.sleep(POLL_S)
    LOG.notice("stopped", extra={"open": answers.pending})
    handler.flush_lines()
