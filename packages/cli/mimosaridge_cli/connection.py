"""What all commands share: the daemons' addresses, the key, the output."""

import os
import sys
from typing import Any

from mimosaridge_cli import client
from mimosaridge_cli import output

BAD_USAGE_EXIT = 2


class Connection:
    """Addresses, key and form of output."""

    def __init__(
        self,
        address: str | list[str] | tuple[str, ...] = "",
        key: str = "",
        json: bool = False,
    ) -> None:
        self._address = address or os.environ.get("MIMOSARIDGE_ADDRESS", "")
        self._key = key or os.environ.get("MIMOSARIDGE_KEY", "")
        self._json = json

    def _addresses(self) -> list[str]:
        if not self._address:
            print(
                "No daemon given: use --address=http://IP:PORT or set"
                " MIMOSARIDGE_ADDRESS.",
                file=sys.stderr,
            )
            sys.exit(BAD_USAGE_EXIT)
        if isinstance(self._address, str):
            return self._address.split(",")
        return list(self._address)

    def _call(self, method: str, path: str, body: Any = None) -> Any:
        caller = client.Client(self._addresses(), self._key)
        answer = caller.call(method, path, body)
        if answer.is_err():
            output.fail(answer.err_value)
        return answer.ok_value

    def _show(self, content: Any, text: str) -> None:
        if self._json:
            output.machine(content)
        else:
            print(text)
