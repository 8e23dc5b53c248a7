"""Polling of the platform's list of live and leaving hosts.

The list lags behind the actual state of the hosts.
"""

from collections.abc import Callable
import time

import gevent
import logbook
import pydantic

from mimosaridge_core import events
from mimosaridge_daemon import clients
from mimosaridge_daemon import codec

LOG = logbook.Logger("hostlist")
POLL_INTERVAL_S = 1.0


def poll_hosts(url: str, post: Callable[[events.Event], None]) -> None:
    """Polls the host list forever and posts each list as an event."""
    client = clients.Client(url, 1)
    list_adapter = codec.adapter(list[events.Host])
    while True:
        response = client.call("GET", "/v1/hosts")
        if response.is_ok():
            try:
                hosts = list_adapter.validate_python(
                    response.ok_value[1]["hosts"]
                )
                post(events.HostsListed(time.time(), hosts))
            except (pydantic.ValidationError, KeyError, TypeError) as error:
                LOG.error("malformed host list: {}", error)
        gevent.sleep(POLL_INTERVAL_S)
