"""Measures how one daemon's costs grow, one quantity varied at a time."""

import dataclasses
import gc
import json
import os
import sys
import time
import tracemalloc
from typing import Any

import fire
import harness
import tabulate

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import state
from mimosaridge_core import summaries
from mimosaridge_core import tunables
from mimosaridge_core import works
from mimosaridge_daemon import codec
from mimosaridge_daemon import collector
from mimosaridge_standins import deployments

IDLE_S = 6.0
WINDOWS = 4
POLL_S = 5.0
WATCH_S = 2.0
MIB = 1 << 20
STARTS_PER_S = 300
ZONES = 2
BUCKETS = 3
LEDGER_BYTES = 16_000_000
RECORDS_PER_WORK = 6
CALL_SETTLE_S = 3.0
CALL_MEASURE_S = 10.0
HEADERS = (
    "varied",
    "value",
    "reducer ms/s",
    "codec ms/s",
    "sent bytes/s",
    "memory MiB",
    "store calls/s",
)


@dataclasses.dataclass(slots=True)
class Size:
    """What one daemon looks after.

    Attributes:
        workers: Workers that it owns.
        running: Tasks that run on them and are homed here.
        teams: Teams that have tasks.
        peers: Other daemons.
        changes: Changes of the configuration a minute.
        factor: How many times as large as usual the workers are.
        job: Tasks of a job.
    """

    workers: int = 350
    running: int = 700
    teams: int = 75
    peers: int = 5
    changes: int = 0
    factor: int = 1
    job: int = 1


FLEET = Size(4300, 92_000, 300, 0, 8, 4, 20)
VARIED = {
    "workers": (175, 350, 700, 1400),
    "running": (175, 350, 700, 1400),
    "teams": (10, 75, 150, 300),
    "peers": (2, 5, 11, 23),
    "changes": (0, 15, 30, 60),
}


class Measured(harness.Daemon):
    """A daemon whose peer traffic is encoded, and its peers.

    Attributes:
        codec_ns: Time spent on encoding and decoding.
        sent_bytes: Bytes sent to all peers.
        own_messages: Messages between the roles of this daemon, which would
            go to peers if these held them; None if they are not kept.
    """

    codec_ns = 0
    sent_bytes = 0
    own_messages: list[Any] | None = None
    latest: Any = None
    latest_bytes = 0

    def _send(self, effect: effects.SendPeer) -> None:
        super()._send(effect)
        if effect.daemon == self.state.name:
            if self.own_messages is not None:
                self.own_messages.append(effect.message)
            return
        if effect.message is not self.latest:
            self.latest = effect.message
            begun = time.perf_counter_ns()
            data = codec.encode_message(self.state.name, self.latest)
            self.codec_ns += time.perf_counter_ns() - begun
            self.latest_bytes = len(data)
        self.sent_bytes += self.latest_bytes

    def receive(self, sender: str, data: bytes) -> None:
        """Feeds an encoded message of a peer."""
        begun = time.perf_counter_ns()
        _, message = codec.decode_message(data)
        self.codec_ns += time.perf_counter_ns() - begun
        message.sent_at = message.word_at = self.now
        self.feed(events.PeerMessage(self.now, sender, message))

    def change_config(self) -> None:
        """Feeds the next configuration as the store's watch gives it."""
        config = self.state.config
        encoded = codec.encode_document(config)
        begun = time.perf_counter_ns()
        value = codec.decode_document("config", json.loads(encoded))
        self.codec_ns += time.perf_counter_ns() - begun
        value.number = config.number + 1
        changed = events.StoreChanged(self.now, "config", value, value.number)
        self.feed(changed)


