"""Stand-in of all workers of a fleet, in one process.

A task's body is a JSON object with optional fields: run_s (run time in
seconds), answer_bytes (size of the answer's padding) and fail (the reason with
which the task fails). The answer is a JSON object with the worker's id, the
body and the padding.
"""

import base64
import collections
import dataclasses
import itertools
import json
import time
from typing import Any

import bottle
import gevent
from gevent import event as gevent_event

from mimosaridge_standins import serving

SWEEP_INTERVAL_S = 0.2
RESOURCE_NAMES = (
    "cpu_millis",
    "memory_mib",
    "accelerators",
    "slots",
    "connections",
)


@dataclasses.dataclass
class Run:
    """An attempt that is running or has ended."""

    label: dict[str, Any]
    started_at: float
    resumed_s: float = 0.0
    timer: Any = None
    ended: bool = False
    ok: bool = False
    detail: str = ""
    answer: str = ""


@dataclasses.dataclass
class Faults:
    """Injected faults of one worker.

    Attributes:
        frozen: Whether calls block without an answer.
        fail_all: Whether every task fails as soon as it starts.
        lose_starts: Number of next starts that take effect but are answered
            with an error.
        silent: Whether calls for events that had to wait block; other calls
            are answered.
    """

    frozen: bool = False
    fail_all: bool = False
    lose_starts: int = 0
    silent: bool = False


class Worker:
    """Simulated worker."""

    def __init__(self, worker_id: str, capacity: dict[str, int]) -> None:
        self.worker_id = worker_id
        self.capacity = capacity
        self.epoch = 0
        self.owner = ""
        self.claim = 0
        self.lease_s = 10.0
        self.lease_until = 0.0
        self.leaving = False
        self.runs: dict[tuple[str, int], Run] = {}
        self.ended: collections.deque = collections.deque(maxlen=20_000)
        self.sequence = 0
        self.changed = gevent_event.Event()
        self.faults = Faults()
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, str, int]] = []
        self.most_used = dict.fromkeys(RESOURCE_NAMES, 0)
        self.overcommits = 0

    def used(self) -> dict[str, int]:
        """Returns the resources that running tasks use, by name."""
        used = dict.fromkeys(RESOURCE_NAMES, 0)
        for run in self.runs.values():
            if not run.ended:
                for name in RESOURCE_NAMES:
                    used[name] += run.label["needs"][name]
        return used

    def start(self, label: dict[str, Any]) -> None:
        """Starts a task, also if it exceeds the capacity."""
        key = (label["task_id"], label["attempt"])
        checkpoint_s = base64.urlsafe_b64decode(label.get("checkpoint", ""))
        run = Run(label, time.time(), float(checkpoint_s or 0.0))
        self.runs[key] = run
        self.starts.append((run.started_at, *key))
        used = self.used()
        if any(used[name] > self.capacity[name] for name in RESOURCE_NAMES):
            self.overcommits += 1
        for name in RESOURCE_NAMES:
            self.most_used[name] = max(self.most_used[name], used[name])
        self._execute(key, run)

    def _execute(self, key: tuple[str, int], run: Run) -> None:
        raw = base64.urlsafe_b64decode(run.label["body"])
        try:
            options = json.loads(raw) if raw else {}
        except ValueError:
            options = {}
        if self.faults.fail_all:
            self.finish(key, False, "all tasks fail on this worker")
            return
        if run.label["kind"] == "service":
            return
        answer = {
            "worker": self.worker_id,
            "echo": options,
            "padding": "x" * options.get("answer_bytes", 0),
        }
        reason = options.get("fail", "")
        run.timer = gevent.spawn_later(
            max(0.0, options.get("run_s", 0.0) - run.resumed_s),
            self.finish,
            key,
            not reason,
            reason,
            json.dumps(answer).encode(),
        )

    def finish(
        self, key: tuple[str, int], ok: bool, detail: str, answer: bytes = b""
    ) -> None:
        """Ends a running task and wakes the calls that wait for events."""
        run = self.runs.get(key)
        if run is None or run.ended:
            return
        run.ended = True
        self.ends.append((time.time(), *key))
        run.ok = ok
        run.detail = detail
        run.answer = base64.b64encode(answer).decode()
        self.sequence += 1
        self.ended.append((self.sequence, key))
        self.changed.set()
        self.changed.clear()

    def stop(self, key: tuple[str, int], detail: str) -> None:
        """Stops a running task; it ends as failed."""
        run = self.runs.get(key)
        if run is not None and not run.ended:
            if run.timer is not None:
                run.timer.kill(block=False)
            self.finish(key, False, detail)

    def checkpoint(self, key: tuple[str, int]) -> None:
        """Stops a running task; its checkpoint is its run time in seconds."""
        run = self.runs.get(key)
        if run is not None and not run.ended:
            if run.timer is not None:
                run.timer.kill(block=False)
            ran_s = run.resumed_s + time.time() - run.started_at
            self.finish(key, False, "checkpointed", str(ran_s).encode())

    def sweep(self) -> None:
        """Stops all tasks if the lease has expired."""
        if self.lease_until and self.lease_until < time.time():
            for key in list(self.runs):
                self.stop(key, "lease expired")

    def ended_after(self, after: int) -> list[tuple[str, int]]:
        """Returns tasks ended after a sequence number, oldest first."""
        recent = itertools.takewhile(
            lambda item: item[0] > after, reversed(self.ended)
        )
        return [key for _, key in recent][::-1]

    def forget(self, key: tuple[str, int]) -> None:
        """Deletes the record of an ended task."""
        run = self.runs.get(key)
        if run is not None and run.ended:
            del self.runs[key]

    def report(self, key: tuple[str, int]) -> dict[str, Any]:
        """Returns the JSON report of a task."""
        run = self.runs[key]
        return {
            "task_id": key[0],
            "attempt": key[1],
            "label": run.label,
            "ended": run.ended,
            "ok": run.ok,
            "detail": run.detail,
            "answer": run.answer,
        }


