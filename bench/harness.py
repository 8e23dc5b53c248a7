"""One daemon's reducer with instant answers from workers and store, timed."""

import collections
from collections.abc import Iterator
import random
import time
from typing import Any
import uuid

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import keys
from mimosaridge_core import reducer
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import tunables
from mimosaridge_core import works

ZONES = 9
TICK_S = 0.02
HEARD_S = 1.0
SETTLE_S = 4.0
WATCHED = (documents.CONFIG_KEY, documents.DAEMONS, documents.PARTITIONS)
START = 1_000_000.0
SALT = "00"
CAPACITY = resources.Resources(32_000, 65_536, 0, 8, 64)
ACCELERATED = resources.Resources(128_000, 262_144, 8, 8, 64)
ACCELERATED_EVERY = 6
NEEDS = (
    resources.Resources(500, 256, 0, 1, 1),
    resources.Resources(2_000, 4_096, 0, 1, 1),
    resources.Resources(6_000, 8_192, 0, 1, 1),
    resources.Resources(4_000, 8_192, 1, 1, 0),
)


def _times(amount: resources.Resources, factor: int) -> resources.Resources:
    return resources.total([amount] * factor)


def make_hosts(
    count: int, zones: int = ZONES, factor: int = 1
) -> list[events.Host]:
    """Returns a fleet of two endpoints; the factor makes workers larger."""
    hosts = []
    for number in range(count):
        accelerated = number % ACCELERATED_EVERY == 0
        endpoint = "actuarial" if accelerated else "registry"
        worker_id = f"{endpoint}-{number:04d}"
        zone = f"zone-{number % zones}"
        hosts.append(
            events.Host(
                worker_id,
                f"http://127.0.0.1:1/workers/{worker_id}",
                zone,
                f"{zone}-{number // zones // 5}",
                endpoint,
                _times(ACCELERATED if accelerated else CAPACITY, factor),
            )
        )
    return hosts


def make_config(teams: int) -> configuration.Config:
    """Returns a configuration with one key for each team."""
    config = configuration.Config(number=1)
    digest = keys.digest(SALT, "secret")
    for number in range(teams):
        name = f"team-{number:03d}"
        config.teams[name] = configuration.Team(name, "north")
        key = configuration.Key(f"k-{name}", keys.TEAM, name, SALT, digest)
        config.keys[key.key_id] = key
    return config


def make_works(
    count: int, teams: int, idempotent: bool = True, seed: int = 1
) -> Iterator[works.Work]:
    """Yields requests in the order of their submission."""
    rng = random.Random(seed)
    for _ in range(count):
        needs = rng.choice(NEEDS)
        random_bits = rng.getrandbits(62)
        yield works.Work(
            str(uuid.UUID(int=7 << 76 | 2 << 62 | random_bits)),
            f"team-{rng.randrange(teams):03d}",
            works.Kind.REQUEST,
            1,
            needs,
            "actuarial" if needs.accelerators else "registry",
            idempotent,
            works.Urgency(rng.randrange(3)),
            0.0,
            0.0,
        )


