"""Settings are validated, and all problems are reported together."""

import testtools
from testtools import matchers

from mimosaridge_daemon import settings

VALID = {
    "name": "daemon-0",
    "zone": "qld-a",
    "listen_http": "127.0.0.1:8000",
    "listen_peer": "127.0.0.1:8001",
    "store_url": "http://127.0.0.1:9000",
    "hosts_url": "http://127.0.0.1:9001/",
    "peer_secret": "long-enough",
}


class SettingsTest(testtools.TestCase):
    """Tests of loading settings."""

    def test_valid_settings_are_accepted(self):
        loaded = settings.load(VALID)
        self.assertEqual("http://127.0.0.1:9001", loaded.hosts_url)

    def test_all_problems_are_reported_together(self):
        invalid = VALID | {
            "name": "Not A Name",
            "listen_http": "nowhere",
            "peer_secret": "x",
            "unknown": "1",
        }
        error = self.assertRaises(settings.InvalidError, settings.load, invalid)
        for name in ("name", "listen_http", "peer_secret", "unknown"):
            self.assertThat(str(error), matchers.Contains(f"--{name} "))
