"""Serving a bottle application, and reading JSON bodies."""

import json
import socket
from typing import Any

import bottle
from gevent import pywsgi


class NoDelayHandler(pywsgi.WSGIHandler):
    """Sends head and body at once, without waiting for acknowledgements."""

    def __init__(
        self, sock: socket.socket, *args: object, **kwargs: object
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)


def serve(address: str, app: bottle.Bottle) -> None:
    """Serves on IP:PORT for ever."""
    host, _, port = address.rpartition(":")
    pywsgi.WSGIServer(
        (host, int(port)), app, handler_class=NoDelayHandler, log=None
    ).serve_forever()


def body() -> Any:
    """Returns the JSON body of the present request."""
    return json.loads(bottle.request.body.read() or b"{}")


def answer(status: int, **fields: Any) -> str:
    """Sets the status and returns the fields as JSON."""
    bottle.response.status = status
    bottle.response.content_type = "application/json"
    return json.dumps(fields)
