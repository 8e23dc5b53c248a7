"""HTTP server for a WSGI application."""

from collections.abc import Callable
from collections.abc import Iterator
import socket
from typing import Any

from gevent import pywsgi


class NoDelayHandler(pywsgi.WSGIHandler):
    """Disables Nagle's algorithm so that small responses are sent at once.

    pywsgi writes headers and body separately; with Nagle's algorithm the body
    waits for the peer's delayed acknowledgement.
    """

    def __init__(
        self, sock: socket.socket, *args: object, **kwargs: object
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)


class TrackedResponse:
    """Response body with a callback for when it has been written."""

    def __init__(self, parts: Any, on_written: Callable[[], None]) -> None:
        self.parts = parts
        self.on_written = on_written

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.parts)

    def close(self) -> None:
        """Called by the server after the last chunk is written."""
        self.on_written()
        if hasattr(self.parts, "close"):
            self.parts.close()


class ResponseTracker:
    """WSGI middleware that counts responses not yet fully written.

    Attributes:
        pending: Number of such responses.
        close_connections: Whether each response closes its connection.
    """

    def __init__(self, app: Callable) -> None:
        self.app = app
        self.pending = 0
        self.close_connections = False

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> TrackedResponse:
        """Passes a request to the application and tracks its response."""

        def start_tracked(
            status: str, headers: list, *args: object
        ) -> Callable:
            if self.close_connections:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, *args)

        self.pending += 1
        try:
            parts = self.app(environ, start_tracked)
        except BaseException:
            self._on_written()
            raise
        return TrackedResponse(parts, self._on_written)

    def _on_written(self) -> None:
        self.pending -= 1


def make_server(address: str, app: Callable) -> pywsgi.WSGIServer:
    """Returns a server for IP:PORT, not yet started."""
    host, _, port = address.rpartition(":")
    return pywsgi.WSGIServer(
        (host, int(port)), app, handler_class=NoDelayHandler, log=None
    )
