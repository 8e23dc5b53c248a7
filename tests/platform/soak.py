"""A randomized fault soak: daemon processes against a platform stand-in.

Run it as a program: `python soak.py SEED [SEED ...]`. Each seed submits jobs
for some seconds while overlapping faults are injected, then checks the
responses that callers received against the tasks that workers started. Only
processes that it started are stopped, paused or killed, by their ids.
"""

import contextlib
import dataclasses
import os
import pathlib
import random
import secrets
import signal
import sys
import tempfile
import time

import platforms
import urllib3

DAEMONS = 3
WORKERS = 5
# How long jobs are submitted and faults injected; CI uses a shorter time.
LOAD_S = 12.0
# All accepted jobs must end within this time after the last fault ended: the
# users' finish_s (14 s) plus a lease that was granted as that fault began
# (6 s).
FINISH_TIMEOUT_S = 20.0
FAULT_GAP_S = (0.2, 1.2)
FAULT_S = (0.5, 4.0)
REFUSED = (429, 503)


@dataclasses.dataclass
class SoakResult:
    """The result of one seed.

    Attributes:
        faults: The injected faults, in order.
        accepted: Ids of jobs whose submission was answered with 200.
        refused: Ids of jobs whose submission was refused; they must not run.
        problems: Violations of the invariants.
    """

    faults: list = dataclasses.field(default_factory=list)
    accepted: list = dataclasses.field(default_factory=list)
    refused: list = dataclasses.field(default_factory=list)
    problems: list = dataclasses.field(default_factory=list)


