"""Command line of the daemon on each machine of the users' platform."""

import fire

from mimosaridge_daemon.jobs import main


def run() -> None:
    """Runs the daemon with the role and the flags of the command line."""
    fire.Fire(main.run, name="mimosaridge")
