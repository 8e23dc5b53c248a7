"""HTTP server of the stand-ins and helpers for JSON bodies."""

import json
import socket
from typing import Any

import bottle
from gevent import pywsgi


class NoDelayHandler(pywsgi.WSGIHandler):
    """Disables Nagle's algorithm, which delays a body after its headers."""

    def __init__(
        self, sock: socket.socket, *args: object, **kwargs: object
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)


def serve(address: str, app: bottle.Bottle) -> None:
    """Serves an application on IP:PORT; does not return."""
    host, _, port = address.rpartition(":")
    pywsgi.WSGIServer(
        (host, int(port)), app, handler_class=NoDelayHandler, log=None
    ).serve_forever()


def body() -> Any:
    """Returns the decoded JSON body of the current request."""
    return json.loads(bottle.request.body.read() or b"{}")


def answer(status: int, **fields: Any) -> str:
    """Sets the response status and returns the fields as JSON."""
    bottle.response.status = status
    bottle.response.content_type = "application/json"
    return json.dumps(fields)
