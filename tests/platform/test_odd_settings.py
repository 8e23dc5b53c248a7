"""Odd configurations, advice and settings: decoded, or refused as malformed."""

from hypothesis import given
from hypothesis import strategies
import oddvalues
import testtools

from mimosaridge_platform import advicecalls
from mimosaridge_platform import calls
from mimosaridge_platform import configurations
from mimosaridge_platform import daemonsettings

ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/p/",
    "service": "s",
    "priority": 1,
    "maxAttempts": 3,
    "stretch": 2,
    "targetLatencyMs": 500,
    "recommendation": {"decisionMs": 500, "periodMs": 2, "validityMs": 2000},
}
TEAM = {
    "name": "a",
    "apiKeys": ["k"],
    "weight": 7,
    "upperLimit": {"cpu": 5, "memoryRequestMb": 6, "gpus": 2},
}
CONFIGURATION = {
    "version": 9,
    "routes": [ROUTE],
    "tenants": [TEAM],
    "limits": {"maxBodyBytes": 100_000},
}
ADVICE = {"good": [["w1", "t1"]], "validityMs": 3000}
SETTINGS = {
    "nodeName": "front-a-1",
    "ip": "10.1.0.5",
    "zone": "a",
    "listenAddresses.front": "10.1.0.5:8686",
    "listenAddresses.readiness": "10.1.0.5:8689",
    "internalPortRange": "7180,7195",
    "platform.address": "10.200.1.7:8683",
    "recommendation": "10.200.1.9:8683",
    "limits.cpuShare": "0.5",
    "limits.cores": "2",
    "bounds.maxHoldMs": "6000",
    "bounds.graceS": "6",
}


class ConfigurationTest(testtools.TestCase):
    def _assert_malformed(self, fields):
        body = oddvalues.encode(fields)
        self.assertRaises(calls.MalformedError, configurations.decode, body)

    def test_number_out_of_range_is_malformed(self):
        for value in oddvalues.NUMBERS:
            self._assert_malformed(CONFIGURATION | {"version": value})
            for name in ("priority", "maxAttempts"):
                route = ROUTE | {name: value}
                self._assert_malformed(CONFIGURATION | {"routes": [route]})
            for name in TEAM["upperLimit"]:
                limit = TEAM["upperLimit"] | {name: value}
                team = TEAM | {"upperLimit": limit}
                self._assert_malformed(CONFIGURATION | {"tenants": [team]})
            if value == 0.5:
                continue
            for name in ("stretch", "targetLatencyMs"):
                route = ROUTE | {name: value}
                self._assert_malformed(CONFIGURATION | {"routes": [route]})
            team = TEAM | {"weight": value}
            self._assert_malformed(CONFIGURATION | {"tenants": [team]})

    def test_deep_nesting_is_malformed(self):
        deep = oddvalues.nested(oddvalues.DEPTH)
        for fields in (deep, CONFIGURATION | {"new": deep}):
            self._assert_malformed(fields)

    @given(strategies.binary() | oddvalues.bodies(CONFIGURATION))
    def test_any_bytes_are_a_configuration_or_malformed(self, body):
        try:
            configurations.decode(body)
        except calls.MalformedError:
            return


class AdviceTest(testtools.TestCase):
    def test_odd_answer_is_malformed(self):
        odd = [{"validityMs": 3000}, {"good": []}, oddvalues.nested(100_000)]
        odd += [ADVICE | {"good": rows} for rows in ("ab", ["ab"], [["w"]])]
        odd += [ADVICE | {"good": [[[], "t"]]}, ADVICE | {"good": {"w": "t"}}]
        odd += [
            ADVICE | {"validityMs": value}
            for value in oddvalues.NUMBERS
            if value != 0.5
        ]
        for fields in odd:
            body = oddvalues.encode(fields)
            self.assertRaises(calls.MalformedError, advicecalls.decode, body)

    @given(strategies.binary() | oddvalues.bodies(ADVICE))
    def test_any_bytes_are_advice_or_malformed(self, body):
        try:
            tickets, valid_s = advicecalls.decode(body)
        except calls.MalformedError:
            return
        self.assertTrue(0 <= valid_s < float("inf"))
        for worker_id, ticket in tickets.items():
            self.assertIsInstance(worker_id, str)
            self.assertIsInstance(ticket, str)


class SettingsTest(testtools.TestCase):
    def _assert_invalid(self, fields):
        self.assertRaises(
            daemonsettings.InvalidError, daemonsettings.decode, fields
        )

    def test_odd_number_or_address_is_invalid(self):
        for value in ("nan", "inf", "-1", "1e400", "x", "9" * 5000):
            for name in (
                "limits.cpuShare",
                "limits.cores",
                "bounds.maxHoldMs",
                "internalPortRange",
            ):
                self._assert_invalid(SETTINGS | {name: value})
        for value in ("10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1", "h:x"):
            for name in (*daemonsettings.LISTENING, *daemonsettings.CALLED):
                self._assert_invalid(SETTINGS | {name: value})

    @given(
        strategies.dictionaries(
            strategies.sampled_from(sorted(SETTINGS)),
            strategies.text(max_size=8)
            | strategies.sampled_from(("nan", "inf", "1e400", "-1", "0")),
        )
    )
    def test_any_fields_are_settings_or_invalid(self, changed):
        try:
            daemonsettings.decode(SETTINGS | changed)
        except daemonsettings.InvalidError:
            return
