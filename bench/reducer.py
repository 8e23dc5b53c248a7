"""Measures the reducer beside first in, first out with first fit.

Each task is one request: submitted, routed, placed, started, ended, settled.
The clock of the run moves by 1/300 s for each task and ticks every 20 ms.
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
BUSY = 0.7
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
    """A load for both schedulers.

    Attributes:
        name: Its name.
        workers: Workers of the daemon.
        teams: Teams that submit.
        running: Tasks that run all the time.
        waiting: Tasks that wait all the time.
    """

    name: str
    workers: int
    teams: int
    running: int
    waiting: int


def _run_reducer(load: Load, tasks: int) -> harness.Daemon:
    hosts = harness.make_hosts(load.workers)
    daemon = harness.Daemon(hosts, harness.make_config(load.teams))
    total = load.running + load.waiting
    ticks_at = daemon.now
    works = harness.make_works(tasks + total, load.teams)
    for number, work in enumerate(works):
        if number == total:
            daemon.spent_ns.clear()
        daemon.now += 1 / STARTS_PER_S
        if daemon.now >= ticks_at:
            ticks_at = daemon.now + harness.TICK_S
            daemon.tick()
        daemon.submit(work, within_s=3600.0)
        if number >= total:
            daemon.end_oldest()
    return daemon


def _run_baseline(load: Load, tasks: int) -> baseline.Baseline:
    scheduler = baseline.Baseline(harness.make_hosts(load.workers))
    total = load.running + load.waiting
    for number, work in enumerate(
        harness.make_works(tasks + total, load.teams)
    ):
        if number == total:
            scheduler.spent_ns = {"place": [], "end": []}
        scheduler.submit(work)
        if number >= total:
            scheduler.end_oldest()
    return scheduler


def _pair(values: list[int]) -> list[float]:
    return [
        harness.percentile(values, fraction) / 1000 for fraction in (0.5, 0.99)
    ]


def _measure(load: Load, tasks: int) -> list[Any]:
    daemon = _run_reducer(load, tasks)
    first = _run_baseline(load, tasks)
    spent_s = sum(map(sum, daemon.spent_ns.values())) / 1e9
    handled = sum(map(len, daemon.spent_ns.values()))
    row: list[Any] = [load.name, load.workers]
    row += [tasks / spent_s, handled / spent_s]
    for name in COLUMNS:
        row += _pair(daemon.spent_ns.get(name, []))
    return row + _pair(first.spent_ns["place"]) + _pair(first.spent_ns["end"])


def main(
    workers: tuple[int, ...] = (25, 250, 700, 1000, 4300),
    tasks: int = 3000,
    teams: int = 300,
    json_lines: bool = False,
) -> None:
    """Prints a table; times are microseconds.

    Args:
        workers: Numbers of workers of the daemon.
        tasks: Tasks measured for each number, after the warm-up.
        teams: Teams that submit.
        json_lines: Print one JSON list a row instead.
    """
    collector.configure()
    rows = []
    for count in workers:
        slots = count * WORKER_SLOTS
        open_load = Load("open", count, teams, int(slots * BUSY / 2), 0)
        full_load = Load("full", count, teams, slots, 1000)
        for load in (open_load, full_load):
            begun = time.time()
            rows.append(_measure(load, tasks))
            elapsed_s = time.time() - begun
            note = f"{load.name} {count}: {elapsed_s:.1f} s"
            print(note, file=sys.stderr, flush=True)
            if json_lines:
                print(json.dumps(rows[-1]), flush=True)
    if not json_lines:
        print(tabulate.tabulate(rows, HEADERS, floatfmt=".0f"))


if __name__ == "__main__":
    fire.Fire(main)
