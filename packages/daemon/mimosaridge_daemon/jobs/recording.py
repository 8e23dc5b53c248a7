"""Writes of the owner: progress of jobs, its fleet, removals."""

from collections.abc import Callable
import time
from typing import Any

import gevent
import logbook

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import storage
from mimosaridge_platform import storecalls

LOG = logbook.Logger("recording")
# A write without answer is made again this often before it counts as failed.
ATTEMPTS = 2


class Recorder:
    """Carries out the owner's writes under the condition of its claim.

    Each item is written over the revision that is known, so that a write that
    is carried out late can't undo a later one.
    """

    def __init__(
        self,
        store: storage.Store,
        post: Callable[[Any], None],
        displaced: Callable[[int, str], None],
        stored: Callable[[dict], None],
    ) -> None:
        self.store = store
        self.post = post
        self.displaced = displaced
        self.stored = stored
        self.fleet_revision = 0

    def see_fleet(self, revision: int) -> None:
        """Notes the revision of the stored fleet."""
        self.fleet_revision = max(self.fleet_revision, revision)

    def write(self, token: int, effect: effects.WriteProgress) -> None:
        """Writes a batch; what it holds is encoded at once."""
        expected = {documents.OWNER: token}
        writes = {}
        copies = {}
        for job_id, (progress, revision) in effect.items.items():
            key = documents.PROGRESS + job_id
            expected[key] = revision
            writes[key] = documents.encode(progress)
            copies[job_id] = documents.decode_progress(writes[key])
        removed = tuple(
            prefix + job_id
            for job_id in effect.removed
            for prefix in (
                documents.JOBS,
                documents.PROGRESS,
                documents.CANCELS,
            )
        )
        if effect.fleet is not None:
            expected[documents.FLEET] = self.fleet_revision
            writes[documents.FLEET] = documents.encode(effect.fleet)
        gevent.spawn(
            self._write, effect.batch, expected, writes, removed, copies
        )

    def _write(
        self,
        batch: int,
        expected: dict[str, int],
        writes: dict[str, bytes],
        removed: tuple[str, ...],
        copies: dict,
    ) -> None:
        request = storecalls.write(expected, writes, removed)
        for _ in range(ATTEMPTS):
            answer = self.store.call(request)
            if answer.is_err():
                continue
            written = storecalls.decode_write_answer(*answer.ok_value)
            if written.result == storecalls.WriteResult.WRITTEN:
                revisions = dict.fromkeys(copies, written.revision)
                if documents.FLEET in writes:
                    self.see_fleet(written.revision)
                self._report(batch, revisions, copies)
                return
            if written.result == storecalls.WriteResult.UNKNOWN:
                status, body = answer.ok_value
                LOG.error(
                    "the store's answer to a write can't be read",
                    extra={
                        "batch": batch,
                        "status": status,
                        "answer": body[:200].decode(errors="replace"),
                    },
                )
            if written.result == storecalls.WriteResult.CONFLICT:
                self._settle(batch, expected, writes, written, copies)
                return
        self.post(events.ProgressWritten(time.monotonic(), batch, {}, False))

    def _settle(
        self,
        batch: int,
        expected: dict[str, int],
        writes: dict[str, bytes],
        written: storecalls.WriteAnswer,
        copies: dict,
    ) -> None:
        """Tells an earlier try of this write from another owner's write."""
        now_there = {item.key: item for item in written.items}
        owner = now_there.get(documents.OWNER)
        if owner is not None and owner.revision != expected[documents.OWNER]:
            self.displaced(
                expected[documents.OWNER],
                "another daemon has claimed ownership",
            )
            return
        revisions = {}
        for job_id in copies:
            key = documents.PROGRESS + job_id
            item = now_there.get(key)
            if item is not None:
                revisions[job_id] = item.revision
        if documents.FLEET in now_there:
            self.see_fleet(now_there[documents.FLEET].revision)
        same = all(
            key in now_there and now_there[key].value == value
            for key, value in writes.items()
            if key in expected
        )
        if not same:
            LOG.warning(
                "progress differs from what was expected; written again",
                extra={"batch": batch, "revisions": revisions},
            )
            self.post(
                events.ProgressWritten(
                    time.monotonic(), batch, revisions, False
                )
            )
            return
        self._report(batch, revisions, copies)

    def _report(
        self, batch: int, revisions: dict[str, int], copies: dict
    ) -> None:
        self.post(
            events.ProgressWritten(time.monotonic(), batch, revisions, True)
        )
        self.stored({job: (copies[job], revisions[job]) for job in revisions})
