"""Simulated job cluster: daemons, workers, a store and a clock.

Time advances in ticks. `jobchecks` checks the scheduling rules at each start
and tick; violations are collected in `violations`.
"""

import copy
import dataclasses
import functools
import heapq
import itertools
import math
import random
import zlib

from mimosaridge_core import resources
from mimosaridge_core.jobs import advice_calls
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import reducer
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work
from mimosaridge_fakes import jobchecks
from mimosaridge_fakes import jobworkers

TICK_S = 0.02
CALL_DELAY_S = 0.003
STORE_DELAY_S = 0.007
# Shortest time of a call for advice.
ADVICE_S = 0.05
# Lifetime of a ticket of a queue without settings of its own.
TICKET_S = 2.0
# An unanswered call fails after this time.
CALL_TIMEOUT_S = 0.8
# Range of the delay with which a late call is executed.
LATE_CALL_DELAY_S = (2.0, 12.0)
LONGEST_DOUBLE_S = 6.0
# Range of the delay with which a late write takes effect.
LATE_WRITE_DELAY_S = (0.3, 4.0)
CONFIGURATION_APPLY_S = jobchecks.CONFIGURATION_APPLY_S
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
        is_late_lease_longer: Whether the lease in a late call counts from the
            arrival of the call.
        lost_advice_share: Share of calls for advice that fail.
        failed_run_share: Share of runs that end as failed.
        is_store_down: Whether writes of progress fail.
        lost_write_share: Share of progress writes that take effect but are
            reported as failed.
        late_write_share: Share of progress writes that are reported as failed
            and take effect later, unless something newer was stored.
    """

    lost_answer_share: float = 0.0
    late_call_share: float = 0.0
    doubled_call_share: float = 0.0
    is_late_lease_longer: bool = False
    lost_advice_share: float = 0.0
    failed_run_share: float = 0.0
    is_store_down: bool = False
    lost_write_share: float = 0.0
    late_write_share: float = 0.0

    def are_injected(self) -> bool:
        """Returns whether anything is disrupted."""
        return self != Faults()


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
        self.owner_number: int | None = None
        self.claimed_at = 0.0
        self.jobs: dict[str, tuple[model.Job, int]] = {}
        self.known_jobs: dict[str, model.Job] = {}
        self.team_of_job: dict[str, str] = {}
        self.progress: dict[str, tuple[model.Progress, int]] = {}
        self.cancelled: set[str] = set()
        self.fleet = model.Fleet()
        self.fleet_revision = 0
        self.known_fleet_revisions = [0] * daemons
        self.faults = Faults()
        self.checks = jobchecks.Checks(self)
        self.violations = self.checks.violations
        self.configurations: list[tuple[float, model.Configuration]] = []
        self.tickets: dict[tuple[str, str], tuple[int, float]] = {}
        self.hopeless: set[str] = set()
        self.gangs: dict[tuple[str, int], jobworkers.Gang] = {}
        self.gang_timeout_s = 3.0
        self.starts: list[effects.Start] = []
        self.decisions: list[effects.Decision] = []
        self.done: set[str] = set()
        self.acknowledged: set[str] = set()
        self.durations: dict[str, float] = {}
        self.good_share = 1.0
        self.frozen: set[int] = set()
        self.held_back: list[list] = [[] for _ in range(daemons)]
        self.listed: set[str] = set()
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
        self._announce(jobworkers.Worker(entry))

    def _announce(
        self, worker: jobworkers.Worker, longest_delay_s: float = 0.0
    ) -> None:
        """Adds a worker, or replaces one with its id, for all daemons."""
        worker_id = worker.entry.worker_id
        self.workers[worker_id] = worker
        self.listed.add(worker_id)

        def notify(number: int) -> None:
            entry = None
            if worker_id in self.listed:
                entry = self.workers[worker_id].entry
            self.deliver(
                number, events.WorkerChanged(self.now, worker_id, entry)
            )

        for number in range(len(self.daemons)):
            if not longest_delay_s:
                notify(number)
                continue
            delay_s = self.rng.uniform(0.0, longest_delay_s)
            self.schedule(delay_s, functools.partial(notify, number))

    def crash_worker(self, worker_id: str) -> None:
        """Crashes a worker with all its runs; it stays listed."""
        self.checks.note_disruption()
        worker = self.workers[worker_id]
        worker.is_up = False
        worker.running.clear()

    def restart_worker(
        self, worker_id: str, longest_entry_delay_s: float = 0.0
    ) -> None:
        """Replaces a worker by a new incarnation with the same id.

        Args:
            worker_id: Id of the worker.
            longest_entry_delay_s: Longest time after which a daemon receives
                the new entry.
        """
        self.crash_worker(worker_id)
        old = self.workers[worker_id].entry
        entry = dataclasses.replace(
            old, born=max(old.born + 1, int(self.now * 1000)), draining=False
        )
        self._announce(jobworkers.Worker(entry), longest_entry_delay_s)

    def drain_worker(self, worker_id: str, remaining_s: float = 2.0) -> None:
        """Marks a worker as draining."""
        self.checks.note_disruption()
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
        self.checks.note_disruption()
        self.listed.discard(worker_id)
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
        self.known_jobs[job_id] = job
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

    def claim(self, number: int, is_former_gone: bool = False) -> None:
        """Makes a daemon the owner without notifying the former owner.

        Args:
            number: The daemon.
            is_former_gone: Whether the process of the former owner has ended.
        """
        former_claimed_at, self.claimed_at = self.claimed_at, self.now
        self.checks.note_disruption()
        self.revision += 1
        self.owner_revision = self.revision
        self.owner_number = number
        self.known_fleet_revisions[number] = self.fleet_revision
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
            events.OwnershipClaimed(
                self.now,
                self.owner_revision,
                self.fleet,
                is_former_gone,
                former_claimed_at,
            ),
        )

    def deliver(self, number: int, event: object) -> None:
        """Delivers an event to a daemon and executes the effects.

        Events for a frozen daemon wait until it goes on.
        """
        if number in self.frozen:
            self.held_back[number].append(event)
            return
        waiting, self.held_back[number] = self.held_back[number], []
        for earlier in waiting:
            self._reduce(number, dataclasses.replace(earlier, now=self.now))
        self._reduce(number, event)

    def _reduce(self, number: int, event: object) -> None:
        for effect in reducer.reduce(self.daemons[number], event):
            self.execute(number, effect)

    def run(self, seconds: float) -> None:
        """Advances simulated time."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for worker in self.workers.values():
                if worker.is_up:
                    worker.advance(self.now)
                    self._record_completions(worker)
            self._advance_gangs()
            while (
                self.scheduled_calls and self.scheduled_calls[0][0] <= self.now
            ):
                _, _, callback = heapq.heappop(self.scheduled_calls)
                callback()
            for number in range(len(self.daemons)):
                if number not in self.frozen:
                    self.deliver(number, events.Tick(self.now, self.now))
            if self._is_disrupted():
                self.checks.note_disruption()
            self.checks.check_starvation()

    def _is_disrupted(self) -> bool:
        owner = self.owner_number
        return (
            self.faults.are_injected()
            or owner is None
            or owner in self.frozen
            or self.daemons[owner].owner is None
            or any(
                not worker.is_reachable
                or worker.is_hanging
                or worker.unreachable_from
                for worker in self.workers.values()
                if worker.is_up
            )
        )

    def _advance_gangs(self) -> None:
        """Starts gangs that are complete and ends those that can't be."""
        for key, gang in list(self.gangs.items()):
            gang.members = {
                task_id: worker
                for task_id, worker in gang.members.items()
                if (task_id, key[1]) in worker.running
            }
            if not gang.members:
                del self.gangs[key]
            elif not gang.is_working:
                self._advance_waiting_gang(key[1], gang)
            elif len(gang.members) < gang.size:
                # One end of a member as done stands for all.
                is_done = any(
                    f"{key[0]}.{index}" in self.done
                    for index in range(gang.size)
                )
                how = model.RunOutcome.BROKEN
                if is_done:
                    how = model.RunOutcome.DONE
                for task_id, worker in gang.members.items():
                    worker.end(worker.running[(task_id, key[1])], how)
                    self._record_completions(worker)
                del self.gangs[key]

    def _advance_waiting_gang(self, run: int, gang: jobworkers.Gang) -> None:
        if len(gang.members) == gang.size:
            gang.is_working = True
            for task_id, worker in gang.members.items():
                member = worker.running[(task_id, run)]
                if member.outcome != model.RunOutcome.STOPPED:
                    member.ends_at = self.now + member.duration_s
            return
        for task_id, worker in gang.members.items():
            member = worker.running[(task_id, run)]
            waited_s = self.now - member.started_at
            if waited_s > self.gang_timeout_s and worker.is_up:
                worker.end(member, model.RunOutcome.ALONE)
                self.checks.check_alone(task_id, run)

    def job_of(self, name: str) -> model.Job:
        """Returns the job of a step or a task, also after its removal."""
        job_id = name.partition(".")[0]
        return self.known_jobs.get(job_id) or self.jobs[job_id][0]

    def state_of(self, job_id: str) -> model.JobState:
        """Returns the stored state of a job."""
        stored = self.progress.get(job_id)
        return stored[0].state if stored else model.JobState.QUEUED

    def schedule(self, delay: float, callback: object) -> None:
        """Calls back after a delay, in seconds of simulated time."""
        heapq.heappush(
            self.scheduled_calls,
            (self.now + delay, next(self.call_sequence), callback),
        )

    def _draw(self, share: float) -> bool:
        """Returns whether a share of events includes the next one.

        Unused faults leave the sequence of random numbers as it is.
        """
        return share > 0 and self.rng.random() < share

    def execute(self, number: int, effect: object) -> None:
        """Executes an effect of a daemon."""
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
        if worker is None or not worker.answers(number):
            # The call is never executed.
            self.schedule(CALL_TIMEOUT_S, time_out)
            return
        doubled_share = self.faults.doubled_call_share
        if doubled_share and self.rng.random() < doubled_share:
            self._double_call(number, order, callback, worker)
        if self.rng.random() < self.faults.late_call_share:
            delay = self.rng.uniform(*LATE_CALL_DELAY_S)
            self.schedule(
                delay,
                lambda: (
                    worker.answers(number)
                    and callback(
                        number, self._late(order, delay), sent_at, worker
                    )
                ),
            )
            self.schedule(CALL_TIMEOUT_S, time_out)
            return
        if self.rng.random() < self.faults.lost_answer_share:
            self.schedule(
                CALL_DELAY_S, lambda: callback(number, order, sent_at, worker)
            )
            self.schedule(CALL_TIMEOUT_S, time_out)
            return

        def answer() -> None:
            if worker.answers(number):
                callback(number, order, sent_at, worker)()
            else:
                self.schedule(CALL_TIMEOUT_S, time_out)

        delay = CALL_DELAY_S
        is_long_poll = isinstance(order, effects.Hold) and order.wait_ms
        # A worker answers a call with an older token at once.
        if is_long_poll and order.token >= worker.token:
            # The lease starts when the call arrives; the lists of runs are
            # those at the end of the wait.
            self.schedule(
                CALL_DELAY_S,
                lambda: (
                    worker.answers(number)
                    and self._begin_hold_wait(worker, order)
                ),
            )
            delay = self.rng.uniform(CALL_DELAY_S, order.wait_ms / 1000)
        self.schedule(delay, answer)

    def _late(self, order: object, delay_s: float) -> object:
        """Returns an order as it arrives after a delay."""
        if not self.faults.is_late_lease_longer:
            return order
        late = copy.copy(order)
        if isinstance(late, effects.Hold) and late.lease_until_ms:
            late.lease_until_ms += int(delay_s * 1000)
        elif isinstance(late, effects.Start):
            late.start_before_ms += int(delay_s * 1000)
        return late

    def _double_call(
        self,
        number: int,
        order: object,
        callback: object,
        worker: jobworkers.Worker,
    ) -> None:
        """Executes a call a second time later; nobody hears its answer."""
        sent_at, doubled = self.now, copy.copy(order)
        self.schedule(
            self.rng.uniform(0.0, LONGEST_DOUBLE_S),
            lambda: (
                worker.answers(number)
                and callback(number, doubled, sent_at, worker)
            ),
        )

    def _begin_hold_wait(
        self, worker: jobworkers.Worker, order: effects.Hold
    ) -> None:
        worker.advance(self.now)
        self._record_completions(worker)
        self._apply_hold(worker, order)
        # The answer is computed from the same order and must not extend the
        # lease further.
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
        step = self.job_of(job_id).steps[number]
        duration_s = self.durations.get(order.task_id, step.estimate_s)
        run_outcome = model.RunOutcome.DONE
        if job_id in self.hopeless:
            run_outcome = model.RunOutcome.FAILED
        elif step.standing:
            duration_s = 1e9
        elif self.rng.random() < self.faults.failed_run_share:
            run_outcome = model.RunOutcome.FAILED
        was_running = (order.task_id, order.run) in worker.running
        worker.advance(self.now)
        self._record_completions(worker)
        run = jobworkers.Running(
            order.task_id,
            order.run,
            math.inf if step.gang else self.now + duration_s,
            run_outcome,
            work.reserved_resources(step),
            duration_s,
            self.now,
            step.needs,
        )
        has_ticket = self._has_ticket(order, worker)
        outcome = worker.start(order, self.now, run, has_ticket)
        if outcome == events.CallResult.DONE and not was_running:
            if step.gang:
                key = (order.task_id.rpartition(".")[0], order.run)
                gang = self.gangs.setdefault(key, jobworkers.Gang(step.tasks))
                gang.members[order.task_id] = worker
            self.checks.check_start(order, worker, step)
        return outcome

    def _has_ticket(
        self, order: effects.Start, worker: jobworkers.Worker
    ) -> bool:
        """Returns whether a start has a valid ticket, if its queue needs one.

        A queue needs one if all configurations that may be in force say so.
        """
        group = order.task_id.rpartition(".")[0]
        queue_name = self.job_of(group).queue
        queues = [
            configuration.queues.get(queue_name)
            for configuration in self.checks.configurations_in_force()
        ]
        if any(queue is None or queue.advice is None for queue in queues):
            return True
        born, until = self.tickets.get((group, order.worker_id), (0, 0.0))
        return (
            bool(order.ticket)
            and born == worker.entry.born
            and self.now <= until
        )

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
        """Executes a write as the store does: all of it or nothing.

        It has no effect if another owner, other progress or another fleet than
        the writer knows of is stored.
        """
        token = self.daemons[number].owner.token
        items = copy.deepcopy(effect.items)
        known_fleet_revision = self.known_fleet_revisions[number]

        def has_conflict() -> bool:
            return any(
                self.progress.get(job_id, (None, 0))[1] != revision
                for job_id, (_, revision) in items.items()
            ) or (
                effect.fleet is not None
                and self.fleet_revision != known_fleet_revision
            )

        def store() -> None:
            self.revision += 1
            for job_id, (progress, _) in items.items():
                self.progress[job_id] = (
                    copy.deepcopy(progress),
                    self.revision,
                )
            for job_id in effect.removed:
                self.jobs.pop(job_id, None)
                self.progress.pop(job_id, None)
            if effect.fleet is not None:
                self.fleet = effect.fleet
                self.fleet_revision = self.revision

        def store_late() -> None:
            if token == self.owner_revision and not has_conflict():
                store()

        def answer(revisions: dict[str, int], is_written: bool) -> None:
            self.deliver(
                number,
                events.ProgressWritten(
                    self.now, effect.batch, revisions, is_written
                ),
            )

        def write() -> None:
            if self.faults.is_store_down:
                answer({}, False)
            elif self._draw(self.faults.late_write_share):
                self.schedule(self.rng.uniform(*LATE_WRITE_DELAY_S), store_late)
                answer({}, False)
            elif token != self.owner_revision:
                self.deliver(
                    number, events.OwnershipLost(self.now, token, "displaced")
                )
            elif has_conflict():
                self.known_fleet_revisions[number] = self.fleet_revision
                revisions = {
                    job_id: self.progress[job_id][1]
                    for job_id in items
                    if job_id in self.progress
                }
                answer(revisions, self._is_stored(items, effect.fleet))
            else:
                store()
                if self.rng.random() < self.faults.lost_write_share:
                    answer({}, False)
                    return
                if effect.fleet is not None:
                    self.known_fleet_revisions[number] = self.fleet_revision
                answer(dict.fromkeys(items, self.revision), True)

        self.schedule(STORE_DELAY_S, write)

    def _is_stored(self, items: dict, fleet: model.Fleet | None) -> bool:
        """Returns whether a write that had a conflict is stored as it is."""
        return (fleet is None or fleet == self.fleet) and all(
            job_id in self.progress and self.progress[job_id][0] == progress
            for job_id, (progress, _) in items.items()
        )

    def _answer_advice(self, number: int, effect: effects.AskAdvice) -> None:
        """Answers as slowly as the queue's settings say, `ADVICE_S` at least.

        Which workers are good depends on the step and the worker alone.
        """
        approved = [
            worker_id
            for worker_id in effect.workers
            if self.is_good(effect.group, worker_id)
        ]
        job = self.job_of(effect.group)
        advice = self.daemons[number].configuration.queues[job.queue].advice
        delay_s, valid_s = ADVICE_S, TICKET_S
        if advice is not None:
            delay_s = advice_calls.call_duration_s(advice, len(effect.workers))
            valid_s = advice.valid_s
        is_answered = not self._draw(self.faults.lost_advice_share)

        def answer() -> None:
            tickets = {}
            for worker_id in approved if is_answered else ():
                worker = self.workers.get(worker_id)
                if worker is not None:
                    self.tickets[(effect.group, worker_id)] = (
                        worker.entry.born,
                        self.now + valid_s,
                    )
                    tickets[worker_id] = f"t-{worker_id}"
            self.deliver(
                number,
                events.AdviceAnswered(
                    self.now,
                    effect.asker,
                    effect.group,
                    effect.workers,
                    tickets,
                    is_answered,
                    valid_s,
                ),
            )

        self.schedule(max(delay_s, ADVICE_S), answer)

    def is_good(self, group: str, worker_id: str) -> bool:
        """Returns whether the advice service approves of a worker."""
        digest = zlib.crc32(f"{group} {worker_id}".encode())
        return digest / 2**32 < self.good_share
