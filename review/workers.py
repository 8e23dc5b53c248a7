"""A stand-in of the platform's workers: several workers in one process.

They follow the page on the protocol. A task's `taskSpec` is JSON: `ms`, how
long it works, `more_ms`, how much longer than the task before it in its step,
and `fail`, how many of its first runs end `failed`. The process
keeps a record of what was ordered, run and ended, which `/test/record` returns.
`/test/busy` makes workers answer starts with 503 for a time.

Usage: workers.py STORE IP:PORT SPEC, with SPEC a JSON list of workers: `id`,
`address`, `service`, `zone`, `cpu`, `labels`; and `listen` where the address is
that of a proxy.
"""

import dataclasses
import json
import sys
import threading
import time
from typing import Any
import urllib.request

import web

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_MS = 100
MEMORY_MB = 65536
ENDS_PER_ANSWER = 500

OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))
LOCK = threading.Condition()
RECORD: list[dict] = []
FAILED: dict[str, int] = {}


def note(kind: str, **fields: Any) -> None:
    """Adds a line to the record."""
    RECORD.append({"at": round(time.time(), 3), "kind": kind, **fields})


@dataclasses.dataclass
class Run:
    """A run of a task: when it ends by itself, and how."""

    ends_ms: int
    started_ms: int
    how: str


class Worker:
    """One worker, in the life that began with the process."""

    def __init__(self, spec: dict) -> None:
        self.spec = spec
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.token = 0
        self.lease_until_ms = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[list] = []
        self.count = 0
        self.closed: dict[str, int] = {}
        self.busy_until = 0.0
        self.sequence = 0

    def clock_ms(self) -> int:
        """Returns its steady clock."""
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    def entry(self) -> dict:
        """Returns what it reports of itself."""
        self.sequence += 1
        return {
            "service": self.spec["service"],
            "address": self.spec["address"],
            "zone": self.spec["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {
                "cpu": self.spec["cpu"],
                "memoryRequestMb": MEMORY_MB,
                "gpus": 0,
            },
            "labels": self.spec["labels"],
            "born": self.born,
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
        }

    def end(self, key: tuple[str, int], how: str) -> None:
        """Ends a run."""
        del self.running[key]
        self.count += 1
        self.closed[key[0]] = max(key[1], self.closed.get(key[0], 0))
        self.ended.append([self.count, key[0], key[1], how, ""])
        note("ended", worker=self.spec["id"], task=key[0], run=key[1], how=how)
        LOCK.notify_all()

    def advance(self) -> None:
        """Ends the runs whose time has come."""
        now = self.clock_ms()
        for key, run in list(self.running.items()):
            if now >= self.lease_until_ms:
                self.end(key, "lapsed")
            elif now >= run.ends_ms:
                if run.how == "failed":
                    FAILED[key[0]] = FAILED.get(key[0], 0) + 1
                self.end(key, run.how)

    def extend(self, deadline_ms: int) -> None:
        """Extends the lease, up to the longest one."""
        until = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_until_ms = max(self.lease_until_ms, until)

    def answer(
        self, method: str, path: str, query: dict, body: Any, headers: dict
    ) -> tuple[int, Any]:
        """Answers a call."""
        if path == "/health":
            return 200, {}
        with LOCK:
            instance = headers.get("x-expected-instance")
            if instance and instance != self.spec["id"]:
                return 421, {}
            self.advance()
            if body.get("fencingToken", 0) < self.token:
                return self.refuse("fence")
            self.token = body.get("fencingToken", 0)
            if path == "/v1/hold":
                return self._hold(body)
            if path == "/v1/run-start":
                return self._start(body)
            if path == "/v1/run-stop":
                return self._stop(body)
        return 404, {}

    def refuse(self, reason: str) -> tuple[int, Any]:
        """Returns a refusal."""
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def _hold(self, body: dict) -> tuple[int, Any]:
        self.extend(body.get("deadlineMs", 0))
        seen = body.get("lastSeen", 0)
        for row in self.ended:
            if row[0] <= seen and row[3] == "done":
                note("noted", worker=self.spec["id"], task=row[1], run=row[2])
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < until:
            LOCK.wait(0.01)
            self.advance()
        running = []
        for (task, number), run in self.running.items():
            span = max(1, run.ends_ms - run.started_ms)
            done = (self.clock_ms() - run.started_ms) * 100 // span
            running.append([task, number, "", min(99, done), 0])
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:ENDS_PER_ANSWER],
        }

    def _start(self, body: dict) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        fields = {"worker": self.spec["id"], "task": task, "run": number}
        if time.monotonic() < self.busy_until:
            note("start refused with 503", **fields)
            return 503, {}
        if (task, number) in self.running:
            return 200, {"clockMs": self.clock_ms()}
        if number <= self.closed.get(task, 0):
            self.extend(body["deadlineMs"])
            return self.refuse("old")
        if self.clock_ms() > body["deadlineMs"]:
            return self.refuse("late")
        spec = json.loads(body["taskSpec"])
        index = int(task.rpartition(".")[2])
        work_ms = spec["ms"] + index * spec.get("more_ms", 0)
        now = self.clock_ms()
        fails = FAILED.get(task, 0) < spec.get("fail", 0)
        self.extend(body["deadlineMs"])
        self.running[(task, number)] = Run(
            now + work_ms, now, "failed" if fails else "done"
        )
        note("started", token=body.get("fencingToken", 0), **fields)
        return 200, {"clockMs": now}

    def _stop(self, body: dict) -> tuple[int, Any]:
        key = (body["task"], body["run"])
        self.closed[key[0]] = max(key[1], self.closed.get(key[0], 0))
        run = self.running.get(key)
        note("stop", worker=self.spec["id"], task=key[0], run=key[1])
        if run is not None and run.how != "stopped":
            run.ends_ms = min(run.ends_ms, self.clock_ms() + STOP_MS)
            run.how = "stopped"
        return 200, {"clockMs": self.clock_ms()}


def put(store: str, key: str, value: Any) -> None:
    """Writes a key of the store; tries again until it is written."""
    data = json.dumps({"key": key, "value": value}).encode()
    while True:
        request = urllib.request.Request(
            f"http://{store}/test/put",
            data,
            {"Content-Type": "application/json"},
        )
        try:
            OPENER.open(request, timeout=5).read()
            return
        except OSError:
            time.sleep(0.2)


def main() -> None:
    """Runs the workers until the process ends."""
    store, address, text = sys.argv[1:]
    workers = {spec["id"]: Worker(spec) for spec in json.loads(text)}

    def control(
        method: str, path: str, query: dict, body: Any, headers: dict
    ) -> tuple[int, Any]:
        with LOCK:
            if path == "/test/busy":
                for name in body["workers"]:
                    until = time.monotonic() + body["seconds"]
                    workers[name].busy_until = until
            return 200, RECORD

    def tick() -> None:
        while True:
            time.sleep(0.02)
            with LOCK:
                for worker in workers.values():
                    worker.advance()

    threading.Thread(target=tick, daemon=True).start()
    for worker in workers.values():
        listen = worker.spec.get("listen", worker.spec["address"])
        server = web.serve(listen, worker.answer)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    server = web.serve(address, control)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    while True:
        for name, worker in workers.items():
            put(store, f"servers/{name}", worker.entry())
        time.sleep(HEARTBEAT_S)


if __name__ == "__main__":
    main()