class Daemon:
    """One daemon, fed one event at a time.

    Attributes:
        now: The clock, seconds since the epoch.
        running: Tasks that run: worker, epoch, task id and attempt.
        spent_ns: For each kind of event, the reducer's time for each one.
        settled: Replies to callers by result code.
        stores: Store calls by kind of effect.
    """

    def __init__(
        self,
        hosts: list[events.Host],
        config: configuration.Config,
        tuning: tunables.Tunables | None = None,
    ) -> None:
        self.now = START
        self.state = state.State(
            "daemon-0",
            "ws://127.0.0.1:1",
            "zone-0",
            random.Random(1),
            tuning or tunables.Tunables(),
        )
        self.running: collections.deque = collections.deque()
        self.spent_ns: dict[str, list[int]] = collections.defaultdict(list)
        self.settled: collections.Counter = collections.Counter()
        self.stores: collections.Counter = collections.Counter()
        self.sent: collections.Counter = collections.Counter()
        self.revision = 1
        self.handle = 0
        self.heard_at = 0.0
        self.inbox: collections.deque = collections.deque()
        self._join(hosts, config)

    def _join(
        self, hosts: list[events.Host], config: configuration.Config
    ) -> None:
        for prefix in WATCHED[1:]:
            listed = events.StoreListed(self.now, prefix, 1, {}, {}, self.now)
            self.feed(listed)
        self.feed(events.HostsListed(self.now, hosts))
        self.feed(
            events.StoreChanged(self.now, documents.CONFIG_KEY, config, 1)
        )
        self.run_idle(SETTLE_S)
        heard = sum(
            worker.claimed
            for shard in self.state.shards.values()
            for worker in shard.workers.values()
        )
        if heard != len(hosts):
            raise RuntimeError(f"only {heard} of {len(hosts)} workers joined")
        self.spent_ns.clear()

    def run_idle(self, seconds: float) -> None:
        """Lets time pass with nothing but ticks."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            self.tick()

    def tick(self) -> None:
        """Feeds a tick and now and then the store's word."""
        self.feed(events.Tick(self.now))
        if self.now >= self.heard_at + HEARD_S:
            self.heard_at = self.now
            for prefix in WATCHED:
                self.feed(
                    events.StoreWatchProgressed(self.now, prefix, self.now)
                )

    def submit(self, work: works.Work, within_s: float = 60.0) -> None:
        """Submits work now; the caller of a request waits for its end."""
        self.handle += 1
        bits = uuid.UUID(work.work_id).int & (1 << 80) - 1
        made = int(self.now * 1000) << 80 | bits
        work.work_id = str(uuid.UUID(int=made))
        work.start_before = self.now + within_s
        work.submitted_at = self.now
        token = f"k-{work.team}.secret"
        event = events.WorkSubmitted(
            self.now,
            self.handle,
            token,
            "",
            work,
            work.kind == works.Kind.REQUEST,
        )
        self.feed(event)

    def end_oldest(self) -> None:
        """Ends the task that has run the longest."""
        worker_id, epoch, task_id, attempt = self.running.popleft()
        event = events.TaskEnded(
            self.now, worker_id, epoch, task_id, attempt, True, "", b"answer"
        )
        self.feed(event)

    def feed(self, event: events.Event) -> None:
        """Reduces an event and all that follows from it at once."""
        self.inbox.append(event)
        while self.inbox:
            event = self.inbox.popleft()
            event.now = self.now
            begun = time.perf_counter_ns()
            produced = reducer.reduce(self.state, event)
            spent = time.perf_counter_ns() - begun
            self.spent_ns[_kind(event)].append(spent)
            for effect in produced:
                self._carry(effect)

    def _carry(self, effect: Any) -> None:
        kind = type(effect)
        if kind is effects.SendPeer:
            self._send(effect)
        elif kind is effects.StartTask:
            self._start(effect)
        elif kind is effects.Reply:
            self.settled[effect.code] += 1
        elif kind in (effects.StoreWrite, effects.StoreRead):
            self._store(effect)
        elif kind is effects.RenewLease:
            self.stores["RenewLease"] += 1
            self.inbox.append(
                events.LeaseAnswered(self.now, "lease", "ok", self.now)
            )
        elif kind is effects.ClaimWorker:
            self.inbox.append(
                events.WorkerClaimed(
                    self.now, effect.worker_id, effect.epoch, 1, False, []
                )
            )

    def _send(self, effect: effects.SendPeer) -> None:
        if effect.daemon == self.state.name:
            self.inbox.append(
                events.PeerMessage(self.now, effect.daemon, effect.message)
            )
        else:
            self.sent[type(effect.message).__name__] += 1

    def _start(self, effect: effects.StartTask) -> None:
        task = effect.task
        key = (effect.worker_id, effect.epoch, task.task_id, task.attempt)
        self.running.append(key)
        self.inbox.append(events.StartAnswered(self.now, *key, codes.Code.OK))

    def _store(self, effect: Any) -> None:
        self.stores[type(effect).__name__] += 1
        self.revision += 1
        result = "ok" if isinstance(effect, effects.StoreWrite) else "absent"
        answer = events.StoreAnswered(
            self.now, effect.op_id, result, None, self.revision
        )
        self.inbox.append(answer)


def _kind(event: events.Event) -> str:
    if isinstance(event, events.PeerMessage):
        return type(event.message).__name__
    return type(event).__name__


def percentile(values: list[int] | list[float], fraction: float) -> float:
    """Returns a percentile by the nearest rank; 0 of no values."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]
