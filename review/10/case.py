"""A refused repetition of an order takes one machine too many down."""

import asyncio
import pathlib
from typing import Any

import deployment

MOST_DOWN = 1
WAVE = {
    "wave": 1,
    "machines": ["m-1", "m-2", "m-3"],
    "withinS": 30,
    "upperLimit": MOST_DOWN,
}
# An order to the platform without an answer is carried out 2 to 12 s later.
LATE_S = 3.5


class Unavailable:
    """Loses the answer to the first order; refuses the second one.

    Attributes:
        orders: Number of orders so far.
    """

    def __init__(self, here: deployment.Deployment) -> None:
        self.here = here
        self.orders = 0

    async def tamper(self, name: str, wave: int, token: int) -> Any:
        """Decides about an order."""
        self.orders += 1
        if self.orders == 1:
            loop = asyncio.get_running_loop()
            loop.create_task(self._carry_out_late(name, wave, token))
            await asyncio.sleep(LATE_S)
            return None
        if self.orders == 2:
            return 503, {}
        return "go"

    async def _carry_out_late(self, name: str, wave: int, token: int) -> None:
        await asyncio.sleep(LATE_S)
        reply = self.here.cloud.carry_out(name, wave, token)
        self.here.record("late-order", name, token, reply)


async def case(here: deployment.Deployment) -> list[str]:
    """Lets the platform be unavailable as a wave begins."""
    for number in range(1, 6):
        fields = deployment.worker_fields(number)
        await here.cloud.add(f"m-{number}", fields)
    await here.start(3)
    await asyncio.sleep(4)
    if here.trouble:
        here.cloud.tamper = Unavailable(here).tamper
    await here.store.put("op/wave/1", WAVE)
    await here.wait(lambda: here.is_wave_completed(1), 80, "wave 1")
    here.record("status/wave/1", "completed")
    return [
        f"LIMIT: the upkeep of {name} began while {down} of its wave were "
        f"down for theirs; upperLimit is {MOST_DOWN}"
        for _, _, name, down in here.cloud.begun
        if down >= MOST_DOWN
    ]


deployment.run(case, pathlib.Path(__file__).parent)
