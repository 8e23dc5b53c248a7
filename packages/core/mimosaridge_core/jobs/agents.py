"""Which daemons make the owner's calls to workers.

The load that this answers: some hundred workers, each of which answers a call
several times a second. The owner decides on every call; in large deployments an
agent, a daemon in the worker's availability zone, makes it. One message to an
agent carries all calls of a round of decisions, so the busier the owner is, the
less each call costs it, and lists of runs cross zones in compact form.

An agent decides nothing and keeps nothing: orders carry the owner's token, the
end of the lease and the time after which a worker refuses a start, so a late
order does no more harm than a late call of the owner itself.
"""

from collections.abc import Iterable
import dataclasses

from mimosaridge_core import hashing

# Workers for each agent. Each agent costs the owner a message in each round of
# decisions.
WORKERS_PER_AGENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A daemon that can be an agent.

    Attributes:
        name: Its name.
        zone: Availability zone of its machine.
        cores: CPU capacity of its machine, in cores.
    """

    name: str
    zone: str
    cores: float


def choose_agents(
    candidates: Iterable[Candidate], workers: dict[str, int]
) -> dict[str, tuple[str, ...]]:
    """Returns the agents of each availability zone.

    Daemons on the strongest machines come first. Among equal ones a hash
    decides, so that agents change only when one of them is lost.

    Args:
        candidates: Daemons that are in contact.
        workers: Number of workers by availability zone.
    """
    by_zone: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        by_zone.setdefault(candidate.zone, []).append(candidate)
    agents = {}
    for zone, count in workers.items():
        ranked = sorted(
            by_zone.get(zone, ()),
            key=lambda candidate: (
                -candidate.cores,
                hashing.stable_hash(candidate.name),
            ),
        )
        wanted = -(-count // WORKERS_PER_AGENT)
        agents[zone] = tuple(candidate.name for candidate in ranked[:wanted])
    return agents


def agent_of(worker_id: str, agents: tuple[str, ...]) -> str | None:
    """Returns the agent that calls a worker; None if there is none.

    A worker keeps its agent when another one comes or goes (rendezvous
    hashing).
    """
    return max(
        agents,
        key=lambda name: hashing.stable_hash(f"{name} {worker_id}"),
        default=None,
    )
