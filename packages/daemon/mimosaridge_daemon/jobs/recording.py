"""Writes of the owner: progress of jobs, the fleet, removals of jobs."""

from collections.abc import Callable
import time
from typing import Any

import gevent
import logbook

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_daemon import clocks
from mimosaridge_daemon import guarding
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import storage
from mimosaridge_platform import storecalls

LOG = logbook.Logger("recording")
# Attempts at a write without answer before it is reported as failed.
MAX_ATTEMPTS = 2


class Recorder:
    """Makes the owner's writes, conditional on its fencing token.

    Each item is compared and swapped on its known revision, so that a delayed
    write can't overwrite a later one.
    """

    def __init__(
        self,
        store: storage.Store,
        post: Callable[[Any], None],
        on_displaced: Callable[[int, str], None],
        on_stored: Callable[[dict], None],
        on_confirmed: Callable[[int, float], None] = lambda token, asked_at: (
            None
        ),
    ) -> None:
        self.store = store
        self.post = post
        self.on_displaced = on_displaced
        self.on_stored = on_stored
        self.on_confirmed = on_confirmed
        self.fleet_revision = 0

    def update_fleet_revision(self, revision: int) -> None:
        """Records the revision of the stored fleet."""
        self.fleet_revision = max(self.fleet_revision, revision)

    def write(self, token: int, effect: effects.WriteProgress) -> None:
        """Starts a write whose contents are encoded before this returns.

        After an exception the write is reported as failed, so that it is
        repeated.
        """
        try:
            self._start(token, effect)
        except Exception:
            guarding.record("write", batch=effect.batch)
            self._report_failure(effect.batch)

    def _start(self, token: int, effect: effects.WriteProgress) -> None:
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
        for job_id in effect.removed_cancels:
            expected[documents.JOBS + job_id] = 0
        removed += tuple(
            documents.CANCELS + job_id for job_id in effect.removed_cancels
        )
        if effect.fleet is not None:
            expected[documents.FLEET] = self.fleet_revision
            writes[documents.FLEET] = documents.encode(effect.fleet)
        gevent.spawn(
            self._write_or_report,
            effect.batch,
            expected,
            writes,
            removed,
            copies,
        )

    def store_run_times(self, effect: effects.StoreRunTimes) -> None:
        """Stores what was learned; a write that fails is not repeated."""
        value = documents.encode(effect.run_times)
        request = storecalls.write(
            {documents.OWNER: effect.token}, {documents.RUN_TIMES: value}
        )
        gevent.spawn(guarding.attempt, "run times", self.store.call, request)

    def _write_or_report(self, batch: int, *args: Any) -> None:
        try:
            self._write(batch, *args)
        except Exception:
            guarding.record("write", batch=batch)
            self._report_failure(batch)

    def _report_failure(self, batch: int) -> None:
        self.post(events.ProgressWritten(time.monotonic(), batch, {}, False))

    def _write(
        self,
        batch: int,
        expected: dict[str, int],
        writes: dict[str, bytes],
        removed: tuple[str, ...],
        copies: dict,
    ) -> None:
        request = storecalls.write(expected, writes, removed)
        for _ in range(MAX_ATTEMPTS):
            asked_at = clocks.since_boot_s()
            answer = self.store.call(request)
            if answer.is_err():
                continue
            written = storecalls.decode_write_answer(*answer.ok_value)
            if written.result == storecalls.WriteResult.WRITTEN:
                self.on_confirmed(expected[documents.OWNER], asked_at)
                revisions = dict.fromkeys(copies, written.revision)
                if documents.FLEET in writes:
                    self.update_fleet_revision(written.revision)
                self._report(batch, revisions, copies, written.revision)
                return
            if written.result == storecalls.WriteResult.UNKNOWN:
                status, body = answer.ok_value
                LOG.error(
                    "unexpected answer of the store to a write",
                    extra={
                        "batch": batch,
                        "status": status,
                        "answer": body[:200].decode(errors="replace"),
                    },
                )
            if written.result == storecalls.WriteResult.CONFLICT:
                self._resolve_conflict(batch, expected, writes, written, copies)
                return
        self._report_failure(batch)

    def _resolve_conflict(
        self,
        batch: int,
        expected: dict[str, int],
        writes: dict[str, bytes],
        written: storecalls.WriteAnswer,
        copies: dict,
    ) -> None:
        """Handles a conflict.

        Its cause is a newer owner, an earlier attempt of the same write or
        other stored progress, over which the write must be repeated.
        """
        current = {item.key: item for item in written.items}
        owner = current.get(documents.OWNER)
        if owner is not None and owner.revision != expected[documents.OWNER]:
            self.on_displaced(
                expected[documents.OWNER],
                "another daemon has claimed ownership",
            )
            return
        revisions = {}
        for job_id in copies:
            key = documents.PROGRESS + job_id
            item = current.get(key)
            if item is not None:
                revisions[job_id] = item.revision
        if documents.FLEET in current:
            self.update_fleet_revision(current[documents.FLEET].revision)
        is_same = all(
            key in current and current[key].value == value
            for key, value in writes.items()
            if key in expected
        )
        if not is_same:
            LOG.warning(
                "stored progress differs from that expected; retrying",
                extra={"batch": batch, "revisions": revisions},
            )
            self.post(
                events.ProgressWritten(
                    time.monotonic(), batch, revisions, False
                )
            )
            return
        # An earlier write with the same contents may have stored them, so the
        # revision of this write is unknown.
        self._report(batch, revisions, copies, 0)

    def _report(
        self,
        batch: int,
        revisions: dict[str, int],
        copies: dict,
        revision: int,
    ) -> None:
        self.post(
            events.ProgressWritten(
                time.monotonic(), batch, revisions, True, revision
            )
        )
        self.on_stored(
            {job: (copies[job], revisions[job]) for job in revisions}
        )