def build(workers: dict[str, Worker]) -> bottle.Bottle:
    """Returns the HTTP application."""
    app = bottle.Bottle()

    def get_responsive_worker(worker_id: str) -> Worker:
        worker = workers[worker_id]
        while worker.faults.frozen:
            gevent.sleep(0.1)
        return worker

    def is_stale(worker: Worker, content: dict[str, Any]) -> bool:
        return content["epoch"] != worker.epoch

    @app.post("/workers/<worker_id>/claim")
    def claim(worker_id: str) -> str:
        worker = get_responsive_worker(worker_id)
        content = serving.body()
        if content["epoch"] < worker.epoch:
            return serving.answer(409, epoch=worker.epoch)
        worker.epoch = content["epoch"]
        worker.owner = content["owner"]
        worker.lease_s = content["lease_s"]
        worker.lease_until = time.time() + worker.lease_s
        worker.claim += 1
        worker.changed.set()
        worker.changed.clear()
        return serving.answer(
            200,
            claim=worker.claim,
            cursor=worker.sequence,
            leaving=worker.leaving,
            tasks=[worker.report(key) for key in worker.runs],
        )

    @app.post("/workers/<worker_id>/start")
    def start(worker_id: str) -> str:
        worker = get_responsive_worker(worker_id)
        content = serving.body()
        label = content["label"]
        key = (label["task_id"], label["attempt"])
        if is_stale(worker, content) or content["claim"] != worker.claim:
            return serving.answer(409, epoch=worker.epoch)
        if content["start_before"] <= time.time():
            return serving.answer(410)
        if key not in worker.runs:
            used = worker.used()
            if any(
                used[name] + label["needs"][name] > worker.capacity[name]
                for name in RESOURCE_NAMES
            ):
                return serving.answer(507)
            worker.start(label)
        if worker.faults.lose_starts > 0:
            worker.faults.lose_starts -= 1
            return serving.answer(504)
        return serving.answer(200)

    @app.post("/workers/<worker_id>/stop")
    def stop(worker_id: str) -> str:
        worker = get_responsive_worker(worker_id)
        content = serving.body()
        if is_stale(worker, content):
            return serving.answer(409, epoch=worker.epoch)
        key = (content["task_id"], content["attempt"])
        if content.get("checkpoint", False):
            worker.checkpoint(key)
        worker.stop(key, "stopped")
        return serving.answer(200)

    @app.post("/workers/<worker_id>/events")
    def events(worker_id: str) -> str:
        worker = get_responsive_worker(worker_id)
        content = serving.body()
        epoch, after = content["epoch"], content["after"]
        deadline = time.time() + content["wait_s"]
        for task_id, attempt in content["forget"]:
            worker.forget((task_id, attempt))
        while True:
            if epoch != worker.epoch:
                return serving.answer(409, epoch=worker.epoch)
            worker.lease_until = max(
                worker.lease_until, time.time() + worker.lease_s
            )
            found = worker.ended_after(after)
            remaining_s = deadline - time.time()
            if found or remaining_s <= 0 or worker.leaving and remaining_s < 4:
                break
            worker.changed.wait(remaining_s)
            while worker.faults.frozen or worker.faults.silent:
                gevent.sleep(0.1)
        return serving.answer(
            200,
            cursor=worker.sequence,
            leaving=worker.leaving,
            ended=[worker.report(key) for key in found if key in worker.runs],
        )

    @app.post("/workers/<worker_id>/faults")
    def faults(worker_id: str) -> str:
        for name, value in serving.body().items():
            setattr(workers[worker_id].faults, name, value)
        return serving.answer(200)

    @app.post("/workers/<worker_id>/leaving")
    def leaving(worker_id: str) -> str:
        worker = workers[worker_id]
        worker.leaving = bool(serving.body().get("leaving", True))
        worker.changed.set()
        worker.changed.clear()
        return serving.answer(200)

    @app.get("/state")
    def state() -> str:
        return serving.answer(
            200,
            workers={
                worker.worker_id: {
                    "owner": worker.owner,
                    "epoch": worker.epoch,
                    "capacity": worker.capacity,
                    "used": worker.used(),
                    "most_used": worker.most_used,
                    "overcommits": worker.overcommits,
                    "running": [
                        list(key)
                        for key, run in worker.runs.items()
                        if not run.ended
                    ],
                    "starts": worker.starts,
                    "ends": worker.ends,
                }
                for worker in workers.values()
            },
        )

    return app


def _sweep(workers: dict[str, Worker]) -> None:
    while True:
        gevent.sleep(SWEEP_INTERVAL_S)
        for worker in workers.values():
            worker.sweep()


def run(listen: str, fleet: str) -> None:
    """Serves all workers of a JSON fleet file on IP:PORT."""
    with open(fleet, encoding="utf-8") as file:
        hosts = json.load(file)
    workers = {
        host["worker_id"]: Worker(host["worker_id"], host["capacity"])
        for host in hosts
    }
    gevent.spawn(_sweep, workers)
    serving.serve(listen, build(workers))
