"""The program `mimosaridged`."""

# The standard library must be patched before anything else is imported.
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
BAD_SETTINGS_EXIT = 2
LAST_ANSWERS_S = 0.2


def run(**flags: object) -> None:
    """Runs the daemon of an entry host until SIGTERM has drained it.

    Each setting is a flag or an environment variable MIMOSARIDGE_<NAME>:
    name, zone, listen_http, listen_peer, store_url, hosts_url, peer_secret,
    bootstrap_key, statsd, log_level, largest_body, seed, record.
    docs/SETTINGS.md describes them.
    """
    try:
        chosen = settings.load(flags)
    except settings.InvalidError as error:
        print(error, file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT)
    with logs.JsonHandler(chosen.name, chosen.log_level).applicationbound():
        _serve(chosen)


def _serve(chosen: settings.Settings) -> None:
    engine = engines.Engine(chosen)
    routes = api.Api(engine, chosen.largest_body)
    http = serving.make_server(chosen.listen_http, routes.app)
    collector.tune()
    engine.start()
    http.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(
            number, lambda: engine.post(events.DrainAsked(time.time()))
        )
    LOG.info("serving on {}", chosen.listen_http)
    engine.stopped.wait()
    LOG.info("drained")
    gevent.sleep(LAST_ANSWERS_S)
    http.stop(timeout=LAST_ANSWERS_S)


def main() -> None:
    """Entry point."""
    fire.Fire(run, name="mimosaridged")


if __name__ == "__main__":
    main()
