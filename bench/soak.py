"""Runs requests and jobs under random faults and checks what must hold.

Faults come singly and in pairs from a seed: daemons killed and started anew,
daemons paused, the store down, slow or losing answers, workers frozen, open
connections gone silent. Callers repeat a request under its id, through another
daemon, until it has an outcome.
"""

import base64
import collections
import dataclasses
import json
import random
import sys
import threading
import time
from typing import Any

import fire
import uuid6

from mimosaridge_core import codes
from mimosaridge_core import keys
from mimosaridge_standins import deployments

CALLERS = 8
PAUSE_BETWEEN_S = 0.05
START_WITHIN_S = 25.0
PATIENCE_S = 90.0
SALT = "0a"


@dataclasses.dataclass
class Call:
    """One request and all outcomes that its caller was given."""

    work_id: str
    idempotent: bool
    names: list[str] = dataclasses.field(default_factory=list)
    wrong: str = ""


class Soak:
    """A deployment under load and faults."""

    def __init__(self, fleet: str, daemons: int, seed: int) -> None:
        self.deployment = deployments.Deployment(fleet, daemons)
        self.rng = random.Random(seed)
        self.calls: list[Call] = []
        self.lock = threading.Lock()
        self.until = 0.0
        self.endpoint = self.deployment.hosts[0]["endpoint"]
        self.faults: list[str] = []

    def change(self, name: str, **arguments: Any) -> None:
        """Plans and confirms a change."""
        url = self.deployment.url()
        intent = {"change": name, "arguments": arguments}
        token = deployments.BOOTSTRAP_KEY
        plan = deployments.fetch("POST", url + "/v1/plans", intent, token)
        confirmation = {
            "intent": intent,
            "base_number": plan["plan"]["base_number"],
            "expires_at": plan["plan"]["expires_at"],
            "change_id": str(uuid6.uuid7()),
        }
        url += "/v1/confirmations"
        deployments.fetch("POST", url, confirmation, token)

    def caller(self, number: int) -> None:
        """Sends requests until time is up."""
        rng = random.Random(number)
        while time.time() < self.until:
            call = Call(str(uuid6.uuid7()), rng.random() < 0.5)
            with self.lock:
                self.calls.append(call)
            self.carry(call, rng)
            time.sleep(PAUSE_BETWEEN_S)

    def carry(self, call: Call, rng: random.Random) -> None:
        """Repeats a request until it has an outcome."""
        work = {
            "work_id": call.work_id,
            "team": "a",
            "endpoint": self.endpoint,
            "needs": {"cpu_millis": 500, "connections": 1},
            "idempotent": call.idempotent,
            "start_before": time.time() + START_WITHIN_S,
            "body": base64.b64encode(
                json.dumps({"run_s": 0.05, "mark": call.work_id}).encode()
            ).decode(),
        }
        deadline = time.time() + PATIENCE_S
        while time.time() < deadline:
            name = rng.choice(list(self.deployment.addresses))
            url = self.deployment.url(name) + "/v1/work"
            try:
                answer = deployments.fetch("POST", url, work, "k-a.secret")
            except (OSError, ValueError):
                call.names.append("CUT")
                time.sleep(0.2)
                continue
            call.names.append(answer["name"])
            if answer["name"] in ("DRAINING", "STALE_CONFIG"):
                time.sleep(0.2)
                continue
            if answer["name"] == "OK":
                self.check_answer(call, answer)
            return
        call.names.append("SILENT")

    def check_answer(self, call: Call, answer: Any) -> None:
        """Checks that an answer belongs to its request."""
        content = base64.b64decode(answer["answer"])
        try:
            mark = json.loads(content)["echo"]["mark"]
        except ValueError:
            mark = f"{len(content)} bytes that are no JSON"
        if mark != call.work_id:
            call.wrong = mark

    # Faults.

    def torment(self) -> None:
        """Injects faults until time is up."""
        kinds = (
            self.kill_daemon,
            self.pause_daemon,
            self.store_down,
            self.store_loses,
            self.freeze_worker,
            self.silence_worker,
        )
        while time.time() < self.until - 10.0:
            chosen = self.rng.sample(kinds, self.rng.choice((1, 1, 2)))
            threads = [threading.Thread(target=kind) for kind in chosen]
            self.faults.append("+".join(kind.__name__ for kind in chosen))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(self.rng.uniform(0.5, 3.0))

    def a_daemon(self) -> str:
        """Returns a random daemon."""
        return self.rng.choice(list(self.deployment.addresses))

    def kill_daemon(self) -> None:
        """Kills a daemon and starts it again."""
        name = self.a_daemon()
        self.deployment.kill(name)
        time.sleep(self.rng.uniform(0.1, 4.0))
        self.deployment.start_daemon(name)

    def pause_daemon(self) -> None:
        """Stops a daemon for a while without ending it."""
        name = self.a_daemon()
        if self.deployment.processes[name].poll() is not None:
            return
        self.deployment.pause(name)
        time.sleep(self.rng.uniform(0.5, 9.0))
        self.deployment.resume(name)

    def store(self, **faults: Any) -> None:
        """Sets the store's faults."""
        url = self.deployment.store_url + "/v1/faults"
        deployments.fetch("POST", url, faults)

    def store_down(self) -> None:
        """Takes the store down for a while."""
        self.store(down=True)
        time.sleep(self.rng.uniform(0.5, 10.0))
        self.store(down=False)

    def store_loses(self) -> None:
        """Loses the answers of some writes that take effect."""
        self.store(lose_answers=self.rng.randint(1, 10))
        time.sleep(2.0)
        self.store(lose_answers=0)

    def worker_fault(self, name: str, seconds: float) -> None:
        """Sets a fault of a random worker for a while."""
        worker = self.rng.choice(self.deployment.hosts)["worker_id"]
        url = f"{self.deployment.workers_url}/workers/{worker}/faults"
        deployments.fetch("POST", url, {name: True})
        time.sleep(seconds)
        deployments.fetch("POST", url, {name: False})

    def freeze_worker(self) -> None:
        """Keeps a worker from answering."""
        self.worker_fault("frozen", self.rng.uniform(1.0, 8.0))

    def silence_worker(self) -> None:
        """Lets a worker's open connections go silent."""
        self.worker_fault("silent", self.rng.uniform(1.0, 8.0))

    # Verdict.

    def verdict(self) -> list[str]:
        """Returns every violation, and prints the counts."""
        url = self.deployment.workers_url + "/state"
        workers = deployments.fetch("GET", url)["workers"]
        starts: collections.Counter = collections.Counter()
        spans: dict[str, list[tuple[float, float, str]]] = {}
        problems = []
        for name, worker in workers.items():
            if worker["overcommits"]:
                problems.append(f"{name} was overcommitted")
            ends = [(at, (task, n)) for at, task, n in worker["ends"]]
            for at, task, attempt in worker["starts"]:
                starts[task] += 1
                end = min(
                    (
                        ended_at
                        for ended_at, key in ends
                        if key == (task, attempt) and ended_at >= at
                    ),
                    default=time.time(),
                )
                spans.setdefault(task, []).append((at, end, name))
        for task, runs in spans.items():
            runs.sort()
            for one, other in zip(runs, runs[1:], strict=False):
                if other[0] < one[1]:
                    problems.append(f"{task} ran in two places: {runs}")
        for call in self.calls:
            problems += self.problems_of(call, starts[call.work_id + "/0"])
        outcomes = collections.Counter(
            call.names[-1] if call.names else "OPEN" for call in self.calls
        )
        print(f"faults: {dict(collections.Counter(self.faults))}")
        print(f"last outcomes of {len(self.calls)} requests: {dict(outcomes)}")
        return problems

    def problems_of(self, call: Call, starts: int) -> list[str]:
        """Returns the violations that one request shows."""
        found = []
        if call.wrong:
            found.append(f"{call.work_id} got the answer of {call.wrong}")
        if not call.idempotent and starts > 1:
            found.append(f"{call.work_id} ran {starts} times: {call.names}")
        last = call.names[-1] if call.names else ""
        known = last in codes.Code.__members__
        if known and codes.is_not_run(codes.Code[last]) and starts:
            found.append(f"{call.work_id} ran but was {last}: {call.names}")
        if last == "OK" and not starts:
            found.append(f"{call.work_id} is OK but never ran")
        return found

    def run(self, seconds: float) -> int:
        """Runs the soak; returns the number of violations."""
        try:
            self.deployment.start()
            self.change("create-team", team="a", workspace="north")
            self.change(
                "grant-key",
                key_id="k-a",
                role="team",
                team="a",
                salt=SALT,
                digest=keys.digest(SALT, "secret"),
            )
            time.sleep(1.0)
            self.until = time.time() + seconds
            threads = [
                threading.Thread(target=self.caller, args=(number,))
                for number in range(CALLERS)
            ]
            for thread in threads:
                thread.start()
            self.torment()
            for thread in threads:
                thread.join()
            problems = self.verdict()
        finally:
            self.deployment.stop()
        for problem in problems[:20]:
            print(f"VIOLATION {problem}")
        print(f"{len(problems)} violations; logs in {self.deployment.folder}")
        return len(problems)


def main(
    seed: int = 1,
    seconds: float = 60.0,
    fleet: str = "queensland",
    daemons: int = 3,
) -> None:
    """Runs the soak and exits with 1 if anything was violated.

    Args:
        seed: Seed of the faults.
        seconds: How long requests are sent.
        fleet: queensland or prague.
        daemons: Number of daemons.
    """
    sys.exit(min(1, Soak(fleet, daemons, seed).run(seconds)))


if __name__ == "__main__":
    fire.Fire(main)
