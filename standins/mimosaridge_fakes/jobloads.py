"""Loads of unlike jobs for a simulated cluster, and what their callers get.

The load: two back ends with some hundreds of workers that are nearly full, five
kinds of jobs that compete for them by priority, tickets of the advice service
for each, and hundreds of starts a second.
"""

import collections
import dataclasses
import random

from mimosaridge_core import resources
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_fakes import jobclusters

LEDGER = "ledger"
ANALYSIS = "analysis"
LEDGER_CAPACITY = resources.Resources(32_000, 128_000, 0)
ANALYSIS_CAPACITY = resources.Resources(128_000, 512_000, 8)
# Share of workers that the advice service approves of for a step.
GOOD_SHARE = 0.45
DAEMONS_THAT_ASK = 60
TICKET_S = 2.0
# Bounds of a factor drawn for each job's size.
LEAST_SIZE, MOST_SIZE = 0.5, 1.5
# How many times as long the longest tasks run.
TAIL_FACTOR = 7.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of jobs.

    Attributes:
        queue: Its queue.
        backend: The back end that runs it.
        per_s: Jobs a second.
        tasks: Mean number of tasks of a step.
        step: A step; the number of its tasks is replaced.
        priority: Priority of the queue.
        stretch: Objective as a multiple of the work.
        target_s: Constant part of the objective, seconds.
        advice: How slow the advice service is for it.
    """

    queue: str
    backend: str
    per_s: float
    tasks: int
    step: model.Step
    priority: int
    stretch: float
    target_s: float
    advice: model.AdviceSettings


def _step(
    cpu: int, memory: int, accelerators: int, estimate_s: float, **fields: bool
) -> model.Step:
    needs = resources.Resources(cpu, memory, accelerators)
    return model.Step(1, needs, estimate_s, **fields)


def _advice(decision_s: float, per_worker_s: float) -> model.AdviceSettings:
    return model.AdviceSettings(decision_s, per_worker_s, TICKET_S)


KINDS = (
    Kind(
        "enquiries",
        LEDGER,
        25.0,
        9,
        _step(8_000, 25_000, 0, 0.7),
        0,
        2.0,
        0.5,
        _advice(0.03, 0.0004),
    ),
    Kind(
        "reconciling",
        LEDGER,
        4.0,
        16,
        _step(9_000, 20_000, 0, 4.5, checkpoints=True),
        2,
        4.0,
        3.0,
        _advice(0.15, 0.002),
    ),
    Kind(
        "revaluing",
        ANALYSIS,
        3.0,
        3,
        _step(62_000, 200_000, 4, 3.6, checkpoints=True, gang=True),
        1,
        2.2,
        1.0,
        _advice(0.5, 0.007),
    ),
    Kind(
        "checking",
        ANALYSIS,
        4.0,
        14,
        _step(11_000, 50_000, 1, 2.4, checkpoints=True),
        2,
        4.0,
        3.0,
        _advice(0.14, 0.002),
    ),
)


class Play:
    """Plays a load on a cluster of one daemon and measures its jobs.

    Attributes:
        cluster: The cluster.
        took_s: Times from submission to completion by queue, seconds.
        in_time: Number of jobs completed within their objective by queue.
        submitted: Number of jobs by queue whose objective has passed or that
            are completed.
    """

    def __init__(
        self,
        factor: float,
        seed: int = 0,
        ledgers: int = 195,
        others: int = 76,
        wrong: float = 0.0,
        tail_share: float = 0.0,
    ) -> None:
        """Starts the cluster.

        Args:
            factor: Multiple of the usual load.
            seed: Seed of all random numbers.
            ledgers: Number of workers of the larger back end.
            others: Number of workers of the other one.
            wrong: Largest share by which declared run times are off.
            tail_share: Share of the tasks that run `TAIL_FACTOR` times as long.
        """
        self.factor = factor
        self.wrong = wrong
        self.tail_share = tail_share
        self.rng = random.Random(seed)
        self.cluster = jobclusters.Cluster(daemons=1, workers=0, seed=seed)
        self.cluster.good_share = GOOD_SHARE
        self.took_s: dict[str, list[float]] = collections.defaultdict(list)
        self.in_time: collections.Counter = collections.Counter()
        self.submitted: collections.Counter = collections.Counter()
        self.open: dict[str, tuple[Kind, float, float]] = {}
        self.count = 0
        self._configure()
        for number in range(ledgers):
            self._add_worker(f"ledger-{number:03}", LEDGER, LEDGER_CAPACITY)
        for number in range(others):
            self._add_worker(f"other-{number:03}", ANALYSIS, ANALYSIS_CAPACITY)
        names = frozenset(f"d{number}" for number in range(DAEMONS_THAT_ASK))
        self.cluster.deliver(0, events.PeersChanged(self.cluster.now, names))
        self.cluster.claim(0)
        self.cluster.run(0.5)

    def run(self, seconds: float) -> None:
        """Submits jobs and advances simulated time."""
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            for kind in KINDS:
                rate = kind.per_s * self.factor * jobclusters.TICK_S
                if self.rng.random() < rate:
                    self._submit(kind)
            self.cluster.run(jobclusters.TICK_S)
            self._collect()

    def served_share(self, queue: str) -> float:
        """Returns the share of a queue's jobs completed in time."""
        return self.in_time[queue] / max(1, self.submitted[queue])

    def _configure(self) -> None:
        queues = {
            kind.queue: model.Queue(
                kind.queue,
                "host",
                f"/{kind.queue}/",
                kind.backend,
                kind.priority,
                3,
                kind.stretch,
                kind.target_s,
                advice=kind.advice,
            )
            for kind in KINDS
        }
        team = model.Team("a", 1_000.0, resources.ZERO, ("key",))
        self.cluster.configure(
            model.Configuration(2, queues, {"a": team}, {"key": "a"})
        )

    def _add_worker(
        self, name: str, backend: str, capacity: resources.Resources
    ) -> None:
        self.cluster.add_worker(
            name,
            capacity.cpu_millis,
            capacity.memory_mib,
            capacity.accelerators,
            backend,
        )

    def _submit(self, kind: Kind) -> None:
        self.count += 1
        job_id = f"{self.count:016x}"
        size = self.rng.uniform(LEAST_SIZE, MOST_SIZE)
        step = dataclasses.replace(
            kind.step, tasks=max(1, round(kind.tasks * size))
        )
        work_s = step.estimate_s
        if self.wrong:
            off = 1 + self.rng.uniform(-self.wrong, self.wrong)
            step = dataclasses.replace(step, estimate_s=work_s * off)
            self._set_run_times(job_id, step.tasks, work_s)
        self.cluster.submit(
            job_id, step, queue=kind.queue, backend=kind.backend
        )
        objective_s = kind.stretch * work_s + kind.target_s
        self.open[job_id] = (kind, self.cluster.now, objective_s)

    def _set_run_times(self, job_id: str, tasks: int, work_s: float) -> None:
        for index in range(tasks):
            is_long = self.rng.random() < self.tail_share
            self.cluster.durations[model.task_id(job_id, 0, 0, index)] = (
                work_s * (TAIL_FACTOR if is_long else 1.0)
            )

    def _collect(self) -> None:
        now = self.cluster.now
        for job_id, (kind, submitted_at, objective_s) in list(
            self.open.items()
        ):
            is_done = self.cluster.state_of(job_id) == model.JobState.COMPLETED
            if not is_done and now - submitted_at <= objective_s:
                continue
            self.submitted[kind.queue] += 1
            if is_done:
                self.in_time[kind.queue] += 1
                self.took_s[kind.queue].append(now - submitted_at)
            del self.open[job_id]
