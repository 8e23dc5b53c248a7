"""Tests of encoding and decoding the platform's formats."""

import base64
import json

from hypothesis import given
from hypothesis import strategies
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_platform import advicecalls
from mimosaridge_platform import calls
from mimosaridge_platform import configurations
from mimosaridge_platform import daemonsettings
from mimosaridge_platform import discovery
from mimosaridge_platform import storecalls
from mimosaridge_platform import submissions
from mimosaridge_platform import workercalls

SETTINGS = """
nodeName=front-a-1
ip=10.1.0.5
zone=a
# a comment=ignored
listenAddresses.front=10.1.0.5:8686
listenAddresses.readiness=10.1.0.5:8689
internalPortRange=7180,7195
seedNodes=10.1.0.5:8688,10.2.0.25:8688
platform.address=10.200.1.7:8683
recommendation=10.200.1.9:8683
bounds.maxHoldMs=6000
some.newField=1
"""
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
    max_leaves=8,
)
QUEUE = model.Queue("q", "host", "/q/", "registry")


class SettingsTest(testtools.TestCase):
    """Parsing of the settings file."""

    def test_fields_are_parsed_and_unknown_ones_ignored(self):
        settings = daemonsettings.decode(daemonsettings.parse(SETTINGS))
        self.assertEqual("10.1.0.5:8686", settings.front)
        self.assertEqual(7180, settings.peer_port)
        self.assertEqual(("10.1.0.5", "10.2.0.25"), settings.seeds)
        self.assertEqual(6.0, settings.bounds.longest_lease_s)

    def test_error_names_a_missing_field(self):
        text = SETTINGS.replace("zone=a\n", "")
        error = self.assertRaises(
            daemonsettings.InvalidError,
            daemonsettings.decode,
            daemonsettings.parse(text),
        )
        self.assertIn("zone", str(error))

    def test_error_names_all_missing_fields(self):
        error = self.assertRaises(
            daemonsettings.InvalidError, daemonsettings.decode, {"zone": "a"}
        )
        for name in ("nodeName", "ip", "platform.address"):
            self.assertIn(name, str(error))

    def test_time_limits_are_converted_to_seconds(self):
        text = SETTINGS + "bounds.graceS=3\nbounds.stopTimeoutMs=400\n"
        settings = daemonsettings.decode(daemonsettings.parse(text))
        self.assertEqual(3.0, settings.bounds.grace_s)
        self.assertEqual(0.4, settings.bounds.stop_s)

    def test_negative_time_limit_is_rejected(self):
        text = SETTINGS.replace("maxHoldMs=6000", "maxHoldMs=-1")
        self.assertRaises(
            daemonsettings.InvalidError,
            daemonsettings.decode,
            daemonsettings.parse(text),
        )


class StoreTest(testtools.TestCase):
    """Requests to the store and its responses."""

    def test_write_request_has_conditions_values_and_removals(self):
        request = storecalls.write({"a": 0}, {"a": b"x"}, ("b",), 7)
        self.assertEqual(
            {
                "expectedRevision": [{"key": "a", "revision": 0}],
                "writes": [{"key": "a", "value": "eA==", "lease": 7}],
                "remove": ["b"],
            },
            json.loads(request.body),
        )

    def test_write_responses_are_decoded(self):
        written = storecalls.decode_write_answer(200, b'{"revision":5}')
        self.assertEqual(storecalls.WriteResult.WRITTEN, written.result)
        self.assertEqual(5, written.revision)
        for status in (429, 503):
            answer = storecalls.decode_write_answer(status, b"")
            self.assertEqual(storecalls.WriteResult.NOT_APPLIED, answer.result)
        body = b'{"items":[{"key":"a","revision":0}]}'
        conflict = storecalls.decode_write_answer(412, body)
        self.assertIsNone(conflict.items[0].value)

    def test_changes_include_removed_keys(self):
        value = base64.b64encode(b"x").decode()
        body = json.dumps(
            {
                "events": [
                    {"key": "a", "value": value, "revision": 3},
                    {"key": "b", "revision": 4, "deleted": True},
                ],
                "atRevision": 4,
            }
        ).encode()
        page = storecalls.decode_changes(body)
        self.assertEqual([b"x", None], [item.value for item in page.items])
        self.assertEqual(4, page.revision)

    @given(JSON)
    def test_malformed_response_is_rejected(self, value):
        for decode in (storecalls.decode_page, storecalls.decode_changes):
            try:
                decode(json.dumps(value).encode())
            except calls.MalformedError:
                continue
            self.assertIsInstance(value, dict)


