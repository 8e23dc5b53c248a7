"""Calls to workers: claims, starts, stops and the regular long poll."""

import base64
from collections.abc import Callable
import time
from typing import Any

import gevent
from gevent import lock
import logbook

from mimosaridge_core import codes
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import works
from mimosaridge_daemon import clients
from mimosaridge_daemon import codec

LOG = logbook.Logger("workerlinks")
CONNECTIONS = 8
CALL_TIMEOUT_S = 2.0
POLL_S = 5.0
POLL_GRACE_S = 1.5
RETRY_S = 0.5
CLAIMS_S = 5.0
QUIET_MARGIN_S = 3.0
NEVER_SENT = ("NewConnectionError", "ConnectTimeoutError")
REFUSALS = {
    409: codes.Code.STALE_EPOCH,
    410: codes.Code.DEADLINE_PASSED,
    507: codes.Code.NO_ROOM,
}


class Link:
    """The calls to one worker under one epoch."""

    def __init__(
        self,
        effect: effects.ClaimWorker,
        owner: str,
        post: Callable[[events.Event], None],
    ) -> None:
        self.worker_id = effect.worker_id
        self.epoch = effect.epoch
        self.lease_s = effect.lease_s
        self.owner = owner
        self.post = post
        self.client = clients.Client(effect.url, CONNECTIONS)
        self.claiming = lock.RLock()
        self.cursor = -1
        self.forgets: list[tuple[str, int]] = []
        self.closed = False
        self.claims_until = 0.0

    def run(self) -> None:
        """Claims the worker and polls it until the link is closed."""
        while not self.closed:
            if self.cursor < 0 and not self.claim():
                self._pause()
            elif self.cursor >= 0:
                self._poll()
        self.client.close()

    def _pause(self) -> None:
        """Waits between claims, and now and then long enough for a lease.

        A claim without an answer may have renewed the worker's leases; they
        can only be known to have ended after a spell without such calls.
        """
        now = time.time()
        if now < self.claims_until:
            gevent.sleep(RETRY_S)
            return
        gevent.sleep(self.lease_s + QUIET_MARGIN_S)
        self.claims_until = time.time() + CLAIMS_S

    def claim(self) -> bool:
        """Claims the worker and reports what it runs."""
        with self.claiming:
            body = {
                "owner": self.owner,
                "epoch": self.epoch,
                "lease_s": self.lease_s,
            }
            answer = self.client.call("POST", "/claim", body, CALL_TIMEOUT_S)
            if answer.is_err():
                self._claim_failed(answer.err_value)
                return False
            status, content = answer.ok_value
            if status != 200:
                self._lost(codes.Code.STALE_EPOCH)
                return False
            self.claims_until = 0.0
            self.cursor = content["cursor"]
            self._post_claimed(content)
            return True

    def _claim_failed(self, reason: str) -> None:
        now = time.time()
        if reason.startswith(NEVER_SENT):
            self.claims_until = now + CLAIMS_S
            return
        self.claims_until = self.claims_until or now + CLAIMS_S
        self._lost(codes.Code.WORKER_UNREACHABLE)

    def _post_claimed(self, content: Any) -> None:
        tasks = [
            events.ReportedTask(
                codec.adapter(works.Task).validate_python(item["label"]),
                item["ended"],
                item["ok"],
                item["detail"],
                base64.b64decode(item["answer"]),
            )
            for item in content["tasks"]
        ]
        self.post(
            events.WorkerClaimed(
                time.time(),
                self.worker_id,
                self.epoch,
                content["claim"],
                content["leaving"],
                tasks,
            )
        )

    def _lost(self, code: codes.Code) -> None:
        if not self.closed:
            now = time.time()
            unreachable = code == codes.Code.WORKER_UNREACHABLE
            called_at = now if unreachable else 0.0
            self.post(
                events.WorkerLost(
                    now, self.worker_id, self.epoch, code, called_at
                )
            )

    def _poll(self) -> None:
        asked_at = time.time()
        forgets, self.forgets = self.forgets, []
        body = {
            "epoch": self.epoch,
            "after": self.cursor,
            "wait_s": POLL_S,
            "forget": forgets,
        }
        timeout_s = POLL_S + POLL_GRACE_S
        answer = self.client.call("POST", "/events", body, timeout_s)
        if self.closed:
            return
        if answer.is_err() or answer.ok_value[0] != 200:
            stale = answer.is_ok()
            self.forgets = forgets + self.forgets
            self.cursor = -1
            self._lost(
                codes.Code.STALE_EPOCH
                if stale
                else codes.Code.WORKER_UNREACHABLE
            )
            return
        content = answer.ok_value[1]
        if self.cursor >= 0:
            self.cursor = max(self.cursor, content["cursor"])
        now = time.time()
        self.post(
            events.WorkerRenewed(
                now, self.worker_id, self.epoch, asked_at, content["leaving"]
            )
        )
        for item in content["ended"]:
            self.post(self._task_ended(now, item))

    def _task_ended(self, now: float, item: Any) -> events.TaskEnded:
        return events.TaskEnded(
            now,
            self.worker_id,
            self.epoch,
            item["task_id"],
            item["attempt"],
            item["ok"],
            item["detail"],
            base64.b64decode(item["answer"]),
        )

    def start(self, effect: effects.StartTask) -> None:
        """Starts a task; a lost answer is settled by a new claim."""
        task = effect.task
        body = codec.encode_object(
            epoch=b"%d" % effect.epoch,
            claim=b"%d" % effect.claim,
            start_before=b"%r" % effect.start_before,
            label=codec.encode_document(task),
        )
        answer = self.client.call("POST", "/start", body, CALL_TIMEOUT_S)
        code = codes.Code.UNKNOWN
        if answer.is_ok():
            status = answer.ok_value[0]
            code = codes.Code.OK
            if status != 200:
                code = REFUSALS.get(status, codes.Code.TASK_FAILED)
        self.post(
            events.StartAnswered(
                time.time(),
                self.worker_id,
                self.epoch,
                task.task_id,
                task.attempt,
                code,
            )
        )
        if code in (codes.Code.UNKNOWN, codes.Code.STALE_EPOCH):
            self.cursor = -1
            self.claim()

    def stop(self, effect: effects.StopTask) -> None:
        """Asks the worker to stop a task."""
        body = {
            "epoch": effect.epoch,
            "task_id": effect.task_id,
            "attempt": effect.attempt,
            "checkpoint": effect.checkpoint,
        }
        self.client.call("POST", "/stop", body, CALL_TIMEOUT_S)


