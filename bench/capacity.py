"""Measures how the cost of one daemon grows with each load parameter."""

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
from mimosaridge_core import documents
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

WINDOW_S = 6.0
WINDOWS = 4
RENEWAL_INTERVAL_S = 5.0
STORE_PROGRESS_INTERVAL_S = 2.0
MIB = 1 << 20
STARTS_PER_S = 300
ZONES = 2
BUCKETS = 3
LEDGER_BYTES = 16_000_000
RECORDS_PER_WORK = 6
DAEMON_SETTLE_S = 3.0

codec.register_messages(messages.ALL)
DAEMON_MEASURE_S = 10.0
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
    """The load of one daemon.

    Attributes:
        workers: Number of workers that it owns.
        running: Number of tasks that run on its workers and have it as home.
        teams: Number of teams that have tasks.
        peers: Number of other daemons.
        changes: Configuration changes per minute.
        factor: Multiple of the default worker capacity.
        job: Number of tasks per job.
    """

    workers: int = 350
    running: int = 700
    teams: int = 75
    peers: int = 5
    changes: int = 0
    factor: int = 1
    job: int = 1


TARGET_FLEET = Size(4300, 92_000, 300, 0, 8, 4, 20)
VARIED = {
    "workers": (175, 350, 700, 1400),
    "running": (175, 350, 700, 1400),
    "teams": (10, 75, 150, 300),
    "peers": (2, 5, 11, 23),
    "changes": (0, 15, 30, 60),
}


class MeasuredDaemon(harness.Daemon):
    """A daemon that encodes and decodes its peer messages.

    Attributes:
        codec_ns: Encoding and decoding time in nanoseconds.
        sent_bytes: Bytes sent to all peers.
        local_messages: Messages between roles of this daemon, which would be
            sent to peers if those had the roles; None if not recorded.
        last_message: Latest message sent to a peer.
        last_message_bytes: Encoded size of that message.
    """

    codec_ns = 0
    sent_bytes = 0
    local_messages: list[Any] | None = None
    last_message: Any = None
    last_message_bytes = 0

    def _send(self, effect: effects.SendPeer) -> None:
        super()._send(effect)
        if effect.daemon == self.state.name:
            if self.local_messages is not None:
                self.local_messages.append(effect.message)
            return
        if effect.message is not self.last_message:
            self.last_message = effect.message
            started_ns = time.perf_counter_ns()
            data = codec.encode_message(self.state.name, self.last_message)
            self.codec_ns += time.perf_counter_ns() - started_ns
            self.last_message_bytes = len(data)
        self.sent_bytes += self.last_message_bytes

    def receive(self, sender: str, data: bytes) -> None:
        """Decodes a message from a peer and reduces it."""
        started_ns = time.perf_counter_ns()
        _, message = codec.decode_message(data)
        self.codec_ns += time.perf_counter_ns() - started_ns
        message.sent_at = message.word_at = self.now
        self.feed(events.PeerMessage(self.now, sender, message))

    def change_config(self) -> None:
        """Feeds the next configuration as if it came from the store watch."""
        config = self.state.config
        encoded = codec.encode_document(config)
        started_ns = time.perf_counter_ns()
        value = codec.decode_document(
            documents.document_type("config"), json.loads(encoded)
        )
        self.codec_ns += time.perf_counter_ns() - started_ns
        value.number = config.number + 1
        changed = events.StoreChanged(self.now, "config", value, value.number)
        self.feed(changed)


