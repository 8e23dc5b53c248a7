"""Other tenants' small jobs beside one job, and the rule LOST for them."""

import asyncio
from typing import Any

import deployment

FINISH_S = 14.0
ROOM_S = 3.0
INTERVAL_S = 2.0
# After the third small job.
BIG_AT_S = 5.0
WATCH_S = 8.0
STEP_S = 0.25
WORKERS = 6
WORKER_CPU = 16_000
TASK_CPU = 1_000
SMALL_STEPS = 8
SMALL = {
    "taskSpec": "done 1000",
    "steps": [
        {
            "count": 1,
            "cpu": TASK_CPU,
            "memoryRequestMb": 64,
            "estimatedMs": 1000,
            "after": [number - 1] if number else [],
        }
        for number in range(SMALL_STEPS)
    ],
}


async def play(
    platform: deployment.Deployment, big: dict[str, Any], small_jobs: int = 10
) -> str:
    """Plays small jobs of tenant b beside one job of tenant a.

    Args:
        platform: The deployment, not yet started.
        big: The job of tenant a; handed in only if there is trouble.
        small_jobs: Number of small jobs, one every two seconds.

    Returns:
        How LOST was broken for the small jobs; empty if it held.
    """
    await platform.start_platform(deployment.configuration())
    for number in range(1, WORKERS + 1):
        await platform.add_worker(f"w{number}", cpu=WORKER_CPU)
    names = [platform.start_daemon(number) for number in (1, 2, 3)]
    await platform.wait_ready()
    await asyncio.sleep(2.0)
    jobs = [deployment.job_id(100 + number) for number in range(small_jobs)]
    is_big_accepted, *answers = await asyncio.gather(
        _hand_in_big(platform, big, names),
        *(
            _hand_in(platform, job, names, number)
            for number, job in enumerate(jobs)
        ),
    )
    accepted = [
        job
        for job, is_accepted in zip(jobs, answers, strict=True)
        if is_accepted
    ]
    if not is_big_accepted:
        raise deployment.CannotRunError("the job of tenant a is not accepted")
    platform.note("traffic-ends", accepted=len(accepted))
    if not accepted:
        raise deployment.CannotRunError("no small job is accepted")
    await asyncio.sleep(FINISH_S)
    idle = await _watch(platform, accepted)
    states = await asyncio.gather(
        *(platform.state(job, names, deployment.OTHER_KEY) for job in idle)
    )
    shown = dict(zip(idle, states, strict=True))
    platform.note(
        "summary",
        accepted=len(accepted),
        idle=idle,
        shown=shown,
        claims=len(
            [
                row
                for name in names
                for row in platform.log_of(name)
                if row.get("message") == "owner"
            ]
        ),
    )
    lost = [job for job in idle if shown[job] != "completed"]
    if not lost:
        return ""
    return (
        f"LOST: {len(lost)} of {len(accepted)} accepted jobs of tenant b had"
        f" nothing running for {ROOM_S} s on end, over {FINISH_S} s after the"
        " end of the traffic, with over half of the workers' room free"
    )


async def _hand_in_big(
    platform: deployment.Deployment, big: dict[str, Any], names: list[str]
) -> bool:
    """Hands in the job of tenant a, if there is trouble."""
    if not deployment.has_trouble():
        return True
    await asyncio.sleep(BIG_AT_S)
    return await platform.submit(deployment.job_id(1), big, names)


async def _hand_in(
    platform: deployment.Deployment, job: str, names: list[str], number: int
) -> bool:
    """Hands in the small job with a number when its time has come."""
    await asyncio.sleep(INTERVAL_S * number)
    turn = names[number % 3 :] + names[: number % 3]
    return await platform.submit(
        job, SMALL, turn, deployment.OTHER_KEY, tries=3
    )


async def _watch(
    platform: deployment.Deployment, accepted: list[str]
) -> list[str]:
    """Returns the jobs that have nothing running while there is room."""
    idle_s = dict.fromkeys(accepted, 0.0)
    longest_s = dict.fromkeys(accepted, 0.0)
    for _ in range(int(WATCH_S / STEP_S)):
        await asyncio.sleep(STEP_S)
        running = [
            task
            for worker in platform.workers.values()
            for task in worker.running
        ]
        used = len(running) * TASK_CPU
        has_room = 2 * used < WORKERS * WORKER_CPU
        done = {
            row["task"]
            for row in platform.notes
            if row["what"] == "ended" and row["how"] == "done"
        }
        for job in accepted:
            is_over = f"{job}.0.{SMALL_STEPS - 1}.0" in done
            is_running = any(task.startswith(job) for task in running)
            is_idle = has_room and not is_over and not is_running
            idle_s[job] = idle_s[job] + STEP_S if is_idle else 0.0
            longest_s[job] = max(longest_s[job], idle_s[job])
    return [job for job in accepted if longest_s[job] > ROOM_S]
