"""Generates the submissions of bench/measures.py from a seed."""

import dataclasses
import random
from typing import Any

from mimosaridge_core import configuration
from mimosaridge_core import events
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_standins import fleets

# Times in seconds since the start of the run.
DURATION_S = 60.0
ZONE_OUT_S = 25.0
ZONE_UNREACHABLE_S = 27.0
ZONE_IN_S = 45.0
# Demand as a multiple of the endpoint's capacity: of all teams together, and
# the additional demand of the greedy team.
TEAM_DEMAND = 1.2
GREEDY_DEMAND = 0.4
URGENT_RATE_PER_S = 0.8
URGENT_LARGE_FRACTION = 0.3
# Run times are uniform within this fraction of the mean.
RUN_SPREAD = 0.3


@dataclasses.dataclass(frozen=True)
class JobType:
    """A type of job whose needs are fractions of a worker's capacity.

    Attributes:
        weight: Relative frequency of submissions.
        cpu: CPU as a fraction of the worker's.
        memory: Memory as a fraction of the worker's.
        accelerators: Number of accelerators; 0 is used on workers without any.
        run_s: Mean run time in seconds.
        max_tasks: Maximum number of tasks per submission.
        kind: Kind of work.
    """

    weight: float
    cpu: float
    memory: float
    accelerators: int
    run_s: float
    max_tasks: int
    kind: works.Kind


BATCH = works.Kind.BATCH
CPU_JOBS = (
    JobType(0.30, 1 / 16, 1 / 16, 0, 8.0, 1, works.Kind.REQUEST),
    JobType(0.25, 1 / 8, 1 / 8, 0, 20.0, 4, BATCH),
    JobType(0.15, 1 / 16, 1 / 4, 0, 25.0, 2, BATCH),
    JobType(0.06, 1 / 2, 3 / 8, 0, 40.0, 1, BATCH),
    JobType(0.04, 3 / 8, 1 / 4, 0, 25.0, 4, works.Kind.GANG),
)
ACCELERATOR_JOBS = (
    JobType(0.20, 1 / 8, 1 / 8, 2, 20.0, 2, BATCH),
    JobType(0.05, 1 / 4, 1 / 4, 4, 30.0, 1, BATCH),
)
URGENT_JOBS = (
    JobType(1.0, 1 / 16, 1 / 16, 0, 2.0, 1, works.Kind.REQUEST),
    JobType(1.0, 1 / 2, 1 / 4, 0, 3.0, 1, works.Kind.REQUEST),
)


@dataclasses.dataclass(frozen=True)
class Submission:
    """A submission of the generated load.

    Attributes:
        at: Time in seconds since the start of the run.
        team: Name of the team.
        fields: Keyword arguments of the fake deployment's `submit`.
        run_s: Run time of each task in seconds.
    """

    at: float
    team: str
    fields: dict[str, Any]
    run_s: float


@dataclasses.dataclass(frozen=True)
class Site:
    """A deployment to measure.

    Attributes:
        hosts: The workers.
        shares: Share of each team; the last team requests more than its share.
        services: Number of replicas of the service of each endpoint.
        zone: Zone that is taken out and brought back.
    """

    hosts: list[events.Host]
    shares: dict[str, float]
    services: dict[str, int]
    zone: str


def _make_hosts(items: list[dict[str, Any]]) -> list[events.Host]:
    return [
        events.Host(
            item["worker_id"],
            item["worker_id"],
            item["zone"],
            item["rack"],
            item["endpoint"],
            resources.Resources(**item["capacity"]),
        )
        for item in items
    ]


def sites() -> dict[str, Site]:
    """Returns both deployments at full size."""
    return {
        "queensland": Site(
            _make_hosts(fleets.queensland("")),
            {
                "registry": 4,
                "tontine": 3,
                "houses": 2,
                "audits": 1,
                "advisers": 1,
                "archive": 1,
            },
            {"registry": 12, "actuarial": 4},
            "qld-b",
        ),
        "prague": Site(
            _make_hosts(fleets.prague("")),
            {
                "tickets": 4,
                "clerks": 3,
                "partners": 2,
                "orders": 1,
                "ledger": 1,
                "imaging": 1,
            },
            {"ticket": 12, "imaging": 4},
            "prg-b",
        ),
    }