class WorkerTest(testtools.TestCase):
    """Requests to workers, their responses and their registrations."""

    def test_statuses_and_reasons_map_to_results(self):
        for reason, expected in (
            ("fence", events.CallResult.FENCED),
            ("old", events.CallResult.REFUSED),
            ("late", events.CallResult.REFUSED),
            ("room", events.CallResult.REFUSED),
            ("ticket", events.CallResult.NO_TICKET),
        ):
            body = json.dumps({"clockMs": 1, "reason": reason}).encode()
            outcome, _ = workercalls.decode_result(409, body)
            self.assertEqual(expected, outcome)
        for status, expected in (
            (200, events.CallResult.DONE),
            (421, events.CallResult.OTHER_INCARNATION),
            (503, events.CallResult.UNHEALTHY),
            (500, events.CallResult.UNKNOWN),
        ):
            outcome, _ = workercalls.decode_result(status, b"")
            self.assertEqual(expected, outcome)

    def test_start_request_omits_unset_fields(self):
        order = effects.Start(
            "w", "ip:1", 7, "j.0.0.1", 3, "text", "", "", 9, 5
        )
        request = workercalls.start(order)
        self.assertEqual(
            {
                "task": "j.0.0.1",
                "run": 3,
                "taskSpec": "text",
                "deadlineMs": 9,
                "fencingToken": 7_000_005,
            },
            json.loads(request.body),
        )
        self.assertEqual("w", request.headers["X-Expected-Instance"])

    def test_further_columns_of_running_rows_are_ignored(self):
        body = json.dumps(
            {
                "clockMs": 5,
                "born": 2,
                "running": [["j.0.0.0", 1, "c", 40, 12, 7]],
                "ended": [[3, "j.0.0.1", 1, "done", ""]],
            }
        ).encode()
        answer = workercalls.decode_hold_answer(body)
        self.assertEqual(
            model.RunReport("j.0.0.0", 1, "c", 40, 12.0), answer.running[0]
        )
        self.assertEqual(3, answer.ended[0].number)

    def test_pace_request_has_the_percentage(self):
        request = workercalls.pace(
            effects.Pace("w", "10.0.0.1:80", 7, "j.0.0.1", 3, 20, 5)
        )
        self.assertEqual("/v1/pace", request.path)
        self.assertEqual(
            {
                "task": "j.0.0.1",
                "run": 3,
                "percent": 20,
                "fencingToken": 7_000_005,
            },
            json.loads(request.body),
        )
        self.assertEqual("w", request.headers["X-Expected-Instance"])

    @given(JSON)
    def test_malformed_registration_is_rejected(self, value):
        body = json.dumps(value).encode()
        self.assertRaises(
            calls.MalformedError, discovery.decode, "servers/w", body
        )

    def test_unknown_worker_state_is_rejected(self):
        fields = {
            "service": "s",
            "address": "10.0.0.1:1",
            "zone": "z",
            "state": "asleep",
            "capacity": {"cpu": 1, "memoryRequestMb": 1, "gpus": 0},
        }
        body = json.dumps(fields).encode()
        self.assertRaises(
            calls.MalformedError, discovery.decode, "servers/w", body
        )
        fields["state"] = "draining"
        entry = discovery.decode("servers/w", json.dumps(fields).encode())
        self.assertTrue(entry.draining)
        self.assertEqual("w", entry.worker_id)


class SubmissionTest(testtools.TestCase):
    """Submitted jobs, configurations and advice."""

    def test_job_is_decoded(self):
        body = json.dumps(
            {
                "taskSpec": "text",
                "steps": [
                    {
                        "count": 4,
                        "cpu": 500,
                        "memoryRequestMb": 256,
                        "estimatedMs": 900,
                        "affinity": "r1-3",
                    },
                    {"count": 2, "cpu": 2000, "after": [0], "gang": True},
                ],
            }
        ).encode()
        job = submissions.decode("0" * 16, QUEUE, "a", body, 5.0)
        self.assertEqual(resources.Resources(500, 256, 0), job.steps[0].needs)
        self.assertEqual("r1-3", job.steps[0].rack)
        self.assertEqual((0,), job.steps[1].after)
        self.assertEqual(0.9, job.steps[0].estimate_s)
        self.assertEqual(QUEUE, job.accepted_under)

    def test_step_that_depends_on_itself_is_rejected(self):
        body = b'{"taskSpec":"","steps":[{"count":1,"after":[0]}]}'
        self.assertRaises(
            calls.MalformedError,
            submissions.decode,
            "0" * 16,
            QUEUE,
            "a",
            body,
            0.0,
        )

    @given(JSON)
    def test_malformed_job_is_rejected(self, value):
        body = json.dumps(value).encode()
        self.assertRaises(
            calls.MalformedError,
            submissions.decode,
            "0" * 16,
            QUEUE,
            "a",
            body,
            0.0,
        )

    def test_configuration_is_decoded(self):
        body = json.dumps(
            {
                "version": 9,
                "routes": [
                    {
                        "name": "r",
                        "host": "h",
                        "prefix": "/p/",
                        "service": "s",
                        "recommendation": {
                            "decisionMs": 500,
                            "periodMs": 2,
                            "validityMs": 2000,
                        },
                    }
                ],
                "tenants": [
                    {
                        "name": "a",
                        "apiKeys": ["k"],
                        "weight": 7,
                        "upperLimit": {"cpu": 5, "gpus": 2},
                    }
                ],
            }
        ).encode()
        configuration = configurations.decode(body)
        self.assertEqual("a", configuration.team_of_secret["k"])
        self.assertEqual(0.5, configuration.queues["r"].advice.decision_s)
        self.assertEqual(2, configuration.teams["a"].upper_limit.accelerators)
        queue = configuration.queue_of("h", "/p/0123")
        self.assertEqual("r", queue.name)
        self.assertIsNone(configuration.queue_of("other", "/p/0123"))

    def test_longest_matching_prefix_selects_the_queue(self):
        queues = {
            name: model.Queue(name, "h", prefix, "s")
            for name, prefix in (("short", "/p/"), ("long", "/p/x/"))
        }
        configuration = model.Configuration(1, queues, {}, {})
        self.assertEqual("long", configuration.queue_of("h", "/p/x/1").name)

    def test_advice_is_decoded(self):
        body = b'{"good":[["w1","t1"]],"validityMs":3000}'
        self.assertEqual(({"w1": "t1"}, 3.0), advicecalls.decode(body))
        self.assertRaises(calls.MalformedError, advicecalls.decode, b"{}")

    def test_evacuated_zone_is_parsed_from_the_key(self):
        self.assertEqual("z", configurations.evacuated_zone("op/evacuate/z"))
        self.assertEqual("", configurations.evacuated_zone("op/config"))
