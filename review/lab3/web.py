"""A small HTTP/1.1 server on asyncio for the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import socket
from typing import Any
from urllib import parse

MAX_LINE_BYTES = 4_000_000
BACKLOG = 128
# More connections than a queue of length 0 takes.
FILLERS = 4
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


@dataclasses.dataclass
class Request:
    """A request.

    Attributes:
        method: Its method.
        path: Its path without the query.
        query: The parameters of its query.
        headers: Its headers by name in lower case.
        body: Its decoded body; empty if it has none.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict[str, Any]


# A status and a body, or None for no answer on that connection any more.
Answer = tuple[int, dict[str, Any]] | None
Handler = Callable[[Request], Awaitable[Answer]]


async def _read(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    data = await reader.readexactly(size) if size else b""
    url = parse.urlsplit(target)
    return Request(
        method,
        url.path,
        dict(parse.parse_qsl(url.query)),
        headers,
        json.loads(data) if data else {},
    )


class Server:
    """Serves one address.

    Attributes:
        handler: Answers the requests.
        is_silent: Whether nothing is read or answered, as from a machine
            without power or behind a cut.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.is_silent = False
        self.listener = socket.socket()
        self.accepting: asyncio.Task | None = None
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task] = set()

    async def start(self, ip: str, port: int) -> None:
        """Begins to listen."""
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((ip, port))
        self.listener.listen(BACKLOG)
        self.accepting = asyncio.create_task(self._accept())

    def silence(self) -> None:
        """Falls silent: open connections hang, and so do attempts at new ones.

        The queue of new connections is filled, so that opening packets are
        dropped.
        """
        self.is_silent = True
        if self.accepting is not None:
            self.accepting.cancel()
        self.listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def speak(self) -> None:
        """Ends the silence; connections from before stay silent."""
        self.is_silent = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(BACKLOG)
        self.accepting = asyncio.create_task(self._accept())

    def stop(self) -> None:
        """Closes the listener and resets all connections."""
        if self.accepting is not None:
            self.accepting.cancel()
        for each in [self.listener, *self.fillers]:
            each.close()
        for task in self.tasks:
            task.cancel()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            task = asyncio.create_task(self._serve(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=MAX_LINE_BYTES
        )
        try:
            while (request := await _read(reader)) is not None:
                if self.is_silent:
                    await asyncio.Event().wait()
                answer = await self.handler(request)
                if answer is None or self.is_silent:
                    await asyncio.Event().wait()
                writer.write(_encode(*answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            writer.close()


def _encode(status: int, fields: dict[str, Any]) -> bytes:
    body = json.dumps(fields).encode()
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def call(
    method: str,
    address: str,
    path: str,
    headers: dict[str, str],
    body: dict[str, Any] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, Any]]:
    """Makes one call on a connection of its own.

    Returns:
        The status and the decoded body; status 0 without an answer.
    """
    try:
        return await asyncio.wait_for(
            _call(method, address, path, headers, body), timeout_s
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}


async def _call(
    method: str,
    address: str,
    path: str,
    headers: dict[str, str],
    body: dict[str, Any] | None,
) -> tuple[int, dict[str, Any]]:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if data:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(data)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        status = int((await reader.readline()).split(b" ", 2)[1])
        size = 0
        while (line := await reader.readline()).strip():
            name, _, value = line.decode("latin-1").partition(":")
            if name.strip().lower() == "content-length":
                size = int(value)
        answer = await reader.readexactly(size) if size else b""
        return status, json.loads(answer) if answer else {}
    finally:
        writer.close()
