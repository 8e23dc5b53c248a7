"""HTTP server for a WSGI application, safe from clients outside the limits.

pywsgi reads a head line by line, up to 100 lines of 64 KB, and has no bound for
the connections that it accepts or the time that they take. The handler here
gives it these bounds; the parser stays pywsgi's.
"""

from collections.abc import Callable
from collections.abc import Iterator
import socket
from typing import Any

import gevent
from gevent import pywsgi

from mimosaridge_daemon import admission

# Variable of the WSGI environment with the reader of the body.
BODY = "mimosaridge.body"
# Bodies are read, and counted, in pieces of this size, bytes.
PIECE_BYTES = 4_096
# Other connections have their turn after so many pieces.
PIECES_PER_TURN = 8
# The rest of a refused request's body is read, and forgotten, up to this size:
# a connection that is closed before loses the answer.
MAX_DISCARDED_BYTES = admission.BODY_BYTES
# Time after which a client that was refused should come back, seconds.
RETRY_AFTER_S = 2

_NO_BODY = b"Connection: close\r\nContent-Length: 0\r\n\r\n"
HEAD_TOO_LARGE = b"HTTP/1.1 431 Request Header Fields Too Large\r\n" + _NO_BODY
HEAD_TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\n" + _NO_BODY
UNAVAILABLE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\n" % RETRY_AFTER_S
) + _NO_BODY


class HeadTooLargeError(ValueError):
    """A request's head is larger than allowed."""


class HeadTooSlowError(ValueError):
    """A request's head takes longer than allowed."""


class BodyRefusedError(Exception):
    """There is no memory for a body, or it is larger than allowed.

    Attributes:
        is_too_large: Whether it is larger than any body may be.
    """

    def __init__(self, is_too_large: bool) -> None:
        super().__init__()
        self.is_too_large = is_too_large


class HeadReader:
    """Reads the lines of one head, up to a size."""

    def __init__(self, file: Any, left_bytes: int) -> None:
        self.file = file
        self.left_bytes = left_bytes

    def readline(self, limit: int) -> bytes:
        """Returns the next line.

        Raises:
            HeadTooLargeError: The head is longer than allowed.
        """
        line = self.file.readline(min(limit, self.left_bytes + 1))
        self.left_bytes -= len(line)
        if self.left_bytes < 0:
            raise HeadTooLargeError("the head is too large")
        return line


class BodyReader:
    """Reads the body of one request within the memory for bodies."""

    def __init__(
        self,
        source: pywsgi.Input,
        connection: admission.Connection,
        admitted: admission.Admission,
    ) -> None:
        self.source = source
        self.connection = connection
        self.admission = admitted

    def read(self, limit: int) -> bytes:
        """Returns the whole body.

        The memory stays reserved until the request is answered.

        Raises:
            BodyRefusedError: The body is larger than the limit in bytes, or
                there is no memory for it.
            OSError: The client has ended the connection.
        """
        self.connection.phase = admission.Phase.BODY
        declared = self.source.content_length or 0
        if declared > limit:
            raise BodyRefusedError(is_too_large=True)
        pieces: list[bytes] = []
        try:
            return self._read_pieces(pieces, declared, limit)
        finally:
            # Tracebacks would keep what was read of a body that is refused.
            pieces.clear()

    def _read_pieces(
        self, pieces: list[bytes], declared: int, limit: int
    ) -> bytes:
        size = 0
        while True:
            self._reserve(PIECE_BYTES, max(declared, size))
            piece = self.source.read(PIECE_BYTES)
            if not piece:
                break
            size += len(piece)
            if size > limit:
                raise BodyRefusedError(is_too_large=True)
            pieces.append(piece)
            if len(pieces) % PIECES_PER_TURN == 0:
                # Connections that were closed for this one end now.
                gevent.sleep(0)
        self._reserve((admission.ANSWERING_FACTOR - 1) * size, size)
        self.connection.phase = admission.Phase.ANSWERING
        return b"".join(pieces)

    def _reserve(self, size: int, body: int) -> None:
        if not self.admission.reserve(self.connection, size, body):
            raise BodyRefusedError(is_too_large=False)


