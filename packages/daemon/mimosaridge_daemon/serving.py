"""An HTTP server for a bottle application."""

import socket

import bottle
from gevent import pywsgi


class NoDelayHandler(pywsgi.WSGIHandler):
    """Sends small answers at once.

    pywsgi writes head and body apart; with Nagle's algorithm on, the body
    waits for the peer's delayed acknowledgement.
    """

    def __init__(
        self, sock: socket.socket, *args: object, **kwargs: object
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)


def make_server(address: str, app: bottle.Bottle) -> pywsgi.WSGIServer:
    """Returns a server on IP:PORT that is not yet started."""
    host, _, port = address.rpartition(":")
    return pywsgi.WSGIServer(
        (host, int(port)), app, handler_class=NoDelayHandler, log=None
    )
