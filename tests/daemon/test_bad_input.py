"""Invalid input is answered with a result code and stops no process."""

import dataclasses
import io
import json
import typing

import hypothesis
from hypothesis import strategies
import testtools

from mimosaridge_core import changes
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import effects
from mimosaridge_core import resources
from mimosaridge_daemon import api
from mimosaridge_daemon import engine as engines

LARGEST_BODY = 10_000
PATHS = ("/v1/work", "/v1/plans", "/v1/confirmations")
VALID_WORK = {
    "work_id": "01890000-0000-7000-8000-000000000000",
    "team": "a",
    "start_before": 1e9,
}
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=20,
)
VALID_ARGUMENTS = {
    str: "a",
    int: 1,
    float: 1.0,
    resources.Resources: {"slots": 1},
    configuration.Config: {},
}
INVALID_ARGUMENTS = {
    str: ("a b", "x" * 200, "/", 7),
    int: (-1, 10**30, 1.5, float("nan")),
    float: (-1.0, 1e30, float("nan"), 1e999, "x"),
    resources.Resources: ({"slots": -1}, {"slots": 10**30}, {"none": 1}, 5),
    configuration.Config: ("x", 5, {"number": "x"}, {"zones_out": 5}),
}


class FakeEngine:
    """Stands in for the engine; answers every event with OK."""

    def __init__(self):
        self.events = []

    def call(self, make_event, timeout_s):
        self.events.append(make_event(0.0, 1))
        return effects.Reply(1, codes.Code.OK)


class ApiTest(testtools.TestCase):
    """Tests of the HTTP API."""

    def setUp(self):
        super().setUp()
        self.engine = FakeEngine()
        self.app = api.Api(self.engine, LARGEST_BODY).app

    def _post(self, path, body, **overrides):
        environment = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": path,
            "SERVER_NAME": "127.0.0.1",
            "SERVER_PORT": "80",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            "wsgi.errors": io.StringIO(),
            "wsgi.url_scheme": "http",
        }
        statuses = []
        response = self.app(
            environment | overrides, lambda status, *_: statuses.append(status)
        )
        content = json.loads(b"".join(response))
        self.assertIn(content["code"], list(codes.Code))
        self.assertNotEqual("", content["detail"])
        return statuses[0].partition(" ")[0], content["name"]

    @hypothesis.given(strategies.sampled_from(PATHS), strategies.binary())
    def test_bytes_that_are_not_json_are_bad_input(self, path, body):
        self.assertEqual(("400", "BAD_INPUT"), self._post(path, body))

    @hypothesis.given(strategies.sampled_from(PATHS), JSON)
    def test_json_that_does_not_fit_the_schema_is_bad_input(
        self, path, content
    ):
        body = json.dumps(content).encode()[:LARGEST_BODY]
        self.assertEqual(("400", "BAD_INPUT"), self._post(path, body))

    @hypothesis.given(
        strategies.sampled_from(
            ("count", "urgency", "start_before", "declared_run_s", "needs")
        ),
        strategies.sampled_from((-1, -1e30, 10**30, float("nan"), 1e999, "x")),
    )
    def test_values_out_of_range_are_bad_input(self, name, value):
        body = json.dumps(VALID_WORK | {name: value}).encode()
        self.assertEqual(("400", "BAD_INPUT"), self._post("/v1/work", body))

    @hypothesis.given(strategies.data())
    def test_change_with_one_invalid_argument_is_bad_input(self, data):
        name = data.draw(strategies.sampled_from(sorted(changes.REGISTRY)))
        kinds = typing.get_type_hints(changes.REGISTRY[name])
        arguments = {
            field.name: VALID_ARGUMENTS[kinds[field.name]]
            for field in dataclasses.fields(changes.REGISTRY[name])
            if kinds[field.name] in VALID_ARGUMENTS
        }
        body = json.dumps({"change": name, "arguments": arguments}).encode()
        self.assertEqual(("200", "OK"), self._post("/v1/plans", body))
        invalid_name = data.draw(strategies.sampled_from(sorted(arguments)))
        invalid_value = data.draw(
            strategies.sampled_from(INVALID_ARGUMENTS[kinds[invalid_name]])
        )
        arguments[invalid_name] = invalid_value
        body = json.dumps({"change": name, "arguments": arguments}).encode()
        self.assertEqual(("400", "BAD_INPUT"), self._post("/v1/plans", body))

    def test_service_with_negative_needs_is_bad_input(self):
        arguments = {
            "service": "s",
            "team": "a",
            "replicas": 1,
            "needs": {"cpu_millis": -1},
        }
        for overrides in ({}, {"needs": {}, "replicas": 10**9}):
            intent = {
                "change": "put-service",
                "arguments": arguments | overrides,
            }
            body = json.dumps(intent).encode()
            self.assertEqual(
                ("400", "BAD_INPUT"), self._post("/v1/plans", body)
            )

    def test_oversized_body_is_refused(self):
        body = b" " * (LARGEST_BODY + 1)
        for path in PATHS:
            self.assertEqual(("413", "TOO_LARGE"), self._post(path, body))

    def test_deep_nesting_is_bad_input(self):
        body = b"[" * 4000 + b"]" * 4000
        for path in PATHS:
            self.assertEqual(("400", "BAD_INPUT"), self._post(path, body))

    def test_missing_or_wrong_content_length_is_bad_input(self):
        for length in ("", "-5", "x", "12345"):
            answer = self._post("/v1/work", b"{}", CONTENT_LENGTH=length)
            self.assertIn(answer[1], ("BAD_INPUT", "TOO_LARGE"))

    def test_unknown_path_is_not_found(self):
        self.assertEqual(("404", "NOT_FOUND"), self._post("/v1/none", b""))

    def test_valid_work_reaches_the_engine(self):
        answer = self._post("/v1/work", json.dumps(VALID_WORK).encode())
        self.assertEqual(("200", "OK"), answer)
        self.assertEqual(1, len(self.engine.events))


class EngineTest(testtools.TestCase):
    """Tests of the engine's event loop."""

    def test_failing_effect_does_not_affect_other_effects(self):
        engine = engines.Engine.__new__(engines.Engine)
        counters = []

        class Counter:
            count = staticmethod(counters.append)

        engine.metrics = Counter
        executed = []

        def fail(effect):
            raise ValueError("invalid effect")

        engine.handlers = {
            effects.Shutdown: fail,
            effects.DropWorker: executed.append,
        }
        drop = effects.DropWorker("w")
        engine._execute(effects.Shutdown())
        engine._execute(drop)
        self.assertEqual([drop], executed)
        self.assertEqual(["effect.failed"], counters)
