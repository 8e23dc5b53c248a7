"""The program that runs on each machine of the users' platform."""

import signal
import sys
import time

import fire
import gevent
from gevent import event as gevent_event
import logbook

from mimosaridge_daemon import collector
from mimosaridge_daemon import serving
from mimosaridge_daemon.jobs import engine as engines
from mimosaridge_daemon.jobs import front
from mimosaridge_daemon.jobs import reloading
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import daemonsettings

LOG = logbook.Logger("main")
BAD_SETTINGS_EXIT = 2
# The balancer asks each second and stops sending after two misses; requests
# already on their way are served after that.
LEAVE_S = 2.6
# Before SIGKILL: the last answers and log lines must be written.
KILL_MARGIN_S = 0.9
CHECK_S = 0.02
METRICS_PORT = 9464
# All daemons of a deployment share it; the platform's network is closed.
PEER_SECRET = "mimosaridge-peers"


def _ready_app(engine: engines.Engine) -> serving.Answers:
    def answer(environ: dict, start_response: object) -> list[bytes]:
        status = "200 OK" if engine.is_ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    return serving.Answers(answer)


def _metrics_app(environ: dict, start_response: object) -> list[bytes]:
    body = telemetry.exposition()
    start_response(
        "200 OK",
        [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))],
    )
    return [body]


def run(role: str = "front") -> None:
    """Runs the daemon until SIGTERM has drained it.

    Args:
        role: The role in the deploy file; there is one, `front`.
    """
    if role != "front":
        print(f"There is no role {role!r}; use 'front'.", file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT)
    try:
        around = daemonsettings.load()
    except daemonsettings.InvalidError as error:
        print(error, file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT)
    handler = telemetry.QueuedHandler(around.name, "INFO")
    with handler.applicationbound():
        _serve(around, handler)


def _serve(
    around: daemonsettings.DaemonSettings, handler: telemetry.QueuedHandler
) -> None:
    engine = engines.Engine(around, PEER_SECRET)
    answers = serving.Answers(front.Front(engine).app)
    servers = [
        serving.make_server(around.front, answers),
        serving.make_server(around.readiness, _ready_app(engine)),
        serving.make_server(f"{around.ip}:{METRICS_PORT}", _metrics_app),
    ]
    collector.tune()
    ended = gevent_event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    reloader = reloading.Reloader(around, engine.put_in_force)
    gevent.signal_handler(signal.SIGHUP, reloader.reload, "signal")
    gevent.spawn(reloader.run)
    gevent.spawn(handler.run)
    engine.start()
    for server in servers:
        server.start()
    LOG.notice("started", extra={"boot": engine.boot, "zone": around.zone})
    ended.wait()
    LOG.notice("stopping", extra={"open": answers.open})
    left_s = max(0.0, engine.state.bounds.grace_s - KILL_MARGIN_S)
    deadline = time.monotonic() + left_s
    engine.leave()
    gevent.sleep(min(LEAVE_S, left_s / 2))
    answers.closing = True
    while time.monotonic() < deadline and answers.open:
        gevent.sleep(CHECK_S)
    LOG.notice("stopped", extra={"open": answers.open})
    handler.flush_lines()


def main() -> None:
    """Entry point."""
    fire.Fire(run, name="mimosaridge")
