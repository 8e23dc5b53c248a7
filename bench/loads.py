"""The scripted load of bench/measures.py: submissions with their run times."""

import dataclasses
import random
from typing import Any

from mimosaridge_core import configuration
from mimosaridge_core import events
from mimosaridge_core import resources
from mimosaridge_core import works
from mimosaridge_standins import fleets

LENGTH_S = 60.0
ZONE_OUT_S = 25.0
ZONE_SILENT_S = 27.0
ZONE_IN_S = 45.0
TEAM_DEMAND = 1.2
GREEDY_DEMAND = 0.4
URGENT_PER_S = 0.8
URGENT_LARGE = 0.3
RUN_SPREAD = 0.3


@dataclasses.dataclass(frozen=True)
class JobType:
    """A kind of job; amounts are fractions of one worker.

    Attributes:
        weight: How often it is submitted.
        cpu: Processor time.
        memory: Memory.
        accelerators: Whole accelerators, on workers that have some.
        run_s: Typical run time in seconds.
        most: Most tasks in one submission.
        kind: How its tasks run.
    """

    weight: float
    cpu: float
    memory: float
    accelerators: int
    run_s: float
    most: int
    kind: works.Kind


BATCH = works.Kind.BATCH
PLAIN = (
    JobType(0.30, 1 / 16, 1 / 16, 0, 8.0, 1, works.Kind.REQUEST),
    JobType(0.25, 1 / 8, 1 / 8, 0, 20.0, 4, BATCH),
    JobType(0.15, 1 / 16, 1 / 4, 0, 25.0, 2, BATCH),
    JobType(0.06, 1 / 2, 3 / 8, 0, 40.0, 1, BATCH),
    JobType(0.04, 3 / 8, 1 / 4, 0, 25.0, 4, works.Kind.GANG),
)
ACCELERATED = (
    JobType(0.20, 1 / 8, 1 / 8, 2, 20.0, 2, BATCH),
    JobType(0.05, 1 / 4, 1 / 4, 4, 30.0, 1, BATCH),
)
URGENT = (
    JobType(1.0, 1 / 16, 1 / 16, 0, 2.0, 1, works.Kind.REQUEST),
    JobType(1.0, 1 / 2, 1 / 4, 0, 3.0, 1, works.Kind.REQUEST),
)


@dataclasses.dataclass(frozen=True)
class Submission:
    """One submission of the script.

    Attributes:
        at: Seconds since the beginning.
        team: The team.
        fields: Keyword arguments of the fake deployment's `submit`.
        run_s: Run time of each of its tasks in seconds.
    """

    at: float
    team: str
    fields: dict[str, Any]
    run_s: float


@dataclasses.dataclass(frozen=True)
class Site:
    """A deployment to measure.

    Attributes:
        hosts: Its workers.
        shares: Share of each team; the last team asks for too much.
        services: Replicas of the standing service of each endpoint.
        zone: Zone that leaves and returns.
    """

    hosts: list[events.Host]
    shares: dict[str, float]
    services: dict[str, int]
    zone: str


def _hosts(listed: list[dict[str, Any]]) -> list[events.Host]:
    return [
        events.Host(
            item["worker_id"],
            item["worker_id"],
            item["zone"],
            item["rack"],
            item["endpoint"],
            resources.Resources(**item["capacity"]),
        )
        for item in listed
    ]


def sites() -> dict[str, Site]:
    """Returns both deployments at their real sizes."""
    return {
        "queensland": Site(
            _hosts(fleets.queensland("")),
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
            _hosts(fleets.prague("")),
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


def part_of(capacity: resources.Resources, job: JobType) -> resources.Resources:
    """Returns what one task of a job needs on workers of a capacity."""
    return resources.Resources(
        int(capacity.cpu_millis * job.cpu),
        int(capacity.memory_mib * job.memory),
        job.accelerators if capacity.accelerators else 0,
        1,
        1,
    )


def services_of(site: Site) -> dict[str, configuration.Service]:
    """Returns the standing services, charged to the first two teams."""
    teams = list(site.shares)
    made = {}
    for position, (endpoint, replicas) in enumerate(site.services.items()):
        capacity = _capacity(site, endpoint)
        needs = part_of(capacity, JobType(1, 1 / 8, 1 / 8, 0, 0, 1, BATCH))
        name = f"front-{endpoint}"
        made[name] = configuration.Service(
            name, teams[position], replicas, needs, endpoint
        )
    return made


def _capacity(site: Site, endpoint: str) -> resources.Resources:
    return next(h.capacity for h in site.hosts if h.endpoint == endpoint)


def script(site: Site, seed: int) -> list[Submission]:
    """Returns the submissions of all teams to all endpoints, by time."""
    rng = random.Random(seed)
    total = sum(site.shares.values())
    greedy = list(site.shares)[-1]
    made: list[Submission] = []
    for endpoint in site.services:
        for team, share in site.shares.items():
            demand = TEAM_DEMAND * share / total
            demand += GREEDY_DEMAND if team == greedy else 0.0
            made += _backlog(site, endpoint, team, demand, rng)
        made += _urgent(site, endpoint, rng)
    return sorted(made, key=lambda item: item.at)


def _backlog(
    site: Site, endpoint: str, team: str, demand: float, rng: random.Random
) -> list[Submission]:
    capacity = _capacity(site, endpoint)
    pool = resources.total(
        [h.capacity for h in site.hosts if h.endpoint == endpoint]
    )
    types = PLAIN + ACCELERATED if capacity.accelerators else PLAIN
    weights = [job.weight for job in types]
    made = []
    at = rng.uniform(0.0, 1.0)
    while at < LENGTH_S:
        job = rng.choices(types, weights)[0]
        count = 4 if job.kind == works.Kind.GANG else rng.randint(1, job.most)
        needs = part_of(capacity, job)
        urgency = rng.choice(
            (
                works.Urgency.NORMAL,
                works.Urgency.NORMAL,
                works.Urgency.BACKGROUND,
            )
        )
        made.append(
            _submission(at, team, endpoint, job, count, needs, urgency, rng)
        )
        work_s = needs.dominant_fraction(pool) * count * job.run_s
        at += rng.uniform(0.5, 1.5) * work_s / demand
    return made


def _urgent(site: Site, endpoint: str, rng: random.Random) -> list[Submission]:
    capacity = _capacity(site, endpoint)
    teams, shares = list(site.shares), list(site.shares.values())
    made = []
    at = rng.expovariate(URGENT_PER_S)
    while at < LENGTH_S:
        job = URGENT[1 if rng.random() < URGENT_LARGE else 0]
        team = rng.choices(teams, shares)[0]
        needs = part_of(capacity, job)
        urgency = works.Urgency.URGENT
        made.append(
            _submission(at, team, endpoint, job, 1, needs, urgency, rng)
        )
        at += rng.expovariate(URGENT_PER_S)
    return made


def _submission(
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
        "within_s": LENGTH_S * 2,
        "declared_run_s": run_s * 10 ** rng.uniform(-1, 1),
        "body": f"{run_s:.3f}".encode(),
    }
    return Submission(at, team, fields, run_s)
