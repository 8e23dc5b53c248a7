"""Scheduling policies, by the names that operators choose from."""

from collections.abc import Callable
import dataclasses

from mimosaridge_core import fairness
from mimosaridge_core import placement
from mimosaridge_core import state

Claim = Callable[[state.State, state.Shard, str], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How an owner chooses the next task and its worker.

    Attributes:
        claim: Returns a team's use over its share; the least goes first.
            None for order of arrival.
        fit: Chooses the worker.
        by_urgency: Whether more urgent classes go first.
        overtakes: Whether a task may start before an earlier one of its
            endpoint that finds no room.
        pools_classes: Whether only urgent work goes first, and a team's own
            normal work before its background work; else all normal work goes
            before all background work.
        reserves: Whether a worker is drained for a task of a gang that finds
            no room.
        sets_aside: Whether workers that fail what they are given are set
            aside and probed.
        ramps: Whether starts in a zone that came back grow step by step.
        drains: Whether a worker is drained also for the first task of the
            team furthest below its share.
        spreads: Whether a service's replicas go to the zones with fewest.
        preempts: Whether idempotent batch tasks make room for urgent ones.
    """

    claim: Claim | None
    fit: placement.Fit
    by_urgency: bool = True
    overtakes: bool = True
    pools_classes: bool = False
    preempts: bool = False
    reserves: bool = False
    sets_aside: bool = False
    ramps: bool = False
    drains: bool = False
    spreads: bool = False


DEFAULT = "best-fit"
REGISTRY: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Callable[[], Policy]], Callable]:
    """Registers the policy that a function returns under a name."""

    def register(make: Callable[[], Policy]) -> Callable[[], Policy]:
        REGISTRY[name] = make()
        return make

    return register


def in_force(st: state.State) -> Policy:
    """Returns the configured policy, or the default if it is unknown."""
    return REGISTRY.get(st.config.policy) or REGISTRY[DEFAULT]


@policy("first-in-first-out")
def first_in_first_out() -> Policy:
    """Strict order of arrival at each endpoint, first worker that fits."""
    return Policy(
        None,
        placement.first_fit,
        by_urgency=False,
        overtakes=False,
    )


@policy("best-fit")
def best_fit() -> Policy:
    """By urgency, then by the shard's own use of each team; best fit."""
    return Policy(fairness.claim_on_share, placement.best_fit)


@policy("fleet-share")
def fleet_share() -> Policy:
    """As best-fit, with each team's use counted over the whole fleet."""
    return dataclasses.replace(best_fit(), claim=fairness.fleet_claim)


@policy("zone-return")
def zone_return() -> Policy:
    """As fleet-share.

    It was the first to give back tasks that wait in a zone that is taken out;
    every policy does so now.
    """
    return fleet_share()


@policy("preemption")
def preemption() -> Policy:
    """As zone-return; batch tasks make room for urgent ones."""
    return dataclasses.replace(zone_return(), preempts=True)


@policy("reservation")
def reservation() -> Policy:
    """As preemption; workers are drained for all-at-once jobs."""
    return dataclasses.replace(preemption(), reserves=True)


@policy("worker-health")
def worker_health() -> Policy:
    """As reservation; workers that fail everything are set aside."""
    return dataclasses.replace(reservation(), sets_aside=True)


@policy("team-order")
def team_order() -> Policy:
    """As worker-health; shares count across normal and background work."""
    return dataclasses.replace(worker_health(), pools_classes=True)


@policy("ramp")
def ramp() -> Policy:
    """As team-order; starts in a zone that came back grow step by step."""
    return dataclasses.replace(team_order(), ramps=True)


@policy("drain-for-share")
def drain_for_share() -> Policy:
    """As team-order; large tasks of teams below their share get a worker."""
    return dataclasses.replace(team_order(), drains=True)


@policy("spread")
def spread() -> Policy:
    """As preemption; replicas of a service are spread over the zones."""
    return dataclasses.replace(preemption(), spreads=True)
