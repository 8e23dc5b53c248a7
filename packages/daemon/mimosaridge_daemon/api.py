"""HTTP interface for callers, operators and analysts."""

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

OPERATOR_TIMEOUT_S = 10.0
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
OTHER_STATUS = 503


class RefusedError(Exception):
    """Input that is refused before it reaches the reducer."""

    def __init__(self, code: codes.Code, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


def _answer(code: codes.Code, detail: str = "", **fields: Any) -> str:
    bottle.response.status = STATUSES.get(code, OTHER_STATUS)
    bottle.response.content_type = "application/json"
    content = {
        "code": int(code),
        "name": code.name,
        "detail": detail or codes.MEANINGS[code],
    }
    return json.dumps(content | fields)


def _token() -> str:
    header = bottle.request.headers.get("Authorization", "")
    return header.removeprefix("Bearer ").strip()


class Api:
    """Routes to the engine."""

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
            self.app.route(path, method, self._guarded(handler))
        self.app.default_error_handler = self._plain_error

    def _guarded(self, handler: Callable[..., str]) -> Callable[..., str]:
        def call(**arguments: str) -> str:
            try:
                return handler(**arguments)
            except RefusedError as refused:
                return _answer(refused.code, refused.detail)

        return call

    def _plain_error(self, error: bottle.HTTPError) -> str:
        code = codes.Code.NOT_FOUND
        if error.status_code not in (404, 405):
            code = codes.Code.BAD_INPUT
        return _answer(code, str(error.body))

    def _read(self, kind: type[schemas.Strict]) -> Any:
        length = bottle.request.content_length
        if length > self.largest_body:
            raise RefusedError(
                codes.Code.TOO_LARGE,
                f"The body has {length} bytes; at most {self.largest_body}"
                " are taken.",
            )
        data = bottle.request.environ["wsgi.input"].read(max(length, 0))
        if len(data) < length:
            raise RefusedError(codes.Code.BAD_INPUT, "The body was cut short.")
        try:
            return kind.model_validate_json(data)
        except pydantic.ValidationError as error:
            raise RefusedError(
                codes.Code.BAD_INPUT, _problems(error)
            ) from error

    def _call(
        self, make: Callable[[float, int], events.Event], timeout_s: float
    ) -> effects.Reply:
        reply = self.engine.call(make, timeout_s)
        if reply is None:
            raise RefusedError(
                codes.Code.UNKNOWN, "No answer came in time; ask explain."
            )
        return reply

    def submit(self) -> str:
        """Takes a request and returns its answer, or takes a job."""
        submission = self._read(schemas.Submission)
        token = _token()
        try:
            work = submission.to_work(time.time())
        except ValueError as error:
            raise RefusedError(codes.Code.BAD_INPUT, str(error)) from error
        waits = work.kind == works.Kind.REQUEST
        patience_s = work.start_before - time.time() + ANSWER_GRACE_S
        reply = self._call(
            lambda now, handle: events.WorkSubmitted(
                now, handle, token, submission.queue, work, waits
            ),
            max(patience_s, OPERATOR_TIMEOUT_S),
        )
        fields = {"work_id": work.work_id}
        if isinstance(reply.payload, works.Outcome):
            answer = reply.payload.answer
            fields["answer"] = base64.b64encode(answer).decode()
        return _answer(reply.code, reply.detail, **fields)

    def cancel(self, work_id: str) -> str:
        """Cancels work."""
        token = _token()
        reply = self._call(
            lambda now, handle: events.WorkQueried(
                now, handle, token, work_id, cancel=True
            ),
            OPERATOR_TIMEOUT_S,
        )
        return _answer(reply.code, reply.detail)

    def explain(self, work_id: str) -> str:
        """Returns the records of some work."""
        token = _token()
        reply = self._call(
            lambda now, handle: events.ExplainRequested(
                now, handle, token, work_id
            ),
            OPERATOR_TIMEOUT_S,
        )
        return self._typed(reply, "explanation")

    def standing(self, work_id: str) -> str:
        """Returns how some work stands, and why tasks of it wait."""
        token = _token()
        reply = self._call(
            lambda now, handle: events.StandingRequested(
                now, handle, token, work_id
            ),
            OPERATOR_TIMEOUT_S,
        )
        return self._typed(reply, "standings")

    def history(self) -> str:
        """Returns a page of work, the latest first."""
        token = _token()
        try:
            wish = schemas.HistoryQuery.model_validate(
                dict(bottle.request.query)
            )
        except pydantic.ValidationError as error:
            raise RefusedError(
                codes.Code.BAD_INPUT, _problems(error)
            ) from error
        reply = self._call(
            lambda now, handle: events.HistoryRequested(
                now,
                handle,
                token,
                wish.team,
                wish.outcome,
                wish.before or now + 1,
                wish.limit,
            ),
            OPERATOR_TIMEOUT_S,
        )
        return self._typed(reply, "history")

    def status(self) -> str:
        """Returns how the deployment stands."""
        token = _token()
        reply = self._call(
            lambda now, handle: events.StatusRequested(now, handle, token),
            OPERATOR_TIMEOUT_S,
        )
        return self._typed(reply, "status")

    def plan(self) -> str:
        """Returns the plan of an intent."""
        intent = self._read(schemas.Intent)
        change = _to_change(intent)
        token = _token()
        reply = self._call(
            lambda now, handle: events.PlanRequested(
                now, handle, token, change
            ),
            OPERATOR_TIMEOUT_S,
        )
        return self._typed(reply, "plan")

    def confirm(self) -> str:
        """Applies a plan."""
        confirmation = self._read(schemas.Confirmation)
        change = _to_change(confirmation.intent)
        token = _token()
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
            OPERATOR_TIMEOUT_S,
        )
        conflict = isinstance(reply.payload, plans.Plan)
        return self._typed(reply, "plan" if conflict else "confirmed")

    def section(self, section: str) -> str:
        """Returns a section of the configuration."""
        token = _token()
        reply = self._call(
            lambda now, handle: events.ConfigRequested(
                now, handle, token, section
            ),
            OPERATOR_TIMEOUT_S,
        )
        return self._typed(reply, "section")

    def audit(self) -> str:
        """Returns the latest changes, or an earlier page of them."""
        token = _token()
        page = bottle.request.query.page
        reply = self._call(
            lambda now, handle: events.AuditRequested(now, handle, token, page),
            OPERATOR_TIMEOUT_S,
        )
        return self._typed(reply, "audit")

    def health(self) -> str:
        """Tells the platform's balancer whether to send callers here."""
        if self.engine.state.draining:
            return _answer(codes.Code.DRAINING)
        return _answer(codes.Code.OK)

    def _typed(self, reply: effects.Reply, name: str) -> str:
        payload = reply.payload
        if payload is None:
            return _answer(reply.code, reply.detail)
        content = codec.adapter(type(payload)).dump_python(payload, mode="json")
        return _answer(reply.code, reply.detail, **{name: content})


def _to_change(intent: schemas.Intent) -> Any:
    try:
        return intent.to_change()
    except pydantic.ValidationError as error:
        raise RefusedError(codes.Code.BAD_INPUT, _problems(error)) from error
    except ValueError as error:
        raise RefusedError(codes.Code.BAD_INPUT, str(error)) from error


def _problems(error: pydantic.ValidationError) -> str:
    return "; ".join(
        f"{'.'.join(str(part) for part in item['loc']) or 'body'}:"
        f" {item['msg']}"
        for item in error.errors()
    )
