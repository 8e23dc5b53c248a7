"""Simulated job cluster: daemons, workers, a store and a clock.

Time advances in ticks. Calls to workers are in `jobcalls`, gangs in `jobgangs`,
the store in `jobstores`, the advice service in `jobadvice`, faults in
`jobfaults`. `jobchecks` checks the scheduling rules at each start and tick;
violations are collected in `violations`.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fencing
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import reducer
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables
from mimosaridge_fakes import jobadvice
from mimosaridge_fakes import jobcalls
from mimosaridge_fakes import jobchecks
from mimosaridge_fakes import jobfaults
from mimosaridge_fakes import jobgangs
from mimosaridge_fakes import jobstores
from mimosaridge_fakes import jobworkers

TICK_S = 0.02
# Time after a claim until the other daemons have told its owner that they know.
INFORMED_AFTER_S = 0.4
# For how long daemons keep the starts of an owner that they are told of.
LAST_S = 0.5
CONFIGURATION_APPLY_S = jobchecks.CONFIGURATION_APPLY_S
BACKEND = "registry"
QUEUE = "enquiries"


class Cluster:
    """Simulated daemons, workers and store.

    Attributes:
        rng: Source of all random numbers.
        now: Simulated time, seconds.
        faults: Faults that are injected from now on.
        store: What is stored.
        calls: Calls of daemons to workers.
        advice: The advice service.
        gangs: Runs of gangs.
        checks: Checks against the scheduling rules.
        violations: What was violated, in order.
        daemons: State of each daemon, by its number.
        owner_number: Daemon that claimed ownership last.
        claimed_at: Time of the latest claim, seconds.
        workers: The latest incarnation of each worker, by id.
        listed: Ids of workers in the daemons' worker lists.
        configurations: Times, in seconds, and configurations delivered then.
        run_times: Run times that an owner has stored last.
        handle_other: Executes the effects of a daemon on neither workers nor
            jobs.
        known_jobs: All jobs ever submitted, by id.
        team_of_job: Their teams.
        durations: Run times of tasks that differ from the estimate of their
            step, in seconds, by task id.
        hopeless: Ids of jobs whose runs all fail.
        good_share: Share of workers that the advice service approves of.
        gang_timeout_s: Time after which a member of a gang that waits for the
            others ends.
        starts: All starts sent, in order.
        sent_starts: Starts without a ticket with the times at which an owner
            told the other daemons of them, in seconds.
        answered: Tasks and runs whose last start was answered.
        decisions: All decisions of daemons, in order.
        done: Ids of tasks with a run that ended as done.
        acknowledged: Ids of tasks whose end as done was acknowledged.
        frozen: Numbers of daemons that are frozen.
        cut_off: Numbers of daemons that don't hear of claims.
        held_back: Events that wait for each frozen daemon.
        news_delays_s: Delay with which each daemon receives news of jobs and of
            cancellations, in seconds.
        news_at: When each daemon has received all news so far.
    """

    def __init__(
        self, daemons: int = 2, workers: int = 4, seed: int = 0
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.scheduled_calls: list = []
        self.call_sequence = itertools.count()
        self.owner_number: int | None = None
        self.claimed_at = 0.0
        self.known_jobs: dict[str, model.Job] = {}
        self.team_of_job: dict[str, str] = {}
        self.faults = jobfaults.Faults()
        self.store = jobstores.Store(self, daemons)
        self.calls = jobcalls.WorkerCalls(self)
        self.advice = jobadvice.AdviceService(self)
        self.gangs = jobgangs.Gangs(self)
        self.checks = jobchecks.Checks(self)
        self.violations = self.checks.violations
        self.configurations: list[tuple[float, model.Configuration]] = []
        self.hopeless: set[str] = set()
        self.gang_timeout_s = 3.0
        self.starts: list[effects.Start] = []
        self.sent_starts: list[tuple[float, effects.Start]] = []
        self.answered: set[tuple[str, int]] = set()
        self.decisions: list[effects.Decision] = []
        self.done: set[str] = set()
        self.acknowledged: set[str] = set()
        self.durations: dict[str, float] = {}
        self.good_share = 1.0
        self.frozen: set[int] = set()
        self.cut_off: set[int] = set()
        self.held_back: list[list] = [[] for _ in range(daemons)]
        self.news_delays_s = [0.0] * daemons
        self.news_at = [0.0] * daemons
        self.listed: set[str] = set()
        self.workers: dict[str, jobworkers.Worker] = {}
        self.run_times = model.RunTimes()
        self.handle_other: Callable[[int, object], None] = lambda *_: None
        self.daemons = [state.State() for _ in range(daemons)]
        for number in range(workers):
            self.add_worker(f"w{number}")
        self.configure(self.configuration())

    @property
    def jobs(self) -> dict[str, tuple[model.Job, int]]:
        """Stored jobs and the revisions of their acceptance, by id."""
        return self.store.jobs

    @property
    def progress(self) -> dict[str, tuple[model.Progress, int]]:
        """Stored progress and its revision, by job id."""
        return self.store.progress

    @property
    def cancelled(self) -> dict[str, int]:
        """Revisions of cancellations by job id."""
        return self.store.cancelled

    @property
    def fleet(self) -> model.Fleet:
        """The stored fleet."""
        return self.store.fleet

    @property
    def owner_revision(self) -> int:
        """Token of the latest claim of ownership."""
        return self.store.owner_revision

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

    def latest_queue(self, name: str) -> model.Queue | None:
        """Returns the latest settings of a queue, also of a removed one."""
        for _, configuration in reversed(self.configurations):
            if name in configuration.queues:
                return configuration.queues[name]
        return None

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
        worker = jobworkers.Worker(entry, clock_zero=self.now)
        self._announce(worker, longest_entry_delay_s)

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
        fields.setdefault(
            "accepted_under", self.configurations[-1][1].queues.get(queue)
        )
        job = model.Job(
            job_id, queue, backend, team, "text", steps, self.now, **fields
        )
        revision = self.store.add_job(job)
        self.known_jobs[job_id] = job
        self.team_of_job[job_id] = team
        self._notify_all(events.JobAccepted(self.now, job, revision))

    def cancel(self, job_id: str) -> None:
        """Stores a cancellation and notifies all daemons."""
        revision = self.store.cancel(job_id)
        self._notify_all(events.JobCancelled(self.now, job_id, revision))

    def _notify_all(self, event: object) -> None:
        """Delivers news to each daemon with its delay, in order."""

        def notify(number: int) -> None:
            self.deliver(number, dataclasses.replace(event, now=self.now))

        for number, delay_s in enumerate(self.news_delays_s):
            at = max(self.now + delay_s, self.news_at[number])
            self.news_at[number] = at
            if at <= self.now:
                notify(number)
            else:
                self.schedule(at - self.now, functools.partial(notify, number))

    def restart_daemon(self, number: int) -> None:
        """Restarts a daemon that is not the owner; it reads all anew."""
        askers = self.daemons[number].askers
        self.daemons[number] = state.State()
        self.held_back[number] = []
        listed = {
            worker_id: self.workers[worker_id].entry
            for worker_id in self.listed
        }
        for event in (
            events.ConfigurationChanged(self.now, self.configurations[-1][1]),
            events.PeersChanged(self.now, askers),
            events.WorkersListed(self.now, listed),
            self.store.jobs_listed(),
        ):
            self.deliver(number, event)

    def claim(self, number: int, is_former_gone: bool = False) -> None:
        """Makes a daemon the owner without notifying the former owner.

        Args:
            number: The daemon.
            is_former_gone: Whether the process of the former owner has ended.
        """
        former_claimed_at, self.claimed_at = self.claimed_at, self.now
        self.checks.note_disruption()
        token = self.store.claim(number)
        self.owner_number = number
        listed = self.store.jobs_listed()
        self.deliver(
            number,
            events.OwnershipLost(self.now, token, "claimed again"),
        )
        self.deliver(number, listed)
        self.deliver(
            number,
            events.OwnershipClaimed(
                self.now,
                token,
                self.store.fleet,
                is_former_gone,
                former_claimed_at,
                sent_starts=self._last_starts(),
            ),
        )
        self.schedule(
            INFORMED_AFTER_S, functools.partial(self._inform, number, token)
        )

    def _last_starts(self) -> dict[str, tuple[str, int, float]]:
        """Returns an owner's last starts that it has heard no answer to."""
        since = self.sent_starts[-1][0] - LAST_S if self.sent_starts else 0.0
        return {
            order.task_id: (
                order.worker_id,
                order.run,
                at + tunables.LATE_CALL_S,
            )
            for at, order in self.sent_starts
            if at >= since and (order.task_id, order.run) not in self.answered
        }

    def _inform(self, number: int, token: int) -> None:
        """Tells an owner that most daemons know of its claim, if they do."""
        knowing = set(range(len(self.daemons))) - self.frozen - self.cut_off
        if 2 * len(knowing | {number}) > len(self.daemons):
            self.deliver(number, events.DaemonsInformed(self.now, token))

    def _prove(self, number: int) -> None:
        """Tells an owner that nobody has claimed after it, if it can know."""
        owner = self.daemons[number].owner
        if owner is None or owner.token != self.owner_revision:
            return
        is_store_cut = (
            self.faults.is_store_down or number in self.faults.storeless
        )
        if is_store_cut and (self.frozen or self.cut_off):
            return
        self.deliver(
            number, events.OwnershipProven(self.now, owner.token, self.now)
        )

    def end_authority(self, number: int) -> None:
        """Makes a daemon give up ownership as when its authority ends."""
        owner = self.daemons[number].owner
        if owner is not None:
            self.deliver(
                number,
                events.OwnershipLost(self.now, owner.token, "authority-over"),
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
        is_answer = isinstance(event, events.StartAnswered)
        if is_answer and event.result != events.CallResult.UNKNOWN:
            self.answered.add((event.task_id, event.run))
        for effect in reducer.reduce(self.daemons[number], event):
            if isinstance(effect, effects.Start) and not effect.ticket:
                self.sent_starts.append((self.now, effect))
                self.answered.discard((effect.task_id, effect.run))
            self.execute(number, effect)

    def run(self, seconds: float) -> None:
        """Advances simulated time."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for worker in self.workers.values():
                if worker.is_up:
                    worker.advance(self.now)
                    self.record_completions(worker)
            self.gangs.advance()
            while (
                self.scheduled_calls and self.scheduled_calls[0][0] <= self.now
            ):
                _, _, callback = heapq.heappop(self.scheduled_calls)
                callback()
            for number in range(len(self.daemons)):
                if number not in self.frozen:
                    self._prove(number)
                    self.deliver(number, events.Tick(self.now, self.now))
            if self._is_disrupted():
                self.checks.note_disruption()
            self.checks.twice.check_running()
            self.checks.check_starvation()
            self.checks.check_harm()

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

    def job_of(self, name: str) -> model.Job:
        """Returns the job of a step or a task, also after its removal."""
        job_id = name.partition(".")[0]
        return self.known_jobs.get(job_id) or self.jobs[job_id][0]

    def state_of(self, job_id: str) -> model.JobState:
        """Returns the stored state of a job."""
        stored = self.progress.get(job_id)
        return stored[0].state if stored else model.JobState.QUEUED

    def record_completions(self, worker: jobworkers.Worker) -> None:
        """Records the tasks that a worker reports as done."""
        for row in worker.ended:
            if row.how == model.RunOutcome.DONE:
                self.done.add(row.task_id)

    def schedule(self, delay: float, callback: object) -> None:
        """Calls back after a delay, in seconds of simulated time."""
        heapq.heappush(
            self.scheduled_calls,
            (self.now + delay, next(self.call_sequence), callback),
        )

    def draw(self, share: float) -> bool:
        """Returns whether a share of events includes the next one.

        Unused faults leave the sequence of random numbers as it is.
        """
        return share > 0 and self.rng.random() < share

    def execute(self, number: int, effect: object) -> None:
        """Executes an effect of a daemon."""
        if isinstance(effect, effects.Start):
            self.starts.append(effect)
        if isinstance(effect, fencing.Order):
            self.calls.send(number, effect)
        elif isinstance(effect, effects.WriteProgress):
            self.store.write(number, effect)
        elif isinstance(effect, effects.StoreRunTimes):
            self.run_times = effect.run_times
        elif isinstance(effect, effects.AskAdvice):
            self.advice.answer(number, effect)
        elif isinstance(effect, effects.Decision):
            self.decisions.append(effect)
            if effect.rule == "tick-failed":
                error = effect.fields["error"]
                self.checks.violations.append(f"FAULT {error}")
        else:
            self.handle_other(number, effect)

    def is_good(self, group: str, worker_id: str) -> bool:
        """Returns whether the advice service approves of a worker."""
        return self.advice.is_good(group, worker_id)
