"""Simulated deployment: daemons, a store and workers on one clock."""

from collections.abc import Callable
import copy
import heapq
import pickle
import random
from typing import Any
import uuid

from mimosaridge_core import account
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
from mimosaridge_fakes import stores
from mimosaridge_fakes import workers

TICK_S = 0.05
MESSAGE_DELAY_S = 0.002
RENEW_INTERVAL_S = 2.0
RETRY_DELAY_S = 0.5
WATCHED_PREFIXES = (
    documents.CONFIG_KEY,
    documents.DAEMONS,
    documents.PARTITIONS,
)
SALT = "00"


def make_id(now: float, rng: random.Random) -> str:
    """Returns a UUIDv7 for a time in seconds since the epoch."""
    value = int(now * 1000) << 80 | 7 << 76 | 2 << 62
    value |= rng.getrandbits(12) << 64 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))


def team_config(
    teams: list[configuration.Team],
) -> configuration.Config:
    """Returns an initial configuration with the given teams.

    Each team has the key "k-TEAM.secret"; the operator's key is
    "k-operator.secret".
    """
    config = configuration.Config(number=1)
    config.keys["k-operator"] = configuration.Key(
        "k-operator", keys.OPERATOR, "", SALT, keys.digest(SALT, "secret")
    )
    for team in teams:
        config.teams[team.name] = team
        key_id = f"k-{team.name}"
        config.keys[key_id] = configuration.Key(
            key_id, keys.TEAM, team.name, SALT, keys.digest(SALT, "secret")
        )
    return config


