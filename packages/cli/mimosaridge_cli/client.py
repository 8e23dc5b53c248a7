"""Calls to the daemons' HTTP interface."""

import dataclasses
import json
from typing import Any

import result
import urllib3

from mimosaridge_core import codes

CONNECT_S = 2.0
READ_S = 3600.0
NOT_REACHED_EXIT = 3


@dataclasses.dataclass(slots=True)
class Failure:
    """A call that did not succeed.

    Attributes:
        code: Result code; None if no daemon was reached.
        detail: What happened and what to do.
        plan: The plan on what is in force now, if another change came first.
    """

    code: codes.Code | None
    detail: str
    plan: Any = None


class Client:
    """Talks to the first daemon of a list that can be reached."""

    def __init__(self, addresses: list[str], token: str) -> None:
        self.addresses = addresses
        self.token = token
        self.pool = urllib3.PoolManager(retries=False)

    def call(
        self, method: str, path: str, body: Any = None
    ) -> result.Result[Any, Failure]:
        """Makes a call; goes on to the next daemon if none was connected."""
        reasons = []
        for address in self.addresses:
            try:
                return self._call(address, method, path, body)
            except urllib3.exceptions.NewConnectionError:
                reasons.append(f"{address} refuses connections")
            except urllib3.exceptions.ConnectTimeoutError:
                reasons.append(f"{address} does not answer")
            except urllib3.exceptions.HTTPError as error:
                return result.Err(
                    Failure(
                        codes.Code.UNKNOWN,
                        f"{address} was cut off ({type(error).__name__});"
                        " send the same id again or ask explain.",
                    )
                )
        text = "; ".join(reasons)
        return result.Err(
            Failure(None, f"No daemon was reached: {text}. Check --address.")
        )

    def _call(
        self, address: str, method: str, path: str, body: Any
    ) -> result.Result[Any, Failure]:
        answer = self.pool.request(
            method,
            address.rstrip("/") + path,
            body=None if body is None else json.dumps(body),
            headers={
                "Content-Type": "application/json",
                "Authorization": f"Bearer {self.token}",
            },
            timeout=urllib3.Timeout(connect=CONNECT_S, read=READ_S),
        )
        content = json.loads(answer.data)
        if content["code"] >= codes.Code.NOT_RUN:
            code = codes.Code(content["code"])
            plan = content.get("plan")
            return result.Err(Failure(code, content["detail"], plan))
        return result.Ok(content)
