"""Runs requests and jobs under random faults and checks what must hold.

Faults come singly and in pairs from a seed: daemons killed and started anew,
daemons paused or shut down, the store down or losing answers, workers frozen,
open connections gone silent, a zone taken out and brought back. Callers repeat
a request under its id, through another daemon, until it has an outcome; jobs
of a second team run under an upper limit.
"""

import base64
import collections
import dataclasses
import json
import random
import subprocess
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
LIMIT_SLOTS = 6
JOB_EVERY_S = 2.0
JOB_TASKS = 4
ZONE_GRACE_S = 6.0
SETTLE_S = 60.0
DRAIN_S = 45.0


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
        self.jobs: list[str] = []
        self.zones_out: list[tuple[str, float, float]] = []
        self.exits: list[int] = []

    def change(self, name: str, **arguments: Any) -> None:
        """Plans and confirms a change."""
        url = self.deployment.url()
        intent = {"change": name, "arguments": arguments}
        token = deployments.BOOTSTRAP_KEY
        deadline = time.time() + PATIENCE_S
        while time.time() < deadline:
            if self.try_change(url, intent, token):
                return
            time.sleep(0.5)
        raise TimeoutError(f"{name} was not accepted")

    def try_change(self, url: str, intent: Any, token: str) -> bool:
        """Plans and confirms once; tells whether it was accepted."""
        try:
            plan = deployments.fetch("POST", url + "/v1/plans", intent, token)
        except OSError:
            return False
        if "plan" not in plan:
            return "already" in plan["detail"] or "is not out" in plan["detail"]
        return self.confirm(url, intent, token, plan)

    def confirm(self, url: str, intent: Any, token: str, plan: Any) -> bool:
        """Confirms a plan; tells whether it was accepted."""
        confirmation = {
            "intent": intent,
            "base_number": plan["plan"]["base_number"],
            "expires_at": plan["plan"]["expires_at"],
            "change_id": str(uuid6.uuid7()),
        }
        url += "/v1/confirmations"
        try:
            answer = deployments.fetch("POST", url, confirmation, token)
        except OSError:
            return False
        return answer["name"] == "OK"

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

    def job_maker(self) -> None:
        """Submits jobs of the limited team until time is up."""
        rng = random.Random(0)
        while time.time() < self.until:
            work = {
                "work_id": str(uuid6.uuid7()),
                "team": "b",
                "kind": rng.choice(("batch", "gang")),
                "count": JOB_TASKS,
                "endpoint": self.endpoint,
                "needs": {"cpu_millis": 1000},
                "start_before": time.time() + PATIENCE_S,
                "body": base64.b64encode(b'{"run_s": 0.5}').decode(),
            }
            name = rng.choice(list(self.deployment.addresses))
            url = self.deployment.url(name) + "/v1/work"
            try:
                answer = deployments.fetch("POST", url, work, "k-b.secret")
            except (OSError, ValueError):
                continue
            if answer["name"] == "ACCEPTED":
                self.jobs.append(work["work_id"])
            time.sleep(JOB_EVERY_S)

    # Faults.

    def inject_faults(self) -> None:
        """Injects faults until time is up."""
        kinds = (
            self.kill_daemon,
            self.pause_daemon,
            self.store_down,
            self.store_loses,
            self.freeze_worker,
            self.silence_worker,
            self.drain_daemon,
            self.take_zone_out,
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

    def drain_daemon(self) -> None:
        """Shuts a daemon down in good order and starts it again."""
        name = self.a_daemon()
        process = self.deployment.processes[name]
        if process.poll() is not None:
            return
        process.terminate()
        try:
            self.exits.append(process.wait(timeout=DRAIN_S))
        except subprocess.TimeoutExpired:
            self.deployment.kill(name)
            self.exits.append(-1)
        self.deployment.start_daemon(name)

    def take_zone_out(self) -> None:
        """Takes a zone out for a while."""
        zone = self.rng.choice(self.deployment.zones)
        try:
            self.change("zone-out", zone=zone)
            out_at = time.time()
            time.sleep(self.rng.uniform(8.0, 12.0))
            back_at = time.time()
            self.change("zone-in", zone=zone)
        except TimeoutError as error:
            print(f"not judged: {error}")
            return
        self.zones_out.append((zone, out_at, back_at))

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
        problems += self.zone_problems(workers)
        problems += self.limit_problems(spans)
        problems += self.job_problems(spans)
        print(f"exits after SIGTERM: {self.exits}; jobs: {len(self.jobs)}")
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

    def add_team(self, team: str, limit: dict[str, int]) -> None:
        """Creates a team and grants it the key "k-TEAM.secret"."""
        self.change(
            "create-team", team=team, workspace="north", upper_limit=limit
        )
        self.change(
            "grant-key",
            key_id=f"k-{team}",
            role="team",
            team=team,
            salt=SALT,
            digest=keys.digest(SALT, "secret"),
        )

    def zone_problems(self, workers: Any) -> list[str]:
        """Returns starts in zones that had been out for a while."""
        found = []
        zone_of = {
            host["worker_id"]: host["zone"] for host in self.deployment.hosts
        }
        for zone, out_at, back_at in self.zones_out:
            for name, worker in workers.items():
                late = [
                    start
                    for start in worker["starts"]
                    if out_at + ZONE_GRACE_S < start[0] < back_at
                ]
                if zone_of[name] == zone and late:
                    found.append(f"{name} started {late[0]}, {zone} was out")
        return found

    def limit_problems(
        self, spans: dict[str, list[tuple[float, float, str]]]
    ) -> list[str]:
        """Returns times at which the limited team had too much running."""
        steps = []
        for task, runs in spans.items():
            if task.partition("/")[0] in self.jobs:
                steps += [(start, 1) for start, _, _ in runs]
                steps += [(end, -1) for _, end, _ in runs]
        running = most = 0
        for _, step in sorted(steps):
            running += step
            most = max(most, running)
        print(f"most slots of the limited team at once: {most}")
        return [f"{most} slots of team b at once"] if most > LIMIT_SLOTS else []

    def job_problems(
        self, spans: dict[str, list[tuple[float, float, str]]]
    ) -> list[str]:
        """Returns accepted jobs of which a task never ran."""
        return [
            f"task {index} of job {work_id} never ran"
            for work_id in self.jobs
            for index in range(JOB_TASKS)
            if f"{work_id}/{index}" not in spans
        ]

    def await_jobs(self) -> None:
        """Waits until no job is open, or SETTLE_S."""
        deadline = time.time() + SETTLE_S
        url = self.deployment.url() + "/v1/history?outcome=OPEN&limit=10"
        while time.time() < deadline:
            answer = deployments.fetch("GET", url, None, "k-b.secret")
            if "history" in answer and not answer["history"]["rows"]:
                return
            time.sleep(0.5)

    def run(self, seconds: float) -> int:
        """Runs the soak; returns the number of violations."""
        try:
            self.deployment.start()
            self.add_team("a", {})
            self.add_team("b", {"slots": LIMIT_SLOTS})
            time.sleep(1.0)
            self.until = time.time() + seconds
            threads = [
                threading.Thread(target=self.caller, args=(number,))
                for number in range(CALLERS)
            ]
            threads.append(threading.Thread(target=self.job_maker))
            for thread in threads:
                thread.start()
            self.inject_faults()
            for thread in threads:
                thread.join()
            self.await_jobs()
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
