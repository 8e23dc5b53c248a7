"""HTTP API for callers, operators and analysts."""

import base64
from collections.abc import Callable
import json
import time
from typing import Any

import bottle
import pydantic

from mimosaridge_core import codes
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import plans
from mimosaridge_core import works
from mimosaridge_daemon import codec
from mimosaridge_daemon import engine as engines
from mimosaridge_daemon import schemas

REPLY_TIMEOUT_S = 10.0
ANSWER_GRACE_S = 3600.0
STATUSES = {
    codes.Code.OK: 200,
    codes.Code.ACCEPTED: 202,
    codes.Code.BAD_INPUT: 400,
    codes.Code.TOO_LARGE: 413,
    codes.Code.BAD_KEY: 401,
    codes.Code.WRONG_TEAM: 403,
    codes.Code.NOT_ALLOWED: 403,
    codes.Code.NOT_FOUND: 404,
    codes.Code.ID_EXPIRED: 410,
    codes.Code.CONFLICT: 409,
    codes.Code.PLAN_EXPIRED: 409,
    codes.Code.UNKNOWN: 502,
    codes.Code.TASK_FAILED: 422,
}
DEFAULT_STATUS = 503


class RefusedError(Exception):
    """Raised for a request rejected before it reaches the reducer."""

    def __init__(self, code: codes.Code, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


def _json_response(code: codes.Code, detail: str = "", **fields: Any) -> str:
    bottle.response.status = STATUSES.get(code, DEFAULT_STATUS)
    bottle.response.content_type = "application/json"
    content = {
        "code": int(code),
        "name": code.name,
        "detail": detail or codes.MEANINGS[code],
    }
    return json.dumps(content | fields)


def _bearer_token() -> str:
    header = bottle.request.headers.get("Authorization", "")
    return header.removeprefix("Bearer ").strip()


class Api:
    """Maps HTTP requests to events of the engine."""

    def __init__(self, engine: engines.Engine, largest_body: int) -> None:
        self.engine = engine
        self.largest_body = largest_body
        self.app = bottle.Bottle()
        routes: tuple[tuple[str, str, Callable], ...] = (
            ("POST", "/v1/work", self.submit),
            ("POST", "/v1/work/<work_id>/cancel", self.cancel),
            ("GET", "/v1/explain/<work_id>", self.explain),
            ("GET", "/v1/standing/<work_id>", self.standing),
            ("GET", "/v1/history", self.history),
            ("GET", "/v1/status", self.status),
            ("POST", "/v1/plans", self.plan),
            ("POST", "/v1/confirmations", self.confirm),
            ("GET", "/v1/configuration/<section>", self.section),
            ("GET", "/v1/audit", self.audit),
            ("GET", "/healthz", self.health),
        )
        for method, path, handler in routes:
            self.app.route(path, method, self._handle_refusals(handler))
        self.app.default_error_handler = self._error_response

    def _handle_refusals(
        self, handler: Callable[..., str]
    ) -> Callable[..., str]:
        def call(**arguments: str) -> str:
            try:
                return handler(**arguments)
            except RefusedError as refused:
                return _json_response(refused.code, refused.detail)

        return call

    def _error_response(self, error: bottle.HTTPError) -> str:
        code = codes.Code.NOT_FOUND
        if error.status_code not in (404, 405):
            code = codes.Code.BAD_INPUT
        return _json_response(code, str(error.body))

    def _parse_body(self, kind: type[schemas.Strict]) -> Any:
        length = bottle.request.content_length
        if length > self.largest_body:
            raise RefusedError(
                codes.Code.TOO_LARGE,
                f"The body has {length} bytes; the limit is"
                f" {self.largest_body}.",
            )
        data = bottle.request.environ["wsgi.input"].read(max(length, 0))
        if len(data) < length:
            raise RefusedError(
                codes.Code.BAD_INPUT,
                f"The body is truncated: got {len(data)} of {length} bytes.",
            )
        try:
            return kind.model_validate_json(data)
        except pydantic.ValidationError as error:
            raise RefusedError(
                codes.Code.BAD_INPUT, _format_errors(error)
            ) from error

    def _call(
        self, make_event: Callable[[float, int], events.Event], timeout_s: float
    ) -> effects.Reply:
        reply = self.engine.call(make_event, timeout_s)
        if reply is None:
            raise RefusedError(
                codes.Code.UNKNOWN,
                f"No answer within {timeout_s:.0f} s; run explain to check.",
            )
        return reply

    def submit(self) -> str:
        """Submits a request and returns its answer, or accepts a job."""
        submission = self._parse_body(schemas.Submission)
        token = _bearer_token()
        try:
            work = submission.to_work(time.time())
        except ValueError as error:
            raise RefusedError(codes.Code.BAD_INPUT, str(error)) from error
        waits_for_answer = work.kind == works.Kind.REQUEST
        timeout_s = work.start_before - time.time() + ANSWER_GRACE_S
        reply = self._call(
            lambda now, handle: events.WorkSubmitted(
                now, handle, token, submission.queue, work, waits_for_answer
            ),
            max(timeout_s, REPLY_TIMEOUT_S),
        )
        fields = {"work_id": work.work_id}
        if isinstance(reply.payload, works.Outcome):
            answer = reply.payload.answer
            fields["answer"] = base64.b64encode(answer).decode()
        return _json_response(reply.code, reply.detail, **fields)

    def cancel(self, work_id: str) -> str:
        """Cancels work."""
        token = _bearer_token()
        reply = self._call(
            lambda now, handle: events.WorkQueried(
                now, handle, token, work_id, cancel=True
            ),
            REPLY_TIMEOUT_S,
        )
        return _json_response(reply.code, reply.detail)

    def explain(self, work_id: str) -> str:
        """Returns the decision records of a piece of work."""
        token = _bearer_token()
        reply = self._call(
            lambda now, handle: events.ExplainRequested(
                now, handle, token, work_id
            ),
            REPLY_TIMEOUT_S,
        )
        return self._payload_response(reply, "explanation")

    def standing(self, work_id: str) -> str:
        """Returns the state of the tasks of some work and why they wait."""
        token = _bearer_token()
        reply = self._call(
            lambda now, handle: events.StandingRequested(
                now, handle, token, work_id
            ),
            REPLY_TIMEOUT_S,
        )
        return self._payload_response(reply, "standings")

    def history(self) -> str:
        """Returns a page of work, most recent first."""
        token = _bearer_token()
        try:
            query = schemas.HistoryQuery.model_validate(
                dict(bottle.request.query)
            )
        except pydantic.ValidationError as error:
            raise RefusedError(
                codes.Code.BAD_INPUT, _format_errors(error)
            ) from error
        reply = self._call(
            lambda now, handle: events.HistoryRequested(
                now,
                handle,
                token,
                query.team,
                query.outcome,
                query.before or now + 1,
                query.limit,
            ),
            REPLY_TIMEOUT_S,
        )
        return self._payload_response(reply, "history")

    def status(self) -> str:
        """Returns the status of the deployment."""
        token = _bearer_token()
        reply = self._call(
            lambda now, handle: events.StatusRequested(now, handle, token),
            REPLY_TIMEOUT_S,
        )
        return self._payload_response(reply, "status")

    def plan(self) -> str:
        """Returns the plan of a requested change."""
        intent = self._parse_body(schemas.Intent)
        change = _to_change(intent)
        token = _bearer_token()
        reply = self._call(
            lambda now, handle: events.PlanRequested(
                now, handle, token, change
            ),
            REPLY_TIMEOUT_S,
        )
        return self._payload_response(reply, "plan")

    def confirm(self) -> str:
        """Applies a planned change."""
        confirmation = self._parse_body(schemas.Confirmation)
        change = _to_change(confirmation.intent)
        token = _bearer_token()
        reply = self._call(
            lambda now, handle: events.PlanConfirmed(
                now,
                handle,
                token,
                change,
                confirmation.base_number,
                confirmation.expires_at,
                confirmation.change_id,
            ),
            REPLY_TIMEOUT_S,
        )
        conflict = isinstance(reply.payload, plans.Plan)
        return self._payload_response(
            reply, "plan" if conflict else "confirmed"
        )

    def section(self, section: str) -> str:
        """Returns a section of the configuration."""
        token = _bearer_token()
        reply = self._call(
            lambda now, handle: events.ConfigRequested(
                now, handle, token, section
            ),
            REPLY_TIMEOUT_S,
        )
        return self._payload_response(reply, "section")

    def audit(self) -> str:
        """Returns the latest page of the audit log, or an earlier one."""
        token = _bearer_token()
        page = bottle.request.query.page
        reply = self._call(
            lambda now, handle: events.AuditRequested(now, handle, token, page),
            REPLY_TIMEOUT_S,
        )
        return self._payload_response(reply, "audit")

    def health(self) -> str:
        """Returns the readiness status for the platform's load balancer."""
        if self.engine.state.draining:
            return _json_response(codes.Code.DRAINING)
        return _json_response(codes.Code.OK)

    def _payload_response(self, reply: effects.Reply, name: str) -> str:
        payload = reply.payload
        if payload is None:
            return _json_response(reply.code, reply.detail)
        content = codec.adapter(type(payload)).dump_python(payload, mode="json")
        return _json_response(reply.code, reply.detail, **{name: content})


def _to_change(intent: schemas.Intent) -> Any:
    try:
        return intent.to_change()
    except pydantic.ValidationError as error:
        raise RefusedError(
            codes.Code.BAD_INPUT, _format_errors(error)
        ) from error
    except ValueError as error:
        raise RefusedError(codes.Code.BAD_INPUT, str(error)) from error


def _format_errors(error: pydantic.ValidationError) -> str:
    return "; ".join(
        f"{'.'.join(str(part) for part in item['loc']) or 'body'}:"
        f" {item['msg']}"
        for item in error.errors()
    )
