"""Runs the job platform daemon from a source checkout."""

# Imports create almost no garbage; collections take a twelfth of their time.
# `collector.configure` enables them again.
import gc
import signal

gc.disable()
# The default action would end the process. The settings file is read after the
# imports, and then a handler that reads it again takes this one's place.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# gevent must patch the standard library before any other import.
from gevent import monkey  # noqa: E402

monkey.patch_all()

import pathlib  # noqa: E402
import sys  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent
for folder in ("packages/core", "packages/daemon", "platform"):
    sys.path.insert(0, str(ROOT / folder))

from mimosaridge_daemon.jobs import main  # noqa: E402

if __name__ == "__main__":
    # The platform starts the role hundreds of times a day; importing the
    # library of the command line takes a tenth of such a start.
    if sys.argv[1:] == [main.ROLE]:
        main.run()
    else:
        from mimosaridge_daemon.jobs import commandline

        commandline.run()