def _fill(size: Size, kept: list[Any] | None = None) -> Measured:
    hosts = harness.make_hosts(size.workers, ZONES, size.factor)
    config = harness.make_config(size.teams)
    tuning = tunables.Tunables(buckets=BUCKETS, ledger_bytes=LEDGER_BYTES)
    daemon = Measured(hosts, config, tuning)
    daemon.own_messages = kept
    for work in harness.make_works(size.running // size.job, size.teams):
        work.kind = works.Kind.BATCH
        work.count = size.job
        daemon.now += 1 / STARTS_PER_S
        daemon.submit(work, within_s=3600.0)
        daemon.tick()
    daemon.run_idle(2.0)
    if len(daemon.running) != size.running // size.job * size.job:
        raise RuntimeError(f"only {len(daemon.running)} tasks run")
    return daemon


def _peer_messages(daemon: Measured, size: Size) -> dict[str, list[bytes]]:
    """Returns each peer's heartbeats: with what teams use, and without."""
    made = {}
    for number in range(size.peers):
        name = f"peer-{number}"
        made[name] = [
            codec.encode_message(
                name, _heartbeat(daemon.state, name, with_teams)
            )
            for with_teams in (True, False)
        ]
    return made


def _heartbeat(
    st: state.State,
    name: str,
    with_teams: bool,
) -> messages.Heartbeat:
    """Returns a heartbeat of a peer that takes over no partitions."""
    told = summaries.summarize_all(st, with_teams)
    told = [
        dataclasses.replace(item, shard=f"shard-{name}-{position}")
        for position, item in enumerate(told)
    ]
    epochs = {item.shard: item.epoch for item in told}
    return messages.Heartbeat(
        f"ws://{name}",
        "zone-0",
        st.config.number,
        True,
        epochs,
        told,
        st.now,
        st.now,
        with_teams,
    )


def _idle(daemon: Measured, size: Size, seconds: float) -> None:
    """Lets a daemon do its standing work for a while."""
    beats = _peer_messages(daemon, size)
    tuning = daemon.state.tuning
    epochs = {
        worker_id: shard.epoch
        for shard in daemon.state.shards.values()
        for worker_id in shard.workers
    }
    workers = sorted(epochs)
    done = [0, 0, 0]
    begun = daemon.now
    held = len(daemon.state.shards)
    while daemon.now < begun + seconds:
        daemon.now += harness.TICK_S
        daemon.tick()
        passed = daemon.now - begun
        while done[0] < passed * len(workers) / POLL_S:
            worker_id = workers[done[0] % len(workers)]
            daemon.feed(
                events.WorkerRenewed(
                    daemon.now, worker_id, epochs[worker_id], daemon.now, False
                )
            )
            done[0] += 1
        while done[1] < passed / tuning.heartbeat_s:
            seldom = round(tuning.team_use_interval_s / tuning.heartbeat_s)
            for name, forms in beats.items():
                daemon.receive(name, forms[done[1] % seldom > 0])
            done[1] += 1
        while done[2] < passed * size.changes / 60:
            daemon.change_config()
            done[2] += 1
    if len(daemon.state.shards) != held:
        raise RuntimeError("shards were given away")


def _measure(size: Size) -> list[float]:
    """Measures a size; of processor times the least of several windows."""
    daemon = _fill(size)
    _idle(daemon, size, 1.0)
    found = [_window(daemon, size) for _ in range(WINDOWS)]
    reducer_ms = min(figures[0] for figures in found)
    codec_ms = min(figures[1] for figures in found)
    _, _, sent, calls = found[-1]
    return [reducer_ms, codec_ms, sent, _memory_mib(size), calls]


def _window(daemon: Measured, size: Size) -> list[float]:
    daemon.spent_ns.clear()
    daemon.stores.clear()
    daemon.codec_ns = daemon.sent_bytes = 0
    _idle(daemon, size, IDLE_S)
    spent_ns = sum(map(sum, daemon.spent_ns.values()))
    calls = sum(daemon.stores.values()) / IDLE_S
    calls += len(harness.WATCHED) / WATCH_S
    return [
        spent_ns / 1e6 / IDLE_S,
        daemon.codec_ns / 1e6 / IDLE_S,
        daemon.sent_bytes / IDLE_S,
        calls,
    ]


def _memory_mib(size: Size) -> float:
    gc.collect()
    tracemalloc.start()
    daemon = _fill(size)
    _idle(daemon, size, 1.0)
    daemon.spent_ns.clear()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / MIB


def slope(points: list[tuple[float, float]]) -> float:
    """Returns the slope of the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return over / sum((x - mean_x) ** 2 for x, _ in points)


def _ledger_bytes(tasks: int) -> int:
    """Returns the bytes of a ledger's entry for a job of some tasks."""
    daemon = harness.Daemon(harness.make_hosts(100), harness.make_config(1))
    (work,) = harness.make_works(1, 1)
    work.kind = works.Kind.BATCH
    work.count = tasks
    daemon.submit(work)
    daemon.run_idle(1.0)
    buckets = daemon.state.buckets.values()
    return sum(
        len(codec.encode_document(entry))
        for bucket in buckets
        for entry in bucket.ledger.entries.values()
    )


def _ring_mib() -> float:
    """Returns the memory of a full ring of records, six to a work."""
    gc.collect()
    tracemalloc.start()
    ring = account.Ring()
    for number in range(2 * ring.limit):
        record = account.Record(
            harness.START + number,
            "daemon-0",
            f"work-{number // RECORDS_PER_WORK:032d}",
            f"work-{number // RECORDS_PER_WORK:032d}/0",
            account.Rule.PLACEMENT,
            codes.Code.OK,
            1,
            1,
            f"Placed on worker registry-{number:04d} by best-fit.",
        )
        ring.add(record)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / MIB


def _start_bytes() -> float:
    """Returns the bytes between roles for one task, from caller to end."""
    tasks = Size().running
    daemon = _fill(Size(), kept=[])
    while daemon.running:
        daemon.end_oldest()
    daemon.run_idle(1.0)
    sent = sum(
        len(codec.encode_message("daemon-0", message))
        for message in daemon.own_messages
    )
    return sent / tasks


def _config_bytes(teams: int) -> int:
    config = harness.make_config(teams)
    return len(codec.encode_document(config))


def _status(pid: int, name: str) -> int:
    """Returns a number from a process's status."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith(name):
                return int(line.split()[1])
    raise KeyError(name)


def _cpu_s(pid: int) -> float:
    """Returns the processor time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _standing(workers: int) -> list[Any]:
    """Measures a real daemon that only keeps in touch with its workers."""
    environment = {"MIMOSARIDGE_LOG_LEVEL": "WARNING"}
    deployment = deployments.Deployment("queensland", 1, environment)
    pattern = deployment.hosts[0]
    deployment.hosts = [
        pattern
        | {
            "worker_id": f"w-{number}",
            "url": f"{deployment.workers_url}/workers/w-{number}",
        }
        for number in range(workers)
    ]
    deployment.zones = [pattern["zone"]]
    try:
        deployment.start()
        time.sleep(CALL_SETTLE_S)
        pid = deployment.pid("daemon-0")
        begun = _cpu_s(pid)
        time.sleep(CALL_MEASURE_S)
        spent_ms = (_cpu_s(pid) - begun) * 1000 / CALL_MEASURE_S
        return [workers, spent_ms, _status(pid, "VmRSS") / 1024]
    finally:
        deployment.stop()


def standing(workers: tuple[int, ...] = (25, 100, 400)) -> None:
    """Prints what a real daemon without work costs.

    Args:
        workers: Numbers of workers that it owns.
    """
    rows = [_standing(count) for count in workers]
    rows.append(
        ["slope"]
        + [slope([(row[0], row[column]) for row in rows]) for column in (1, 2)]
    )
    print(tabulate.tabulate(rows, ("workers", "CPU ms/s", "RSS MiB")))


def whole(daemons: tuple[int, ...] = (6, 12, 24)) -> None:
    """Prints what one of several daemons costs at the size of the letter.

    Args:
        daemons: Numbers of daemons that share the fleet.
    """
    collector.configure()
    rows = []
    for count in daemons:
        size = Size(
            FLEET.workers // count,
            FLEET.running // count,
            FLEET.teams,
            count - 1,
            FLEET.changes,
            FLEET.factor,
            FLEET.job,
        )
        rows.append([count, size.workers, size.running, *_measure(size)])
        print(rows[-1], file=sys.stderr, flush=True)
    headers = ("daemons", "workers", "running", *HEADERS[2:])
    print(tabulate.tabulate(rows, headers, floatfmt=".4g"))


def slopes() -> None:
    """Prints what the reducer and the codec cost, then the slopes."""
    collector.configure()
    rows: list[list[Any]] = []
    fitted: list[list[Any]] = []
    for name, values in VARIED.items():
        found = []
        for value in values:
            figures = _measure(dataclasses.replace(Size(), **{name: value}))
            found.append((value, figures))
            rows.append([name, value, *figures])
            print(rows[-1], file=sys.stderr, flush=True)
        columns = range(len(HEADERS) - 2)
        fitted.append(
            [name, "slope"]
            + [slope([(x, y[column]) for x, y in found]) for column in columns]
        )
    print(f"base: {Size()}")
    print(tabulate.tabulate(rows, HEADERS, floatfmt=".4g"))
    print(tabulate.tabulate(fitted, HEADERS, floatfmt=".4g"))
    for tasks in (1, 100):
        size = _ledger_bytes(tasks)
        print(f"bytes of a ledger's entry of {tasks} tasks: {size}")
    print(f"bytes between roles for a job of one task: {_start_bytes():.0f}")
    print(f"MiB of a full ring of records: {_ring_mib():.1f}")
    for teams in (75, 300):
        size = _config_bytes(teams)
        print(f"bytes of a configuration of {teams} teams: {size}")


if __name__ == "__main__":
    fire.Fire({"slopes": slopes, "standing": standing, "whole": whole})
