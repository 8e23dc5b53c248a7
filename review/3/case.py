"""The last machine never owns again after the store stood still."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness  # noqa: E402

PREFIX = "/lohu930/"
DAEMONS = 3
# `platform_down` with `silent` in the day trouble-3 of the site.
STORE_PAUSE_S = 4.2
# Within the lease that the lost machines' registrations have.
PAUSE_AFTER_S = 5.0
RECOVERY_S = harness.BOUNDS["recoveryS"]
FINISH_S = harness.BOUNDS["finish_s"]
NOTHING_RUNS_S = 3


def case(deployment: harness.Deployment) -> int:
    """Plays the case."""
    config = harness.configuration(7, [harness.route("r-dev3nax", PREFIX)])
    deployment.start_store(config)
    deployment.start_workers([deployment.worker(n) for n in range(1, 5)])
    deployment.start_daemons(DAEMONS)
    first = deployment.owner()
    last = next(name for name in deployment.daemons if name != first)
    deployment.submit(last, PREFIX, {"ms": 300}, [harness.STEP])
    time.sleep(1)
    for name in deployment.daemons:
        if name != last:
            deployment.signal(name, signal.SIGKILL)
    killed_at = time.monotonic()
    deployment.wait_for(lambda: deployment.owner() == last, "a new owner", 15)
    deployment.note(f"{last} is the owner")
    time.sleep(max(0.0, killed_at + PAUSE_AFTER_S - time.monotonic()))
    if harness.is_trouble():
        deployment.signal("store", signal.SIGSTOP)
        time.sleep(STORE_PAUSE_S)
        deployment.signal("store", signal.SIGCONT)
    time.sleep(RECOVERY_S)
    deployment.wait_until_ready(last)
    job = deployment.submit(last, PREFIX, {"ms": 300}, [harness.STEP])

    def starts() -> list[dict]:
        return [
            line
            for line in deployment.record_of_workers()
            if line["kind"] == "started" and line["task"].startswith(job)
        ]

    deployment.happens(starts, FINISH_S + NOTHING_RUNS_S)
    deployment.note(f"{len(starts())} starts of the job's only task")
    deployment.call("GET", last, PREFIX + job)
    deployment.call("GET", last, PREFIX)
    is_broken = not starts()
    if is_broken:
        # What ends it: only shown, not judged.
        deployment.start_daemon(list(deployment.daemons).index(first) + 1)
        if deployment.happens(starts, 10):
            deployment.note("the task has started after another machine came")
    return harness.BROKEN if is_broken else harness.HELD


if __name__ == "__main__":
    harness.run(__file__, case)
