"""Scheduling policies and the registry of their names."""

from collections.abc import Callable
import dataclasses

from mimosaridge_core import fairness
from mimosaridge_core import placement
from mimosaridge_core import state

Claim = Callable[[state.State, state.Shard, str], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Rules by which a shard's owner chooses the next task and its worker.

    Attributes:
        claim: Returns a team's usage divided by its share; the team with the
            lowest value is scheduled first. None for order of arrival.
        fit: Chooses the worker.
        by_urgency: Whether more urgent classes are scheduled first.
        overtakes: Whether a task may start before an earlier task of its
            endpoint that does not fit.
        merges_classes: Whether normal and background work are scheduled as
            one class, in which a team's normal work precedes its background
            work. Otherwise all normal work precedes all background work.
        preempts: Whether idempotent batch tasks are preempted by urgent tasks.
        reserves: Whether a worker is drained for a gang's task that does not
            fit.
        quarantines: Whether workers on which tasks fail repeatedly are
            quarantined and probed.
        ramps: Whether starts in a zone that returned increase gradually.
        drains: Whether a worker is also drained for the first task of the
            team furthest below its share.
        spreads: Whether a service's replicas are placed in the zones with the
            fewest of them.
    """

    claim: Claim | None
    fit: placement.Fit
    by_urgency: bool = True
    overtakes: bool = True
    merges_classes: bool = False
    preempts: bool = False
    reserves: bool = False
    quarantines: bool = False
    ramps: bool = False
    drains: bool = False
    spreads: bool = False


DEFAULT = "best-fit"
REGISTRY: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Callable[[], Policy]], Callable]:
    """Returns a decorator that registers a function's policy by name."""

    def register(make: Callable[[], Policy]) -> Callable[[], Policy]:
        REGISTRY[name] = make()
        return make

    return register


def active(st: state.State) -> Policy:
    """Returns the configured policy, or the default if it is unknown."""
    return REGISTRY.get(st.config.policy) or REGISTRY[DEFAULT]


@policy("first-in-first-out")
def first_in_first_out() -> Policy:
    """Returns the policy with strict arrival order per endpoint, first fit."""
    return Policy(
        None,
        placement.first_fit,
        by_urgency=False,
        overtakes=False,
    )


@policy("best-fit")
def best_fit() -> Policy:
    """Returns the policy by urgency, then by usage in the shard; best fit."""
    return Policy(fairness.claim_on_share, placement.best_fit)


@policy("fleet-share")
def fleet_share() -> Policy:
    """Returns best-fit with each team's usage counted in the whole fleet."""
    return dataclasses.replace(best_fit(), claim=fairness.fleet_claim)


@policy("zone-return")
def zone_return() -> Policy:
    """Returns the same policy as fleet-share.

    It used to differ by returning the waiting tasks of a zone that is
    taken out of service to their homes. Every policy does so now.
    """
    return fleet_share()


@policy("preemption")
def preemption() -> Policy:
    """Returns zone-return with preemption of batch tasks by urgent ones."""
    return dataclasses.replace(zone_return(), preempts=True)


@policy("reservation")
def reservation() -> Policy:
    """Returns preemption with workers drained for gangs."""
    return dataclasses.replace(preemption(), reserves=True)


@policy("worker-health")
def worker_health() -> Policy:
    """Returns reservation with quarantine of failing workers."""
    return dataclasses.replace(reservation(), quarantines=True)


@policy("team-order")
def team_order() -> Policy:
    """Returns worker-health with normal and background work as one class."""
    return dataclasses.replace(worker_health(), merges_classes=True)


@policy("ramp")
def ramp() -> Policy:
    """Returns team-order with a ramp of starts in a zone that returned."""
    return dataclasses.replace(team_order(), ramps=True)


@policy("drain-for-share")
def drain_for_share() -> Policy:
    """Returns team-order with workers drained for teams below their share."""
    return dataclasses.replace(team_order(), drains=True)


@policy("spread")
def spread() -> Policy:
    """Returns preemption with a service's replicas spread over the zones."""
    return dataclasses.replace(preemption(), spreads=True)
