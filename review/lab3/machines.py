"""A stand-in of the platform's list of machines and of their upkeep."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

import fleet
import web

Note = Callable[..., None]


class Cloud:
    """The interface at `cloudApi.address`.

    Attributes:
        workers: The present worker of each machine.
        late_s: An order that comes while it is not 0 gets no answer and is
            carried out so many seconds later.
        down: Machines that are down for their upkeep, by wave.
        on_late: Called with the machine of an order that is carried out late.
    """

    def __init__(
        self,
        note: Note,
        renew: Callable[[str], Awaitable[fleet.Worker]],
        maintenance_s: float,
    ) -> None:
        self.note = note
        self.renew = renew
        self.maintenance_s = maintenance_s
        self.workers: dict[str, fleet.Worker] = {}
        self.late_s = 0.0
        self.down: dict[int, set[str]] = {}
        self.done: set[tuple[int, str]] = set()
        self.tokens: dict[str, int] = {}
        self.wave_machines: dict[int, tuple[str, ...]] = {}
        self.on_late: Callable[[str], None] = lambda machine: None
        self.server = web.Server(self.handle)
        self.tasks: set[asyncio.Task] = set()

    def _is_down(self, machine: str) -> bool:
        return any(machine in names for names in self.down.values())

    async def handle(self, request: web.Request) -> web.Answer:
        """Answers a call."""
        if request.path == "/v1/machines":
            rows = [
                {
                    "machine": name,
                    "pool": worker.service,
                    "state": "upkeep" if self._is_down(name) else "up",
                    "zone": worker.zone,
                    "labels": list(worker.labels),
                    "capacity": {"cpu": worker.cpu, "memoryRequestMb": 65536},
                    "id": "" if self._is_down(name) else worker.name,
                }
                for name, worker in self.workers.items()
            ]
            return 200, {"machines": rows}
        if request.path != "/v1/machine-upkeep":
            return 404, {}
        machine = request.body["machine"]
        wave = request.body["wave"]
        token = int(request.headers["x-fencing-token"])
        holder = request.headers["x-lease-holder"]
        self.note(
            "upkeep-ordered",
            machine=machine,
            wave=wave,
            holder=holder,
            token=token,
            late_s=self.late_s,
        )
        if not self.late_s:
            return self._begin(machine, wave, token)
        task = asyncio.create_task(
            self._begin_late(machine, wave, token, self.late_s)
        )
        self.tasks.add(task)
        self.on_late(machine)
        return None

    async def _begin_late(
        self, machine: str, wave: int, token: int, late_s: float
    ) -> None:
        await asyncio.sleep(late_s)
        answer = self._begin(machine, wave, token)
        self.note("upkeep-carried-out-late", machine=machine, answer=answer)

    def _begin(self, machine: str, wave: int, token: int) -> web.Answer:
        if machine not in self.workers:
            return 400, {}
        if token < self.tokens.get(machine, 0):
            return 409, {"reason": "fence"}
        self.tokens[machine] = token
        if machine not in self.wave_machines.get(wave, ()):
            return 409, {"reason": "wave"}
        if (wave, machine) in self.done:
            return 200, {}
        if self._is_down(machine):
            return 409, {"reason": "busy"}
        down = self.down.setdefault(wave, set())
        self.note(
            "upkeep-begins", machine=machine, wave=wave, down=sorted(down)
        )
        self.done.add((wave, machine))
        down.add(machine)
        self.workers[machine].leave(0.0)
        self.tasks.add(asyncio.create_task(self._end(machine, wave)))
        return 200, {}

    async def _end(self, machine: str, wave: int) -> None:
        until = time.monotonic() + self.maintenance_s
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        self.workers[machine] = await self.renew(machine)
        self.down[wave].discard(machine)
        self.note("upkeep-ends", machine=machine, wave=wave)
