"""Requests are answered by recent settings of operators, or refused."""

import base64
import dataclasses
import io
import json
import time
from urllib import parse

import gevent
import result
import testtools

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import confirming
from mimosaridge_daemon.jobs import engine as engines
from mimosaridge_daemon.jobs import front
from mimosaridge_daemon.jobs import peering
from mimosaridge_platform import daemonsettings
from mimosaridge_platform import storecalls

SETTINGS = {
    "nodeName": "front-1",
    "ip": "127.0.0.1",
    "zone": "zone-a",
    "listenAddresses.front": "127.0.0.1:1",
    "listenAddresses.readiness": "127.0.0.1:1",
    "internalPortRange": "7180,7195",
    "platform.address": "127.0.0.1:1",
}
NO_ANSWER = result.Err(clients.Failure("no answer", is_sent=True))
# The shortest time in which the platform wants a change in force, seconds.
APPLY_S = 2.0
# An outage after which no daemon can know whether its settings are the newest.
OUTAGE_S = 4.0
# Longest wait for something that must happen at some time, seconds.
WAIT_S = 30.0
JOB_ID = "0123456789abcdef"
BODY = b'{"taskSpec":"text","steps":[{"count":1,"cpu":100}]}'
JOB = model.Job(
    JOB_ID,
    "q-a",
    "registry",
    "team",
    "text",
    (model.Step(1, resources.Resources(100, 10, 0)),),
    5.0,
)


def _configuration(version, queues=("a",), keys=("secret",)):
    routes = [
        {
            "name": f"q-{name}",
            "host": "host",
            "prefix": f"/{name}/",
            "service": "registry",
        }
        for name in queues
    ]
    tenants = [{"name": "team", "apiKeys": list(keys)}]
    fields = {"version": version, "routes": routes, "tenants": tenants}
    return json.dumps(fields).encode()