class LimitedHandler(pywsgi.WSGIHandler):
    """Handles the requests of one connection within the process's limits.

    It also disables Nagle's algorithm so that small responses are sent at once:
    pywsgi writes headers and body separately, and the body would wait for the
    peer's delayed acknowledgement.
    """

    head: HeadReader
    head_timer: gevent.Timeout | None = None
    refusal: bytes | None = None

    def __init__(
        self, sock: socket.socket, *args: object, **kwargs: object
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)
        self.connection = admission.Connection(self._close_from_outside)

    def _close_from_outside(self, reason: str) -> None:
        """Ends the connection; a body that was not read whole is refused."""
        if self.connection.phase == admission.Phase.BODY:
            self.refusal = UNAVAILABLE
        self.greenlet.kill(block=False)

    def handle(self) -> None:
        """Handles requests until the connection ends."""
        self.greenlet = gevent.getcurrent()
        admitted = self.server.admission
        if not admitted.admit(self.connection):
            self.socket.close()
            return
        try:
            super().handle()
        except gevent.GreenletExit:
            pass
        finally:
            self._end_head()
            admitted.remove(self.connection)

    def read_requestline(self) -> str:
        """Waits for a request and reads its first line; "" to end."""
        self.connection.phase = admission.Phase.IDLE
        self.server.admission.release(self.connection)
        with gevent.Timeout(self.server.idle_timeout_s, False):
            if self.rfile.peek(1):
                self.connection.phase = admission.Phase.HEAD
        if self.connection.phase == admission.Phase.IDLE:
            return ""
        self.head = HeadReader(self.rfile, self.server.head_bytes())
        self.head_timer = gevent.Timeout.start_new(
            self.server.head_timeout_s, HeadTooSlowError("the head is too slow")
        )
        try:
            return self.head.readline(pywsgi.MAX_REQUEST_LINE).decode("latin-1")
        except (HeadTooLargeError, HeadTooSlowError):
            return ""

    def MessageClass(self, *args: object) -> Any:  # noqa: N802
        """Reads and parses the header lines."""
        return pywsgi.headers_factory(self.head, 0)

    def read_request(self, raw_requestline: str) -> bool:
        """Reads and parses the rest of the head."""
        try:
            return super().read_request(raw_requestline)
        finally:
            self._end_head()
            self.connection.phase = admission.Phase.ANSWERING

    def _end_head(self) -> None:
        if self.head_timer is not None:
            self.head_timer.close()
            self.head_timer = None

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        if isinstance(ex, HeadTooLargeError):
            admission.CLOSED.labels("head-size").inc()
            return "431", HEAD_TOO_LARGE
        if isinstance(ex, HeadTooSlowError):
            admission.CLOSED.labels("head-time").inc()
            return "408", HEAD_TOO_SLOW
        return super()._handle_client_error(ex)

    def get_environ(self) -> dict:
        """Returns the WSGI environment, with a limited body."""
        environ = super().get_environ()
        environ[BODY] = BodyReader(
            self.wsgi_input, self.connection, self.server.admission
        )
        return environ

    def run_application(self) -> None:
        """Runs the application and writes its response.

        What is left of the body is forgotten, or the connection closed if it
        is much or without end.
        """
        super().run_application()
        source = self.wsgi_input
        left = (self.content_length or 0) - source.position
        is_endless = source.chunked_input and source.chunk_length != 0
        if is_endless or (
            not source.chunked_input and left > MAX_DISCARDED_BYTES
        ):
            self.close_connection = True
            # Tells pywsgi that there is nothing to be read any more.
            source._chunked_input_error = True
        else:
            self.connection.phase = admission.Phase.BODY

    def handle_error(self, kind: type, value: object, trace: object) -> None:
        """Handles an exception of the application, or the end from outside."""
        if not issubclass(kind, gevent.GreenletExit):
            super().handle_error(kind, value, trace)
            return
        self.close_connection = True
        if self.refusal and not self.response_length:
            self.socket.sendall(self.refusal)


class LimitedServer(pywsgi.WSGIServer):
    """A server whose connections count toward a process's limits.

    Attributes:
        admission: Counts the connections.
        head_bytes: Returns the size of the largest head.
        head_timeout_s: Longest time that a head may take, seconds.
        idle_timeout_s: Longest time between two requests, seconds.
    """

    def __init__(
        self,
        listener: tuple[str, int],
        application: Callable,
        admitted: admission.Admission,
        head_bytes: Callable[[], int],
    ) -> None:
        self.admission = admitted
        self.head_bytes = head_bytes
        self.head_timeout_s = admission.HEAD_TIMEOUT_S
        self.idle_timeout_s = admission.IDLE_TIMEOUT_S
        super().__init__(
            listener, application, handler_class=LimitedHandler, log=None
        )

    def init_socket(self) -> None:
        """Opens the listening socket; its connections inherit the buffer."""
        super().init_socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            admission.RECEIVE_BUFFER_BYTES,
        )


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


def make_server(
    address: str,
    app: Callable,
    limits: admission.Limits | None = None,
    head_bytes: Callable[[], int] = lambda: admission.HEAD_BYTES,
) -> LimitedServer:
    """Returns a server for IP:PORT, not yet started.

    Args:
        address: IP:PORT.
        app: The WSGI application.
        limits: What its clients may use; None for those of a small machine.
        head_bytes: Returns the size of the largest head, in bytes.
    """
    host, _, port = address.rpartition(":")
    if limits is None:
        limits = admission.Limits.of_machine(
            admission.DEFAULT_MEMORY_MB, admission.DEFAULT_DESCRIPTORS
        )
    return LimitedServer(
        (host, int(port)), app, admission.Admission(limits), head_bytes
    )