def _make_loaded_daemon(
    size: Size, local_messages: list[Any] | None = None
) -> MeasuredDaemon:
    hosts = harness.make_hosts(size.workers, ZONES, size.factor)
    config = harness.make_config(size.teams)
    tuning = tunables.Tunables(buckets=BUCKETS, ledger_bytes=LEDGER_BYTES)
    daemon = MeasuredDaemon(hosts, config, tuning)
    daemon.local_messages = local_messages
    for work in harness.make_works(size.running // size.job, size.teams):
        work.kind = works.Kind.BATCH
        work.count = size.job
        daemon.now += 1 / STARTS_PER_S
        daemon.submit(work, within_s=3600.0)
        daemon.tick()
    daemon.run_idle(2.0)
    if len(daemon.running) != size.running // size.job * size.job:
        raise RuntimeError(
            f"only {len(daemon.running)} of"
            f" {size.running // size.job * size.job} tasks are running"
        )
    return daemon


def _peer_heartbeats(
    daemon: MeasuredDaemon, size: Size
) -> dict[str, list[bytes]]:
    """Returns each peer's encoded heartbeats, with and without team use."""
    heartbeats = {}
    for number in range(size.peers):
        name = f"peer-{number}"
        heartbeats[name] = [
            codec.encode_message(
                name, _heartbeat(daemon.state, name, with_teams)
            )
            for with_teams in (True, False)
        ]
    return heartbeats


def _heartbeat(
    st: state.State,
    name: str,
    with_teams: bool,
) -> messages.Heartbeat:
    """Returns a heartbeat from a peer that does not take over partitions."""
    shard_summaries = summaries.summarize_all(st, with_teams)
    shard_summaries = [
        dataclasses.replace(item, shard=f"shard-{name}-{position}")
        for position, item in enumerate(shard_summaries)
    ]
    epochs = {item.shard: item.epoch for item in shard_summaries}
    return messages.Heartbeat(
        f"ws://{name}",
        "zone-0",
        st.config.number,
        True,
        epochs,
        shard_summaries,
        st.now,
        st.now,
        with_teams,
    )


def _run_background_work(
    daemon: MeasuredDaemon, size: Size, seconds: float
) -> None:
    """Runs periodic work for some seconds of simulated time.

    Raises:
        RuntimeError: The daemon gave up or gained a shard.
    """
    heartbeats = _peer_heartbeats(daemon, size)
    tuning = daemon.state.tuning
    epochs = {
        worker_id: shard.epoch
        for shard in daemon.state.shards.values()
        for worker_id in shard.workers
    }
    workers = sorted(epochs)
    # Worker renewals, heartbeat rounds and configuration changes so far.
    counts = [0, 0, 0]
    start_time = daemon.now
    shard_count = len(daemon.state.shards)
    while daemon.now < start_time + seconds:
        daemon.now += harness.TICK_INTERVAL_S
        daemon.tick()
        elapsed_s = daemon.now - start_time
        while counts[0] < elapsed_s * len(workers) / RENEWAL_INTERVAL_S:
            worker_id = workers[counts[0] % len(workers)]
            daemon.feed(
                events.WorkerRenewed(
                    daemon.now, worker_id, epochs[worker_id], daemon.now, False
                )
            )
            counts[0] += 1
        while counts[1] < elapsed_s / tuning.heartbeat_s:
            team_use_period = round(
                tuning.team_use_interval_s / tuning.heartbeat_s
            )
            for name, variants in heartbeats.items():
                daemon.receive(name, variants[counts[1] % team_use_period > 0])
            counts[1] += 1
        while counts[2] < elapsed_s * size.changes / 60:
            daemon.change_config()
            counts[2] += 1
    if len(daemon.state.shards) != shard_count:
        raise RuntimeError(
            f"owned shards changed from {shard_count}"
            f" to {len(daemon.state.shards)}"
        )


def _measure(size: Size) -> list[float]:
    """Measures a load; CPU times are the minimum of several windows."""
    daemon = _make_loaded_daemon(size)
    _run_background_work(daemon, size, 1.0)
    windows = [_measure_window(daemon, size) for _ in range(WINDOWS)]
    reducer_ms = min(figures[0] for figures in windows)
    codec_ms = min(figures[1] for figures in windows)
    _, _, sent_bytes_per_s, store_calls_per_s = windows[-1]
    return [
        reducer_ms,
        codec_ms,
        sent_bytes_per_s,
        _memory_mib(size),
        store_calls_per_s,
    ]


def _measure_window(daemon: MeasuredDaemon, size: Size) -> list[float]:
    daemon.durations_ns.clear()
    daemon.store_calls.clear()
    daemon.codec_ns = daemon.sent_bytes = 0
    _run_background_work(daemon, size, WINDOW_S)
    reducer_ns = sum(map(sum, daemon.durations_ns.values()))
    store_calls_per_s = sum(daemon.store_calls.values()) / WINDOW_S
    store_calls_per_s += (
        len(harness.WATCHED_PREFIXES) / STORE_PROGRESS_INTERVAL_S
    )
    return [
        reducer_ns / 1e6 / WINDOW_S,
        daemon.codec_ns / 1e6 / WINDOW_S,
        daemon.sent_bytes / WINDOW_S,
        store_calls_per_s,
    ]


def _memory_mib(size: Size) -> float:
    gc.collect()
    tracemalloc.start()
    daemon = _make_loaded_daemon(size)
    _run_background_work(daemon, size, 1.0)
    daemon.durations_ns.clear()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes / MIB


def slope(points: list[tuple[float, float]]) -> float:
    """Returns the slope of the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


def _ledger_entry_bytes(tasks: int) -> int:
    """Returns the encoded size in bytes of a job's ledger entry."""
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
    """Returns the memory of a full ring, with 6 records per work item."""
    gc.collect()
    tracemalloc.start()
    ring = account.Ring()
    for number in range(2 * ring.limit):
        record = account.Record(
            harness.START_TIME_S + number,
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
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes / MIB


def _message_bytes() -> float:
    """Returns bytes sent between roles per task, from submission to end."""
    tasks = Size().running
    daemon = _make_loaded_daemon(Size(), local_messages=[])
    while daemon.running:
        daemon.end_oldest()
    daemon.run_idle(1.0)
    total_bytes = sum(
        len(codec.encode_message("daemon-0", message))
        for message in daemon.local_messages
    )
    return total_bytes / tasks


def _config_bytes(teams: int) -> int:
    config = harness.make_config(teams)
    return len(codec.encode_document(config))


def _status_value(pid: int, name: str) -> int:
    """Returns a numeric field of /proc/PID/status.

    Raises:
        KeyError: The process has no such field.
    """
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith(name):
                return int(line.split()[1])
    raise KeyError(name)


def _cpu_s(pid: int) -> float:
    """Returns the CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _measure_idle_daemon(workers: int) -> list[Any]:
    """Measures a daemon process that owns workers but has no work."""
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
        time.sleep(DAEMON_SETTLE_S)
        pid = deployment.pid("daemon-0")
        start_cpu_s = _cpu_s(pid)
        time.sleep(DAEMON_MEASURE_S)
        cpu_ms_per_s = (_cpu_s(pid) - start_cpu_s) * 1000 / DAEMON_MEASURE_S
        return [workers, cpu_ms_per_s, _status_value(pid, "VmRSS") / 1024]
    finally:
        deployment.stop()


def standing(workers: tuple[int, ...] = (25, 100, 400)) -> None:
    """Prints CPU time and memory of a daemon process without work.

    Args:
        workers: Numbers of owned workers to measure.
    """
    rows = [_measure_idle_daemon(count) for count in workers]
    rows.append(
        ["slope"]
        + [slope([(row[0], row[column]) for row in rows]) for column in (1, 2)]
    )
    print(tabulate.tabulate(rows, ("workers", "CPU ms/s", "RSS MiB")))


def whole(daemons: tuple[int, ...] = (6, 12, 24)) -> None:
    """Prints the cost of one daemon at the required fleet size.

    Args:
        daemons: Numbers of daemons that share the fleet.
    """
    collector.configure()
    rows = []
    for count in daemons:
        size = Size(
            TARGET_FLEET.workers // count,
            TARGET_FLEET.running // count,
            TARGET_FLEET.teams,
            count - 1,
            TARGET_FLEET.changes,
            TARGET_FLEET.factor,
            TARGET_FLEET.job,
        )
        rows.append([count, size.workers, size.running, *_measure(size)])
        print(rows[-1], file=sys.stderr, flush=True)
    headers = ("daemons", "workers", "running", *HEADERS[2:])
    print(tabulate.tabulate(rows, headers, floatfmt=".4g"))


def slopes() -> None:
    """Prints the costs of the reducer and the codec, and their slopes."""
    collector.configure()
    rows: list[list[Any]] = []
    slope_rows: list[list[Any]] = []
    for name, values in VARIED.items():
        points = []
        for value in values:
            figures = _measure(dataclasses.replace(Size(), **{name: value}))
            points.append((value, figures))
            rows.append([name, value, *figures])
            print(rows[-1], file=sys.stderr, flush=True)
        columns = range(len(HEADERS) - 2)
        slope_rows.append(
            [name, "slope"]
            + [slope([(x, y[column]) for x, y in points]) for column in columns]
        )
    print(f"base: {Size()}")
    print(tabulate.tabulate(rows, HEADERS, floatfmt=".4g"))
    print(tabulate.tabulate(slope_rows, HEADERS, floatfmt=".4g"))
    for tasks in (1, 100):
        size = _ledger_entry_bytes(tasks)
        print(f"bytes of a ledger's entry of {tasks} tasks: {size}")
    print(f"bytes between roles for a job of one task: {_message_bytes():.0f}")
    print(f"MiB of a full ring of records: {_ring_mib():.1f}")
    for teams in (75, 300):
        size = _config_bytes(teams)
        print(f"bytes of a configuration of {teams} teams: {size}")


if __name__ == "__main__":
    fire.Fire({"slopes": slopes, "standing": standing, "whole": whole})
