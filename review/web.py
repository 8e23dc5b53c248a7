"""A small HTTP/1.1 server with JSON bodies for the stand-ins."""

from collections.abc import Callable
from http import server
import json
from typing import Any
from urllib import parse

# Returns the status and the body of the response to a call. The arguments are
# the method, the path, the query and the decoded body.
Answer = Callable[[str, str, dict, Any, dict], tuple[int, Any]]


class _Server(server.ThreadingHTTPServer):
    request_queue_size = 256
    daemon_threads = True


class DropConnection(Exception):  # noqa: N818
    """Raised by an answer to close the connection without a response."""


def serve(address: str, answer: Answer) -> server.ThreadingHTTPServer:
    """Returns a server for IP:PORT; the caller runs it."""

    class Handler(server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _handle(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            raw = self.rfile.read(length) if length else b""
            url = parse.urlsplit(self.path)
            query = dict(parse.parse_qsl(url.query))
            headers = {k.lower(): v for k, v in self.headers.items()}
            body = json.loads(raw) if raw else None
            try:
                status, fields = answer(
                    self.command, url.path, query, body, headers
                )
            except DropConnection:
                self.close_connection = True
                return
            data = json.dumps(fields).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = _handle  # noqa: N815

        def log_message(self, *args: object) -> None:
            """Writes no access log."""

    host, _, port = address.rpartition(":")
    return _Server((host, int(port)), Handler)
