"""A wave is said to be completed before any of its machines has begun."""

import asyncio
import pathlib

import deployment

NEW = "m-9"
# Time for a new worker to be known to the daemons, seconds.
KNOWN_S = 6.0
# Time in which the upkeep could still begin, seconds.
PATIENCE_S = 10.0


def _wave(number: int, machine: str) -> dict:
    return {
        "wave": number,
        "machines": [machine],
        "withinS": 20,
        "upperLimit": 1,
    }


async def case(here: deployment.Deployment) -> list[str]:
    """Adds a machine between two waves; the second one is about it."""
    for number in range(1, 6):
        fields = deployment.worker_fields(number)
        await here.cloud.add(f"m-{number}", fields)
    if not here.trouble:
        await here.cloud.add(NEW, deployment.worker_fields(9))
    await here.start(3)
    await asyncio.sleep(4)
    await here.store.put("op/wave/1", _wave(1, "m-1"))
    await here.wait(lambda: here.is_wave_completed(1), 40, "wave 1")
    here.record("status/wave/1", "completed")
    if here.trouble:
        await here.cloud.add(NEW, deployment.worker_fields(9))
    await asyncio.sleep(KNOWN_S)
    await here.store.put("op/wave/2", _wave(2, NEW))
    here.record("op/wave/2", "written")
    await here.wait(lambda: here.is_wave_completed(2), 40, "wave 2")
    here.record("status/wave/2", "completed")
    machine = here.cloud.machines[NEW]
    has_begun = 2 in machine.waves
    await asyncio.sleep(PATIENCE_S)
    here.record("begun", NEW, has_begun, "later", 2 in machine.waves)
    if has_begun:
        return []
    return [
        f"MIXED: wave 2 was said to be completed, {NEW} is {machine.state} "
        "and had not begun its upkeep"
    ]


deployment.run(case, pathlib.Path(__file__).parent)
