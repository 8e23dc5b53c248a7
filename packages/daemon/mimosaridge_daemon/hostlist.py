"""The platform's lagging list of live and leaving hosts."""

from collections.abc import Callable
import time

import gevent
import logbook
import pydantic

from mimosaridge_core import events
from mimosaridge_daemon import clients
from mimosaridge_daemon import codec

LOG = logbook.Logger("hostlist")
POLL_S = 1.0


def follow(url: str, post: Callable[[events.Event], None]) -> None:
    """Reads the list at regular intervals, for ever."""
    client = clients.Client(url, 1)
    kind = codec.adapter(list[events.Host])
    while True:
        answer = client.call("GET", "/v1/hosts")
        if answer.is_ok():
            try:
                hosts = kind.validate_python(answer.ok_value[1]["hosts"])
                post(events.HostsListed(time.time(), hosts))
            except (pydantic.ValidationError, KeyError, TypeError) as error:
                LOG.error("The host list is malformed: {}", error)
        gevent.sleep(POLL_S)
