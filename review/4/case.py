"""A queue is removed and put back: its jobs fail after one attempt."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness  # noqa: E402

PREFIX = "/lohu930/"
OTHER_PREFIX = "/pufi791/"
TASK_MS = 5000


def case(deployment: harness.Deployment) -> int:
    """Plays the case."""
    queue = harness.route("r-dev3nax", PREFIX, maxAttempts=4)
    other = harness.route("r-7u27gxp", OTHER_PREFIX, maxAttempts=2)
    first = harness.configuration(7, [queue, other])
    deployment.start_store(first)
    deployment.start_workers([deployment.worker(n) for n in range(1, 5)])
    deployment.start_daemons(3)
    name = next(iter(deployment.daemons))
    spec = {"ms": TASK_MS, "fail": 1}
    job = deployment.submit(name, PREFIX, spec, [harness.STEP])
    time.sleep(1)
    removed = (
        harness.configuration(9, [other])
        if harness.is_trouble()
        else (harness.configuration(9, [queue, other]))
    )
    deployment.put("op/config", removed)
    # The task's first run ends `failed` while the queue is away.
    time.sleep(TASK_MS / 1000 + 1)
    deployment.put("op/config", harness.configuration(12, [queue, other]))
    time.sleep(3)
    ended = deployment.happens(
        lambda: (
            (
                deployment.call("GET", name, PREFIX + job, is_noted=False)[1]
                or {}
            ).get("state")
            in ("failed", "completed")
        ),
        harness.BOUNDS["finish_s"],
    )
    states = []
    for daemon in deployment.daemons:
        _, fields = deployment.call("GET", daemon, PREFIX + job)
        states.append((fields or {}).get("state"))
    runs = [
        line
        for line in deployment.record_of_workers()
        if line["kind"] == "ended" and line["task"].startswith(job)
    ]
    failed = sum(line["how"] == "failed" for line in runs)
    deployment.note(f"the task ended failed {failed} times of 4 allowed")
    if not ended:
        raise harness.SetupError("the job did not end")
    is_broken = "failed" in states and failed < queue["maxAttempts"]
    return harness.BROKEN if is_broken else harness.HELD


if __name__ == "__main__":
    harness.run(__file__, case)
