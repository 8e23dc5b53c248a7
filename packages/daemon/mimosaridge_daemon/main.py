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
LONGEST_ANSWER_S = 30.0
WRITTEN_CHECK_S = 0.02


def run(**flags: object) -> None:
    """Runs the daemon of an entry host until SIGTERM has drained it.

    Each setting is a flag or an environment variable; `mimosaridged --help`
    lists them.
    """
    if "help" in flags:
        print(settings.usage())
        return
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
    answers = serving.Answers(routes.app)
    http = serving.make_server(chosen.listen_http, answers)
    collector.tune()
    engine.start()
    http.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, _drain, engine, answers)
    LOG.info("serving on {}", chosen.listen_http)
    engine.stopped.wait()
    LOG.info("drained")
    gevent.sleep(LAST_ANSWERS_S)
    with gevent.Timeout(LONGEST_ANSWER_S, False):
        while answers.open:
            gevent.sleep(WRITTEN_CHECK_S)
    http.stop(timeout=LAST_ANSWERS_S)


def _drain(engine: engines.Engine, answers: serving.Answers) -> None:
    answers.closing = True
    engine.post(events.DrainRequested(time.time()))


def main() -> None:
    """Entry point."""
    if "-h" in sys.argv:
        print(settings.usage())
        return
    fire.Fire(run, name="mimosaridged")


if __name__ == "__main__":
    main()
