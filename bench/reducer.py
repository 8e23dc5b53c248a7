"""Compares the reducer with a first-in, first-out, first-fit baseline.

Each task is one request that is submitted, routed, placed, started, ended and
settled. Simulated time advances by 1/300 s per task and the daemon receives a
tick every 20 ms.
"""

import dataclasses
import json
import sys
import time
from typing import Any

import baseline
import fire
import harness
import tabulate

from mimosaridge_daemon import collector

STARTS_PER_S = 300
UTILIZATION = 0.7
WORKER_SLOTS = 8
HEADERS = (
    "load",
    "workers",
    "tasks/s",
    "events/s",
    "route p50",
    "p99",
    "place p50",
    "p99",
    "end p50",
    "p99",
    "tick p50",
    "p99",
    "fifo place p50",
    "p99",
    "fifo end p50",
    "p99",
)
COLUMNS = ("WorkSubmitted", "PlaceTask", "TaskEnded", "Tick")


@dataclasses.dataclass(slots=True)
class Load:
    """A load that both schedulers run.

    Attributes:
        name: Name in the table.
        workers: Number of workers of the daemon.
        teams: Number of teams that submit tasks.
        running: Number of running tasks, constant after the warm-up.
        waiting: Number of waiting tasks, constant after the warm-up.
    """

    name: str
    workers: int
    teams: int
    running: int
    waiting: int


def _run_reducer(load: Load, tasks: int) -> harness.Daemon:
    hosts = harness.make_hosts(load.workers)
    daemon = harness.Daemon(hosts, harness.make_config(load.teams))
    warm_up_tasks = load.running + load.waiting
    next_tick = daemon.now
    works = harness.make_works(tasks + warm_up_tasks, load.teams)
    for number, work in enumerate(works):
        if number == warm_up_tasks:
            daemon.durations_ns.clear()
        daemon.now += 1 / STARTS_PER_S
        if daemon.now >= next_tick:
            next_tick = daemon.now + harness.TICK_INTERVAL_S
            daemon.tick()
        daemon.submit(work, within_s=3600.0)
        if number >= warm_up_tasks:
            daemon.end_oldest()
    return daemon


def _run_baseline(load: Load, tasks: int) -> baseline.Baseline:
    scheduler = baseline.Baseline(harness.make_hosts(load.workers))
    warm_up_tasks = load.running + load.waiting
    for number, work in enumerate(
        harness.make_works(tasks + warm_up_tasks, load.teams)
    ):
        if number == warm_up_tasks:
            scheduler.durations_ns = {"place": [], "end": []}
        scheduler.submit(work)
        if number >= warm_up_tasks:
            scheduler.end_oldest()
    return scheduler


def _percentiles_us(values: list[int]) -> list[float]:
    return [
        harness.percentile(values, fraction) / 1000 for fraction in (0.5, 0.99)
    ]


def _measure(load: Load, tasks: int) -> list[Any]:
    daemon = _run_reducer(load, tasks)
    fifo = _run_baseline(load, tasks)
    reducer_s = sum(map(sum, daemon.durations_ns.values())) / 1e9
    event_count = sum(map(len, daemon.durations_ns.values()))
    row: list[Any] = [load.name, load.workers]
    row += [tasks / reducer_s, event_count / reducer_s]
    for name in COLUMNS:
        row += _percentiles_us(daemon.durations_ns.get(name, []))
    return (
        row
        + _percentiles_us(fifo.durations_ns["place"])
        + _percentiles_us(fifo.durations_ns["end"])
    )


def main(
    workers: tuple[int, ...] = (25, 250, 700, 1000, 4300),
    tasks: int = 3000,
    teams: int = 300,
    json_lines: bool = False,
) -> None:
    """Prints a table with times in microseconds.

    Args:
        workers: Numbers of workers to measure.
        tasks: Number of measured tasks per load, after the warm-up.
        teams: Number of teams that submit tasks.
        json_lines: Whether to print one JSON list per row instead.
    """
    collector.configure()
    rows = []
    for count in workers:
        slots = count * WORKER_SLOTS
        open_load = Load("open", count, teams, int(slots * UTILIZATION / 2), 0)
        full_load = Load("full", count, teams, slots, 1000)
        for load in (open_load, full_load):
            started_at = time.time()
            rows.append(_measure(load, tasks))
            elapsed_s = time.time() - started_at
            message = f"{load.name} {count}: {elapsed_s:.1f} s"
            print(message, file=sys.stderr, flush=True)
            if json_lines:
                print(json.dumps(rows[-1]), flush=True)
    if not json_lines:
        print(tabulate.tabulate(rows, HEADERS, floatfmt=".0f"))


if __name__ == "__main__":
    fire.Fire(main)
