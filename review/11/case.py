"""A late start runs a task again whose run has ended as done."""

import asyncio
import pathlib
import time

import deployment
import fleet
import web

# One of 16 workers (0.0625) crashes, for 2 s.
WORKERS = 16
CRASH_AFTER_S = 3.0
DOWN_S = 2.0
LATE_ORDERS_S = 5.5
WATCH_S = 4.0
JOB = {
    "taskSpec": "done 400",
    "steps": [
        {"count": 1, "cpu": 1000, "memoryRequestMb": 64, "estimatedMs": 400}
    ],
}


class LateStart:
    """Keeps back the first start that reaches a worker.

    Attributes:
        worker: The worker that it was for.
        request: The start.
        came: Set once it has come.
    """

    def __init__(self, platform: deployment.Deployment) -> None:
        self.platform = platform
        self.worker: fleet.Worker | None = None
        self.request: web.Request | None = None
        self.came = asyncio.Event()

    def watch(self, worker: fleet.Worker) -> None:
        """Watches the calls to a worker."""

        def keeps_back(request: web.Request) -> bool:
            if request.path != "/v1/run-start" or self.worker is not None:
                return False
            self.worker, self.request = worker, request
            self.platform.note(
                "start-kept-back", worker=worker.name, body=request.body
            )
            self.came.set()
            return True

        worker.keeps_back = keeps_back


async def _crash_and_return(
    platform: deployment.Deployment, late: LateStart
) -> None:
    """Crashes the worker; the first call to its next life is the late one."""
    former = late.worker
    platform.note("crash", worker=former.name)
    former.crash()
    await asyncio.sleep(DOWN_S)
    worker = fleet.Worker(
        platform.store,
        platform.note,
        former.name,
        former.address,
        former.service,
        former.zone,
        former.cpu,
    )
    platform.workers[former.name] = worker
    await worker.start()
    platform.note("back", worker=worker.name)
    answer = await worker.handle(late.request)
    platform.note("late-start", worker=worker.name, answer=answer)


async def play(platform: deployment.Deployment) -> str:
    """Plays the case; returns how the rule was broken."""
    await platform.start_platform(deployment.configuration())
    late = LateStart(platform)
    for number in range(1, WORKERS + 1):
        worker = await platform.add_worker(f"w{number}")
        if deployment.has_trouble():
            late.watch(worker)
    names = [platform.start_daemon(number) for number in (1, 2, 3)]
    await platform.wait_ready()
    await asyncio.sleep(4.0)
    job = deployment.job_id(1)
    if not await platform.submit(job, JOB, names):
        raise deployment.CannotRunError("the job is not accepted")
    if deployment.has_trouble():
        await asyncio.wait_for(late.came.wait(), 10.0)
        sent_at = time.monotonic()
        await asyncio.sleep(CRASH_AFTER_S)
        state = await platform.state(job, names)
        if state != "completed":
            raise deployment.CannotRunError(f"the job is {state}")
        await _crash_and_return(platform, late)
        orders = sum(
            0 <= at - sent_at < LATE_ORDERS_S
            for worker in [late.worker, *platform.workers.values()]
            for at in worker.calls
        )
        platform.note("orders", late=1, of=orders, within_s=LATE_ORDERS_S)
    await asyncio.sleep(WATCH_S)
    await platform.state(job, names)
    return _verdict(platform)


def _verdict(platform: deployment.Deployment) -> str:
    noted = {
        (row["task"], row["run"])
        for row in platform.notes
        if row["what"] == "noted" and row["how"] == "done"
    }
    done: dict[str, float] = {}
    for row in platform.notes:
        is_done = row["what"] == "ended" and row["how"] == "done"
        if is_done and (row["task"], row["run"]) in noted:
            done[row["task"]] = row["at"]
        if row["what"] == "start" and row["task"] in done:
            return (
                f"TWICE: {row['task']} starts again on {row['worker']} at"
                f" {row['at']} s; it had ended done at {done[row['task']]} s,"
                " and that end was taken note of"
            )
    return ""


if __name__ == "__main__":
    deployment.main(play, pathlib.Path(__file__).parent)
