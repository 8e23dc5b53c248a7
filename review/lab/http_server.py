"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
from typing import Any
from urllib import parse

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 412: "Failed"}


@dataclasses.dataclass
class Request:
    """A request that was read whole.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Parameters of the query.
        headers: Headers by lower-case name.
        body: The body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


# A status and the fields of the body; None closes the connection unanswered.
Reply = tuple[int, Any] | None
Handler = Callable[[Request], Awaitable[Reply]]


async def _read_head(reader: asyncio.StreamReader) -> list[str] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head.decode("latin-1").split("\r\n")


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    lines = await _read_head(reader)
    if lines is None:
        return None
    method, target, _ = lines[0].split(" ", 2)
    headers = _headers(lines[1:])
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    path, _, query = target.partition("?")
    fields = dict(parse.parse_qsl(query, keep_blank_values=True))
    return Request(method, path, fields, headers, body)


class Server:
    """Serves one address until it is closed.

    Attributes:
        address: IP:PORT.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()

    def silence(self) -> None:
        """Lets all open connections go silent for good; new ones work."""
        self.silent |= self.writers

    async def start(self, host: str, port: int = 0) -> None:
        """Listens on an address; port 0 takes a free one."""
        self.server = await asyncio.start_server(self._serve, host, port)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stops listening and cuts all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await _read_request(reader)
        if request is None:
            return False
        if writer in self.silent:
            return True
        reply = await self.handler(request)
        if writer in self.silent:
            return True
        if reply is None:
            return False
        status, fields = reply
        body = json.dumps(fields).encode()
        reason = REASONS.get(status, "Status")
        head = (
            f"HTTP/1.1 {status} {reason}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()
        return True


async def call(
    address: str,
    method: str,
    path: str,
    fields: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 4.0,
) -> tuple[int, Any]:
    """Makes one call on a new connection.

    Returns:
        The status and the decoded body; status 0 if there was no answer.
    """
    try:
        return await asyncio.wait_for(
            _call(address, method, path, fields, headers or {}), timeout_s
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None


async def _call(
    address: str,
    method: str,
    path: str,
    fields: Any,
    headers: dict[str, str],
) -> tuple[int, Any]:
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = b"" if fields is None else json.dumps(fields).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Type: application/json"]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        head = await _read_head(reader)
        if head is None:
            return 0, None
        status = int(head[0].split(" ")[1])
        size = int(_headers(head[1:]).get("content-length", "0"))
        content = await reader.readexactly(size) if size else b""
        return status, json.loads(content) if content else None
    finally:
        writer.close()
