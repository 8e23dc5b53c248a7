"""A cancelled job runs: its submission is stored after its cancelling."""

import asyncio
import pathlib
import time

import deployment

JOB = "5c0e7a21d94b36f8"
TASK = {
    "count": 1,
    "cpu": 4000,
    "memoryRequestMb": 1024,
    "estimatedMs": 600,
    "longRunning": True,
}
OTHER = {"count": 1, "cpu": 500, "memoryRequestMb": 64, "estimatedMs": 300}
# The store carries a write without an answer out 1 to 6 s later.
LATE_S = 5.5
# The disruption lasts for 4.5 s on the site at most.
DISRUPTION_S = 4.5
# contactMs, cancel_ms and stopTimeoutMs of the site, and a second more.
CALM_S, CANCEL_S, STOP_S, MARGIN_S = 3.0, 3.0, 0.4, 1.0


class LostWrites:
    """Loses the answers to the writes of one job.

    Attributes:
        until: When the disruption ends; 0 before it has begun.
        lost: Number of writes without an answer.
        all: Number of writes during the disruption.
        last_at: When the last late write is carried out.
    """

    def __init__(self, here: deployment.Deployment) -> None:
        self.here = here
        self.until = 0.0
        self.lost = 0
        self.all = 0
        self.last_at = 0.0

    def lateness_s(self, body: dict) -> float:
        """Returns by how much a transaction is late; 0 if it is not."""
        now = time.monotonic()
        if now > self.until:
            return 0.0
        self.all += 1
        keys = [row["key"] for row in body.get("writes", [])]
        if not any(key.endswith(f"job/{JOB}") for key in keys):
            return 0.0
        self.lost += 1
        self.last_at = now + LATE_S
        self.here.record("write-lost", *keys, f"done {LATE_S} s later")
        return LATE_S


async def _others(here: deployment.Deployment) -> None:
    """Hands in small jobs, which go on meanwhile."""
    fields = {"taskSpec": '{"s": 0.3}', "steps": [OTHER]}
    for number in range(60):
        daemon = here.live()[number % len(here.live())]
        path = f"{deployment.PREFIX}{number:016x}"
        await here.call(daemon, "POST", path, fields)
        await asyncio.sleep(0.1)


async def case(here: deployment.Deployment) -> list[str]:
    """Hands a job in, gives up and cancels it."""
    for number in range(1, 5):
        fields = deployment.worker_fields(number)
        await here.cloud.add(f"m-{number}", fields)
    await here.start(3)
    await asyncio.sleep(4)
    others = asyncio.create_task(_others(here))
    await asyncio.sleep(1)
    losing = LostWrites(here)
    here.store.lateness_s = losing.lateness_s
    if here.trouble:
        losing.until = time.monotonic() + DISRUPTION_S
    path = deployment.PREFIX + JOB
    daemon = here.live()[0]
    fields = {"taskSpec": '{"s": 0}', "steps": [TASK]}
    await here.call(daemon, "POST", path, fields)
    status, _ = await here.call(daemon, "DELETE", path)
    cancelled_at = time.monotonic()
    if status not in (200, 410):
        raise deployment.Unable(f"the cancel got {status}")
    await others
    here.record("writes", f"{losing.lost} of {losing.all} got no answer")
    calm_from = max(cancelled_at, losing.until, losing.last_at) + CALM_S
    gone_at = calm_from + CANCEL_S + STOP_S + MARGIN_S
    await asyncio.sleep(max(0.0, gone_at - time.monotonic()))
    await here.call(daemon, "GET", path)
    running = here.running(JOB)
    return [
        f"UNASKED: the job was cancelled (answer {status}) "
        f"{time.monotonic() - cancelled_at:.1f} s ago, and its task runs on "
        f"{name}"
        for name in running
    ]


deployment.run(case, pathlib.Path(__file__).parent)
