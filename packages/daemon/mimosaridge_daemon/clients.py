"""HTTP calls that carry JSON."""

import json
from typing import Any

import result
import urllib3

CONNECT_S = 1.0
HEADERS = {"Content-Type": "application/json"}


class Client:
    """Calls one base address over a bounded pool of connections."""

    def __init__(self, base_url: str, connections: int) -> None:
        base = urllib3.util.parse_url(base_url)
        self.path = (base.path or "").rstrip("/")
        self.pool = urllib3.HTTPConnectionPool(
            base.host, base.port, maxsize=connections, block=True
        )

    def call(
        self, method: str, path: str, body: Any = None, timeout_s: float = 2.0
    ) -> result.Result[tuple[int, Any], str]:
        """Makes one call.

        Returns:
            The status and the decoded answer, or why there is no answer; then
            the call may or may not have taken effect.
        """
        try:
            answer = self.pool.urlopen(
                method,
                self.path + path,
                body=None if body is None else json.dumps(body),
                headers=HEADERS,
                retries=False,
                timeout=urllib3.Timeout(connect=CONNECT_S, read=timeout_s),
                pool_timeout=timeout_s,
            )
            content = json.loads(answer.data) if answer.data else None
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return result.Err(f"{type(error).__name__}: {error}")
        if answer.status >= 500:
            return result.Err(f"status {answer.status}")
        return result.Ok((answer.status, content))

    def close(self) -> None:
        """Closes all idle connections."""
        self.pool.close()