class Soak:
    """The run of one seed."""

    def __init__(self, platform, seed, load_s=LOAD_S):
        self.platform = platform
        self.rng = random.Random(seed)
        self.load_s = load_s
        self.result = SoakResult()
        # Time at which each fault ends, and the function that ends it.
        self.recoveries = []
        # Numbers of daemons with an active fault; they get no second one.
        self.faulted = set()

    def run(self):
        """Runs the seed and returns its result."""
        self.platform.start(DAEMONS, WORKERS)
        until = time.monotonic() + self.load_s
        fault_at = time.monotonic() + self.rng.uniform(*FAULT_GAP_S)
        while time.monotonic() < until:
            self._end_faults()
            if time.monotonic() > fault_at:
                self._inject_fault()
                fault_at = time.monotonic() + self.rng.uniform(*FAULT_GAP_S)
            self._submit()
            time.sleep(self.rng.uniform(0.02, 0.2))
        while self.recoveries:
            self._end_faults()
            time.sleep(0.05)
        assert not self.faulted, "a daemon still has an active fault"
        self._check()
        return self.result

    def _inject_fault(self):
        kinds = (
            self._kill,
            self._pause,
            self._terminate,
            self._take_store_down,
            self._silence_worker,
        )
        self.rng.choice(kinds)()

    def _schedule_recovery(self, recover):
        at = time.monotonic() + self.rng.uniform(*FAULT_S)
        self.recoveries.append((at, recover))

    def _end_faults(self):
        now = time.monotonic()
        due = [recover for at, recover in self.recoveries if at <= now]
        self.recoveries = [pair for pair in self.recoveries if pair[0] > now]
        for recover in due:
            recover()

    def _pick_daemon(self):
        """Picks a running daemon without a fault.

        Returns:
            Its number and process; None if there is none.
        """
        running = [
            (number, process)
            for number, (process, _) in enumerate(
                self.platform.daemons.values(), start=1
            )
            if process.poll() is None and number not in self.faulted
        ]
        if not running:
            return None
        choice = self.rng.choice(running)
        self.faulted.add(choice[0])
        return choice

    def _signal_daemon(self, signal_number):
        choice = self._pick_daemon()
        if choice is None:
            return
        number, process = choice
        self.result.faults.append(f"{signal_number.name} front-{number}")
        process.send_signal(signal_number)
        self._schedule_recovery(lambda: self._restart(number, process))

    def _restart(self, number, process):
        if process.poll() is None:
            process.kill()
        process.wait()
        self.platform.start_daemon(number)
        self.faulted.discard(number)

    def _kill(self):
        self._signal_daemon(signal.SIGKILL)

    def _terminate(self):
        self._signal_daemon(signal.SIGTERM)

    def _pause(self):
        choice = self._pick_daemon()
        if choice is None:
            return
        number, process = choice
        self.result.faults.append(f"pause front-{number}")
        process.send_signal(signal.SIGSTOP)
        self._schedule_recovery(lambda: self._resume(number, process))

    def _resume(self, number, process):
        process.send_signal(signal.SIGCONT)
        self.faulted.discard(number)

    def _take_store_down(self):
        self.result.faults.append("store down")
        self.platform.call_standin("POST", "/test/mode", {"mode": "down"})
        self._schedule_recovery(
            lambda: self.platform.call_standin(
                "POST", "/test/mode", {"mode": "up"}
            )
        )

    def _silence_worker(self):
        name = f"w{self.rng.randint(1, WORKERS)}"
        seconds = self.rng.uniform(*FAULT_S)
        self.result.faults.append(f"silence {name} for {seconds:.1f} s")
        self.platform.call_standin(
            "POST", "/test/silence", {"name": name, "seconds": seconds}
        )

    def _submit(self):
        self.platform.job = secrets.token_hex(8)
        step = {"cpu": 1000, "memoryRequestMb": 64, "estimatedMs": 300}
        steps = [
            step | {"count": self.rng.randint(1, 4)},
            step | {"count": 1, "after": [0]},
        ]
        live = self.platform.live()
        if not live:
            return
        run_ms = str(self.rng.choice((50, 300, 1500)))
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self.platform.submit(steps, run_ms, self.rng.choice(live))
            if self.platform.status == 200:
                self.result.accepted.append(self.platform.job)
            elif self.platform.status in REFUSED:
                self.result.refused.append(self.platform.job)

    def _check(self):
        self._wait_for_jobs()
        workers = self.platform.call_standin("GET", "/test/starts")
        started = {
            task.partition(".")[0]
            for worker in workers.values()
            for task in worker["starts"]
        }
        problems = self.result.problems
        for name, worker in workers.items():
            problems += [
                f"{task} ran twice at the same time, the second time on {name}"
                for task in worker["overlaps"]
            ]
        problems += [
            f"{job} was refused but was started"
            for job in self.result.refused
            if job in started
        ]

    def _wait_for_jobs(self):
        """Polls every accepted job until it is completed."""
        deadline = time.monotonic() + FINISH_TIMEOUT_S
        waiting = list(self.result.accepted)
        states = {}
        while waiting and time.monotonic() < deadline:
            for job in list(waiting):
                self.platform.job = job
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    states[job] = self.platform.state()
                if states.get(job) == "completed":
                    waiting.remove(job)
            time.sleep(0.1)
        self.result.problems += [
            f"{job} was accepted but its state is {states.get(job)!r}"
            for job in waiting
        ]


def run_seed(seed, network, folder, load_s=LOAD_S):
    """Runs one seed with its own processes and returns its result."""
    platform = platforms.Platform(pathlib.Path(folder), network)
    try:
        return Soak(platform, seed, load_s).run()
    finally:
        platform.stop()


def main():
    """Runs the given seeds and prints their results."""
    failed_seeds = 0
    for seed in map(int, sys.argv[1:]):
        folder = tempfile.mkdtemp(prefix="mimosaridge-soak-")
        result = run_seed(seed, 200 + os.getpid() % 50, folder)
        failed_seeds += bool(result.problems)
        print(
            f"seed {seed}: {len(result.faults)} faults,"
            f" {len(result.accepted)} accepted,"
            f" {len(result.refused)} refused,"
            f" {len(result.problems)} problems; logs in {folder}",
            flush=True,
        )
        for line in result.problems:
            print("   ", line, flush=True)
    sys.exit(bool(failed_seeds))


if __name__ == "__main__":
    main()
