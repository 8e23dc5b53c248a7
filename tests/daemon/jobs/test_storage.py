"""Which way a call to the store takes, and what stays in doubt."""

import result
import testtools

from mimosaridge_daemon import clients
from mimosaridge_daemon.jobs import storage
from mimosaridge_platform import calls
from mimosaridge_platform import storecalls

REQUEST = calls.Request("POST", "/v1/kv-txn", b"{}")
OK = result.Ok((200, b'{"revision":5}'))
BUSY = result.Ok((503, b""))
LOST = result.Err(clients.Failure("no answer", is_sent=True))
REFUSED = result.Err(clients.Failure("refused", is_sent=False))


def _store(direct, relayed):
    store = storage.Store("127.0.0.1:1")
    made = []

    def exchange(*args):
        made.append("direct")
        return direct

    store.client.exchange = exchange
    store.relay = lambda request, timeout_s: (made.append("relay"), relayed)[1]
    return store, made


class StoreTest(testtools.TestCase):
    """Direct calls, relayed calls, and their failures."""

    def test_a_direct_answer_needs_no_relay(self):
        store, made = _store(OK, OK)
        self.assertEqual(OK, store.call(REQUEST))
        self.assertEqual(["direct"], made)

    def test_a_machine_that_is_turned_away_asks_a_peer(self):
        store, made = _store(BUSY, OK)
        self.assertEqual(OK, store.call(REQUEST))
        self.assertEqual(["direct", "relay"], made)

    def test_after_a_failure_the_peer_is_asked_first(self):
        store, made = _store(LOST, OK)
        store.call(REQUEST)
        store.call(REQUEST)
        self.assertEqual(["direct", "relay", "relay"], made)

    def test_a_lost_write_stays_in_doubt_though_the_peer_was_turned_away(self):
        store, _ = _store(LOST, BUSY)
        self.assertEqual(LOST, store.call(REQUEST))

    def test_what_no_way_has_done_is_not_in_doubt(self):
        store, _ = _store(REFUSED, BUSY)
        answer = store.call(REQUEST)
        written = storecalls.decode_write_answer(*answer.ok_value)
        self.assertEqual(storecalls.WriteResult.NOT_APPLIED, written.result)

    def test_a_read_goes_first_while_the_store_does_not_answer(self):
        store, _ = _store(LOST, None)
        store.call(REQUEST)
        self.assertFalse(store.is_answering())
        store.relay = lambda request, timeout_s: OK
        self.assertTrue(store.is_answering())
