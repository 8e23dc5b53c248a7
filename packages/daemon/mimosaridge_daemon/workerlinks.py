"""HTTP calls to workers: claim, start, stop and long polling of events."""

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
MAX_CONNECTIONS = 8
CALL_TIMEOUT_S = 2.0
POLL_TIMEOUT_S = 5.0
POLL_MARGIN_S = 1.5
RETRY_DELAY_S = 0.5
CLAIM_PERIOD_S = 5.0
LEASE_MARGIN_S = 3.0
CONNECT_ERRORS = ("NewConnectionError", "ConnectTimeoutError")
REFUSAL_CODES = {
    409: codes.Code.STALE_EPOCH,
    410: codes.Code.DEADLINE_PASSED,
    507: codes.Code.NO_ROOM,
}


class Link:
    """Calls to one worker under one epoch."""

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
        self.client = clients.Client(effect.url, MAX_CONNECTIONS)
        self.claim_lock = lock.RLock()
        self.cursor = -1
        self.pending_forgets: list[tuple[str, int]] = []
        self.closed = False
        self.claim_period_end = 0.0

    def run(self) -> None:
        """Claims the worker and polls it until the link is closed."""
        while not self.closed:
            if self.cursor < 0 and not self.claim():
                self._wait_before_claim()
            elif self.cursor >= 0:
                self._poll()
        self.client.close()

    def _wait_before_claim(self) -> None:
        """Waits before the next claim, and longer than a lease periodically.

        A claim without a response may have renewed the worker's leases. They
        are only known to have expired after a lease period without such calls.
        """
        now = time.time()
        if now < self.claim_period_end:
            gevent.sleep(RETRY_DELAY_S)
            return
        gevent.sleep(self.lease_s + LEASE_MARGIN_S)
        self.claim_period_end = time.time() + CLAIM_PERIOD_S

    def claim(self) -> bool:
        """Claims the worker and reports the tasks that it runs.

        Returns:
            Whether the worker accepted the claim.
        """
        with self.claim_lock:
            body = {
                "owner": self.owner,
                "epoch": self.epoch,
                "lease_s": self.lease_s,
            }
            response = self.client.call("POST", "/claim", body, CALL_TIMEOUT_S)
            if response.is_err():
                self._handle_claim_failure(response.err_value)
                return False
            status, content = response.ok_value
            if status != 200:
                self._post_lost(codes.Code.STALE_EPOCH)
                return False
            self.claim_period_end = 0.0
            self.cursor = content["cursor"]
            self._post_claimed(content)
            return True

    def _handle_claim_failure(self, reason: str) -> None:
        now = time.time()
        if reason.startswith(CONNECT_ERRORS):
            self.claim_period_end = now + CLAIM_PERIOD_S
            return
        self.claim_period_end = self.claim_period_end or now + CLAIM_PERIOD_S
        self._post_lost(codes.Code.WORKER_UNREACHABLE)

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

    def _post_lost(self, code: codes.Code) -> None:
        if not self.closed:
            now = time.time()
            unreachable = code == codes.Code.WORKER_UNREACHABLE
            last_call_at = now if unreachable else 0.0
            self.post(
                events.WorkerLost(
                    now, self.worker_id, self.epoch, code, last_call_at
                )
            )

    def _poll(self) -> None:
        polled_at = time.time()
        pending_forgets, self.pending_forgets = self.pending_forgets, []
        body = {
            "epoch": self.epoch,
            "after": self.cursor,
            "wait_s": POLL_TIMEOUT_S,
            "forget": pending_forgets,
        }
        timeout_s = POLL_TIMEOUT_S + POLL_MARGIN_S
        response = self.client.call("POST", "/events", body, timeout_s)
        if self.closed:
            return
        if response.is_err() or response.ok_value[0] != 200:
            epoch_is_stale = response.is_ok()
            self.pending_forgets = pending_forgets + self.pending_forgets
            self.cursor = -1
            self._post_lost(
                codes.Code.STALE_EPOCH
                if epoch_is_stale
                else codes.Code.WORKER_UNREACHABLE
            )
            return
        content = response.ok_value[1]
        if self.cursor >= 0:
            self.cursor = max(self.cursor, content["cursor"])
        now = time.time()
        self.post(
            events.WorkerRenewed(
                now, self.worker_id, self.epoch, polled_at, content["leaving"]
            )
        )
        for item in content["ended"]:
            self.post(self._make_task_ended(now, item))

    def _make_task_ended(self, now: float, item: Any) -> events.TaskEnded:
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
        """Starts a task; claims again if the result is not known."""
        task = effect.task
        body = codec.encode_object(
            epoch=b"%d" % effect.epoch,
            claim=b"%d" % effect.claim,
            start_before=b"%r" % effect.start_before,
            label=codec.encode_document(task),
        )
        response = self.client.call("POST", "/start", body, CALL_TIMEOUT_S)
        code = codes.Code.UNKNOWN
        if response.is_ok():
            status = response.ok_value[0]
            code = codes.Code.OK
            if status != 200:
                code = REFUSAL_CODES.get(status, codes.Code.TASK_FAILED)
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
    """Links of this daemon to all claimed workers."""

    def __init__(
        self, owner: str, post: Callable[[events.Event], None]
    ) -> None:
        self.owner = owner
        self.post = post
        self.links: dict[str, Link] = {}

    def claim(self, effect: effects.ClaimWorker) -> None:
        """Replaces the link to a worker by one under a new epoch."""
        self.drop(effect.worker_id)
        link = Link(effect, self.owner, self.post)
        self.links[effect.worker_id] = link
        gevent.spawn(link.run)

    def drop(self, worker_id: str) -> None:
        """Closes the link to a worker."""
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
        """Tells a worker, with the next poll, to forget a finished task."""
        link = self.links.get(effect.worker_id)
        if link is not None:
            link.pending_forgets.append((effect.task_id, effect.attempt))
