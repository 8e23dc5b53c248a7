"""Several reducers, a store and workers, joined under one clock."""

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
DELAY_S = 0.002
RENEW_S = 2.0
RETRY_S = 0.5
WATCHED = (documents.CONFIG_KEY, documents.DAEMONS, documents.PARTITIONS)
SALT = "00"


def make_id(now: float, rng: random.Random) -> str:
    """Returns a UUID version 7 for a time."""
    value = int(now * 1000) << 80 | 7 << 76 | 2 << 62
    value |= rng.getrandbits(12) << 64 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))


def team_config(
    teams: list[configuration.Team],
) -> configuration.Config:
    """Returns a first configuration with one key "k-TEAM.secret" a team.

    It also has the key "k-operator.secret" of an operator.
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
    """Daemons, a store and workers.

    Attributes:
        now: The clock, seconds since the epoch.
        daemons: State of each daemon by name.
        paused: Daemons whose events wait.
        cuts: Pairs (from, to) of names between which nothing passes; "store"
            and worker ids count as names.
        replies: Replies to callers, by daemon and handle.
        records: All decisions.
        doubles: Starts of tasks that ran on another worker: time, task id,
            both workers.
        run_s: Run time of a task in seconds; None if it does not end.
        on_start: Called after each start that took effect.
        late_writes: This many store writes take effect only after `late_s`;
            their answers are lost.
        late_messages: This many peer messages are late by `late_s`.
        late_s: How late, in seconds.
        skews: How far each daemon's clock is ahead, in seconds.
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
        self.doubles: list[tuple[float, str, str, str]] = []
        self.late_writes = 0
        self.late_messages = 0
        self.late_s = 0.0
        self.skews: dict[str, float] = {}
        self.agenda: list[tuple[float, int, str, Any]] = []
        self.waiting: dict[str, list[events.Event]] = {}
        self.seen: dict[str, int] = {}
        self.links: dict[tuple[str, str], int] = {}
        self.stopped: set[str] = set()
        self.sequence = 0
        self.handle = 0
        self.run_s: Callable[[works.Task], float | None] = lambda task: 0.05
        self.on_start: Callable[[], None] = lambda: None
        first = effects.StoreWrite(0, documents.CONFIG_KEY, config, 0)
        self.store.write(first, "", self.now)
        for number in range(daemons):
            self.start(f"d{number}")

    # Daemons.

    def start(self, name: str) -> None:
        """Starts a daemon with no memory of an earlier one."""
        zones = sorted({host.zone for host in self.hosts})
        zone = zones[len(self.daemons) % len(zones)]
        seed = self.rng.getrandbits(32)
        self.daemons[name] = state.State(
            name, f"ws://{name}", zone, random.Random(seed), self.tuning
        )
        self.stopped.discard(name)
        self.seen.pop(name, None)
        listed = events.HostsListed(self.now, copy.deepcopy(self.hosts))
        self.post(name, listed)
        self._at(self.now + TICK_S, name, None)

    def kill(self, name: str) -> None:
        """Ends a daemon at once."""
        self.daemons.pop(name, None)
        self.paused.discard(name)
        self.waiting.pop(name, None)
        self.agenda = [item for item in self.agenda if item[2] != name]
        heapq.heapify(self.agenda)
        self.links = {
            key: epoch for key, epoch in self.links.items() if key[0] != name
        }
        for other in self.daemons:
            if (other, name) not in self.cuts:
                self.post(
                    other, events.PeerConnectionRefused(self.now, name), DELAY_S
                )

    def pause(self, name: str) -> None:
        """Keeps a daemon's events waiting."""
        self.paused.add(name)

    def resume(self, name: str) -> None:
        """Hands a paused daemon all that waited, in order."""
        self.paused.discard(name)
        for event in self.waiting.pop(name, []):
            event.now = self.now + self.skews.get(name, 0.0)
            self._reduce(name, event)

    def cut(self, one: str, other: str) -> None:
        """Stops all traffic between two names."""
        self.cuts.update(((one, other), (other, one)))

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()

    # Hosts and configuration.

    def list_host(self, worker_id: str, listed: bool) -> None:
        """Adds a worker to the host list or removes it, for all daemons."""
        host = self.workers[worker_id].host
        kept = [item for item in self.hosts if item is not host]
        self.hosts = [*kept, host] if listed else kept
        for name in self.daemons:
            self.post(
                name, events.HostsListed(self.now, copy.deepcopy(self.hosts))
            )

    def change_config(self, config: configuration.Config) -> bool:
        """Stores a configuration; tells whether the store took it."""
        present = self.store.items[documents.CONFIG_KEY].revision
        write = effects.StoreWrite(0, documents.CONFIG_KEY, config, present)
        return self.store.write(write, "", self.now).result != "unknown"

    # Time.

    def _at(self, at: float, name: str, what: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.agenda, (at, self.sequence, name, what))

    def post(self, name: str, event: events.Event, delay_s: float = 0) -> None:
        """Hands an event to a daemon after a delay."""
        self._at(self.now + delay_s, name, event)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        until = self.now + seconds
        while self.agenda and self.agenda[0][0] <= until:
            at, _, name, what = heapq.heappop(self.agenda)
            self.now = max(self.now, at)
            if callable(what):
                what()
            elif what is None:
                self._tick(name)
            else:
                self._deliver(name, what)
        self.now = until

    def run_until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Lets time pass until something holds; tells whether it did."""
        until = self.now + seconds
        while not done() and self.now < until:
            self.run(TICK_S)
        return done()

    def _tick(self, name: str) -> None:
        if name not in self.daemons or name in self.stopped:
            return
        self.store.sweep(self.now)
        self._sweep_workers()
        self._watch(name)
        self._deliver(name, events.Tick(self.now))
        self._at(self.now + TICK_S, name, None)

    def _sweep_workers(self) -> None:
        for worker in self.workers.values():
            for report in worker.sweep(self.now):
                self._report(worker, report)

    def _watch(self, name: str) -> None:
        cut = (name, "store") in self.cuts
        if self.store.down or cut or name in self.paused:
            return
        seen = self.seen.get(name)
        self.seen[name] = len(self.store.changes)
        if seen is None:
            for prefix in WATCHED:
                self.post(name, self.store.listed(prefix, self.now))
            return
        for key, value, revision in self.store.changes[seen:]:
            if key.startswith(WATCHED):
                changed = events.StoreChanged(
                    self.now, key, stores.copied(value), revision
                )
                self.post(name, changed)
        for prefix in WATCHED:
            self.post(
                name, events.StoreWatchProgressed(self.now, prefix, self.now)
            )

    def _deliver(self, name: str, event: events.Event) -> None:
        if name not in self.daemons:
            return
        if name in self.paused:
            if not isinstance(event, events.Tick):
                self.waiting.setdefault(name, []).append(event)
            return
        event.now = self.now + self.skews.get(name, 0.0)
        self._reduce(name, event)

    def _reduce(self, name: str, event: events.Event) -> None:
        for effect in reducer.reduce(self.daemons[name], event):
            self._carry(name, effect)

    # Effects.

    def _carry(self, name: str, effect: Any) -> None:
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
            self._store(name, effect)
        else:
            self._worker(name, effect)

    def _send(self, name: str, effect: effects.SendPeer) -> None:
        if (name, effect.daemon) in self.cuts:
            return
        if effect.daemon not in self.daemons:
            refused = events.PeerConnectionRefused(self.now, effect.daemon)
            self.post(name, refused, DELAY_S)
            return
        message = pickle.loads(pickle.dumps(effect.message))
        event = events.PeerMessage(self.now, name, message)
        delay_s = DELAY_S
        if self.late_messages > 0 and name != effect.daemon:
            self.late_messages -= 1
            delay_s = self.late_s
        self.post(effect.daemon, event, delay_s)

    def _store(self, name: str, effect: Any) -> None:
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
        late = getattr(answer, "result", "") == "unknown"
        self.post(name, answer, RETRY_S if late else DELAY_S)

    def _write(
        self, effect: effects.StoreWrite, lease: str
    ) -> events.StoreAnswered:
        if self.late_writes == 0 or self.store.down:
            return self.store.write(effect, lease, self.now)
        self.late_writes -= 1
        late = copy.deepcopy(effect)
        self._at(
            self.now + self.late_s,
            "",
            lambda: self.store.write(late, lease, self.now),
        )
        return events.StoreAnswered(self.now, effect.op_id, "unknown")

    def _worker(self, name: str, effect: Any) -> None:
        worker = self.workers[effect.worker_id]
        if isinstance(effect, effects.DropWorker):
            self.links.pop((name, effect.worker_id), None)
        elif isinstance(effect, effects.ClaimWorker):
            self.links[(name, effect.worker_id)] = effect.epoch
            self._claim(name, worker, effect)
        elif isinstance(effect, effects.StartTask):
            self._start(name, worker, effect)
        else:
            self._stop_or_forget(name, worker, effect)

    def _reaches(self, name: str, worker: workers.Worker) -> bool:
        worker_id = worker.host.worker_id
        return worker.reachable and (name, worker_id) not in self.cuts

    def _linked(self, name: str, worker: workers.Worker, epoch: int) -> bool:
        return self.links.get((name, worker.host.worker_id)) == epoch

    def _claim(
        self, name: str, worker: workers.Worker, effect: effects.ClaimWorker
    ) -> None:
        if not self._linked(name, worker, effect.epoch):
            return
        if not self._reaches(name, worker):
            self._at(
                self.now + RETRY_S,
                name,
                lambda: self._claim(name, worker, effect),
            )
            return
        answer = worker.take_claim(effect, name, self.now)
        self.post(name, copy.deepcopy(answer), DELAY_S)
        if isinstance(answer, events.WorkerClaimed):
            self._at(
                self.now + RENEW_S,
                name,
                lambda: self._renew(name, worker, effect),
            )

    def _renew(
        self, name: str, worker: workers.Worker, effect: effects.ClaimWorker
    ) -> None:
        if not self._linked(name, worker, effect.epoch):
            return
        worker_id, epoch = worker.host.worker_id, effect.epoch
        code = None
        if not self._reaches(name, worker):
            code = codes.Code.WORKER_UNREACHABLE
        elif worker.epoch != epoch:
            code = codes.Code.STALE_EPOCH
        if code is not None:
            lost = events.WorkerLost(self.now, worker_id, epoch, code, self.now)
            self.post(name, lost)
            self._claim(name, worker, effect)
            return
        if name not in self.paused:
            worker.lease_until = self.now + worker.lease_s
            renewed = events.WorkerRenewed(
                self.now, worker_id, epoch, self.now, worker.leaving
            )
            self.post(name, renewed)
            for key in list(worker.runs):
                self._report(worker, worker.report(key))
        self._at(
            self.now + RENEW_S,
            name,
            lambda: self._renew(name, worker, effect),
        )

    def _start(
        self, name: str, worker: workers.Worker, effect: effects.StartTask
    ) -> None:
        task = stores.copied(effect.task)
        key = (task.task_id, task.attempt)
        code = codes.Code.UNKNOWN
        fresh = key not in worker.runs
        if self._reaches(name, worker):
            sent = effects.StartTask(
                effect.worker_id,
                effect.url,
                effect.epoch,
                effect.claim,
                task,
                effect.start_before,
            )
            code = worker.take_start(sent, self.now)
            if fresh and key in worker.runs:
                self._check_double(worker, task)
                self._plan_end(worker, task)
                self.on_start()
        answer = events.StartAnswered(
            self.now, effect.worker_id, effect.epoch, *key, code
        )
        self.post(name, answer, DELAY_S)
        if code in (codes.Code.UNKNOWN, codes.Code.STALE_EPOCH):
            again = effects.ClaimWorker(
                effect.worker_id,
                effect.url,
                effect.epoch,
                self.tuning.worker_lease_s,
            )
            self._at(
                self.now + RETRY_S,
                name,
                lambda: self._claim(name, worker, again),
            )

    def _check_double(self, worker: workers.Worker, task: works.Task) -> None:
        for other in self.workers.values():
            if other is worker:
                continue
            for (task_id, _), run in other.runs.items():
                if task_id == task.task_id and not run.ended:
                    names = (other.host.worker_id, worker.host.worker_id)
                    self.doubles.append((self.now, task_id, *names))

    def _plan_end(self, worker: workers.Worker, task: works.Task) -> None:
        run_s = self.run_s(task)
        if run_s is not None:
            run_s = max(0.0, run_s - float(task.checkpoint or 0.0))
        if run_s is None or task.kind == works.Kind.SERVICE:
            return
        key = (task.task_id, task.attempt)
        self._at(
            self.now + run_s,
            "",
            lambda: self._report(worker, worker.end(key, True)),
        )

    def _report(
        self, worker: workers.Worker, report: events.TaskEnded | None
    ) -> None:
        if report is None or worker.owner not in self.daemons:
            return
        if self._reaches(worker.owner, worker):
            self.post(worker.owner, report, DELAY_S)

    def _stop_or_forget(
        self, name: str, worker: workers.Worker, effect: Any
    ) -> None:
        if not self._reaches(name, worker) or effect.epoch != worker.epoch:
            return
        key = (effect.task_id, effect.attempt)
        if isinstance(effect, effects.ForgetTask):
            worker.forget(key)
        elif effect.checkpoint:
            self._report(worker, worker.checkpoint(key, self.now))
        else:
            self._at(
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
        """Has an operator confirm a change; returns the reply's handle.

        Args:
            name: The daemon.
            change: The change.
            base_number: Configuration that its plan was made on; the one in
                force at the daemon if negative.
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
        """Returns what a team's tasks use on all workers."""
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
        """Tells whether every partition has one owner that knows all."""
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
        heard = all(
            worker.claimed
            for daemon in self.daemons.values()
            for shard in daemon.shards.values()
            for worker in shard.workers.values()
        )
        names = next(iter(self.daemons.values())).partition_names
        return (
            bool(names) and loaded and heard and sorted(owned) == sorted(names)
        )
