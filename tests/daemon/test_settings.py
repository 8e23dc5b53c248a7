"""Settings are checked, and every problem is reported at once."""

import testtools
from testtools import matchers

from mimosaridge_daemon import settings

GOOD = {
    "name": "daemon-0",
    "zone": "qld-a",
    "listen_http": "127.0.0.1:8000",
    "listen_peer": "127.0.0.1:8001",
    "store_url": "http://127.0.0.1:9000",
    "hosts_url": "http://127.0.0.1:9001/",
    "peer_secret": "long-enough",
}


class SettingsTest(testtools.TestCase):
    """Reading settings."""

    def test_good_settings_are_taken(self):
        chosen = settings.load(GOOD)
        self.assertEqual("http://127.0.0.1:9001", chosen.hosts_url)

    def test_every_problem_is_reported_at_once(self):
        bad = GOOD | {
            "name": "Not A Name",
            "listen_http": "nowhere",
            "peer_secret": "x",
            "unknown": "1",
        }
        error = self.assertRaises(settings.InvalidError, settings.load, bad)
        for name in ("name", "listen_http", "peer_secret", "unknown"):
            self.assertThat(str(error), matchers.Contains(f"--{name} "))
