"""Stand-ins of workers and of the list of machines (PROTOCOL.md).

The text of a task says what it does: `done 500` ends as done after 500 ms,
`failed 500` as failed, `last` runs until it is stopped.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Any

import store as stores
import web

HEARTBEAT_S = 1.5
POLL_S = 0.005
STARTUP_S = 0.3
MAX_HOLD_MS = 6000

Note = Callable[..., None]


@dataclasses.dataclass
class Run:
    """A run on a worker.

    Attributes:
        task: The task.
        run: Number of the run.
        how: How it ends.
        began_at: When it began, monotonic seconds.
        lasts_s: How long it works.
    """

    task: str
    run: int
    how: str
    began_at: float
    lasts_s: float

    def percent(self, now: float) -> int:
        """Returns its progress."""
        if self.how == "last":
            return 100 if now - self.began_at > STARTUP_S else 0
        if not self.lasts_s:
            return 100
        return min(100, int(100 * (now - self.began_at) / self.lasts_s))


class Worker:
    """One life of a worker.

    Attributes:
        running: Its runs by task.
        ended: Ended runs that are not forgotten.
        last_seen: Highest `lastSeen` that a hold has brought.
        calls: When calls came, monotonic seconds.
        keeps_back: Whether a call gets no answer; for late orders.
    """

    def __init__(
        self,
        store: stores.Store,
        note: Note,
        name: str,
        address: str,
        service: str,
        zone: str,
        cpu: int,
        labels: tuple[str, ...] = ("a", "r1"),
        machine: str = "",
    ) -> None:
        self.store = store
        self.note = note
        self.name = name
        self.address = address
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.labels = labels
        self.machine = machine or name
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.token = 0
        self.lease_until_ms = 0
        self.running: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.ended_count = 0
        self.last_seen = 0
        self.closed: dict[str, int] = {}
        self.state = "ready"
        self.sequence = 0
        self.is_gone = False
        self.calls: list[float] = []
        self.keeps_back: Callable[[web.Request], bool] = lambda request: False
        self.server = web.Server(self.handle)
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Begins to serve and to register."""
        ip, _, port = self.address.rpartition(":")
        await self.server.start(ip, int(port))
        self.register()
        self.tasks = [
            asyncio.create_task(self._register()),
            asyncio.create_task(self._advance()),
        ]

    def clock_ms(self) -> int:
        """Returns its steady clock, milliseconds."""
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    def register(self) -> None:
        """Writes its entry."""
        self.sequence += 1
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
                "capacity": {
                    "cpu": self.cpu,
                    "memoryRequestMb": 65536,
                    "gpus": 0,
                },
                "labels": list(self.labels),
            },
        )

    async def _register(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            self.advance()

    def advance(self) -> None:
        """Ends the runs that are over."""
        now = time.monotonic()
        is_lapsed = self.clock_ms() >= self.lease_until_ms
        for run in list(self.running.values()):
            if is_lapsed:
                self._end(run, "lapsed")
            elif run.how != "last" and now >= run.began_at + run.lasts_s:
                self._end(run, run.how)

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self.ended_count += 1
        self.closed[run.task] = max(run.run, self.closed.get(run.task, 0))
        self.ended.append([self.ended_count, run.task, run.run, how, ""])
        self.note(
            "ended",
            worker=self.name,
            number=self.ended_count,
            task=run.task,
            run=run.run,
            how=how,
        )

    def leave(self, lists_gone_after_s: float) -> None:
        """Ends this life: all that runs ends, nothing is answered or sent.

        Args:
            lists_gone_after_s: After what time its entry is removed.
        """
        self.is_gone = True
        self.server.silence()
        for task in self.tasks:
            task.cancel()
        for run in list(self.running.values()):
            self.note("lost", worker=self.name, task=run.task, run=run.run)
        self.running.clear()
        asyncio.get_running_loop().call_later(
            lists_gone_after_s, self.store.delete, f"servers/{self.name}"
        )

    def crash(self) -> None:
        """Ends this life as the crash of its process does."""
        self.is_gone = True
        self.server.stop()
        for task in self.tasks:
            task.cancel()
        for run in list(self.running.values()):
            self.note("lost", worker=self.name, task=run.task, run=run.run)
        self.running.clear()

    async def handle(self, request: web.Request) -> web.Answer:
        """Answers a call."""
        self.calls.append(time.monotonic())
        if self.keeps_back(request):
            return None
        instance = request.headers.get("x-expected-instance")
        if instance not in (None, self.name):
            return 421, {}
        self.advance()
        body = request.body
        if request.path in ("/v1/hold", "/v1/run-start", "/v1/run-stop"):
            if body.get("fencingToken", 0) < self.token:
                return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
            self.token = body.get("fencingToken", 0)
        if request.path == "/v1/hold":
            return await self._hold(body)
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        return 404, {}

    def _grant(self, body: dict[str, Any]) -> None:
        until = min(body.get("deadlineMs", 0), self.clock_ms() + MAX_HOLD_MS)
        self.lease_until_ms = max(self.lease_until_ms, until)

    async def _hold(self, body: dict[str, Any]) -> web.Answer:
        self._grant(body)
        seen = body.get("lastSeen", 0)
        if seen > self.last_seen:
            for row in self.ended:
                if row[0] <= seen:
                    self.note(
                        "noted",
                        worker=self.name,
                        task=row[1],
                        run=row[2],
                        how=row[3],
                    )
            self.last_seen = seen
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        count = self.ended_count
        while self.ended_count == count and time.monotonic() < until:
            if self.ended:
                break
            await asyncio.sleep(POLL_S)
        now = time.monotonic()
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": [
                [run.task, run.run, "", run.percent(now), 0]
                for run in self.running.values()
            ],
            "ended": self.ended[:500],
        }

    def _start(self, body: dict[str, Any]) -> web.Answer:
        task, number = body["task"], body["run"]
        now = {"clockMs": self.clock_ms()}
        held = self.running.get(task)
        if held is not None and held.run == number:
            return 200, now
        if number <= self.closed.get(task, 0):
            self._grant(body)
            return 409, now | {"reason": "old"}
        if self.clock_ms() > body["deadlineMs"]:
            return 409, now | {"reason": "late"}
        how, _, lasts_ms = body["taskSpec"].partition(" ")
        self._grant(body)
        self.running[task] = Run(
            task, number, how, time.monotonic(), float(lasts_ms or 0) / 1000
        )
        self.note("start", worker=self.name, task=task, run=number)
        return 200, now

    def _stop(self, body: dict[str, Any]) -> web.Answer:
        task, number = body["task"], body["run"]
        held = self.running.get(task)
        if held is not None and held.run == number:
            self._end(held, "stopped")
        else:
            self.closed[task] = max(number, self.closed.get(task, 0))
        return 200, {"clockMs": self.clock_ms()}


async def advise(request: web.Request) -> web.Answer:
    """Answers a call for advice: all workers are good."""
    names = request.body["workers"]
    await asyncio.sleep((5 + 0.1 * len(names)) / 1000)
    return 200, {
        "good": [[name, f"t-{name}"] for name in names],
        "validityMs": 2000,
    }
