"""Checks of a simulated job cluster against the scheduling rules.

Violations are strings that begin with the name of the rule. The checks use what
the workers run and what the store holds, never the state of a daemon.
"""

import math
from typing import TYPE_CHECKING

from mimosaridge_core import resources
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import work
from mimosaridge_fakes import jobtwice
from mimosaridge_fakes import jobworkers

if TYPE_CHECKING:
    from mimosaridge_fakes import jobclusters

# A replaced configuration may stay in force for this time.
CONFIGURATION_APPLY_S = 2.0
# Starvation is a violation if it lasts this long,
STARVED_S = 3.0
# after this time without disruptions.
CALM_S = 4.0
# A standing task may be down for this time before it counts as starved.
STANDING_RESTART_S = 6.0
# Backfill may keep a serving task above its target for this time.
HARM_S = 4.0
# Interval at which starvation is looked for.
STARVATION_INTERVAL_S = 0.1


class Checks:
    """Checks of one cluster.

    Attributes:
        cluster: The cluster.
        violations: What was violated, in order.
        twice: Check that no task runs twice.
        disrupted_at: Time of the latest disruption, seconds.
        starved_since: Since when a job or a standing task could run and
            doesn't, by its id.
        reported: Jobs and standing tasks reported as starved.
        seen_running_at: When each standing task last ran.
        next_starvation_at: Time of the next look for starvation.
        disturbed_since: Since when backfill has kept a serving task above its
            target, by task and worker.
    """

    def __init__(self, cluster: "jobclusters.Cluster") -> None:
        self.cluster = cluster
        self.violations: list[str] = []
        self.twice = jobtwice.TwiceCheck(cluster, self.violations)
        self.disrupted_at = cluster.now
        self.starved_since: dict[str, float] = {}
        self.reported: set[str] = set()
        self.seen_running_at: dict[str, float] = {}
        self.next_starvation_at = 0.0
        self.disturbed_since: dict[tuple[str, str], float] = {}

    def note_disruption(self) -> None:
        """Records that something was disrupted now."""
        self.disrupted_at = self.cluster.now

    def is_calm(self) -> bool:
        """Returns whether the last disruption was `CALM_S` ago."""
        return self.cluster.now - self.disrupted_at >= CALM_S

    def check_start(
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
            for other in self.cluster.workers.values()
            for task_id, _ in other.running
            if other.is_up and task_id == order.task_id
        ]
        if len(others) > 1 and not step.speculative:
            self.violations.append(f"TWICE {where}: {others}")
        self.twice.record_start(order.task_id, order.run, order.worker_id)
        if order.task_id in self.cluster.acknowledged:
            self.violations.append(f"TWICE after done {where}")
        job_id = order.task_id.partition(".")[0]
        self._check_team_limit(self.cluster.team_of_job[job_id], where)
        self._check_place(order, worker, step, where)
        self._check_order(order, step, where)

    def _check_team_limit(self, team: str, where: str) -> None:
        """Records a start that brings a team above its upper limit.

        The largest of the limits that may be in force counts, per resource.
        """
        teams = [
            configuration.teams.get(team)
            for configuration in self.configurations_in_force()
        ]
        limits = [entry.upper_limit for entry in teams if entry is not None]
        if not any(limit != resources.ZERO for limit in limits):
            return
        running = self.team_usage(team)
        for name in resources.NAMES:
            amounts = [getattr(limit, name) for limit in limits]
            if all(amounts) and getattr(running, name) > max(amounts):
                self.violations.append(
                    f"QUOTA {where}: {team} has {getattr(running, name)} "
                    f"{name} running; it may have {max(amounts)}"
                )

    def _check_place(
        self,
        order: effects.Start,
        worker: jobworkers.Worker,
        step: model.Step,
        where: str,
    ) -> None:
        """Checks the worker's back end and label and the step's spread."""
        job_id = order.task_id.partition(".")[0]
        job = self.cluster.job_of(job_id)
        backends = {
            configuration.queues[job.queue].backend
            for configuration in self.configurations_in_force()
            if job.queue in configuration.queues
        }
        if worker.entry.backend not in (backends or {job.backend}):
            self.violations.append(f"ROUTE {where}: {worker.entry.backend}")
        if step.label and step.label not in worker.entry.labels:
            self.violations.append(f"ROUTE {where}: no label {step.label}")
        group = order.task_id.rpartition(".")[0]
        beside = sum(
            task_id.rpartition(".")[0] == group for task_id, _ in worker.running
        )
        if step.most_per_worker and beside > step.most_per_worker:
            self.violations.append(f"ROUTE {where}: {beside} of one step")

    def _check_order(
        self, order: effects.Start, step: model.Step, where: str
    ) -> None:
        job_id, repetition, _, _ = model.parse_task_id(order.task_id)
        for earlier_step in step.after:
            tasks = self.cluster.job_of(job_id).steps[earlier_step].tasks
            for index in range(tasks):
                earlier_task = model.task_id(
                    job_id, repetition, earlier_step, index
                )
                if earlier_task not in self.cluster.done:
                    self.violations.append(
                        f"ORDER {where} before {earlier_task}"
                    )

    def check_alone(self, task_id: str, run: int) -> None:
        """Records the end of a gang's member that waited for the others."""
        job_id = task_id.partition(".")[0]
        is_calm = self.is_calm() and (
            self.cluster.now - self.disrupted_at
            >= CALM_S + self.cluster.gang_timeout_s
        )
        if is_calm and job_id not in self.cluster.cancelled:
            self.violations.append(f"GANG {task_id} run {run} ended alone")

    def check_harm(self) -> None:
        """Records serving tasks that backfill keeps above their targets."""
        cluster = self.cluster
        disturbed = {
            (run.task_id, worker.entry.worker_id)
            for worker in cluster.workers.values()
            if worker.is_up
            for run in worker.running.values()
            if run.target_ms and worker.tail_ms(run) > run.target_ms
        }
        if not self.is_calm():
            disturbed = set()
        for key in self.disturbed_since.keys() - disturbed:
            del self.disturbed_since[key]
        for key in disturbed:
            since = self.disturbed_since.setdefault(key, cluster.now)
            if cluster.now - since >= HARM_S:
                self.disturbed_since[key] = math.inf
                self.violations.append(f"HARM {key[0]} on {key[1]}")

    def check_starvation(self) -> None:
        """Records jobs and standing tasks that could run and don't."""
        cluster = self.cluster
        if cluster.now < self.next_starvation_at:
            return
        self.next_starvation_at = cluster.now + STARVATION_INTERVAL_S
        running = self._running_tasks()
        for task_id in running:
            self.seen_running_at[task_id] = cluster.now
        if not self.is_calm():
            self.starved_since.clear()
            return
        starved = self._starved(running)
        for name in list(self.starved_since):
            if name not in starved:
                del self.starved_since[name]
        for name, detail in starved.items():
            since = self.starved_since.setdefault(name, cluster.now)
            if cluster.now - since >= STARVED_S and name not in self.reported:
                self.reported.add(name)
                self.violations.append(
                    f"LOST {name} could run since {since:.1f}: {detail}"
                )

    def _running_tasks(self) -> set[str]:
        return {
            task_id
            for worker in self.cluster.workers.values()
            if worker.is_up
            for task_id, _ in worker.running
        }

    def _starved(self, running: set[str]) -> dict[str, str]:
        """Returns what could run and doesn't, with the step concerned."""
        cluster = self.cluster
        running_jobs = {task_id.partition(".")[0] for task_id in running}
        starved = {}
        for job, _ in list(cluster.jobs.values()):
            if (
                job.job_id in cluster.cancelled
                or cluster.state_of(job.job_id) in model.FINAL_STATES
            ):
                continue
            for repetition, number, waiting in self._ready_steps(job, running):
                step = job.steps[number]
                name = f"{job.job_id}.{repetition}.{number}"
                if step.standing:
                    for index in sorted(waiting):
                        task = f"{name}.{index}"
                        is_down = (
                            cluster.now - self.seen_running_at.get(task, 0.0)
                            > STANDING_RESTART_S
                        )
                        if is_down and self.has_capacity(job, name, step):
                            starved[task] = f"standing, {step.needs}"
                elif job.job_id not in running_jobs and self.has_capacity(
                    job, name, step
                ):
                    starved[job.job_id] = f"step {name}, {step.needs}"
        return starved

    def _ready_steps(
        self, job: model.Job, running: set[str]
    ) -> list[tuple[int, int, set[int]]]:
        """Returns the repetition, number and waiting tasks of ready steps."""
        stored, _ = self.cluster.progress.get(job.job_id, (model.Progress(), 0))
        ready = []
        for repetition in range(work.repetitions(job)):
            if job.repeats and self.cluster.now < work.due_at(job, repetition):
                break
            for number, step in enumerate(job.steps):
                is_ready = all(
                    self._stored_done(stored, repetition, earlier)
                    >= set(range(job.steps[earlier].tasks))
                    for earlier in step.after
                )
                waiting = {
                    index
                    for index in range(step.tasks)
                    if f"{job.job_id}.{repetition}.{number}.{index}"
                    not in running
                } - self._stored_done(stored, repetition, number)
                if is_ready and waiting:
                    ready.append((repetition, number, waiting))
        return ready

    def _stored_done(
        self, stored: model.Progress, repetition: int, number: int
    ) -> set[int]:
        progress = stored.steps.get(work.step_key(repetition, number))
        return set(progress.done) if progress is not None else set()

    def has_capacity(self, job: model.Job, name: str, step: model.Step) -> bool:
        """Returns whether a step of a job has capacity for it twice over.

        Its team must have under half of its upper limit running and, unless it
        is standing, under half of the back end's capacity must be in use.

        Args:
            job: The job.
            name: "JOB.REPETITION.STEP".
            step: The step.
        """
        cluster = self.cluster
        queue = cluster.latest_queue(job.queue)
        backend = queue.backend if queue is not None else job.backend
        workers = [
            worker
            for worker_id, worker in cluster.workers.items()
            if worker.is_up
            and worker_id in cluster.listed
            and not worker.entry.draining
            and worker.entry.backend == backend
        ]
        used = resources.total([worker.used() for worker in workers])
        capacity = resources.total(
            [worker.entry.capacity for worker in workers]
        )
        is_half_used = used.dominant_fraction(capacity) >= 0.5
        if is_half_used and not step.standing:
            return False
        count = step.tasks if step.gang else 1
        if not self._is_within_half_limit(job, step, count):
            return False
        needs_advice = queue is not None and queue.advice is not None
        return 2 * count <= sum(
            self._places(worker, name, step)
            for worker in workers
            if not step.label or step.label in worker.entry.labels
            if not needs_advice or cluster.is_good(name, worker.entry.worker_id)
        )

    def _places(
        self, worker: jobworkers.Worker, name: str, step: model.Step
    ) -> int:
        """Returns how many more tasks of a step a worker can run."""
        free = worker.entry.capacity - worker.used()
        needs = work.reserved_resources(step)
        places = [
            have // need
            for have, need in (
                (free.cpu_millis, needs.cpu_millis),
                (free.memory_mib, needs.memory_mib),
                (free.accelerators, needs.accelerators),
            )
            if need
        ]
        if step.most_per_worker:
            beside = sum(
                task_id.rpartition(".")[0] == name
                for task_id, _ in worker.running
            )
            places.append(step.most_per_worker - beside)
        return max(0, min(places, default=0))

    def _is_within_half_limit(
        self, job: model.Job, step: model.Step, count: int
    ) -> bool:
        configuration = self.cluster.configurations[-1][1]
        team = configuration.teams.get(job.team)
        limit = team.upper_limit if team is not None else resources.ZERO
        used = self.team_usage(job.team)
        more = used + step.needs.times(count)
        return all(
            not have
            or (getattr(used, name) * 2 < have and getattr(more, name) <= have)
            for name, have in (
                (name, getattr(limit, name)) for name in resources.NAMES
            )
        )

    def team_usage(self, team: str) -> resources.Resources:
        """Returns what all runs of a team need."""
        return resources.total(
            [
                run.team_needs
                for worker in self.cluster.workers.values()
                if worker.is_up
                for run in worker.running.values()
                if self.cluster.team_of_job[run.task_id.partition(".")[0]]
                == team
            ]
        )

    def configurations_in_force(self) -> list[model.Configuration]:
        """Returns the latest configuration and those replaced just before."""
        in_force = []
        replaced_at = math.inf
        for at, configuration in reversed(self.cluster.configurations):
            if replaced_at + CONFIGURATION_APPLY_S > self.cluster.now:
                in_force.append(configuration)
            replaced_at = at
        return in_force
