"""Runs requests and jobs under random faults and checks invariants.

A seed selects single faults and pairs of faults: daemons are killed and
restarted, paused or shut down; the store is down or loses answers; workers are
frozen or their open connections go silent; a zone is taken out and brought
back. Callers retry a request with the same ID through any daemon until it has
an outcome. Jobs of a second team run under an upper limit.
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
REQUEST_INTERVAL_S = 0.05
START_WITHIN_S = 25.0
OUTCOME_TIMEOUT_S = 90.0
SALT = "0a"
LIMIT_SLOTS = 6
JOB_INTERVAL_S = 2.0
JOB_TASKS = 4
ZONE_GRACE_S = 6.0
JOBS_TIMEOUT_S = 60.0
DRAIN_TIMEOUT_S = 45.0


@dataclasses.dataclass
class Call:
    """A request and the outcomes that its caller received.

    Attributes:
        work_id: ID of the request.
        idempotent: Whether the request may run more than once.
        outcomes: Name of the result of each attempt; CUT if the call failed,
            SILENT at the end if the caller gave up.
        wrong_mark: Mark of another request in an answer, or a note on an
            answer that is not JSON; empty if the answer was right.
    """

    work_id: str
    idempotent: bool
    outcomes: list[str] = dataclasses.field(default_factory=list)
    wrong_mark: str = ""


class Soak:
    """A deployment under load with injected faults."""

    def __init__(self, fleet: str, daemons: int, seed: int) -> None:
        self.deployment = deployments.Deployment(fleet, daemons)
        self.rng = random.Random(seed)
        self.calls: list[Call] = []
        self.lock = threading.Lock()
        self.end_time = 0.0
        self.endpoint = self.deployment.hosts[0]["endpoint"]
        self.faults: list[str] = []
        self.jobs: list[str] = []
        self.zones_out: list[tuple[str, float, float]] = []
        self.exit_codes: list[int] = []

    def change(self, name: str, **arguments: Any) -> None:
        """Plans and confirms a configuration change, with retries.

        Raises:
            TimeoutError: The change was not accepted within the timeout.
        """
        url = self.deployment.url()
        intent = {"change": name, "arguments": arguments}
        token = deployments.BOOTSTRAP_KEY
        deadline = time.time() + OUTCOME_TIMEOUT_S
        while time.time() < deadline:
            if self.attempt_change(url, intent, token):
                return
            time.sleep(0.5)
        raise TimeoutError(
            f"change {name} was not accepted within {OUTCOME_TIMEOUT_S:.0f} s"
        )

    def attempt_change(self, url: str, intent: Any, token: str) -> bool:
        """Plans and confirms a change once.

        Returns:
            Whether the change was accepted or had already been made.
        """
        try:
            plan = deployments.fetch("POST", url + "/v1/plans", intent, token)
        except OSError:
            return False
        if "plan" not in plan:
            return "already" in plan["detail"] or "is not out" in plan["detail"]
        return self.confirm(url, intent, token, plan)

    def confirm(self, url: str, intent: Any, token: str, plan: Any) -> bool:
        """Confirms a plan and returns whether it was accepted."""
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

    def run_caller(self, number: int) -> None:
        """Sends requests until the end time."""
        rng = random.Random(number)
        while time.time() < self.end_time:
            call = Call(str(uuid6.uuid7()), rng.random() < 0.5)
            with self.lock:
                self.calls.append(call)
            self.send_until_outcome(call, rng)
            time.sleep(REQUEST_INTERVAL_S)

    def send_until_outcome(self, call: Call, rng: random.Random) -> None:
        """Retries a request until it has an outcome or times out."""
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
        deadline = time.time() + OUTCOME_TIMEOUT_S
        while time.time() < deadline:
            name = rng.choice(list(self.deployment.addresses))
            url = self.deployment.url(name) + "/v1/work"
            try:
                answer = deployments.fetch("POST", url, work, "k-a.secret")
            except (OSError, ValueError):
                call.outcomes.append("CUT")
                time.sleep(0.2)
                continue
            call.outcomes.append(answer["name"])
            if answer["name"] in ("DRAINING", "STALE_CONFIG"):
                time.sleep(0.2)
                continue
            if answer["name"] == "OK":
                self.check_answer(call, answer)
            return
        call.outcomes.append("SILENT")

    def check_answer(self, call: Call, answer: Any) -> None:
        """Records the mark of an answer if it is not that of its request."""
        content = base64.b64decode(answer["answer"])
        try:
            mark = json.loads(content)["echo"]["mark"]
        except ValueError:
            mark = f"invalid JSON of {len(content)} bytes"
        if mark != call.work_id:
            call.wrong_mark = mark

    def submit_jobs(self) -> None:
        """Submits jobs of the limited team until the end time."""
        rng = random.Random(0)
        while time.time() < self.end_time:
            work = {
                "work_id": str(uuid6.uuid7()),
                "team": "b",
                "kind": rng.choice(("batch", "gang")),
                "count": JOB_TASKS,
                "endpoint": self.endpoint,
                "needs": {"cpu_millis": 1000},
                "start_before": time.time() + OUTCOME_TIMEOUT_S,
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
            time.sleep(JOB_INTERVAL_S)

    # Faults. The summary prints them by the names of their methods.

    def inject_faults(self) -> None:
        """Injects faults until 10 s before the end time."""
        fault_methods = (
            self.kill_daemon,
            self.pause_daemon,
            self.store_down,
            self.store_loses,
            self.freeze_worker,
            self.silence_worker,
            self.drain_daemon,
            self.take_zone_out,
        )
        while time.time() < self.end_time - 10.0:
            chosen = self.rng.sample(fault_methods, self.rng.choice((1, 1, 2)))
            threads = [threading.Thread(target=kind) for kind in chosen]
            self.faults.append("+".join(kind.__name__ for kind in chosen))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(self.rng.uniform(0.5, 3.0))

    def random_daemon(self) -> str:
        """Returns the name of a random daemon."""
        return self.rng.choice(list(self.deployment.addresses))

    def kill_daemon(self) -> None:
        """Kills a daemon and restarts it."""
        name = self.random_daemon()
        self.deployment.kill(name)
        time.sleep(self.rng.uniform(0.1, 4.0))
        self.deployment.start_daemon(name)

    def pause_daemon(self) -> None:
        """Pauses a daemon process, then resumes it."""
        name = self.random_daemon()
        if self.deployment.processes[name].poll() is not None:
            return
        self.deployment.pause(name)
        time.sleep(self.rng.uniform(0.5, 9.0))
        self.deployment.resume(name)

    def drain_daemon(self) -> None:
        """Shuts a daemon down gracefully and restarts it."""
        name = self.random_daemon()
        process = self.deployment.processes[name]
        if process.poll() is not None:
            return
        process.terminate()
        try:
            self.exit_codes.append(process.wait(timeout=DRAIN_TIMEOUT_S))
        except subprocess.TimeoutExpired:
            self.deployment.kill(name)
            self.exit_codes.append(-1)
        self.deployment.start_daemon(name)

    def take_zone_out(self) -> None:
        """Takes a zone out, then brings it back."""
        zone = self.rng.choice(self.deployment.zones)
        try:
            self.change("zone-out", zone=zone)
            out_at = time.time()
            time.sleep(self.rng.uniform(8.0, 12.0))
            back_at = time.time()
            self.change("zone-in", zone=zone)
        except TimeoutError as error:
            print(f"zone outage not checked: {error}")
            return
        self.zones_out.append((zone, out_at, back_at))

    def set_store_faults(self, **faults: Any) -> None:
        """Sets the faults of the store."""
        url = self.deployment.store_url + "/v1/faults"
        deployments.fetch("POST", url, faults)

    def store_down(self) -> None:
        """Takes the store down, then brings it back."""
        self.set_store_faults(down=True)
        time.sleep(self.rng.uniform(0.5, 10.0))
        self.set_store_faults(down=False)

    def store_loses(self) -> None:
        """Drops the answers to some successful store writes."""
        self.set_store_faults(lose_answers=self.rng.randint(1, 10))
        time.sleep(2.0)
        self.set_store_faults(lose_answers=0)

    def inject_worker_fault(self, name: str, seconds: float) -> None:
        """Sets a fault of a random worker for some seconds."""
        worker = self.rng.choice(self.deployment.hosts)["worker_id"]
        url = f"{self.deployment.workers_url}/workers/{worker}/faults"
        deployments.fetch("POST", url, {name: True})
        time.sleep(seconds)
        deployments.fetch("POST", url, {name: False})

    def freeze_worker(self) -> None:
        """Makes a worker stop answering."""
        self.inject_worker_fault("frozen", self.rng.uniform(1.0, 8.0))

    def silence_worker(self) -> None:
        """Makes the open connections of a worker silent."""
        self.inject_worker_fault("silent", self.rng.uniform(1.0, 8.0))

    # Checks.

    def check_results(self) -> list[str]:
        """Returns all violations and prints a summary."""
        url = self.deployment.workers_url + "/state"
        workers = deployments.fetch("GET", url)["workers"]
        starts: collections.Counter = collections.Counter()
        spans: dict[str, list[tuple[float, float, str]]] = {}
        violations = []
        for name, worker in workers.items():
            if worker["overcommits"]:
                violations.append(f"{name} was overcommitted")
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
            for earlier, later in zip(runs, runs[1:], strict=False):
                if later[0] < earlier[1]:
                    violations.append(f"{task} had overlapping runs: {runs}")
        for call in self.calls:
            violations += self.request_violations(
                call, starts[call.work_id + "/0"]
            )
        violations += self.zone_violations(workers)
        violations += self.limit_violations(spans)
        violations += self.job_violations(spans)
        print(f"exits after SIGTERM: {self.exit_codes}; jobs: {len(self.jobs)}")
        results = collections.Counter(
            call.outcomes[-1] if call.outcomes else "OPEN"
            for call in self.calls
        )
        print(f"faults: {dict(collections.Counter(self.faults))}")
        print(f"last outcomes of {len(self.calls)} requests: {dict(results)}")
        return violations

    def request_violations(self, call: Call, starts: int) -> list[str]:
        """Returns the violations of one request."""
        violations = []
        if call.wrong_mark:
            violations.append(
                f"{call.work_id} got a wrong mark: {call.wrong_mark}"
            )
        if not call.idempotent and starts > 1:
            violations.append(
                f"{call.work_id} ran {starts} times: {call.outcomes}"
            )
        last = call.outcomes[-1] if call.outcomes else ""
        is_code = last in codes.Code.__members__
        if is_code and codes.is_not_run(codes.Code[last]) and starts:
            violations.append(
                f"{call.work_id} ran but was {last}: {call.outcomes}"
            )
        if last == "OK" and not starts:
            violations.append(f"{call.work_id} is OK but never ran")
        return violations

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

    def zone_violations(self, workers: Any) -> list[str]:
        """Returns starts in a zone that was out, after ZONE_GRACE_S."""
        violations = []
        zone_of = {
            host["worker_id"]: host["zone"] for host in self.deployment.hosts
        }
        for zone, out_at, back_at in self.zones_out:
            for name, worker in workers.items():
                late_starts = [
                    start
                    for start in worker["starts"]
                    if out_at + ZONE_GRACE_S < start[0] < back_at
                ]
                if zone_of[name] == zone and late_starts:
                    violations.append(
                        f"{name} started {late_starts[0]}, {zone} was out"
                    )
        return violations

    def limit_violations(
        self, spans: dict[str, list[tuple[float, float, str]]]
    ) -> list[str]:
        """Returns a violation if the limited team exceeded its upper limit."""
        steps = []
        for task, runs in spans.items():
            if task.partition("/")[0] in self.jobs:
                steps += [(start, 1) for start, _, _ in runs]
                steps += [(end, -1) for _, end, _ in runs]
        running = peak = 0
        for _, step in sorted(steps):
            running += step
            peak = max(peak, running)
        print(f"most slots of the limited team at once: {peak}")
        return [f"{peak} slots of team b at once"] if peak > LIMIT_SLOTS else []

    def job_violations(
        self, spans: dict[str, list[tuple[float, float, str]]]
    ) -> list[str]:
        """Returns tasks of accepted jobs that never ran."""
        return [
            f"task {index} of job {work_id} never ran"
            for work_id in self.jobs
            for index in range(JOB_TASKS)
            if f"{work_id}/{index}" not in spans
        ]

    def wait_for_jobs(self) -> None:
        """Waits until no job is open, for up to JOBS_TIMEOUT_S."""
        deadline = time.time() + JOBS_TIMEOUT_S
        url = self.deployment.url() + "/v1/history?outcome=OPEN&limit=10"
        while time.time() < deadline:
            answer = deployments.fetch("GET", url, None, "k-b.secret")
            if "history" in answer and not answer["history"]["rows"]:
                return
            time.sleep(0.5)

    def run(self, seconds: float) -> int:
        """Runs the soak test and returns the number of violations."""
        try:
            self.deployment.start()
            self.add_team("a", {})
            self.add_team("b", {"slots": LIMIT_SLOTS})
            time.sleep(1.0)
            self.end_time = time.time() + seconds
            threads = [
                threading.Thread(target=self.run_caller, args=(number,))
                for number in range(CALLERS)
            ]
            threads.append(threading.Thread(target=self.submit_jobs))
            for thread in threads:
                thread.start()
            self.inject_faults()
            for thread in threads:
                thread.join()
            self.wait_for_jobs()
            violations = self.check_results()
        finally:
            self.deployment.stop()
        for violation in violations[:20]:
            print(f"VIOLATION {violation}")
        print(f"{len(violations)} violations; logs in {self.deployment.folder}")
        return len(violations)


def main(
    seed: int = 1,
    seconds: float = 60.0,
    fleet: str = "queensland",
    daemons: int = 3,
) -> None:
    """Runs the soak test and exits with status 1 on violations.

    Args:
        seed: Seed of the faults.
        seconds: Duration of the load.
        fleet: Name of the fleet, queensland or prague.
        daemons: Number of daemons.
    """
    sys.exit(min(1, Soak(fleet, daemons, seed).run(seconds)))


if __name__ == "__main__":
    fire.Fire(main)
