"""A serving job never starts beside backfill that lies on every worker."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness  # noqa: E402

FILL_PREFIX = "/pufi791/"
SERVE_PREFIX = "/puxa403/"
WORKERS = 4
CPU = 4000
MEMORY_MB = 1000
# The burst ends with the answer to its job. The 3 s are judged that follow 4 s
# of calm after it, and those before the finish.
CALM_S = 4.0
JUDGED_S = 3.0


def case(deployment: harness.Deployment) -> int:
    """Plays the case."""
    fill = harness.route("r-7u27gxp", FILL_PREFIX, priority=2)
    serve = harness.route("r-ytapjsu", SERVE_PREFIX, priority=0)
    deployment.start_store(harness.configuration(7, [fill, serve]))
    deployment.start_workers(
        [deployment.worker(n) for n in range(1, WORKERS + 1)]
    )
    deployment.start_daemons(3)
    names = list(deployment.daemons)
    time.sleep(2)
    if harness.is_trouble():
        step = {
            "count": WORKERS,
            "cpu": CPU,
            "memoryRequestMb": MEMORY_MB,
            "longRunning": True,
            "image": "revalue",
            "fills": True,
            "antiAffinity": 1,
        }
        deployment.submit(names[0], FILL_PREFIX, {"ms": 100000}, [step])
    time.sleep(CALM_S)
    serving = {
        "count": 2,
        "cpu": CPU,
        "memoryRequestMb": MEMORY_MB,
        "longRunning": True,
        "image": "enquiry",
        "targetMs": 200,
    }
    job = deployment.submit(names[1], SERVE_PREFIX, {"ms": 100000}, [serving])

    def begun() -> list[dict]:
        return [
            line
            for line in deployment.record_of_workers()
            if line["kind"] == "started" and line["task"].startswith(job)
        ]

    deployment.happens(begun, JUDGED_S + harness.BOUNDS["finish_s"])
    deployment.note(
        f"{len(begun())} of 2 serving tasks have started; each worker has"
        f" 32000 processor time, of which backfill counts nothing, and at most"
        f" {MEMORY_MB} MB of 65536 in use"
    )
    deployment.call("GET", names[1], SERVE_PREFIX + job)
    return harness.HELD if begun() else harness.BROKEN


if __name__ == "__main__":
    harness.run(__file__, case)
