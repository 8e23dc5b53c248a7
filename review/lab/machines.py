"""A stand-in of the platform's list of machines and of their upkeep."""

import asyncio
import dataclasses
import time
from typing import Any

import http_server
import worker_pool

MAINTENANCE_S = 2.0


@dataclasses.dataclass
class Machine:
    """A machine of a pool.

    Attributes:
        name: Its name.
        worker: The present life of its worker; None while it is away.
        state: Its state.
        fields: What its workers write into their entries.
        token: Highest fencing token of the calls for it.
        waves: Waves in which its upkeep has begun.
        lives: Number of workers that it has had.
        down_wave: Wave of the upkeep that it is down for; 0 for none.
    """

    name: str
    fields: dict
    worker: worker_pool.Worker | None = None
    state: str = "up"
    token: int = 0
    waves: set[int] = dataclasses.field(default_factory=set)
    lives: int = 0
    down_wave: int = 0


class Cloud:
    """The platform's calls on machines.

    Attributes:
        machines: The machines by name.
        tamper: Called with each order for an upkeep before it is carried out.
            It returns what `handle` shall answer in place of carrying it out,
            or "go".
        begun: Upkeeps begun, as time, wave, machine and the number of machines
            of the wave that were down for theirs.
        ended_at_work: Upkeeps with the tasks that they have ended.
    """

    def __init__(self, store: Any, host: str, record: Any) -> None:
        self.store = store
        self.host = host
        self.record = record
        self.machines: dict[str, Machine] = {}
        self.tamper = _go
        self.begun: list[tuple[float, int, str, int]] = []
        self.ended_at_work: list[tuple[str, list[str]]] = []
        self.server = http_server.Server(self.handle)

    async def start(self) -> None:
        """Starts to serve."""
        await self.server.start(self.host)

    async def add(self, name: str, fields: dict) -> None:
        """Adds a machine with a worker."""
        machine = Machine(name, fields)
        await self._give_worker(machine)
        self.machines[name] = machine
        self.record("machine-added", name, machine.worker.worker_id, "", "")

    async def _give_worker(self, machine: Machine) -> None:
        machine.lives += 1
        worker = worker_pool.Worker(
            self.store,
            f"i-{machine.name}-{machine.lives}",
            machine.fields,
            self.record,
        )
        await worker.start(self.host)
        machine.worker = worker
        machine.state = "up"

    async def restart(self, name: str) -> None:
        """Crashes a machine's worker; another life of it starts at once."""
        machine = self.machines[name]
        machine.state = "down"
        tasks = machine.worker.end_life()
        self.record("crash", name, machine.worker.worker_id, "", str(tasks))
        await asyncio.sleep(0.5)
        await self._give_worker(machine)
        self.record("machine-up", name, machine.worker.worker_id, "", "")

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Answers a call."""
        if request.path == "/v1/machines":
            return 200, {
                "machines": [self._row(each) for each in self.all()],
                "nextPageToken": None,
            }
        body = request.json()
        name, wave = body["machine"], body["wave"]
        token = int(request.headers["x-fencing-token"])
        holder = request.headers["x-lease-holder"]
        self.record("order", holder, name, token, f"wave {wave}")
        verdict = await self.tamper(name, wave, token)
        if verdict != "go":
            self.record("order-answer", holder, name, token, str(verdict))
            return verdict
        reply = self.carry_out(name, wave, token)
        self.record("order-answer", holder, name, token, str(reply))
        return reply

    def all(self) -> list[Machine]:
        """Returns the machines in the order of their names."""
        return [self.machines[name] for name in sorted(self.machines)]

    def _row(self, machine: Machine) -> dict:
        fields = machine.fields
        row = {
            "machine": machine.name,
            "pool": fields["service"],
            "state": machine.state,
            "zone": fields["zone"],
            "labels": fields["labels"],
            "capacity": fields["capacity"],
        }
        if machine.worker is not None:
            row["id"] = machine.worker.worker_id
        return row

    def down(self, wave: int) -> list[str]:
        """Returns the machines that are down for their upkeep in a wave."""
        return [each.name for each in self.all() if each.down_wave == wave]

    def carry_out(self, name: str, wave: int, token: int) -> http_server.Reply:
        """Carries out an order for the upkeep of a machine."""
        machine = self.machines.get(name)
        if machine is None:
            return 400, {}
        if token < machine.token:
            return 409, {"reason": "fence"}
        machine.token = token
        asked = self.store.value(f"op/wave/{wave}")
        if asked is None or name not in asked["machines"]:
            return 409, {"reason": "wave"}
        if wave in machine.waves:
            return 200, {}
        if machine.state != "up" or machine.worker.state != "ready":
            return 409, {"reason": "busy"}
        down = self.down(wave)
        self.begun.append((time.monotonic(), wave, name, len(down)))
        self.record("upkeep", name, f"wave {wave}", token, f"down: {down}")
        machine.waves.add(wave)
        machine.down_wave = wave
        machine.state = "upkeep"
        tasks = machine.worker.end_life()
        self.ended_at_work.append((name, tasks))
        machine.worker = None
        asyncio.get_running_loop().create_task(self._return(machine))
        return 200, {}

    async def _return(self, machine: Machine) -> None:
        await asyncio.sleep(MAINTENANCE_S)
        await self._give_worker(machine)
        machine.down_wave = 0
        self.record(
            "machine-up", machine.name, machine.worker.worker_id, "", ""
        )


async def _go(name: str, wave: int, token: int) -> Any:
    return "go"
