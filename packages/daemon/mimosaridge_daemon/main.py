"""Entry point of the `mimosaridged` daemon."""

# gevent must patch the standard library before other modules import it.
from gevent import monkey

monkey.patch_all()

import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import fire  # noqa: E402
import gevent  # noqa: E402
import logbook  # noqa: E402

from mimosaridge_core import events  # noqa: E402
from mimosaridge_daemon import api  # noqa: E402
from mimosaridge_daemon import collector  # noqa: E402
from mimosaridge_daemon import engine as engines  # noqa: E402
from mimosaridge_daemon import logs  # noqa: E402
from mimosaridge_daemon import serving  # noqa: E402
from mimosaridge_daemon import settings  # noqa: E402

LOG = logbook.Logger("main")
EXIT_USAGE = 2
SHUTDOWN_GRACE_S = 0.2
MAX_RESPONSE_WAIT_S = 30.0
RESPONSE_CHECK_INTERVAL_S = 0.02


def run(**flags: object) -> None:
    """Runs the daemon of an entry host until it has drained after SIGTERM.

    Each setting is a flag or an environment variable; `mimosaridged --help`
    lists them.
    """
    if "help" in flags:
        print(settings.usage())
        return
    try:
        config = settings.load(flags)
    except settings.InvalidError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    with logs.JsonHandler(config.name, config.log_level).applicationbound():
        _serve(config)


def _serve(config: settings.Settings) -> None:
    engine = engines.Engine(config)
    routes = api.Api(engine, config.largest_body)
    tracker = serving.ResponseTracker(routes.app)
    http = serving.make_server(config.listen_http, tracker)
    collector.configure()
    engine.start()
    http.start()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, _drain, engine, tracker)
    LOG.info("serving on {}", config.listen_http)
    engine.stopped.wait()
    LOG.info("drained")
    gevent.sleep(SHUTDOWN_GRACE_S)
    with gevent.Timeout(MAX_RESPONSE_WAIT_S, False):
        while tracker.pending:
            gevent.sleep(RESPONSE_CHECK_INTERVAL_S)
    http.stop(timeout=SHUTDOWN_GRACE_S)


def _drain(engine: engines.Engine, tracker: serving.ResponseTracker) -> None:
    tracker.close_connections = True
    engine.post(events.DrainRequested(time.time()))


def main() -> None:
    """Runs the command line."""
    if "-h" in sys.argv:
        print(settings.usage())
        return
    fire.Fire(run, name="mimosaridged")


if __name__ == "__main__":
    main()
