"""HTTP client with JSON bodies and a bounded connection pool."""

import dataclasses
import json
import socket
from typing import Any

import result
import urllib3

CONNECT_TIMEOUT_S = 1.0
NO_ROOM = 507
DEFAULT_HEADERS = {"Content-Type": "application/json"}


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Describes a call that got no response.

    Attributes:
        reason: Error message.
        is_sent: Whether the request may have been sent, and so taken effect.
    """

    reason: str
    is_sent: bool


class Connection(urllib3.connection.HTTPConnection):
    """An HTTP connection that makes few system calls for each exchange.

    A daemon makes some hundred small calls a second, which cost mostly system
    calls. The headers and the body of a request are sent at once, and an idle
    connection is examined with one call that does not wait.
    """

    held_back: list[bytes] | None = None

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Sends a request; see the base class for the arguments."""
        self.held_back = []
        try:
            super().request(*args, **kwargs)
            data = b"".join(self.held_back)
        finally:
            self.held_back = None
        super().send(data)

    def send(self, data: Any) -> None:
        """Sends bytes, or holds them back while a request is put together."""
        if self.held_back is None:
            super().send(data)
        else:
            self.held_back.append(bytes(data))

    @property
    def is_connected(self) -> bool:
        """Whether the peer has neither closed the connection nor sent bytes."""
        raw = getattr(self.sock, "_sock", None)
        if raw is None:
            return super().is_connected
        try:
            raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class Client:
    """Calls one base URL over a bounded pool of connections."""

    def __init__(self, base_url: str, connections: int) -> None:
        base = urllib3.util.parse_url(base_url)
        self.path = (base.path or "").rstrip("/")
        self.pool = urllib3.HTTPConnectionPool(
            base.host, base.port, maxsize=connections, block=True
        )
        self.pool.ConnectionCls = Connection

    def call(
        self, method: str, path: str, body: Any = None, timeout_s: float = 2.0
    ) -> result.Result[tuple[int, Any], str]:
        """Makes one call; a body of type bytes is sent unchanged.

        Returns:
            The status and the decoded response, or the reason of the failure;
            a failed call may or may not have taken effect.
        """
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body)
        response = self.exchange(method, path, data, {}, timeout_s)
        if response.is_err():
            return result.Err(response.err_value.reason)
        status, content = response.ok_value
        if status >= 500 and status != NO_ROOM:
            return result.Err(f"status {status}")
        try:
            return result.Ok((status, json.loads(content) if content else None))
        except ValueError as error:
            return result.Err(f"{type(error).__name__}: {error}")

    def exchange(
        self,
        method: str,
        path: str,
        body: bytes | str | None,
        headers: dict[str, str],
        timeout_s: float,
        connect_s: float = CONNECT_TIMEOUT_S,
    ) -> result.Result[tuple[int, bytes], Failure]:
        """Makes one call without decoding the response.

        Returns:
            The status and the raw body, or the failure.
        """
        try:
            response = self.pool.urlopen(
                method,
                self.path + path,
                body=body,
                headers=DEFAULT_HEADERS | headers,
                retries=False,
                timeout=urllib3.Timeout(connect=connect_s, read=timeout_s),
                pool_timeout=timeout_s,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.EmptyPoolError,
        ) as error:
            return result.Err(Failure(type(error).__name__, is_sent=False))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            reason = f"{type(error).__name__}: {error}"
            return result.Err(Failure(reason, is_sent=True))
        return result.Ok((response.status, response.data))

    def close(self) -> None:
        """Closes all idle connections."""
        self.pool.close()