class Deployment:
    """Simulated daemons, store and workers.

    Attributes:
        now: Simulated time, in seconds since the epoch.
        daemons: State of each daemon by name.
        paused: Names of daemons whose events are deferred.
        cuts: Pairs (from, to) of names between which all traffic is dropped;
            names are daemon names, worker ids and "store".
        replies: Replies to callers, by daemon and handle.
        records: Decision records of all daemons, in order.
        duplicate_starts: Starts of tasks that were still running on another
            worker: time, task id, the other worker's id, this worker's id.
        run_s: Returns the run time of a task in seconds, or None if the task
            does not end by itself.
        on_start: Called after each start that takes effect.
        late_writes: Number of next store writes that take effect only after
            `late_s` and whose result is reported as unknown.
        late_messages: Number of next peer messages delayed by `late_s`.
        late_s: Delay of late writes and messages, in seconds.
        clock_skews_s: Offset of each daemon's clock by name, in seconds;
            positive if ahead.
    """

    def __init__(
        self,
        hosts: list[events.Host],
        config: configuration.Config,
        daemons: int = 3,
        seed: int = 1,
        tuning: tunables.Tunables | None = None,
    ) -> None:
        self.now = 1_000_000.0
        self.rng = random.Random(seed)
        self.tuning = tuning or tunables.Tunables()
        self.hosts = hosts
        self.store = stores.Store()
        self.workers = {host.worker_id: workers.Worker(host) for host in hosts}
        self.daemons: dict[str, state.State] = {}
        self.paused: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.replies: dict[tuple[str, int], effects.Reply] = {}
        self.records: list[account.Record] = []
        self.duplicate_starts: list[tuple[float, str, str, str]] = []
        self.late_writes = 0
        self.late_messages = 0
        self.late_s = 0.0
        self.clock_skews_s: dict[str, float] = {}
        self.timers: list[tuple[float, int, str, Any]] = []
        self.deferred: dict[str, list[events.Event]] = {}
        self.watch_positions: dict[str, int] = {}
        self.claim_epochs: dict[tuple[str, str], int] = {}
        self.stopped: set[str] = set()
        self.sequence = 0
        self.handle = 0
        self.run_s: Callable[[works.Task], float | None] = lambda task: 0.05
        self.on_start: Callable[[], None] = lambda: None
        write = effects.StoreWrite(0, documents.CONFIG_KEY, config, 0)
        self.store.write(write, "", self.now)
        for number in range(daemons):
            self.start(f"d{number}")

    # Daemons.

    def start(self, name: str) -> None:
        """Starts a daemon with empty state."""
        zones = sorted({host.zone for host in self.hosts})
        zone = zones[len(self.daemons) % len(zones)]
        seed = self.rng.getrandbits(32)
        self.daemons[name] = state.State(
            name, f"ws://{name}", zone, random.Random(seed), self.tuning
        )
        self.stopped.discard(name)
        self.watch_positions.pop(name, None)
        hosts_listed = events.HostsListed(self.now, copy.deepcopy(self.hosts))
        self.post(name, hosts_listed)
        self._schedule(self.now + TICK_S, name, None)

    def kill(self, name: str) -> None:
        """Crashes a daemon; its peers see refused connections."""
        self.daemons.pop(name, None)
        self.paused.discard(name)
        self.deferred.pop(name, None)
        self.timers = [item for item in self.timers if item[2] != name]
        heapq.heapify(self.timers)
        self.claim_epochs = {
            key: epoch
            for key, epoch in self.claim_epochs.items()
            if key[0] != name
        }
        for other in self.daemons:
            if (other, name) not in self.cuts:
                self.post(
                    other,
                    events.PeerConnectionRefused(self.now, name),
                    MESSAGE_DELAY_S,
                )

    def pause(self, name: str) -> None:
        """Pauses a daemon; its events are deferred, ticks dropped."""
        self.paused.add(name)

    def resume(self, name: str) -> None:
        """Resumes a daemon and delivers its deferred events in order."""
        self.paused.discard(name)
        for event in self.deferred.pop(name, []):
            event.now = self.now + self.clock_skews_s.get(name, 0.0)
            self._reduce(name, event)

    def cut(self, name: str, other: str) -> None:
        """Drops all traffic between two names, in both directions."""
        self.cuts.update(((name, other), (other, name)))

    def heal(self) -> None:
        """Restores all cut connections."""
        self.cuts.clear()

    # Hosts and configuration.

    def set_host_listed(self, worker_id: str, listed: bool) -> None:
        """Adds a worker to the host list of all daemons or removes it."""
        host = self.workers[worker_id].host
        others = [item for item in self.hosts if item is not host]
        self.hosts = [*others, host] if listed else others
        for name in self.daemons:
            self.post(
                name, events.HostsListed(self.now, copy.deepcopy(self.hosts))
            )

    def change_config(self, config: configuration.Config) -> bool:
        """Writes a configuration; returns whether the store answered."""
        revision = self.store.items[documents.CONFIG_KEY].revision
        write = effects.StoreWrite(0, documents.CONFIG_KEY, config, revision)
        return self.store.write(write, "", self.now).result != "unknown"

    # Simulated time.

    def _schedule(self, at: float, name: str, action: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.timers, (at, self.sequence, name, action))

    def post(self, name: str, event: events.Event, delay_s: float = 0) -> None:
        """Schedules an event for a daemon after a delay."""
        self._schedule(self.now + delay_s, name, event)

    def run(self, seconds: float) -> None:
        """Advances simulated time."""
        until = self.now + seconds
        while self.timers and self.timers[0][0] <= until:
            at, _, name, action = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            if callable(action):
                action()
            elif action is None:
                self._tick(name)
            else:
                self._deliver(name, action)
        self.now = until

    def run_until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Advances time until a condition holds; returns whether it does."""
        until = self.now + seconds
        while not done() and self.now < until:
            self.run(TICK_S)
        return done()

    def _tick(self, name: str) -> None:
        if name not in self.daemons or name in self.stopped:
            return
        self.store.sweep(self.now)
        self._sweep_workers()
        self._deliver_store_changes(name)
        self._deliver(name, events.Tick(self.now))
        self._schedule(self.now + TICK_S, name, None)

    def _sweep_workers(self) -> None:
        for worker in self.workers.values():
            for report in worker.sweep(self.now):
                self._report(worker, report)

    def _deliver_store_changes(self, name: str) -> None:
        cut = (name, "store") in self.cuts
        if self.store.down or cut or name in self.paused:
            return
        position = self.watch_positions.get(name)
        self.watch_positions[name] = len(self.store.changes)
        if position is None:
            for prefix in WATCHED_PREFIXES:
                self.post(name, self.store.list_prefix(prefix, self.now))
            return
        for key, value, revision in self.store.changes[position:]:
            if key.startswith(WATCHED_PREFIXES):
                changed = events.StoreChanged(
                    self.now, key, stores.copy_document(value), revision
                )
                self.post(name, changed)
        for prefix in WATCHED_PREFIXES:
            self.post(
                name, events.StoreWatchProgressed(self.now, prefix, self.now)
            )

    def _deliver(self, name: str, event: events.Event) -> None:
        if name not in self.daemons:
            return
        if name in self.paused:
            if not isinstance(event, events.Tick):
                self.deferred.setdefault(name, []).append(event)
            return
        event.now = self.now + self.clock_skews_s.get(name, 0.0)
        self._reduce(name, event)

    def _reduce(self, name: str, event: events.Event) -> None:
        for effect in reducer.reduce(self.daemons[name], event):
            self._execute(name, effect)

    # Effects.

    def _execute(self, name: str, effect: Any) -> None:
        if isinstance(effect, effects.SendPeer):
            self._send(name, effect)
        elif isinstance(effect, effects.Reply):
            self.replies[(name, effect.handle)] = effect
        elif isinstance(effect, effects.Record):
            self.records.append(effect.record)
        elif isinstance(effect, effects.Shutdown):
            self.stopped.add(name)
        elif isinstance(
            effect,
            (effects.StoreWrite, effects.StoreRead, effects.RenewLease),
        ):
            self._call_store(name, effect)
        else:
            self._call_worker(name, effect)

    def _send(self, name: str, effect: effects.SendPeer) -> None:
        if (name, effect.daemon) in self.cuts:
            return
        if effect.daemon not in self.daemons:
            refused = events.PeerConnectionRefused(self.now, effect.daemon)
            self.post(name, refused, MESSAGE_DELAY_S)
            return
        message = pickle.loads(pickle.dumps(effect.message))
        event = events.PeerMessage(self.now, name, message)
        delay_s = MESSAGE_DELAY_S
        if self.late_messages > 0 and name != effect.daemon:
            self.late_messages -= 1
            delay_s = self.late_s
        self.post(effect.daemon, event, delay_s)

    def _call_store(self, name: str, effect: Any) -> None:
        lease = self.daemons[name].lease_id
        cut = (name, "store") in self.cuts
        down = self.store.down
        self.store.down = down or cut
        if isinstance(effect, effects.StoreWrite):
            answer = self._write(effect, lease)
        elif isinstance(effect, effects.StoreRead):
            answer = self.store.read(effect, self.now)
        else:
            answer = self.store.renew(effect, name, self.now)
        self.store.down = down
        is_unknown = getattr(answer, "result", "") == "unknown"
        self.post(
            name, answer, RETRY_DELAY_S if is_unknown else MESSAGE_DELAY_S
        )

    def _write(
        self, effect: effects.StoreWrite, lease: str
    ) -> events.StoreAnswered:
        if self.late_writes == 0 or self.store.down:
            return self.store.write(effect, lease, self.now)
        self.late_writes -= 1
        late_effect = copy.deepcopy(effect)
        self._schedule(
            self.now + self.late_s,
            "",
            lambda: self.store.write(late_effect, lease, self.now),
        )
        return events.StoreAnswered(self.now, effect.op_id, "unknown")

    def _call_worker(self, name: str, effect: Any) -> None:
        worker = self.workers[effect.worker_id]
        if isinstance(effect, effects.DropWorker):
            self.claim_epochs.pop((name, effect.worker_id), None)
        elif isinstance(effect, effects.ClaimWorker):
            self.claim_epochs[(name, effect.worker_id)] = effect.epoch
            self._claim_worker(name, worker, effect)
        elif isinstance(effect, effects.StartTask):
            self._start_task(name, worker, effect)
        else:
            self._stop_or_forget(name, worker, effect)

    def _can_reach(self, name: str, worker: workers.Worker) -> bool:
        worker_id = worker.host.worker_id
        return worker.reachable and (name, worker_id) not in self.cuts

    def _holds_claim(
        self, name: str, worker: workers.Worker, epoch: int
    ) -> bool:
        return self.claim_epochs.get((name, worker.host.worker_id)) == epoch

    def _claim_worker(
        self, name: str, worker: workers.Worker, effect: effects.ClaimWorker
    ) -> None:
        if not self._holds_claim(name, worker, effect.epoch):
            return
        if not self._can_reach(name, worker):
            self._schedule(
                self.now + RETRY_DELAY_S,
                name,
                lambda: self._claim_worker(name, worker, effect),
            )
            return
        answer = worker.handle_claim(effect, name, self.now)
        self.post(name, copy.deepcopy(answer), MESSAGE_DELAY_S)
        if isinstance(answer, events.WorkerClaimed):
            self._schedule(
                self.now + RENEW_INTERVAL_S,
                name,
                lambda: self._renew_claim(name, worker, effect),
            )

    def _renew_claim(
        self, name: str, worker: workers.Worker, effect: effects.ClaimWorker
    ) -> None:
        if not self._holds_claim(name, worker, effect.epoch):
            return
        worker_id, epoch = worker.host.worker_id, effect.epoch
        code = None
        if not self._can_reach(name, worker):
            code = codes.Code.WORKER_UNREACHABLE
        elif worker.epoch != epoch:
            code = codes.Code.STALE_EPOCH
        if code is not None:
            lost = events.WorkerLost(self.now, worker_id, epoch, code, self.now)
            self.post(name, lost)
            self._claim_worker(name, worker, effect)
            return
        if name not in self.paused:
            worker.lease_until = self.now + worker.lease_s
            renewed = events.WorkerRenewed(
                self.now, worker_id, epoch, self.now, worker.leaving
            )
            self.post(name, renewed)
            for key in list(worker.runs):
                self._report(worker, worker.report(key))
        self._schedule(
            self.now + RENEW_INTERVAL_S,
            name,
            lambda: self._renew_claim(name, worker, effect),
        )

    def _start_task(
        self, name: str, worker: workers.Worker, effect: effects.StartTask
    ) -> None:
        task = stores.copy_document(effect.task)
        key = (task.task_id, task.attempt)
        code = codes.Code.UNKNOWN
        is_new = key not in worker.runs
        if self._can_reach(name, worker):
            start = effects.StartTask(
                effect.worker_id,
                effect.url,
                effect.epoch,
                effect.claim,
                task,
                effect.start_before,
            )
            code = worker.handle_start(start, self.now)
            if is_new and key in worker.runs:
                self._record_duplicate_starts(worker, task)
                self._schedule_end(worker, task)
                self.on_start()
        answer = events.StartAnswered(
            self.now, effect.worker_id, effect.epoch, *key, code
        )
        self.post(name, answer, MESSAGE_DELAY_S)
        if code in (codes.Code.UNKNOWN, codes.Code.STALE_EPOCH):
            claim = effects.ClaimWorker(
                effect.worker_id,
                effect.url,
                effect.epoch,
                self.tuning.worker_lease_s,
            )
            self._schedule(
                self.now + RETRY_DELAY_S,
                name,
                lambda: self._claim_worker(name, worker, claim),
            )

    def _record_duplicate_starts(
        self, worker: workers.Worker, task: works.Task
    ) -> None:
        for other in self.workers.values():
            if other is worker:
                continue
            for (task_id, _), run in other.runs.items():
                if task_id == task.task_id and not run.ended:
                    names = (other.host.worker_id, worker.host.worker_id)
                    self.duplicate_starts.append((self.now, task_id, *names))

    def _schedule_end(self, worker: workers.Worker, task: works.Task) -> None:
        run_s = self.run_s(task)
        if run_s is not None:
            run_s = max(0.0, run_s - float(task.checkpoint or 0.0))
        if run_s is None or task.kind == works.Kind.SERVICE:
            return
        key = (task.task_id, task.attempt)
        self._schedule(
            self.now + run_s,
            "",
            lambda: self._report(worker, worker.end(key, True)),
        )

    def _report(
        self, worker: workers.Worker, report: events.TaskEnded | None
    ) -> None:
        if report is None or worker.owner not in self.daemons:
            return
        if self._can_reach(worker.owner, worker):
            self.post(worker.owner, report, MESSAGE_DELAY_S)

    def _stop_or_forget(
        self, name: str, worker: workers.Worker, effect: Any
    ) -> None:
        if not self._can_reach(name, worker) or effect.epoch != worker.epoch:
            return
        key = (effect.task_id, effect.attempt)
        if isinstance(effect, effects.ForgetTask):
            worker.forget(key)
        elif effect.checkpoint:
            self._report(worker, worker.checkpoint(key, self.now))
        else:
            self._schedule(
                self.now + worker.stop_s,
                "",
                lambda: self._report(worker, worker.end(key, False, "stopped")),
            )

    # Callers.

    def submit(self, name: str, team: str, **fields: Any) -> tuple[str, int]:
        """Submits work to a daemon; returns its id and the reply's handle."""
        needs = fields.pop("needs", resources.Resources(slots=1))
        kind = fields.pop("kind", works.Kind.REQUEST)
        work = works.Work(
            fields.pop("work_id", "") or make_id(self.now, self.rng),
            team,
            kind,
            fields.pop("count", 1),
            needs,
            fields.pop("endpoint", ""),
            fields.pop("idempotent", kind != works.Kind.REQUEST),
            fields.pop("urgency", works.Urgency.NORMAL),
            self.now + fields.pop("within_s", 30.0),
            self.now,
            fields.pop("declared_run_s", 0.0),
            fields.pop("body", b""),
        )
        self.handle += 1
        token = fields.pop("token", f"k-{team}.secret")
        queue = fields.pop("queue", "")
        if fields:
            raise TypeError(f"unknown fields: {sorted(fields)}")
        waits = kind == works.Kind.REQUEST
        event = events.WorkSubmitted(
            self.now, self.handle, token, queue, work, waits
        )
        self.post(name, event)
        return work.work_id, self.handle

    def confirm(self, name: str, change: Any, base_number: int = -1) -> int:
        """Confirms a change as the operator; returns the reply's handle.

        Args:
            name: Daemon that receives the confirmation.
            change: Change to confirm.
            base_number: Number of the configuration that the change was
                planned on; if negative, the daemon's current one.
        """
        self.handle += 1
        if base_number < 0:
            base_number = self.daemons[name].config.number
        event = events.PlanConfirmed(
            self.now,
            self.handle,
            "k-operator.secret",
            change,
            base_number,
            self.now + self.tuning.plan_lifetime_s,
            f"change-{self.handle}",
        )
        self.post(name, event)
        return self.handle

    def cancel(self, name: str, team: str, work_id: str) -> int:
        """Cancels work through a daemon; returns the reply's handle."""
        self.handle += 1
        event = events.WorkQueried(
            self.now, self.handle, f"k-{team}.secret", work_id, cancel=True
        )
        self.post(name, event)
        return self.handle

    def running(self, team: str) -> resources.Resources:
        """Returns the resources that a team's running tasks use."""
        return resources.total(
            [
                run.task.needs
                for worker in self.workers.values()
                for run in worker.runs.values()
                if not run.ended and run.task.team == team
            ]
        )

    def drain(self, name: str) -> None:
        """Asks a daemon to shut down."""
        self.post(name, events.DrainRequested(self.now))

    def ready(self) -> bool:
        """Returns whether all partitions are owned and ready.

        Each has exactly one owner; all buckets are loaded and all workers
        claimed.
        """
        owned = [
            partition
            for daemon in self.daemons.values()
            for partition in (*daemon.shards, *daemon.buckets)
        ]
        loaded = all(
            bucket.loaded
            for daemon in self.daemons.values()
            for bucket in daemon.buckets.values()
        )
        claimed = all(
            worker.claimed
            for daemon in self.daemons.values()
            for shard in daemon.shards.values()
            for worker in shard.workers.values()
        )
        names = next(iter(self.daemons.values())).partition_names
        return (
            bool(names)
            and loaded
            and claimed
            and sorted(owned) == sorted(names)
        )
