"""Odd entries among those of the workers: decoded, or refused as malformed."""

import math

from hypothesis import given
from hypothesis import strategies
import oddvalues
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import model
from mimosaridge_platform import calls
from mimosaridge_platform import discovery
from mimosaridge_platform import wiretypes

ENTRY = {
    "service": "registry",
    "address": "10.0.0.1:8080",
    "zone": "zone-a",
    "version": "3",
    "slots": 4,
    "state": "draining",
    "capacity": {"cpu": 4000, "memoryRequestMb": 512, "gpus": 1},
    "labels": ["kind-a", "r1"],
    "born": 1_790_000_000_000,
    "remainingMs": 1500,
    "sequence": 7,
}
ADDRESSES = (
    "10.0.0.1:0",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    "10.0.0.1:x",
    "10.0.0.1:",
    "10.0.0.1:\u0668\u0660",
    "10.0.0.1:" + "1" * 5000,
    "10.0.0.1",
    "10.0.0.256:80",
    "0.0.0.0:80",
    "[::1]:80",
    "::1:80",
    "worker:80",
    "10.0.0.1:80/path",
    "user@10.0.0.1:80",
    "",
    " ",
)


def _decode(fields, key="servers/w1"):
    return discovery.decode(key, oddvalues.encode(fields))


class WorkerEntryTest(testtools.TestCase):
    """Entries of workers with one odd field."""

    def _assert_malformed(self, fields, key="servers/w1"):
        self.assertRaises(calls.MalformedError, _decode, fields, key)

    def test_whole_entry_is_decoded(self):
        self.assertEqual(
            model.WorkerEntry(
                "w1",
                1_790_000_000_000,
                "registry",
                "10.0.0.1:8080",
                "zone-a",
                resources.Resources(4000, 512, 1),
                ("kind-a", "r1"),
                True,
                1.5,
            ),
            _decode(ENTRY),
        )

    def test_unknown_fields_are_ignored(self):
        for value in (oddvalues.nested(50), 10**400, True, None):
            entry = _decode(ENTRY | {"newField": value})
            self.assertEqual(_decode(ENTRY), entry)

    def test_address_without_usable_port_or_ip_is_malformed(self):
        for address in ADDRESSES:
            self._assert_malformed(ENTRY | {"address": address})

    def test_number_out_of_range_is_malformed(self):
        for value in oddvalues.NUMBERS:
            for name in ("born", "remainingMs"):
                self._assert_malformed(ENTRY | {name: value})
            for name in ENTRY["capacity"]:
                capacity = ENTRY["capacity"] | {name: value}
                self._assert_malformed(ENTRY | {"capacity": capacity})

    def test_empty_service_or_zone_is_malformed(self):
        for name in ("service", "zone"):
            self._assert_malformed(ENTRY | {name: ""})

    def test_missing_field_or_field_of_another_type_is_malformed(self):
        read = ("service", "address", "zone", "state", "capacity")
        for name in read:
            fields = {key: ENTRY[key] for key in ENTRY if key != name}
            self._assert_malformed(fields)
        for name in (*read, "labels", "born", "remainingMs"):
            for value in oddvalues.OTHER_TYPES:
                self._assert_malformed(ENTRY | {name: value})

    def test_deep_nesting_is_malformed(self):
        for name in ENTRY:
            self._assert_malformed(ENTRY | {name: oddvalues.nested(100_000)})
        self.assertRaises(
            calls.MalformedError,
            discovery.decode,
            "servers/w1",
            oddvalues.DEEP_JSON,
        )

    def test_id_that_fits_no_header_is_malformed(self):
        for name in ("", "a\nb", "w\u00e9", "a b"):
            self._assert_malformed(ENTRY, f"servers/{name}")

    @given(strategies.binary() | oddvalues.bodies(ENTRY))
    def test_any_bytes_are_an_entry_or_malformed(self, value):
        try:
            entry = discovery.decode("servers/w1", value)
        except calls.MalformedError:
            return
        self.assertTrue(entry.backend and entry.zone)
        self.assertIn(int(entry.address.rpartition(":")[2]), range(1, 65_536))
        self.assertIn(entry.born, range(wiretypes.MAX_TIME_MS + 1))
        self.assertTrue(0 <= entry.remaining_s < math.inf)
        for name in resources.NAMES:
            amount = getattr(entry.capacity, name)
            self.assertIn(amount, range(wiretypes.MAX_AMOUNT + 1))
