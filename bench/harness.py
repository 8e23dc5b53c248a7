"""Times one daemon's reducer with immediate worker and store answers."""

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
TICK_INTERVAL_S = 0.02
STORE_PROGRESS_INTERVAL_S = 1.0
SETTLE_S = 4.0
WATCHED_PREFIXES = (
    documents.CONFIG_KEY,
    documents.DAEMONS,
    documents.PARTITIONS,
)
START_TIME_S = 1_000_000.0
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


def _multiply(amount: resources.Resources, factor: int) -> resources.Resources:
    return resources.total([amount] * factor)


def make_hosts(
    count: int, zones: int = ZONES, factor: int = 1
) -> list[events.Host]:
    """Returns workers of two endpoints, with capacities scaled by a factor."""
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
                _multiply(ACCELERATED if accelerated else CAPACITY, factor),
            )
        )
    return hosts


def make_config(teams: int) -> configuration.Config:
    """Returns a configuration with one API key per team."""
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
    """Yields random requests in submission order."""
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
    """A simulated daemon that reduces one event at a time.

    Attributes:
        now: Simulated time in seconds since the Unix epoch.
        running: Worker ID, epoch, task ID and attempt of each running task,
            in start order.
        durations_ns: Reducer times in nanoseconds, by event type.
        replies: Number of replies to callers, by result code.
        store_calls: Number of store calls, by effect type.
        sent_messages: Number of messages sent to peers, by message type.
        revision: Latest revision of the simulated store.
        last_handle: Handle of the latest call.
        store_progress_at: Time of the latest watch progress event, in seconds
            since the Unix epoch.
        pending_events: Events that have not been reduced.
    """

    def __init__(
        self,
        hosts: list[events.Host],
        config: configuration.Config,
        tuning: tunables.Tunables | None = None,
    ) -> None:
        self.now = START_TIME_S
        self.state = state.State(
            "daemon-0",
            "ws://127.0.0.1:1",
            "zone-0",
            random.Random(1),
            tuning or tunables.Tunables(),
        )
        self.running: collections.deque = collections.deque()
        self.durations_ns: dict[str, list[int]] = collections.defaultdict(list)
        self.replies: collections.Counter = collections.Counter()
        self.store_calls: collections.Counter = collections.Counter()
        self.sent_messages: collections.Counter = collections.Counter()
        self.revision = 1
        self.last_handle = 0
        self.store_progress_at = 0.0
        self.pending_events: collections.deque = collections.deque()
        self._initialize(hosts, config)

    def _initialize(
        self, hosts: list[events.Host], config: configuration.Config
    ) -> None:
        for prefix in WATCHED_PREFIXES[1:]:
            listed = events.StoreListed(self.now, prefix, 1, {}, {}, self.now)
            self.feed(listed)
        self.feed(events.HostsListed(self.now, hosts))
        self.feed(
            events.StoreChanged(self.now, documents.CONFIG_KEY, config, 1)
        )
        self.run_idle(SETTLE_S)
        claimed_count = sum(
            worker.claimed
            for shard in self.state.shards.values()
            for worker in shard.workers.values()
        )
        if claimed_count != len(hosts):
            raise RuntimeError(
                f"only {claimed_count} of {len(hosts)} workers were claimed"
            )
        self.durations_ns.clear()

    def run_idle(self, seconds: float) -> None:
        """Advances time by some seconds with ticks and watch progress only."""
        end_time = self.now + seconds
        while self.now < end_time:
            self.now += TICK_INTERVAL_S
            self.tick()

    def tick(self) -> None:
        """Feeds a tick and, when due, watch progress events of the store."""
        self.feed(events.Tick(self.now))
        if self.now >= self.store_progress_at + STORE_PROGRESS_INTERVAL_S:
            self.store_progress_at = self.now
            for prefix in WATCHED_PREFIXES:
                self.feed(
                    events.StoreWatchProgressed(self.now, prefix, self.now)
                )

    def submit(self, work: works.Work, within_s: float = 60.0) -> None:
        """Submits work now; calls for requests wait until the work ends."""
        self.last_handle += 1
        random_bits = uuid.UUID(work.work_id).int & (1 << 80) - 1
        uuid_bits = int(self.now * 1000) << 80 | random_bits
        work.work_id = str(uuid.UUID(int=uuid_bits))
        work.start_before = self.now + within_s
        work.submitted_at = self.now
        token = f"k-{work.team}.secret"
        event = events.WorkSubmitted(
            self.now,
            self.last_handle,
            token,
            "",
            work,
            work.kind == works.Kind.REQUEST,
        )
        self.feed(event)

    def end_oldest(self) -> None:
        """Ends the longest-running task successfully."""
        worker_id, epoch, task_id, attempt = self.running.popleft()
        event = events.TaskEnded(
            self.now, worker_id, epoch, task_id, attempt, True, "", b"answer"
        )
        self.feed(event)

    def feed(self, event: events.Event) -> None:
        """Reduces an event and all immediate follow-up events."""
        self.pending_events.append(event)
        while self.pending_events:
            event = self.pending_events.popleft()
            event.now = self.now
            started_ns = time.perf_counter_ns()
            produced = reducer.reduce(self.state, event)
            duration_ns = time.perf_counter_ns() - started_ns
            self.durations_ns[_event_name(event)].append(duration_ns)
            for effect in produced:
                self._apply_effect(effect)

    def _apply_effect(self, effect: Any) -> None:
        kind = type(effect)
        if kind is effects.SendPeer:
            self._send(effect)
        elif kind is effects.StartTask:
            self._start(effect)
        elif kind is effects.Reply:
            self.replies[effect.code] += 1
        elif kind in (effects.StoreWrite, effects.StoreRead):
            self._store(effect)
        elif kind is effects.RenewLease:
            self.store_calls["RenewLease"] += 1
            self.pending_events.append(
                events.LeaseAnswered(self.now, "lease", "ok", self.now)
            )
        elif kind is effects.ClaimWorker:
            self.pending_events.append(
                events.WorkerClaimed(
                    self.now, effect.worker_id, effect.epoch, 1, False, []
                )
            )

    def _send(self, effect: effects.SendPeer) -> None:
        if effect.daemon == self.state.name:
            self.pending_events.append(
                events.PeerMessage(self.now, effect.daemon, effect.message)
            )
        else:
            self.sent_messages[type(effect.message).__name__] += 1

    def _start(self, effect: effects.StartTask) -> None:
        task = effect.task
        key = (effect.worker_id, effect.epoch, task.task_id, task.attempt)
        self.running.append(key)
        self.pending_events.append(
            events.StartAnswered(self.now, *key, codes.Code.OK)
        )

    def _store(self, effect: Any) -> None:
        self.store_calls[type(effect).__name__] += 1
        self.revision += 1
        result = "ok" if isinstance(effect, effects.StoreWrite) else "absent"
        answer = events.StoreAnswered(
            self.now, effect.op_id, result, None, self.revision
        )
        self.pending_events.append(answer)


def _event_name(event: events.Event) -> str:
    if isinstance(event, events.PeerMessage):
        return type(event.message).__name__
    return type(event).__name__


def percentile(values: list[int] | list[float], fraction: float) -> float:
    """Returns a nearest-rank percentile, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