class FakePlatformStore:
    """The platform's store, as the client of a daemon reaches it.

    Attributes:
        cuts: Number of times at which open watches were lost.
        is_silent: Whether no call gets an answer.
        lists: Number of lists of the operators' settings.
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.cuts = 0
        self.is_silent = False
        self.lists = 0

    def put(self, key, value):
        """Writes an item, or removes it if the value is None."""
        self.revision += 1
        row = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self.items[key] = row
        self.events.append(row)

    def exchange(self, method, path, body, headers, timeout_s, connect_s):
        """Takes the place of `clients.Client.exchange`."""
        name, _, text = path.partition("?")
        query = dict(parse.parse_qsl(text))
        gevent.sleep(0.002)
        if self.is_silent:
            gevent.sleep(timeout_s)
            return NO_ANSWER
        if name == "/v1/kv-watch":
            return self._watch(query, time.monotonic() + timeout_s)
        if name == "/v1/kv-range":
            self.lists += query["prefix"] == storecalls.OPERATOR_PREFIX
            rows = self._under(self.items.values(), query["prefix"])
            return self._answer({"items": rows, "hasMore": False})
        if name == "/v1/kv-key":
            row = self.items.get(query["key"])
            return self._answer(row) if row else result.Ok((404, b"{}"))
        self.revision += 1
        return self._answer({"revision": self.revision, "lease": 1})

    def _watch(self, query, deadline):
        until = time.monotonic() + int(query["waitMs"]) / 1000
        cuts = self.cuts
        while time.monotonic() < until:
            if self.is_silent or self.cuts > cuts:
                gevent.sleep(max(0.0, deadline - time.monotonic()))
                return NO_ANSWER
            rows = self._under(self.events, query["prefix"])
            rows = [
                row for row in rows if row["revision"] > int(query["after"])
            ]
            if rows:
                return self._answer({"events": rows})
            gevent.sleep(0.005)
        return self._answer({"events": []})

    def _under(self, rows, prefix):
        return [row for row in rows if row["key"].startswith(prefix)]

    def _answer(self, fields):
        fields = {"atRevision": self.revision} | fields
        return result.Ok((200, json.dumps(fields).encode()))


class ConfirmingTest(testtools.TestCase):
    """A daemon whose watch of the operators' settings gets no answer."""

    def setUp(self):
        super().setUp()
        settings = dataclasses.replace(
            daemonsettings.decode(SETTINGS), peer_port=0
        )
        self.engine = engines.Engine(settings, "secret")
        self.addCleanup(self.engine.peering.links.server.socket.close)
        self.engine.peering.links.start = lambda: None
        self.engine.ownership.leaving = True
        self.platform = FakePlatformStore()
        self.engine.store.client.exchange = self.platform.exchange
        self.platform.put(storecalls.CONFIGURATION_KEY, _configuration(1))
        self._start()
        self.front = front.Front(self.engine)
        self._wait_for(self.engine.is_ready)

    def _start(self):
        spawned = []
        spawn = engines.guarding.spawn

        def keep(task, loop):
            spawned.append(spawn(task, loop))

        self.patch(engines.guarding, "spawn", keep)
        self.engine.start()
        self.addCleanup(gevent.killall, spawned)

    def _wait_for(self, is_met):
        deadline = time.monotonic() + WAIT_S
        while not is_met() and time.monotonic() < deadline:
            gevent.sleep(0.01)
        self.assertTrue(is_met())

    def _request(self, method, path, key="secret"):
        statuses = []
        body = BODY if method == "POST" else b""
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": "host",
            "HTTP_X_KEY": key,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            "wsgi.errors": io.StringIO(),
        }
        self.front.app(environ, lambda status, *args: statuses.append(status))
        return int(statuses[0].split()[0])

    def _lose_watch(self, value):
        """Changes the settings while the open watch gets no answer.

        The peer that relays calls stands still.
        """

        def relay(request, timeout_s):
            gevent.sleep(timeout_s + peering.RELAY_GRACE_S)
            return NO_ANSWER

        self.engine.store.relay = relay
        gevent.sleep(0.1)
        self.platform.cuts += 1
        self.platform.put(storecalls.CONFIGURATION_KEY, value)

    def _answers_after_change(self, method, path):
        """Returns the statuses from the time at which the change is due."""
        gevent.sleep(APPLY_S)
        statuses = []
        deadline = time.monotonic() + OUTAGE_S
        while time.monotonic() < deadline:
            statuses.append(self._request(method, path))
            gevent.sleep(0.05)
        return statuses

    def test_new_queue_is_not_called_unknown_after_a_lost_watch(self):
        self._lose_watch(_configuration(2, ("a", "b")))
        statuses = self._answers_after_change("GET", "/b/")
        self.assertNotIn(404, statuses)
        self.assertEqual(200, statuses[-1])
        self.assertGreater(statuses.count(200), len(statuses) / 2)

    def test_withdrawn_key_is_not_accepted_after_a_lost_watch(self):
        self.engine.post(events.JobAccepted(time.monotonic(), JOB, 5))
        self._lose_watch(_configuration(2, keys=("other",)))
        statuses = self._answers_after_change("GET", "/a/" + JOB_ID)
        self.assertNotIn(200, statuses)
        self.assertEqual(401, statuses[-1])

    def test_zones_out_are_known_soon_after_a_lost_watch(self):
        self._lose_watch(_configuration(2))
        self.platform.put(storecalls.EVACUATION_PREFIX + "zone-a", b"{}")
        gevent.sleep(APPLY_S + 0.5)
        self.assertEqual({"zone-a"}, self.engine.state.zones_out)

    def test_nothing_is_called_unknown_after_the_process_stood_still(self):
        time.sleep(OUTAGE_S)
        self.platform.put(
            storecalls.CONFIGURATION_KEY, _configuration(2, ("a", "b"))
        )
        self.assertIn(self._request("GET", "/b/"), (200, 503))

    def test_nothing_is_refused_for_good_by_settings_that_may_be_old(self):
        self.platform.is_silent = True
        gevent.sleep(OUTAGE_S)
        self.assertEqual(503, self._request("GET", "/b/"))
        self.assertEqual(503, self._request("POST", "/b/" + JOB_ID))
        self.assertEqual(503, self._request("GET", "/a/", key="unknown"))
        self.assertEqual(503, self._request("POST", "/a/" + JOB_ID))
        self.assertEqual(503, self._request("DELETE", "/a/" + JOB_ID))
        self.assertFalse(self.engine.is_ready())

    def test_known_jobs_are_shown_while_the_store_is_silent(self):
        self.engine.post(events.JobAccepted(time.monotonic(), JOB, 5))
        self.engine.post(events.JobCancelled(time.monotonic(), JOB_ID, 9))
        self.platform.is_silent = True
        gevent.sleep(OUTAGE_S)
        for method in ("GET", "POST", "DELETE"):
            self.assertEqual(200, self._request(method, "/a/" + JOB_ID))

    def test_settings_are_in_force_soon_after_the_store_is_back(self):
        self.platform.is_silent = True
        gevent.sleep(OUTAGE_S)
        self.platform.is_silent = False
        self.platform.put(
            storecalls.CONFIGURATION_KEY, _configuration(2, ("a", "b"))
        )
        gevent.sleep(APPLY_S)
        self.assertEqual(200, self._request("GET", "/b/"))

    def test_time_to_apply_a_change_is_read_from_the_settings(self):
        fields = SETTINGS | {"bounds.configApplyMs": "3500"}
        self.assertEqual(3.5, daemonsettings.decode(fields).bounds.apply_s)

    def test_answered_watches_keep_settings_recent(self):
        lists = self.platform.lists
        deadline = time.monotonic() + 2 * OUTAGE_S
        oldest_s = 0.0
        version = 1
        while time.monotonic() < deadline:
            version += 1
            self.platform.put(
                storecalls.CONFIGURATION_KEY, _configuration(version)
            )
            for _ in range(13):
                oldest_s = max(oldest_s, self.engine.confirmations.age_s())
                gevent.sleep(0.1)
        self.assertLess(oldest_s, confirming.MAX_AGE_SHARE * APPLY_S)
        self.assertEqual(lists, self.platform.lists)
        self.assertEqual(404, self._request("GET", "/c/"))
