"""What the owner's news of stored progress costs, and who gets it."""

import gevent
import testtools

from mimosaridge_core.jobs import model
from mimosaridge_daemon.jobs import news

DONE = model.Progress(model.JobState.COMPLETED)
RUNNING = model.Progress(model.JobState.RUNNING)
WRITES = 10


class _Peers:
    """Counts messages."""

    def __init__(self, daemons, is_mesh=False):
        self.daemons = daemons
        self.peers = dict.fromkeys(range(daemons))
        self.mesh = is_mesh
        self.sent = []
        self.broadcasts = []

    def is_mesh(self):
        return self.mesh

    def send(self, name, message):
        self.sent.append((name, message))

    def broadcast(self, message):
        self.broadcasts.append(message)

    def count(self):
        return len(self.sent) + len(self.broadcasts) * self.daemons


def _news(daemons, is_mesh=False):
    peers = _Peers(daemons, is_mesh)
    return news.News(peers), peers


class NewsTest(testtools.TestCase):
    def test_the_accepting_daemon_hears_of_an_end_at_once(self):
        owner_news, peers = _news(97)
        owner_news.origins.add("j1", "d01")
        owner_news.handle_stored({"j1": (DONE, 7)})
        self.assertEqual(["d01"], [name for name, _ in peers.sent])
        self.assertEqual([], peers.broadcasts)

    def test_all_hear_of_all_ends_in_one_message(self):
        owner_news, peers = _news(97)
        for number in range(WRITES):
            owner_news.handle_stored({f"j{number}": (DONE, number)})
        gevent.sleep(news.MAX_ENDS_PAUSE_S + 0.1)
        self.assertEqual(1, len(peers.broadcasts))
        self.assertEqual(WRITES, len(peers.broadcasts[0].progress))
        owner_news.handle_stored({"later": (DONE, 99)})
        gevent.sleep(news.MAX_ENDS_PAUSE_S + 0.1)
        self.assertEqual(["later"], list(peers.broadcasts[1].progress))

    def test_the_messages_a_second_are_bounded_and_the_pause_is_short(self):
        pauses = []
        for daemons in (10, 40, 97, 300):
            owner_news, _ = _news(daemons)
            pauses.append(owner_news.ends_pause_s())
        for daemons, pause_s in zip((10, 40, 97), pauses, strict=False):
            self.assertLessEqual(daemons / pause_s, news.MESSAGES_PER_S + 1)
        # Callers ask each quarter of a second.
        self.assertLess(pauses[1], 0.25)
        self.assertEqual(sorted(pauses), pauses)
        self.assertEqual(news.MAX_ENDS_PAUSE_S, pauses[-1])

    def test_messages_grow_with_the_daemons_not_with_the_writes_too(self):
        for daemons in (30, 100, 300):
            owner_news, peers = _news(daemons)
            for number in range(WRITES):
                owner_news.origins.add(f"j{number}", "d01")
                owner_news.handle_stored({f"j{number}": (RUNNING, number)})
                owner_news.handle_stored({f"j{number}": (DONE, number)})
            owner_news.broadcast_ends()
            self.assertEqual(2 * WRITES + daemons, peers.count())

    def test_a_few_daemons_hear_of_everything_at_once(self):
        owner_news, peers = _news(6, is_mesh=True)
        owner_news.handle_stored({"j1": (RUNNING, 7)})
        self.assertEqual(1, len(peers.broadcasts))
