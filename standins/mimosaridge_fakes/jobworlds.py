"""A small world for the job scheduler: daemons, workers, a store, a clock.

Time moves in ticks. Every order is checked against the users' rules as it is
carried out; what breaks a rule is kept in `broken`.
"""

import copy
import dataclasses
import heapq
import itertools
import random

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import reducer
from mimosaridge_core.jobs import state
from mimosaridge_fakes import jobworkers

TICK_S = 0.02
CALL_S = 0.003
STORE_S = 0.007
# A call without answer is given up after this time.
TIMEOUT_S = 0.8
# A late order is carried out this long after it was sent.
LATE_S = (2.0, 12.0)
BACKEND = "registry"
QUEUE = "enquiries"


@dataclasses.dataclass(slots=True)
class Trouble:
    """How likely calls go wrong.

    Attributes:
        lost: Share of calls to workers whose answer is lost.
        late: Share of calls to workers carried out seconds later.
        failing: Share of runs that end as failed.
        is_store_down: Whether writes of progress fail.
        lost_writes: Share of writes that are made and reported as not made.
    """

    lost: float = 0.0
    late: float = 0.0
    failing: float = 0.0
    is_store_down: bool = False
    lost_writes: float = 0.0


class World:
    """Daemons, workers and a store in one process."""

    def __init__(
        self, daemons: int = 2, workers: int = 4, seed: int = 0
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.calls: list = []
        self.numbers = itertools.count()
        self.revision = 10
        self.owner_revision = 0
        self.jobs: dict[str, tuple[model.Job, int]] = {}
        self.progress: dict[str, tuple[model.Progress, int]] = {}
        self.cancelled: set[str] = set()
        self.fleet = model.Fleet()
        self.trouble = Trouble()
        self.broken: list[str] = []
        self.starts: list[effects.Start] = []
        self.decisions: list[effects.Decision] = []
        self.done: set[str] = set()
        self.noted: set[str] = set()
        self.durations: dict[str, float] = {}
        self.frozen: set[int] = set()
        self.workers: dict[str, jobworkers.Worker] = {}
        self.daemons = [state.State() for _ in range(daemons)]
        for number in range(workers):
            self.add_worker(f"w{number}")
        self.configure(self.configuration())

    def configuration(
        self, version: int = 1, **changes: object
    ) -> model.Configuration:
        """Returns a configuration of one queue and one team."""
        queue = model.Queue(
            QUEUE, "host", "/q/", BACKEND, max_attempts=3, stretch=2.0
        )
        team = model.Team("a", 100.0, resources.ZERO, ("key",))
        queue = dataclasses.replace(
            queue, **{k: v for k, v in changes.items() if k != "upper_limit"}
        )
        if "upper_limit" in changes:
            team = dataclasses.replace(team, upper_limit=changes["upper_limit"])
        return model.Configuration(
            version, {QUEUE: queue}, {"a": team}, {"key": "a"}
        )

    def configure(self, configuration: model.Configuration) -> None:
        """Puts a configuration in force at all daemons."""
        for number in range(len(self.daemons)):
            self.tell(
                number, events.ConfigurationChanged(self.now, configuration)
            )

    def add_worker(self, worker_id: str, cpu_millis: int = 4000) -> None:
        """Adds a worker and lists it."""
        entry = model.WorkerEntry(
            worker_id,
            int(self.now * 1000),
            BACKEND,
            f"{worker_id}:80",
            "zone-a",
            resources.Resources(cpu_millis, 4096, 0),
            ("kind", f"rack-{worker_id}"),
        )
        self.workers[worker_id] = jobworkers.Worker(entry)
        for number in range(len(self.daemons)):
            self.tell(number, events.WorkerChanged(self.now, worker_id, entry))

    def crash_worker(self, worker_id: str) -> None:
        """Ends a worker and all its runs; it stays listed."""
        worker = self.workers[worker_id]
        worker.is_up = False
        worker.running.clear()

    def restart_worker(self, worker_id: str) -> None:
        """Ends a worker's life and begins another under the same id."""
        old = self.workers[worker_id].entry
        entry = dataclasses.replace(old, born=old.born + 1)
        self.workers[worker_id] = jobworkers.Worker(entry)
        for number in range(len(self.daemons)):
            self.tell(number, events.WorkerChanged(self.now, worker_id, entry))

    def drain_worker(self, worker_id: str, remaining_s: float = 2.0) -> None:
        """Lists a worker as leaving."""
        worker = self.workers[worker_id]
        worker.entry = dataclasses.replace(
            worker.entry, draining=True, remaining_s=remaining_s
        )
        for number in range(len(self.daemons)):
            self.tell(
                number, events.WorkerChanged(self.now, worker_id, worker.entry)
            )

    def unlist_worker(self, worker_id: str) -> None:
        """Removes a worker's entry."""
        for number in range(len(self.daemons)):
            self.tell(number, events.WorkerChanged(self.now, worker_id, None))

    def submit(
        self,
        job_id: str,
        *steps: model.Step,
        queue: str = QUEUE,
        **more: object,
    ) -> None:
        """Stores a job and tells all daemons."""
        self.revision += 1
        job = model.Job(
            job_id, queue, BACKEND, "a", "text", steps, self.now, **more
        )
        self.jobs[job_id] = (job, self.revision)
        for number in range(len(self.daemons)):
            self.tell(number, events.JobAccepted(self.now, job, self.revision))

    def cancel(self, job_id: str) -> None:
        """Stores a cancellation and tells all daemons."""
        self.cancelled.add(job_id)
        for number in range(len(self.daemons)):
            self.tell(number, events.JobCancelled(self.now, job_id))

    def claim(self, number: int) -> None:
        """Makes a daemon the owner; the former one isn't told."""
        self.revision += 1
        self.owner_revision = self.revision
        listed = events.JobsListed(
            self.now,
            self.revision,
            dict(self.jobs),
            copy.deepcopy(self.progress),
            set(self.cancelled),
        )
        self.tell(
            number,
            events.OwnershipLost(self.now, self.owner_revision, "claims anew"),
        )
        self.tell(number, listed)
        self.tell(
            number,
            events.OwnershipClaimed(self.now, self.owner_revision, self.fleet),
        )

    def tell(self, number: int, event: object) -> None:
        """Gives a daemon an event and carries its effects out."""
        for effect in reducer.reduce(self.daemons[number], event):
            self._carry(number, effect)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for worker in self.workers.values():
                if worker.is_up:
                    worker.advance(self.now)
                    self._note_ends(worker)
            while self.calls and self.calls[0][0] <= self.now:
                _, _, act = heapq.heappop(self.calls)
                act()
            for number in range(len(self.daemons)):
                if number not in self.frozen:
                    self.tell(number, events.Tick(self.now, self.now))

    def state_of(self, job_id: str) -> model.JobState:
        """Returns a job's state as it is stored."""
        stored = self.progress.get(job_id)
        return stored[0].state if stored else model.JobState.QUEUED

    def _later(self, delay: float, act: object) -> None:
        heapq.heappush(self.calls, (self.now + delay, next(self.numbers), act))

    def _carry(self, number: int, effect: object) -> None:
        if isinstance(effect, effects.Hold):
            self._order(number, effect, self._hold)
        elif isinstance(effect, effects.Start):
            self.starts.append(effect)
            self._order(number, effect, self._start)
        elif isinstance(effect, effects.Stop):
            self._order(number, effect, self._stop)
        elif isinstance(effect, effects.WriteProgress):
            self._write(number, effect)
        elif isinstance(effect, effects.AskAdvice):
            self._advise(number, effect)
        elif isinstance(effect, effects.Decision):
            self.decisions.append(effect)

    def _order(self, number: int, order: object, act: object) -> None:
        """Carries a call to a worker out: now, late, or without answer."""
        sent_at = self.now
        worker = self.workers.get(order.worker_id)
        lost = act(number, order, sent_at, None)
        reaches = worker and worker.is_up and worker.is_reachable
        if not reaches:
            self._later(TIMEOUT_S, lost)
            return
        if self.rng.random() < self.trouble.late:
            delay = self.rng.uniform(*LATE_S)
            self._later(
                delay,
                lambda: (
                    worker.is_up
                    and worker.is_reachable
                    and act(number, order, sent_at, worker)
                ),
            )
            self._later(TIMEOUT_S, lost)
            return
        if self.rng.random() < self.trouble.lost:
            self._later(CALL_S, lambda: act(number, order, sent_at, worker))
            self._later(TIMEOUT_S, lost)
            return

        def answer() -> None:
            if worker.is_up and worker.is_reachable:
                act(number, order, sent_at, worker)()
            else:
                self._later(TIMEOUT_S, lost)

        delay = CALL_S
        if isinstance(order, effects.Hold) and order.wait_ms:
            # The lease counts from the arrival; the lists are those of the end.
            self._later(CALL_S, lambda: self._arrive(worker, order))
            delay = self.rng.uniform(CALL_S, order.wait_ms / 1000)
        self._later(delay, answer)

    def _arrive(self, worker: jobworkers.Worker, order: effects.Hold) -> None:
        if worker.is_up and worker.is_reachable:
            worker.advance(self.now)
            self._note_ends(worker)
            self._take_hold(worker, order)
            # The answer is made from the same order, and grants no more.
            until = worker.granted(order, self.now)
            order.lease_until_ms = int(until * 1000)

    def _take_hold(
        self, worker: jobworkers.Worker, order: effects.Hold
    ) -> tuple[events.CallResult, tuple, tuple]:
        """Notes which ends the owner has stored, as it says."""
        listed = worker.ended
        answer = worker.hold(order, self.now)
        if answer[0] == events.CallResult.DONE:
            self.noted.update(
                row.task_id
                for row in listed
                if row.number <= order.acknowledged_end
                and row.how == model.RunOutcome.DONE
            )
        return answer

    def _reply(self, number: int, event: object) -> object:
        return lambda: self.tell(
            number, dataclasses.replace(event, now=self.now)
        )

    def _hold(
        self,
        number: int,
        order: effects.Hold,
        sent_at: float,
        worker: jobworkers.Worker | None,
    ) -> object:
        outcome, running, ended = events.CallResult.UNKNOWN, (), ()
        if worker is not None:
            worker.advance(self.now)
            self._note_ends(worker)
            outcome, running, ended = self._take_hold(worker, order)
        return self._reply(
            number,
            events.HoldAnswered(
                self.now,
                order.worker_id,
                sent_at,
                order.token,
                order.incarnation,
                outcome,
                int(self.now * 1000),
                worker.entry.born if worker else 0,
                running,
                ended,
            ),
        )

    def _start(
        self,
        number: int,
        order: effects.Start,
        sent_at: float,
        worker: jobworkers.Worker | None,
    ) -> object:
        outcome = events.CallResult.UNKNOWN
        if worker is not None:
            outcome = self._begin(order, worker)
        return self._reply(
            number,
            events.StartAnswered(
                self.now,
                order.worker_id,
                order.task_id,
                order.run,
                order.token,
                outcome,
            ),
        )

    def _begin(
        self, order: effects.Start, worker: jobworkers.Worker
    ) -> events.CallResult:
        job_id, _, number, _ = model.parse_task_id(order.task_id)
        step = self.jobs[job_id][0].steps[number]
        lasts = self.durations.get(order.task_id, step.estimate_s)
        how = model.RunOutcome.DONE
        if step.standing:
            lasts = 1e9
        elif self.rng.random() < self.trouble.failing:
            how = model.RunOutcome.FAILED
        was_there = (order.task_id, order.run) in worker.running
        worker.advance(self.now)
        self._note_ends(worker)
        outcome = worker.start(
            order,
            self.now,
            jobworkers.Running(
                order.task_id,
                order.run,
                self.now + lasts,
                how,
                step.needs,
                lasts,
            ),
        )
        if outcome == events.CallResult.DONE and not was_there:
            self._check_start(order, worker, step)
        return outcome

    def _check_start(
        self,
        order: effects.Start,
        worker: jobworkers.Worker,
        step: model.Step,
    ) -> None:
        """Notes each rule that a start breaks."""
        where = f"{order.task_id} run {order.run} on {order.worker_id}"
        if not worker.used().fits(worker.entry.capacity):
            self.broken.append(f"LIMIT {where}")
        others = [
            other.entry.worker_id
            for other in self.workers.values()
            for task_id, _ in other.running
            if other.is_up and task_id == order.task_id
        ]
        if len(others) > 1 and not step.speculative:
            self.broken.append(f"TWICE {where}: {others}")
        if order.task_id in self.noted:
            self.broken.append(f"TWICE after done {where}")
        job_id, repetition, _, _ = model.parse_task_id(order.task_id)
        for before in step.after:
            tasks = self.jobs[job_id][0].steps[before].tasks
            for index in range(tasks):
                first = model.task_id(job_id, repetition, before, index)
                if first not in self.done:
                    self.broken.append(f"ORDER {where} before {first}")

    def _note_ends(self, worker: jobworkers.Worker) -> None:
        for row in worker.ended:
            if row.how == model.RunOutcome.DONE:
                self.done.add(row.task_id)

    def _stop(
        self,
        number: int,
        order: effects.Stop,
        sent_at: float,
        worker: jobworkers.Worker | None,
    ) -> object:
        outcome = events.CallResult.UNKNOWN
        if worker is not None:
            outcome = worker.stop(order, self.now)
        return self._reply(
            number,
            events.StopAnswered(
                self.now,
                order.worker_id,
                order.task_id,
                order.run,
                order.token,
                outcome,
            ),
        )

    def _write(self, number: int, effect: effects.WriteProgress) -> None:
        token = self.daemons[number].owner.token
        items = copy.deepcopy(effect.items)
        fleet = effect.fleet

        def write() -> None:
            if token != self.owner_revision:
                self.tell(
                    number, events.OwnershipLost(self.now, token, "displaced")
                )
                return
            if self.trouble.is_store_down:
                self.tell(
                    number,
                    events.ProgressWritten(self.now, effect.batch, {}, False),
                )
                return
            self.revision += 1
            for job_id, (progress, _) in items.items():
                self.progress[job_id] = (progress, self.revision)
            for job_id in effect.removed:
                self.jobs.pop(job_id, None)
                self.progress.pop(job_id, None)
            if fleet is not None:
                self.fleet = fleet
            is_lost = self.rng.random() < self.trouble.lost_writes
            self.tell(
                number,
                events.ProgressWritten(
                    self.now,
                    effect.batch,
                    {} if is_lost else dict.fromkeys(items, self.revision),
                    not is_lost,
                ),
            )

        self._later(STORE_S, write)

    def _advise(self, number: int, effect: effects.AskAdvice) -> None:
        tickets = {worker: f"t-{worker}" for worker in effect.workers}
        self._later(
            0.05,
            lambda: self.tell(
                number,
                events.AdviceAnswered(
                    self.now,
                    effect.asker,
                    effect.group,
                    effect.workers,
                    tickets,
                    True,
                    2.0,
                ),
            ),
        )
