"""A job that lasts doesn't start beside large tasks that wait for room."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness  # noqa: E402

LARGE_PREFIX = "/pufi791/"
WATCH_PREFIX = "/puxa403/"
WORKERS = 4
LARGE_CPU = 20000
LARGE_MS = 11000
WATCH_CPU = 4000
# The burst lasts 1 s. The 3 s are judged that follow 4 s of calm after it.
JUDGED_FROM_S = 5.0
JUDGED_S = 3.0


def case(deployment: harness.Deployment) -> int:
    """Plays the case."""
    advice = {"decisionMs": 24.0, "periodMs": 0.21, "validityMs": 2000}
    large = harness.route(
        "r-7u27gxp", LARGE_PREFIX, priority=0, recommendation=advice
    )
    watch = harness.route("r-ytapjsu", WATCH_PREFIX, priority=1)
    deployment.start_store(harness.configuration(7, [large, watch]))
    deployment.start_workers(
        [deployment.worker(n) for n in range(1, WORKERS + 1)]
    )
    deployment.start_daemons(3)
    names = list(deployment.daemons)
    time.sleep(2)
    step = {
        "count": WORKERS,
        "cpu": LARGE_CPU,
        "memoryRequestMb": 1000,
        "estimatedMs": LARGE_MS,
    }
    deployment.submit(names[0], LARGE_PREFIX, {"ms": LARGE_MS}, [step])
    if harness.is_trouble():
        deployment.submit(names[1], LARGE_PREFIX, {"ms": LARGE_MS}, [step])
    burst_at = time.monotonic()
    time.sleep(1)
    lasting = {
        "count": 2,
        "cpu": WATCH_CPU,
        "memoryRequestMb": 1000,
        "longRunning": True,
    }
    job = deployment.submit(names[0], WATCH_PREFIX, {"ms": 60000}, [lasting])
    time.sleep(JUDGED_FROM_S + JUDGED_S + burst_at + 0.2 - time.monotonic())
    starts = [
        line
        for line in deployment.record_of_workers() or ()
        if line["kind"] == "started"
    ]
    begun = [line for line in starts if line["task"].startswith(job)]
    large_at = {line["worker"] for line in starts if line not in begun}
    free = 32000 - LARGE_CPU
    deployment.note(
        f"{len(large_at)} of {WORKERS} workers run one large task each and have"
        f" {free} of 32000 left; the lasting job has {len(begun)} tasks of 2,"
        f" {WATCH_CPU} each, started"
    )
    if len(large_at) != WORKERS or len(starts) - len(begun) != WORKERS:
        raise harness.SetupError("the large tasks lie otherwise than meant")
    deployment.call("GET", names[0], WATCH_PREFIX + job)
    return harness.HELD if begun else harness.BROKEN


if __name__ == "__main__":
    harness.run(__file__, case)
