"""HTTP API for callers: submissions, states and cancellations of jobs."""

import http
import re
import time

import bottle
import gevent
import result

from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import settings
from mimosaridge_daemon import admission
from mimosaridge_daemon import codec
from mimosaridge_daemon import guarding
from mimosaridge_daemon import serving
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import engine as engines
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import calls
from mimosaridge_platform import storecalls
from mimosaridge_platform import submissions

# Deadline of a request that has none.
DEFAULT_DEADLINE_MS = 3000
# Time reserved for the response to reach the caller before its deadline.
ANSWER_MARGIN_S = 0.3
# Retry-After of refused requests: outages of the store last seconds, and
# callers retry only a few times.
RETRY_AFTER_S = 2
# Pause before a write without answer is retried.
WRITE_RETRY_S = 0.1
# Most cancellations of unknown jobs that are kept at a time: callers may send
# any number of them.
MAX_EARLY_CANCELS = 10_000
JOB_ID = re.compile(submissions.JOB_ID)
DEADLINE = re.compile(r"[0-9]{1,9}")


def _header(name: str) -> str:
    """Returns a header; bytes that are no UTF-8 are replaced."""
    variable = "HTTP_" + name.upper().replace("-", "_")
    raw = bottle.request.environ.get(variable, "")
    return raw.encode("latin1").decode(errors="replace")


def _read_body(largest: int) -> bytes:
    """Returns the body of the request, up to a size in bytes; 0 for the usual.

    Raises:
        serving.BodyRefusedError: It is larger, or there is no memory for it.
    """
    reader = bottle.request.environ.get(serving.BODY)
    if reader is None:
        return bottle.request.body.read()
    return reader.read(largest or admission.BODY_BYTES)


