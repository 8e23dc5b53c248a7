"""Stand-ins of workers, which run tasks under leases."""

import asyncio
import dataclasses
import json
import time
from typing import Any

import http_server

HEARTBEAT_S = 1.5
LONGEST_LEASE_MS = 6000
STOP_S = 0.1
# Startup of a task that lasts, until it is at work.
STARTUP_S = 0.6
ENDS_PER_ANSWER = 500


@dataclasses.dataclass
class Run:
    """A run of a task.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        began_at: When it began, monotonic seconds.
        length_s: How long it takes; 0 for one that lasts.
        saved: Its checkpoint.
    """

    task: str
    run: int
    began_at: float
    length_s: float
    saved: str = ""

    def percent(self, now: float) -> int:
        """Returns its progress."""
        whole_s = self.length_s or STARTUP_S
        return min(100, int(100 * (now - self.began_at) / whole_s))


class Worker:
    """One life of a worker.

    The length of a task stands in its `taskSpec`: {"s": SECONDS}; 0 for a task
    that lasts.

    Attributes:
        worker_id: Its id.
        starts: Runs begun, as time, task and run.
        running: Runs by task and run.
        receive_late: Called with each call; returns whether it gets no answer
            and is not carried out now.
    """

    def __init__(
        self,
        store: Any,
        worker_id: str,
        fields: dict,
        record: Any,
    ) -> None:
        self.store = store
        self.worker_id = worker_id
        self.fields = fields
        self.record = record
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[list] = []
        self.ends = 0
        self.highest: dict[str, int] = {}
        self.state = "ready"
        self.sequence = 0
        self.is_up = True
        self.server = http_server.Server(self.receive)
        self.receive_late = _in_time
        self.news = asyncio.Event()

    async def start(self, host: str, port: int = 0) -> None:
        """Serves and registers in the store."""
        await self.server.start(host, port)
        await self.beat()
        loop = asyncio.get_running_loop()
        loop.create_task(self._beat_often())
        loop.create_task(self._advance_often())

    def clock_ms(self) -> int:
        """Returns the time on its clock."""
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    async def beat(self) -> None:
        """Writes its entry."""
        self.sequence += 1
        entry = self.fields | {
            "address": self.server.address,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
            "clockMs": self.clock_ms(),
        }
        await self.store.put(f"servers/{self.worker_id}", entry)

    async def _beat_often(self) -> None:
        while self.is_up:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up:
                await self.beat()

    async def _advance_often(self) -> None:
        while self.is_up:
            await asyncio.sleep(0.01)
            self.advance()

    def end_life(self) -> list[str]:
        """Ends at once, with all that runs; returns the tasks that ran."""
        self.advance()
        self.is_up = False
        tasks = [run.task for run in self.running.values()]
        self.running.clear()
        self.server.close()
        asyncio.get_running_loop().create_task(self._vanish())
        return tasks

    async def _vanish(self) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.delete(f"servers/{self.worker_id}")

    def advance(self) -> None:
        """Ends the runs that are done or whose lease has expired."""
        now = time.monotonic()
        for run in list(self.running.values()):
            if self.clock_ms() >= self.lease_ms:
                self._end(run, "lapsed")
            elif run.length_s and now - run.began_at >= run.length_s:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        if self.running.pop((run.task, run.run), None) is None:
            return
        self.ends += 1
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.ended.append([self.ends, run.task, run.run, how, run.saved])
        self.record("end", self.worker_id, run.task, run.run, how)
        self.news.set()

    async def receive(self, request: http_server.Request) -> http_server.Reply:
        """Answers a call unless it is late."""
        if await self.receive_late(request):
            return None
        return await self.handle(request)

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Carries out a call."""
        if request.headers.get("x-expected-instance") != self.worker_id:
            return 421, {"clockMs": self.clock_ms()}
        body = request.json()
        self.advance()
        if body.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = body.get("fencingToken", 0)
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/hold":
            return await self._hold(body)
        return 200, {"clockMs": self.clock_ms()}

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + LONGEST_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(until_ms, longest))

    def _start(self, body: dict) -> http_server.Reply:
        key = (body["task"], body["run"])
        now = {"clockMs": self.clock_ms()}
        if key in self.running:
            return 200, now
        if body["deadlineMs"] <= self.clock_ms():
            return 409, now | {"reason": "late"}
        self._extend(body["deadlineMs"])
        if body["run"] <= self.highest.get(body["task"], 0):
            return 409, now | {"reason": "old"}
        length_s = json.loads(body["taskSpec"])["s"]
        run = Run(*key, time.monotonic(), length_s, body.get("checkpoint", ""))
        self.running[key] = run
        self.record("start", self.worker_id, *key, "")
        return 200, now

    def _stop(self, body: dict) -> http_server.Reply:
        key = (body["task"], body["run"])
        self.highest[key[0]] = max(key[1], self.highest.get(key[0], 0))
        run = self.running.get(key)
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._end, run, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    async def _hold(self, body: dict) -> http_server.Reply:
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        seen = body.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < until:
            self.news.clear()
            left_s = until - time.monotonic()
            try:
                await asyncio.wait_for(self.news.wait(), left_s)
            except TimeoutError:
                break
        now = time.monotonic()
        rows = [
            [run.task, run.run, run.saved, run.percent(now), 0]
            for run in self.running.values()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": rows,
            "ended": self.ended[:ENDS_PER_ANSWER],
        }


async def _in_time(request: http_server.Request) -> bool:
    return False
