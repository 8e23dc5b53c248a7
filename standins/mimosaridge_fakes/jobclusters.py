"""Simulated job cluster: daemons, workers, a store and a clock.

Time advances in ticks. Each start is checked against the scheduling rules when
it takes effect; violations are collected in `violations`.
"""

import copy
import dataclasses
import heapq
import itertools
import random
import zlib

from mimosaridge_core import resources
from mimosaridge_core.jobs import advice_calls
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import reducer
from mimosaridge_core.jobs import state
from mimosaridge_fakes import jobworkers

TICK_S = 0.02
CALL_DELAY_S = 0.003
STORE_DELAY_S = 0.007
# Shortest time of a call for advice.
ADVICE_S = 0.05
# An unanswered call fails after this time.
CALL_TIMEOUT_S = 0.8
# Range of the delay with which a late call is executed.
LATE_CALL_DELAY_S = (2.0, 12.0)
LONGEST_DOUBLE_S = 6.0
# A replaced configuration may stay in force for this time.
CONFIGURATION_APPLY_S = 2.0
BACKEND = "registry"
QUEUE = "enquiries"


@dataclasses.dataclass(slots=True)
class Faults:
    """Injected faults; shares are between 0 and 1.

    Attributes:
        lost_answer_share: Share of calls to workers whose answer is lost.
        late_call_share: Share of calls to workers that are executed seconds
            later, after the caller has timed out.
        doubled_call_share: Share of calls to workers that are executed a second
            time up to `LONGEST_DOUBLE_S` later, as after an agent's failure.
        failed_run_share: Share of runs that end as failed.
        is_store_down: Whether writes of progress fail.
        lost_write_share: Share of progress writes that take effect but are
            reported as failed.
    """

    lost_answer_share: float = 0.0
    late_call_share: float = 0.0
    doubled_call_share: float = 0.0
    failed_run_share: float = 0.0
    is_store_down: bool = False
    lost_write_share: float = 0.0