class Front:
    """The HTTP API for callers.

    Attributes:
        app: The WSGI application.
    """

    def __init__(self, engine: engines.Engine) -> None:
        self.engine = engine
        self.app = bottle.Bottle()
        self.app.route(
            "/<path:path>", ["GET", "POST", "DELETE", "PUT"], self._serve
        )

    def _serve(self, path: str) -> bytes:
        started_at = time.monotonic()
        try:
            body = self._answer("/" + path)
        except bottle.HTTPResponse:
            raise
        except Exception:
            # The caller asks again: what was asked for may have been done.
            guarding.record("request", path=path)
            body = self._empty_response(http.HTTPStatus.GATEWAY_TIMEOUT)
        telemetry.CALL_SECONDS.labels("caller").observe(
            time.monotonic() - started_at
        )
        telemetry.ANSWERS.labels(
            bottle.request.method, bottle.response.status_code
        ).inc()
        bottle.response.content_type = calls.JSON
        return body

    def _answer(self, path: str) -> bytes:
        are_recent = self.engine.confirmations.wait_until_recent()
        configuration = self.engine.state.configuration
        if configuration is None or not self.engine.reader.has_job_table:
            return self._refuse("configuration or table of jobs not read yet")
        host = _header("Host").partition(":")[0]
        queue = configuration.queue_of(host, path)
        if queue is None:
            return self._disallow(http.HTTPStatus.NOT_FOUND, are_recent)
        secret = _header(calls.KEY_HEADER)
        team = configuration.team_of_secret.get(secret, "")
        if not team and not queue.public:
            return self._disallow(http.HTTPStatus.UNAUTHORIZED, are_recent)
        name = path.removeprefix(queue.prefix)
        method = bottle.request.method
        if not are_recent and not self._may_answer(method, name):
            return self._refuse_by_age()
        if not name and method == "GET":
            return self._pending(queue)
        if not JOB_ID.fullmatch(name):
            return self._disallow(http.HTTPStatus.NOT_FOUND, are_recent)
        if method == "POST":
            return self._submit(queue, team, name, configuration.largest_body)
        if method == "GET":
            return self._state(queue, team, name)
        if method == "DELETE":
            return self._cancel(queue, team, name)
        return self._empty_response(http.HTTPStatus.METHOD_NOT_ALLOWED)

    def _disallow(self, status: http.HTTPStatus, are_recent: bool) -> bytes:
        """Refuses what the settings don't allow if these are recent."""
        return (
            self._empty_response(status)
            if are_recent
            else self._refuse_by_age()
        )

    def _refuse_by_age(self) -> bytes:
        age_s = self.engine.confirmations.age_s()
        return self._refuse(f"settings were last confirmed {age_s:.1f} s ago")

    def _may_answer(self, method: str, job_id: str) -> bool:
        """Returns whether to answer a request by settings that may be old.

        While the store is out of reach, states of jobs are still shown, and so
        is what was done before.
        """
        if not self.engine.confirmations.is_outage():
            return False
        entry = self.engine.state.table.get(job_id)
        if method == "POST":
            return entry is not None
        if method == "DELETE":
            return entry is not None and entry.state in model.FINAL_STATES
        return True

    def _empty_response(self, status: http.HTTPStatus) -> bytes:
        bottle.response.status = int(status)
        return b""

    def _refuse(self, reason: str) -> bytes:
        """Responds that the request has had and will have no effect."""
        bottle.response.set_header("Retry-After", str(RETRY_AFTER_S))
        self.engine.log("refused", reason=reason, path=bottle.request.path)
        return self._empty_response(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _in_doubt(self, job_id: str, reason: str) -> bytes:
        self.engine.log("in-doubt", job=job_id, reason=reason)
        return self._empty_response(http.HTTPStatus.GATEWAY_TIMEOUT)

    def _deadline(self) -> float:
        """Returns the time by which to respond, monotonic seconds."""
        text = _header(calls.DEADLINE_HEADER)
        wait_ms = DEFAULT_DEADLINE_MS
        if DEADLINE.fullmatch(text):
            wait_ms = int(text)
        return time.monotonic() + wait_ms / 1000 - ANSWER_MARGIN_S

    def _pending(self, queue: model.Queue) -> bytes:
        count = sum(
            entry.job.queue == queue.name
            and entry.state == model.JobState.QUEUED
            for entry in self.engine.state.table.values()
        )
        return submissions.encode_pending(count)

    def _submit(
        self, queue: model.Queue, team: str, job_id: str, largest: int
    ) -> bytes:
        if job_id in self.engine.state.table:
            return b""
        if largest and bottle.request.content_length > largest:
            return self._empty_response(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )
        if self._is_table_full(bottle.request.content_length):
            return self._refuse("the table of jobs is full")
        try:
            body = _read_body(largest)
        except serving.BodyRefusedError as error:
            if error.is_too_large:
                return self._empty_response(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
                )
            return self._refuse("no memory for the body")
        try:
            job = submissions.decode(job_id, queue, team, body, time.time())
        except calls.MalformedError as error:
            self.engine.log("malformed", job=job_id, reason=str(error))
            return self._empty_response(http.HTTPStatus.BAD_REQUEST)
        key, cancel_key = documents.JOBS + job_id, documents.CANCELS + job_id
        written = self._write(
            storecalls.write(
                {key: 0, cancel_key: 0}, {key: documents.encode(job)}
            )
        )
        if written is None:
            return self._in_doubt(job_id, "no answer from the store")
        if written.result == storecalls.WriteResult.WRITTEN:
            self.engine.log("accepted", job=job_id, queue=queue.name, team=team)
            self.engine.announce(
                events.JobAccepted(time.monotonic(), job, written.revision),
                messages.JobStored(job, written.revision),
            )
            return b""
        if written.result != storecalls.WriteResult.CONFLICT:
            return self._refuse("the store does not accept writes")
        if written.has(key):
            self.engine.log("accepted-again", job=job_id, queue=queue.name)
            return b""
        if written.has(cancel_key):
            return self._refuse("the job was cancelled before it was stored")
        return self._in_doubt(job_id, "a conflict with unknown items")

    def _is_table_full(self, size: int) -> bool:
        """Returns whether a job of a size would fill all daemons' memory.

        Small jobs, which most callers send, may use some more of it.
        """
        most = admission.TABLE_BYTES
        if size > admission.SMALL_BODY_BYTES:
            most = int(most * (1 - admission.SMALL_SHARE))
        return self.engine.state.table_bytes + size > most

    def _write(self, request: calls.Request) -> storecalls.WriteAnswer | None:
        """Retries a write until its result is known or the deadline passes.

        Returns:
            The answer, or None if the write may have been done.
        """
        deadline = self._deadline()
        in_doubt = False
        not_applied = storecalls.WriteAnswer(storecalls.WriteResult.NOT_APPLIED)
        if not self.engine.store.is_answering():
            return not_applied
        while True:
            left = deadline - time.monotonic()
            if left <= 0:
                return None if in_doubt else not_applied
            answer = self.engine.store.call(
                request, min(left, self.engine.store_timeout_s)
            )
            if answer.is_ok():
                written = storecalls.decode_write_answer(*answer.ok_value)
                if written.result == storecalls.WriteResult.UNKNOWN:
                    in_doubt = True
                elif written.result != storecalls.WriteResult.NOT_APPLIED:
                    return written
            elif answer.err_value.is_sent:
                in_doubt = True
            if not in_doubt:
                return not_applied
            if time.monotonic() + WRITE_RETRY_S >= deadline:
                return None
            gevent.sleep(WRITE_RETRY_S)

    def _state(self, queue: model.Queue, team: str, job_id: str) -> bytes:
        found = self._find(job_id)
        if found.is_err():
            return self._refuse(found.err_value)
        if found.ok_value is None:
            return self._empty_response(http.HTTPStatus.GONE)
        if not self._may_see(queue, team, found.ok_value):
            return self._empty_response(http.HTTPStatus.UNAUTHORIZED)
        entry = self.engine.state.table.get(job_id)
        if entry is None:
            return submissions.encode_state(model.JobState.QUEUED)
        return submissions.encode_state(entry.state)

    def _may_see(self, queue: model.Queue, team: str, job: model.Job) -> bool:
        """Returns whether a caller may see and cancel a job through a queue.

        Without a key, a job of a queue that asks for one is out of reach, also
        through the prefix of a public queue.
        """
        if team:
            return True
        own = settings.queue_of(self.engine.state, job)
        if own is None or own.public:
            return True
        # The queue may have been renamed and made public since.
        return (own.host, own.prefix) == (queue.host, queue.prefix)

    def _find(self, job_id: str) -> result.Result[model.Job | None, str]:
        """Returns the job, None if there is none, or why that is unknown."""
        entry = self.engine.state.table.get(job_id)
        if entry is not None:
            return result.Ok(entry.job)
        key = documents.JOBS + job_id
        answer = self.engine.store.call(storecalls.read(key))
        if answer.is_err() or answer.ok_value[0] not in (200, 404):
            return result.Err("the store does not answer")
        status, body = answer.ok_value
        if status == 404:
            return result.Ok(None)
        try:
            item = storecalls.decode_item(body)
            job = documents.decode_job(item.value, job_id)
        except (calls.MalformedError, codec.MalformedError) as error:
            self.engine.log("unreadable", job=job_id, reason=str(error))
            return result.Err("the stored job can't be decoded")
        self.engine.post(
            events.JobAccepted(time.monotonic(), job, item.revision)
        )
        return result.Ok(job)

    def _cancel(self, queue: model.Queue, team: str, job_id: str) -> bytes:
        """Stores a cancellation, also of a job that isn't stored.

        Its submission may be under way: the store then refuses it.
        """
        found = self._find(job_id)
        if found.is_err():
            return self._refuse(found.err_value)
        job = found.ok_value
        if job is not None and not self._may_see(queue, team, job):
            return self._empty_response(http.HTTPStatus.UNAUTHORIZED)
        entry = self.engine.state.table.get(job_id)
        if entry is not None and entry.state in model.FINAL_STATES:
            return b""
        if job is None and self._are_early_cancels_full():
            return self._refuse("too many cancellations of unknown jobs")
        key = documents.CANCELS + job_id
        written = self._write(storecalls.write({}, {key: b"{}"}))
        if written is None:
            return self._in_doubt(job_id, "no answer from the store")
        if written.result != storecalls.WriteResult.WRITTEN:
            return self._refuse("the store does not accept writes")
        self.engine.log("cancelled", job=job_id, known=job is not None)
        self.engine.announce(
            events.JobCancelled(time.monotonic(), job_id, written.revision),
            messages.CancelStored(job_id, written.revision),
        )
        if job is None:
            return self._empty_response(http.HTTPStatus.GONE)
        return b""

    def _are_early_cancels_full(self) -> bool:
        return len(self.engine.state.early_cancels) >= MAX_EARLY_CANCELS