class Links:
    """All links of this daemon."""

    def __init__(
        self, owner: str, post: Callable[[events.Event], None]
    ) -> None:
        self.owner = owner
        self.post = post
        self.links: dict[str, Link] = {}

    def claim(self, effect: effects.ClaimWorker) -> None:
        """Opens a link under a new epoch in place of the old one."""
        self.drop(effect.worker_id)
        link = Link(effect, self.owner, self.post)
        self.links[effect.worker_id] = link
        gevent.spawn(link.run)

    def drop(self, worker_id: str) -> None:
        """Closes a link."""
        link = self.links.pop(worker_id, None)
        if link is not None:
            link.closed = True

    def start(self, effect: effects.StartTask) -> None:
        """Starts a task."""
        link = self.links.get(effect.worker_id)
        if link is not None:
            gevent.spawn(link.start, effect)

    def stop(self, effect: effects.StopTask) -> None:
        """Asks a worker to stop a task."""
        link = self.links.get(effect.worker_id)
        if link is not None:
            gevent.spawn(link.stop, effect)

    def forget(self, effect: effects.ForgetTask) -> None:
        """Has the next poll of a worker let it forget a task."""
        link = self.links.get(effect.worker_id)
        if link is not None:
            link.forgets.append((effect.task_id, effect.attempt))
