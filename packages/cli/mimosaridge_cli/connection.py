"""Base class of all commands: connection options and output format."""

import os
import sys
from typing import Any

from mimosaridge_cli import client
from mimosaridge_cli import output

EXIT_USAGE = 2


class CommandBase:
    """Holds the daemons' addresses, the API key and the output format."""

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
                "No daemon address given: use --address=http://IP:PORT or set"
                " MIMOSARIDGE_ADDRESS.",
                file=sys.stderr,
            )
            sys.exit(EXIT_USAGE)
        if isinstance(self._address, str):
            return self._address.split(",")
        return list(self._address)

    def _call(self, method: str, path: str, body: Any = None) -> Any:
        api_client = client.Client(self._addresses(), self._key)
        response = api_client.call(method, path, body)
        if response.is_err():
            output.exit_with_failure(response.err_value, self._json)
        return response.ok_value

    def _show(self, content: Any, text: str) -> None:
        if self._json:
            output.print_json(content)
        else:
            print(text)
