"""In-memory worker that executes worker effects."""

import dataclasses

from mimosaridge_core import codes
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import resources
from mimosaridge_core import works


@dataclasses.dataclass
class Run:
    """An attempt that is running or has ended."""

    task: works.Task
    started_at: float
    ended: bool = False
    ok: bool = False
    detail: str = ""
    answer: bytes = b""


class Worker:
    """Simulated worker.

    Attributes:
        host: Its entry in the host list.
        reachable: Whether calls reach it.
        lose_starts: Number of next starts that take effect but whose answer
            is lost.
        stop_s: Time that a task takes to stop, in seconds.
        leaving: Whether it reports that it is shutting down.
        starts: Starts that took effect: time, task id, attempt.
        overcommits: Number of starts that exceeded the capacity. They are
            accepted all the same, so that tests can detect that the owner
            overcommitted the worker.
    """

    def __init__(self, host: events.Host) -> None:
        self.host = host
        self.epoch = 0
        self.owner = ""
        self.claim = 0
        self.lease_until = 0.0
        self.lease_s = 0.0
        self.reachable = True
        self.lose_starts = 0
        self.stop_s = 0.0
        self.leaving = host.leaving
        self.runs: dict[tuple[str, int], Run] = {}
        self.starts: list[tuple[float, str, int]] = []
        self.overcommits = 0

    def used(self) -> resources.Resources:
        """Returns the resources that running tasks use."""
        running = [run for run in self.runs.values() if not run.ended]
        return resources.total([run.task.needs for run in running])

    def handle_claim(
        self, effect: effects.ClaimWorker, owner: str, now: float
    ) -> events.Event:
        """Accepts a claim, or rejects it if its epoch is stale."""
        worker_id = self.host.worker_id
        if effect.epoch < self.epoch:
            return events.WorkerLost(
                now, worker_id, effect.epoch, codes.Code.STALE_EPOCH
            )
        self.epoch = effect.epoch
        self.owner = owner
        self.claim += 1
        self.lease_s = effect.lease_s
        self.lease_until = now + effect.lease_s
        held = [
            events.ReportedTask(
                run.task, run.ended, run.ok, run.detail, run.answer
            )
            for run in self.runs.values()
        ]
        return events.WorkerClaimed(
            now, worker_id, self.epoch, self.claim, self.leaving, held
        )

    def handle_start(self, effect: effects.StartTask, now: float) -> codes.Code:
        """Starts a task; returns UNKNOWN if the answer is lost."""
        task = effect.task
        key = (task.task_id, task.attempt)
        if effect.epoch != self.epoch or effect.claim != self.claim:
            return codes.Code.STALE_EPOCH
        if effect.start_before <= now:
            return codes.Code.DEADLINE_PASSED
        if key not in self.runs:
            self.runs[key] = Run(task, now)
            self.starts.append((now, *key))
            if not self.used().fits(self.host.capacity):
                self.overcommits += 1
        if self.lose_starts > 0:
            self.lose_starts -= 1
            return codes.Code.UNKNOWN
        return codes.Code.OK

    def end(
        self,
        key: tuple[str, int],
        ok: bool,
        detail: str = "",
        checkpoint: bytes = b"",
    ) -> events.TaskEnded | None:
        """Ends a running task; returns its report, or None if not running."""
        run = self.runs.get(key)
        if run is None or run.ended:
            return None
        run.ended = True
        run.ok = ok
        run.detail = detail
        run.answer = f"answer of {key[0]}".encode() if ok else checkpoint
        return self.report(key)

    def checkpoint(
        self, key: tuple[str, int], now: float
    ) -> events.TaskEnded | None:
        """Stops a running task; its checkpoint is its run time in seconds."""
        run = self.runs.get(key)
        if run is None:
            return None
        ran_s = float(run.task.checkpoint or 0.0) + now - run.started_at
        return self.end(key, False, "checkpointed", str(ran_s).encode())

    def report(self, key: tuple[str, int]) -> events.TaskEnded | None:
        """Returns the report of an ended task, or None if it is running."""
        run = self.runs[key]
        if not run.ended:
            return None
        return events.TaskEnded(
            0.0,
            self.host.worker_id,
            self.epoch,
            *key,
            run.ok,
            run.detail,
            run.answer,
        )

    def forget(self, key: tuple[str, int]) -> None:
        """Deletes the record of an ended task."""
        run = self.runs.get(key)
        if run is not None and run.ended:
            del self.runs[key]

    def sweep(self, now: float) -> list[events.TaskEnded]:
        """Ends all tasks if the lease has expired; returns their reports."""
        if not self.lease_until or self.lease_until >= now:
            return []
        reports = [
            self.end(key, False, "lease expired") for key in list(self.runs)
        ]
        return [report for report in reports if report is not None]
