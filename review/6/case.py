"""A late start runs in the next life of its worker, beside another run."""

import asyncio
import pathlib
import time

import deployment
import http_server
import worker_pool

JOB = "5c0e7a21d94b36f8"
# The site's late orders come for 5.5 s.
LATE_ORDERS_S = 5.5
STEP = {"count": 1, "cpu": 4000, "memoryRequestMb": 1024, "estimatedMs": 20000}
WORKERS = 14
# The start is carried out 5 s after it was sent, as the worker comes back: the
# pages say 2 to 12 s. One of 14 workers crashes (0.071), for 2 s; the site has
# 0.075, for 5 s, of workers that come back.
CRASH_AFTER_S = 3.0
DOWN_S = 2.0
# A job that makes another worker the fullest, so that the task goes there next.
OTHER = "a41b0c77e2903d15"
OTHER_STEP = {
    "count": 1,
    "cpu": 8000,
    "memoryRequestMb": 1024,
    "estimatedMs": 600,
    "longRunning": True,
    "requirements": "b",
}


class LateStart:
    """Keeps the first start back that reaches a worker.

    Attributes:
        machine: Name of the machine that it was for; empty before.
        request: The start.
        came: Set once it has come.
        until: When the time of late orders ends; 0 before it has begun.
        orders: Number of orders to all workers in that time.
    """

    def __init__(self, here: deployment.Deployment) -> None:
        self.here = here
        self.machine = ""
        self.request: http_server.Request | None = None
        self.came = asyncio.Event()
        self.until = 0.0
        self.orders = 0

    def watch(self, name: str, worker: worker_pool.Worker) -> None:
        """Watches the calls to a worker."""

        async def receive_late(request: http_server.Request) -> bool:
            if time.monotonic() < self.until:
                self.orders += 1
            is_start = request.path == "/v1/run-start"
            if not is_start or self.machine:
                return False
            self.machine, self.request = name, request
            self.until = time.monotonic() + LATE_ORDERS_S
            self.orders = 1
            self.here.record("start-late", name, request.json()["task"])
            self.came.set()
            await asyncio.sleep(CRASH_AFTER_S)
            return True

        worker.receive_late = receive_late


async def _crash_and_return(
    here: deployment.Deployment, late: LateStart
) -> None:
    """Crashes the worker; its next life gets the late start."""
    machine = here.cloud.machines[late.machine]
    former = machine.worker
    port = int(former.server.address.partition(":")[2])
    here.record("crash", machine.name, former.worker_id)
    former.is_up = False
    former.running.clear()
    former.server.close()
    await asyncio.sleep(DOWN_S)
    worker = worker_pool.Worker(
        here.store, former.worker_id, machine.fields, here.record
    )
    await worker.start(here.platform_ip, port)
    machine.worker = worker
    here.record("back", machine.name, worker.worker_id)
    reply = await worker.handle(late.request)
    here.record("late-start", machine.name, reply)


async def case(here: deployment.Deployment) -> list[str]:
    """Lets a start be late by 5 s, and its worker crash meanwhile."""
    late = LateStart(here)
    for number in range(1, WORKERS + 1):
        fields = deployment.worker_fields((number + 4) // 5)
        if number == 7:
            fields["labels"][0] = "b"
        await here.cloud.add(f"m-{number}", fields)
        if here.trouble:
            machine = here.cloud.machines[f"m-{number}"]
            late.watch(machine.name, machine.worker)
    await here.start(3)
    await asyncio.sleep(4)
    path = deployment.PREFIX + JOB
    fields = {"taskSpec": '{"s": 20}', "steps": [STEP]}
    status, _ = await here.call(here.live()[0], "POST", path, fields)
    if status != 200:
        raise deployment.Unable(f"the job got {status}")
    if here.trouble:
        await asyncio.wait_for(late.came.wait(), 10)
        other = {"taskSpec": '{"s": 0}', "steps": [OTHER_STEP]}
        other_path = deployment.PREFIX + OTHER
        await here.call(here.live()[0], "POST", other_path, other)
        await asyncio.sleep(CRASH_AFTER_S)
        asyncio.create_task(_crash_and_return(here, late))
    broken: list[str] = []
    until = time.monotonic() + 10
    while time.monotonic() < until:
        names = here.running(JOB)
        if len(names) > 1 and not broken:
            broken.append(f"TWICE: {JOB}.0.0.0 runs on {names} at once")
        await asyncio.sleep(0.005)
    await here.call(here.live()[0], "GET", path)
    here.record("orders", f"1 of {late.orders} was late")
    return broken


deployment.run(case, pathlib.Path(__file__).parent)