def task_needs(
    capacity: resources.Resources, job: JobType
) -> resources.Resources:
    """Returns the needs of a job's task on workers of a given capacity."""
    return resources.Resources(
        int(capacity.cpu_millis * job.cpu),
        int(capacity.memory_mib * job.memory),
        job.accelerators if capacity.accelerators else 0,
        1,
        1,
    )


def make_services(site: Site) -> dict[str, configuration.Service]:
    """Returns one service per endpoint, owned by the first teams in order."""
    teams = list(site.shares)
    services = {}
    for position, (endpoint, replicas) in enumerate(site.services.items()):
        capacity = _capacity(site, endpoint)
        needs = task_needs(capacity, JobType(1, 1 / 8, 1 / 8, 0, 0, 1, BATCH))
        name = f"front-{endpoint}"
        services[name] = configuration.Service(
            name, teams[position], replicas, needs, endpoint
        )
    return services


def _capacity(site: Site, endpoint: str) -> resources.Resources:
    return next(h.capacity for h in site.hosts if h.endpoint == endpoint)


def make_submissions(site: Site, seed: int) -> list[Submission]:
    """Returns all teams' submissions to all endpoints, ordered by time."""
    rng = random.Random(seed)
    total = sum(site.shares.values())
    greedy_team = list(site.shares)[-1]
    submissions: list[Submission] = []
    for endpoint in site.services:
        for team, share in site.shares.items():
            demand = TEAM_DEMAND * share / total
            demand += GREEDY_DEMAND if team == greedy_team else 0.0
            submissions += _regular_submissions(
                site, endpoint, team, demand, rng
            )
        submissions += _urgent_submissions(site, endpoint, rng)
    return sorted(submissions, key=lambda item: item.at)


def _regular_submissions(
    site: Site, endpoint: str, team: str, demand: float, rng: random.Random
) -> list[Submission]:
    capacity = _capacity(site, endpoint)
    pool = resources.total(
        [h.capacity for h in site.hosts if h.endpoint == endpoint]
    )
    types = CPU_JOBS + ACCELERATOR_JOBS if capacity.accelerators else CPU_JOBS
    weights = [job.weight for job in types]
    submissions = []
    at = rng.uniform(0.0, 1.0)
    while at < DURATION_S:
        job = rng.choices(types, weights)[0]
        count = (
            4 if job.kind == works.Kind.GANG else rng.randint(1, job.max_tasks)
        )
        needs = task_needs(capacity, job)
        urgency = rng.choice(
            (
                works.Urgency.NORMAL,
                works.Urgency.NORMAL,
                works.Urgency.BACKGROUND,
            )
        )
        submissions.append(
            _make_submission(
                at, team, endpoint, job, count, needs, urgency, rng
            )
        )
        work_s = needs.dominant_fraction(pool) * count * job.run_s
        at += rng.uniform(0.5, 1.5) * work_s / demand
    return submissions


def _urgent_submissions(
    site: Site, endpoint: str, rng: random.Random
) -> list[Submission]:
    capacity = _capacity(site, endpoint)
    teams, shares = list(site.shares), list(site.shares.values())
    submissions = []
    at = rng.expovariate(URGENT_RATE_PER_S)
    while at < DURATION_S:
        job = URGENT_JOBS[1 if rng.random() < URGENT_LARGE_FRACTION else 0]
        team = rng.choices(teams, shares)[0]
        needs = task_needs(capacity, job)
        urgency = works.Urgency.URGENT
        submissions.append(
            _make_submission(at, team, endpoint, job, 1, needs, urgency, rng)
        )
        at += rng.expovariate(URGENT_RATE_PER_S)
    return submissions


def _make_submission(
    at: float,
    team: str,
    endpoint: str,
    job: JobType,
    count: int,
    needs: resources.Resources,
    urgency: works.Urgency,
    rng: random.Random,
) -> Submission:
    run_s = job.run_s * rng.uniform(1 - RUN_SPREAD, 1 + RUN_SPREAD)
    fields = {
        "kind": job.kind,
        "count": count,
        "needs": needs,
        "endpoint": endpoint,
        "idempotent": True,
        "urgency": urgency,
        "within_s": DURATION_S * 2,
        "declared_run_s": run_s * 10 ** rng.uniform(-1, 1),
        "body": f"{run_s:.3f}".encode(),
    }
    return Submission(at, team, fields, run_s)
