"""Jobs whose starts a worker refused are no longer shown as pending."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness  # noqa: E402

PREFIX = "/lohu930/"
JOBS = 10
WORKERS = 12
# `srv_grey` of the site: a share of 0.085 of the workers, all starts, 6.5 s.
BUSY_S = 6.5
# `visible_ms` and 2 s, after which accepted jobs count.
COUNTED_AFTER_S = harness.BOUNDS["visible_ms"] / 1000 + 2


def case(deployment: harness.Deployment) -> int:
    """Plays the case."""
    route = harness.route("r-dev3nax", PREFIX)
    deployment.start_store(harness.configuration(7, [route]))
    specs = [deployment.worker(n) for n in range(1, WORKERS + 1)]
    specs[0]["labels"] = ["b", "r1-0"]
    deployment.start_workers(specs)
    deployment.start_daemons(3)
    names = list(deployment.daemons)
    time.sleep(2)
    if harness.is_trouble():
        deployment.request(
            "POST",
            deployment.control,
            "/test/busy",
            {"workers": [specs[0]["id"]], "seconds": BUSY_S},
        )
        deployment.note(f"{specs[0]['id']} answers starts with 503, {BUSY_S} s")
    step = harness.STEP | {"requirements": "b"}
    for number in range(JOBS):
        name = names[number % len(names)]
        deployment.submit(name, PREFIX, {"ms": 300}, [step])
    time.sleep(COUNTED_AFTER_S + 0.2)
    begun = {
        line["task"].partition(".")[0]
        for line in deployment.record_of_workers() or ()
        if line["kind"] == "started"
    }
    waiting = JOBS - len(begun)
    shown = [
        (deployment.call("GET", name, PREFIX)[1] or {}).get("pending")
        for name in names
    ]
    deployment.note(f"{waiting} of {JOBS} jobs have not begun; pending {shown}")
    if None in shown:
        raise harness.SetupError("a daemon did not answer")
    if harness.is_trouble() and waiting < JOBS:
        raise harness.SetupError("a job had begun")
    is_broken = any(count < waiting / 2 for count in shown)
    return harness.BROKEN if is_broken else harness.HELD


if __name__ == "__main__":
    harness.run(__file__, case)
