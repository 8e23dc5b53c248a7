"""An HTTP server for a bottle application."""

from collections.abc import Callable
from collections.abc import Iterator
import socket
from typing import Any

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


class Answer:
    """The parts of one answer, and what to do once they are written."""

    def __init__(self, parts: Any, written: Callable[[], None]) -> None:
        self.parts = parts
        self.written = written

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.parts)

    def close(self) -> None:
        """Called by the server after the last part is written."""
        self.written()
        if hasattr(self.parts, "close"):
            self.parts.close()


class Answers:
    """A WSGI application that counts answers not yet written whole.

    Attributes:
        open: Number of such answers.
        closing: Whether each answer ends its connection.
    """

    def __init__(self, app: Callable) -> None:
        self.app = app
        self.open = 0
        self.closing = False

    def __call__(self, environ: dict, start_response: Callable) -> Answer:
        """Answers a request."""

        def start(status: str, headers: list, *more: object) -> Callable:
            if self.closing:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, *more)

        self.open += 1
        try:
            parts = self.app(environ, start)
        except BaseException:
            self._written()
            raise
        return Answer(parts, self._written)

    def _written(self) -> None:
        self.open -= 1


def make_server(address: str, app: Callable) -> pywsgi.WSGIServer:
    """Returns a server on IP:PORT that is not yet started."""
    host, _, port = address.rpartition(":")
    return pywsgi.WSGIServer(
        (host, int(port)), app, handler_class=NoDelayHandler, log=None
    )
