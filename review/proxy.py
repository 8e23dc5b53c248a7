"""A proxy before a worker that can leave a call unanswered and make it late.

After a call of `/test/late` with `path` and `seconds` the next call of that
path (with `seen`, the next one whose `lastSeen` is at least that) gets no
answer, and is made that much later. All others pass at once.

Usage: proxy.py IP:PORT WORKER CONTROL
"""

import json
import sys
import threading
import time
from typing import Any
import urllib.error
import urllib.request

import web

TIMEOUT_S = 5
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class Proxy:
    """The proxy, with the call that it makes late."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.lock = threading.Lock()
        self.late: dict | None = None
        self.record: list[dict] = []

    def control(
        self, method: str, path: str, query: dict, body: Any, headers: dict
    ) -> tuple[int, Any]:
        """Answers a call of the script."""
        with self.lock:
            if path == "/test/late":
                self.late = body
            return 200, self.record

    def answer(
        self, method: str, path: str, query: dict, body: Any, headers: dict
    ) -> tuple[int, Any]:
        """Passes a call on, now or late."""
        with self.lock:
            late = self.late
            is_late = (
                late is not None
                and late["path"] == path
                and body.get("lastSeen", 0) >= late.get("seen", 0)
            )
            if is_late:
                self.late = None
        if not is_late:
            return self._pass_on(method, path, body, headers)
        self._note("left unanswered", path, body)
        time.sleep(late["seconds"])
        try:
            status, fields = self._pass_on(method, path, body, headers)
        finally:
            self._note("made late", path, body)
        self._note(f"answer to the late one: {status} {fields}", path, body)
        raise web.DropConnection

    def _note(self, kind: str, path: str, body: Any) -> None:
        line = {"at": round(time.time(), 3), "kind": kind, "path": path}
        with self.lock:
            self.record.append(
                line | {"task": body.get("task"), "run": body.get("run")}
            )

    def _pass_on(
        self, method: str, path: str, body: Any, headers: dict
    ) -> tuple[int, Any]:
        request = urllib.request.Request(
            f"http://{self.target}{path}",
            json.dumps(body).encode() if body is not None else None,
            {
                "Content-Type": "application/json",
                "X-Expected-Instance": headers.get("x-expected-instance", ""),
            },
            method=method,
        )
        try:
            with OPENER.open(request, timeout=TIMEOUT_S) as answer:
                return answer.status, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            raw = error.read()
            return error.code, json.loads(raw) if raw else {}
        except OSError as error:
            raise web.DropConnection from error


def main() -> None:
    """Runs the proxy until the process ends."""
    address, target, control = sys.argv[1:]
    proxy = Proxy(target)
    server = web.serve(control, proxy.control)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    web.serve(address, proxy.answer).serve_forever()


if __name__ == "__main__":
    main()
