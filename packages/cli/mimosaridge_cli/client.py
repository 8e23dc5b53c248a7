"""Client of the daemons' HTTP API."""

import dataclasses
import json
from typing import Any

import result
import urllib3

from mimosaridge_core import codes

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 3600.0
EXIT_UNREACHABLE = 3


@dataclasses.dataclass(slots=True)
class Failure:
    """Describes a failed call.

    Attributes:
        code: Result code; None if no daemon could be reached.
        detail: Error message, with the suggested action.
        plan: The change's plan on the configuration now in force, if another
            change was applied first.
    """

    code: codes.Code | None
    detail: str
    plan: Any = None


class Client:
    """Calls the first reachable daemon of a list."""

    def __init__(self, addresses: list[str], token: str) -> None:
        self.addresses = addresses
        self.token = token
        self.pool = urllib3.PoolManager(retries=False)

    def call(
        self, method: str, path: str, body: Any = None
    ) -> result.Result[Any, Failure]:
        """Calls a daemon; tries the next one only if the connection failed.

        Once connected, a daemon may have processed the request, so the call
        is not repeated elsewhere.
        """
        reasons = []
        for address in self.addresses:
            try:
                return self._call(address, method, path, body)
            except urllib3.exceptions.NewConnectionError:
                reasons.append(f"{address} refused the connection")
            except urllib3.exceptions.ConnectTimeoutError:
                reasons.append(f"{address} did not accept a connection in time")
            except urllib3.exceptions.HTTPError as error:
                return result.Err(
                    Failure(
                        codes.Code.UNKNOWN,
                        f"The call to {address} failed"
                        f" ({type(error).__name__}) and may have taken effect;"
                        " retry with the same work id or run explain.",
                    )
                )
        causes = "; ".join(reasons)
        return result.Err(
            Failure(None, f"No daemon was reached: {causes}. Check --address.")
        )

    def _call(
        self, address: str, method: str, path: str, body: Any
    ) -> result.Result[Any, Failure]:
        response = self.pool.request(
            method,
            address.rstrip("/") + path,
            body=None if body is None else json.dumps(body),
            headers={
                "Content-Type": "application/json",
                "Authorization": f"Bearer {self.token}",
            },
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
        )
        content = json.loads(response.data)
        if content["code"] >= codes.Code.NOT_RUN:
            code = codes.Code(content["code"])
            plan = content.get("plan")
            return result.Err(Failure(code, content["detail"], plan))
        return result.Ok(content)