class Cluster:
    """Simulated daemons, workers and store."""

    def __init__(
        self, daemons: int = 2, workers: int = 4, seed: int = 0
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.scheduled_calls: list = []
        self.call_sequence = itertools.count()
        self.revision = 10
        self.owner_revision = 0
        self.jobs: dict[str, tuple[model.Job, int]] = {}
        self.progress: dict[str, tuple[model.Progress, int]] = {}
        self.cancelled: set[str] = set()
        self.fleet = model.Fleet()
        self.faults = Faults()
        self.violations: list[str] = []
        self.starts: list[effects.Start] = []
        self.decisions: list[effects.Decision] = []
        self.team_of_job: dict[str, str] = {}
        self.configurations: list[tuple[float, model.Configuration]] = []
        self.done: set[str] = set()
        self.acknowledged: set[str] = set()
        self.durations: dict[str, float] = {}
        self.good_share = 1.0
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
        """Delivers a configuration to all daemons."""
        self.configurations.append((self.now, configuration))
        for number in range(len(self.daemons)):
            self.deliver(
                number, events.ConfigurationChanged(self.now, configuration)
            )

    def add_worker(
        self,
        worker_id: str,
        cpu_millis: int = 4000,
        memory_mib: int = 4096,
        accelerators: int = 0,
        backend: str = BACKEND,
    ) -> None:
        """Adds a worker and announces it to all daemons."""
        entry = model.WorkerEntry(
            worker_id,
            int(self.now * 1000),
            backend,
            f"{worker_id}:80",
            "zone-a",
            resources.Resources(cpu_millis, memory_mib, accelerators),
            ("kind", f"rack-{worker_id}"),
        )
        self.workers[worker_id] = jobworkers.Worker(entry)
        for number in range(len(self.daemons)):
            self.deliver(
                number, events.WorkerChanged(self.now, worker_id, entry)
            )

    def crash_worker(self, worker_id: str) -> None:
        """Crashes a worker with all its runs; it stays listed."""
        worker = self.workers[worker_id]
        worker.is_up = False
        worker.running.clear()

    def restart_worker(self, worker_id: str) -> None:
        """Replaces a worker by a new incarnation with the same id."""
        old = self.workers[worker_id].entry
        entry = dataclasses.replace(old, born=old.born + 1)
        self.workers[worker_id] = jobworkers.Worker(entry)
        for number in range(len(self.daemons)):
            self.deliver(
                number, events.WorkerChanged(self.now, worker_id, entry)
            )

    def drain_worker(self, worker_id: str, remaining_s: float = 2.0) -> None:
        """Marks a worker as draining."""
        worker = self.workers[worker_id]
        worker.entry = dataclasses.replace(
            worker.entry, draining=True, remaining_s=remaining_s
        )
        for number in range(len(self.daemons)):
            self.deliver(
                number, events.WorkerChanged(self.now, worker_id, worker.entry)
            )

    def unlist_worker(self, worker_id: str) -> None:
        """Removes a worker from the daemons' worker lists."""
        for number in range(len(self.daemons)):
            self.deliver(
                number, events.WorkerChanged(self.now, worker_id, None)
            )

    def submit(
        self,
        job_id: str,
        *steps: model.Step,
        queue: str = QUEUE,
        backend: str = BACKEND,
        team: str = "a",
        **fields: object,
    ) -> None:
        """Stores a job and notifies all daemons."""
        self.revision += 1
        job = model.Job(
            job_id, queue, backend, team, "text", steps, self.now, **fields
        )
        self.jobs[job_id] = (job, self.revision)
        self.team_of_job[job_id] = team
        for number in range(len(self.daemons)):
            self.deliver(
                number, events.JobAccepted(self.now, job, self.revision)
            )

    def cancel(self, job_id: str) -> None:
        """Stores a cancellation and notifies all daemons."""
        self.cancelled.add(job_id)
        for number in range(len(self.daemons)):
            self.deliver(number, events.JobCancelled(self.now, job_id))

    def claim(self, number: int) -> None:
        """Makes a daemon the owner without notifying the former owner."""
        self.revision += 1
        self.owner_revision = self.revision
        listed = events.JobsListed(
            self.now,
            self.revision,
            dict(self.jobs),
            copy.deepcopy(self.progress),
            set(self.cancelled),
        )
        self.deliver(
            number,
            events.OwnershipLost(
                self.now, self.owner_revision, "claimed again"
            ),
        )
        self.deliver(number, listed)
        self.deliver(
            number,
            events.OwnershipClaimed(self.now, self.owner_revision, self.fleet),
        )

    def deliver(self, number: int, event: object) -> None:
        """Delivers an event to a daemon and executes the effects."""
        for effect in reducer.reduce(self.daemons[number], event):
            self._execute(number, effect)

    def run(self, seconds: float) -> None:
        """Advances simulated time."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for worker in self.workers.values():
                if worker.is_up:
                    worker.advance(self.now)
                    self._record_completions(worker)
            while (
                self.scheduled_calls and self.scheduled_calls[0][0] <= self.now
            ):
                _, _, callback = heapq.heappop(self.scheduled_calls)
                callback()
            for number in range(len(self.daemons)):
                if number not in self.frozen:
                    self.deliver(number, events.Tick(self.now, self.now))

    def state_of(self, job_id: str) -> model.JobState:
        """Returns the stored state of a job."""
        stored = self.progress.get(job_id)
        return stored[0].state if stored else model.JobState.QUEUED

    def _schedule(self, delay: float, callback: object) -> None:
        heapq.heappush(
            self.scheduled_calls,
            (self.now + delay, next(self.call_sequence), callback),
        )

    def _execute(self, number: int, effect: object) -> None:
        if isinstance(effect, effects.Hold):
            self._call_worker(number, effect, self._hold_worker)
        elif isinstance(effect, effects.Start):
            self.starts.append(effect)
            self._call_worker(number, effect, self._start_run)
        elif isinstance(effect, effects.Stop):
            self._call_worker(number, effect, self._stop_run)
        elif isinstance(effect, effects.WriteProgress):
            self._write_progress(number, effect)
        elif isinstance(effect, effects.AskAdvice):
            self._answer_advice(number, effect)
        elif isinstance(effect, effects.Decision):
            self.decisions.append(effect)

    def _call_worker(
        self, number: int, order: object, callback: object
    ) -> None:
        """Calls a worker; the call may be late or its answer lost."""
        sent_at = self.now
        worker = self.workers.get(order.worker_id)
        time_out = callback(number, order, sent_at, None)
        can_reach = worker and worker.is_up and worker.is_reachable
        if not can_reach:
            self._schedule(CALL_TIMEOUT_S, time_out)
            return
        doubled_share = self.faults.doubled_call_share
        if doubled_share and self.rng.random() < doubled_share:
            self._double_call(number, order, callback, worker)
        if self.rng.random() < self.faults.late_call_share:
            delay = self.rng.uniform(*LATE_CALL_DELAY_S)
            self._schedule(
                delay,
                lambda: (
                    worker.is_up
                    and worker.is_reachable
                    and callback(number, order, sent_at, worker)
                ),
            )
            self._schedule(CALL_TIMEOUT_S, time_out)
            return
        if self.rng.random() < self.faults.lost_answer_share:
            self._schedule(
                CALL_DELAY_S, lambda: callback(number, order, sent_at, worker)
            )
            self._schedule(CALL_TIMEOUT_S, time_out)
            return

        def answer() -> None:
            if worker.is_up and worker.is_reachable:
                callback(number, order, sent_at, worker)()
            else:
                self._schedule(CALL_TIMEOUT_S, time_out)

        delay = CALL_DELAY_S
        if isinstance(order, effects.Hold) and order.wait_ms:
            # The lease starts when the call arrives; the lists of runs are
            # those at the end of the wait.
            self._schedule(
                CALL_DELAY_S, lambda: self._begin_hold_wait(worker, order)
            )
            delay = self.rng.uniform(CALL_DELAY_S, order.wait_ms / 1000)
        self._schedule(delay, answer)

    def _double_call(
        self,
        number: int,
        order: object,
        callback: object,
        worker: jobworkers.Worker,
    ) -> None:
        """Executes a call a second time later; nobody hears its answer."""
        sent_at, doubled = self.now, copy.copy(order)
        self._schedule(
            self.rng.uniform(0.0, LONGEST_DOUBLE_S),
            lambda: (
                worker.is_up
                and worker.is_reachable
                and callback(number, doubled, sent_at, worker)
            ),
        )

    def _begin_hold_wait(
        self, worker: jobworkers.Worker, order: effects.Hold
    ) -> None:
        if worker.is_up and worker.is_reachable:
            worker.advance(self.now)
            self._record_completions(worker)
            self._apply_hold(worker, order)
            # The answer is computed from the same order and must not extend
            # the lease further.
            until = worker.granted_until(order, self.now)
            order.lease_until_ms = int(until * 1000)

    def _apply_hold(
        self, worker: jobworkers.Worker, order: effects.Hold
    ) -> tuple[events.CallResult, tuple, tuple]:
        """Executes a hold and records the ends that it acknowledges."""
        listed = worker.ended
        answer = worker.hold(order, self.now)
        if answer[0] == events.CallResult.DONE:
            self.acknowledged.update(
                row.task_id
                for row in listed
                if row.number <= order.acknowledged_end
                and row.how == model.RunOutcome.DONE
            )
        return answer

    def _reply(self, number: int, event: object) -> object:
        return lambda: self.deliver(
            number, dataclasses.replace(event, now=self.now)
        )

    def _hold_worker(
        self,
        number: int,
        order: effects.Hold,
        sent_at: float,
        worker: jobworkers.Worker | None,
    ) -> object:
        outcome, running, ended = events.CallResult.UNKNOWN, (), ()
        if worker is not None:
            worker.advance(self.now)
            self._record_completions(worker)
            outcome, running, ended = self._apply_hold(worker, order)
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

    def _start_run(
        self,
        number: int,
        order: effects.Start,
        sent_at: float,
        worker: jobworkers.Worker | None,
    ) -> object:
        outcome = events.CallResult.UNKNOWN
        if worker is not None:
            outcome = self._begin_run(order, worker)
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

    def _begin_run(
        self, order: effects.Start, worker: jobworkers.Worker
    ) -> events.CallResult:
        job_id, _, number, _ = model.parse_task_id(order.task_id)
        step = self.jobs[job_id][0].steps[number]
        duration_s = self.durations.get(order.task_id, step.estimate_s)
        run_outcome = model.RunOutcome.DONE
        if step.standing:
            duration_s = 1e9
        elif self.rng.random() < self.faults.failed_run_share:
            run_outcome = model.RunOutcome.FAILED
        was_running = (order.task_id, order.run) in worker.running
        worker.advance(self.now)
        self._record_completions(worker)
        outcome = worker.start(
            order,
            self.now,
            jobworkers.Running(
                order.task_id,
                order.run,
                self.now + duration_s,
                run_outcome,
                step.needs,
                duration_s,
                step.fills,
            ),
        )
        if outcome == events.CallResult.DONE and not was_running:
            self._check_start(order, worker, step)
        return outcome

    def _check_start(
        self,
        order: effects.Start,
        worker: jobworkers.Worker,
        step: model.Step,
    ) -> None:
        """Records each rule that a start violates."""
        where = f"{order.task_id} run {order.run} on {order.worker_id}"
        if not worker.used().fits(worker.entry.capacity):
            self.violations.append(f"LIMIT {where}")
        others = [
            other.entry.worker_id
            for other in self.workers.values()
            for task_id, _ in other.running
            if other.is_up and task_id == order.task_id
        ]
        if len(others) > 1 and not step.speculative:
            self.violations.append(f"TWICE {where}: {others}")
        if order.task_id in self.acknowledged:
            self.violations.append(f"TWICE after done {where}")
        job_id, repetition, _, _ = model.parse_task_id(order.task_id)
        self._check_team_limit(self.team_of_job[job_id], where)
        for earlier_step in step.after:
            tasks = self.jobs[job_id][0].steps[earlier_step].tasks
            for index in range(tasks):
                earlier_task = model.task_id(
                    job_id, repetition, earlier_step, index
                )
                if earlier_task not in self.done:
                    self.violations.append(
                        f"ORDER {where} before {earlier_task}"
                    )

    def _check_team_limit(self, team: str, where: str) -> None:
        """Records a start that brings a team above its upper limit.

        The largest of the limits that may be in force counts, per resource.
        """
        teams = [
            configuration.teams.get(team)
            for configuration in self._configurations_in_force()
        ]
        limits = [entry.upper_limit for entry in teams if entry is not None]
        if not any(limit != resources.ZERO for limit in limits):
            return
        running = resources.total(
            [
                run.needs
                for worker in self.workers.values()
                if worker.is_up
                for run in worker.running.values()
                if self.team_of_job[run.task_id.partition(".")[0]] == team
            ]
        )
        for name in resources.NAMES:
            amounts = [getattr(limit, name) for limit in limits]
            if all(amounts) and getattr(running, name) > max(amounts):
                self.violations.append(
                    f"QUOTA {where}: {team} has {getattr(running, name)} "
                    f"{name} running; it may have {max(amounts)}"
                )

    def _configurations_in_force(self) -> list[model.Configuration]:
        """Returns the latest configuration and those replaced just before."""
        replaced_at = [at for at, _ in self.configurations[1:]]
        return [
            configuration
            for (_, configuration), until in zip(
                self.configurations, [*replaced_at, self.now], strict=True
            )
            if until + CONFIGURATION_APPLY_S > self.now
        ]

    def _record_completions(self, worker: jobworkers.Worker) -> None:
        for row in worker.ended:
            if row.how == model.RunOutcome.DONE:
                self.done.add(row.task_id)

    def _stop_run(
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

    def _write_progress(
        self, number: int, effect: effects.WriteProgress
    ) -> None:
        token = self.daemons[number].owner.token
        items = copy.deepcopy(effect.items)
        fleet = effect.fleet

        def write() -> None:
            if token != self.owner_revision:
                self.deliver(
                    number, events.OwnershipLost(self.now, token, "displaced")
                )
                return
            if self.faults.is_store_down:
                self.deliver(
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
            is_answer_lost = self.rng.random() < self.faults.lost_write_share
            self.deliver(
                number,
                events.ProgressWritten(
                    self.now,
                    effect.batch,
                    {}
                    if is_answer_lost
                    else dict.fromkeys(items, self.revision),
                    not is_answer_lost,
                ),
            )

        self._schedule(STORE_DELAY_S, write)

    def _answer_advice(self, number: int, effect: effects.AskAdvice) -> None:
        """Answers as slowly as the queue's settings say, `ADVICE_S` at least.

        Which workers are good depends on the step and the worker alone.
        """
        tickets = {
            worker_id: f"t-{worker_id}"
            for worker_id in effect.workers
            if self._is_good(effect.group, worker_id)
        }
        job = self.jobs[effect.group.partition(".")[0]][0]
        advice = self.daemons[number].configuration.queues[job.queue].advice
        delay_s = ADVICE_S
        if advice is not None:
            delay_s = advice_calls.call_duration_s(advice, len(effect.workers))
        self._schedule(
            max(delay_s, ADVICE_S),
            lambda: self.deliver(
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

    def _is_good(self, group: str, worker_id: str) -> bool:
        digest = zlib.crc32(f"{group} {worker_id}".encode())
        return digest / 2**32 < self.good_share
