"""What a change would start, stop, move or break."""

from collections.abc import Callable
import dataclasses
from typing import Any

from mimosaridge_core import changes
from mimosaridge_core import configuration
from mimosaridge_core import keys
from mimosaridge_core import limits
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import routing
from mimosaridge_core import state

Consequences = Callable[[state.State, Any], list[str]]
CONSEQUENCES: dict[type, Consequences] = {}


@dataclasses.dataclass(slots=True)
class Plan:
    """What a change would do.

    Attributes:
        base_number: Configuration that it was made on.
        expires_at: Its deadline, seconds since the epoch.
        lines: What changes, a sentence each.
    """

    base_number: int
    expires_at: float
    lines: list[str]


def consequences(kind: type) -> Callable[[Consequences], Consequences]:
    """Registers what tells a kind of change's consequences in sentences."""

    def register(told: Consequences) -> Consequences:
        CONSEQUENCES[kind] = told
        return told

    return register


def changed(config: configuration.Config, stated: Any) -> configuration.Config:
    """Returns the configuration after a change.

    Raises:
        InvalidError: The present configuration does not allow the change.
    """
    new = configuration.copy_of(config)
    new.number = config.number + 1
    stated.apply(new)
    return new


def make(st: state.State, stated: Any) -> Plan:
    """Returns the plan of a change.

    Raises:
        InvalidError: The present configuration does not allow the change.
    """
    changed(st.config, stated)
    told = CONSEQUENCES.get(type(stated))
    lines = [stated.summary(), *(told(st, stated) if told else ())]
    return Plan(st.config.number, st.now + st.tuning.plan_s, lines)


def _use(st: state.State, team: str) -> resources.Resources:
    return resources.total(
        [
            summary.team_use.get(team, resources.ZERO)
            for summary in routing.shard_summaries(st)
        ]
    )


def _slots_in_use(summary: messages.ShardSummary) -> int:
    return sum(used.slots for used in summary.team_use.values())


@consequences(changes.ZoneOut)
def _zone_out(st: state.State, stated: changes.ZoneOut) -> list[str]:
    hosts = [host for host in st.hosts.values() if host.zone == stated.zone]
    if not hosts:
        return [f"no worker is listed in zone {stated.zone}"]
    running = sum(
        _slots_in_use(summary)
        for summary in routing.shard_summaries(st)
        if summary.zone == stated.zone
    )
    return [
        f"{len(hosts)} workers take no new work",
        f"work in {running} slots there has to move or end",
    ]


@consequences(changes.ZoneIn)
def _zone_in(st: state.State, stated: changes.ZoneIn) -> list[str]:
    count = sum(host.zone == stated.zone for host in st.hosts.values())
    return [f"{count} workers take work again"]


@consequences(changes.WorkerOut)
def _worker_out(st: state.State, stated: changes.WorkerOut) -> list[str]:
    host = st.hosts.get(stated.worker)
    if host is None:
        return [f"worker {stated.worker} is not listed now"]
    return [
        f"worker {host.worker_id} of {host.endpoint} in {host.zone} takes no"
        " new work; what it runs goes on"
    ]


@consequences(changes.SetLimit)
def _set_limit(st: state.State, stated: changes.SetLimit) -> list[str]:
    used = _use(st, stated.team)
    if limits.within(used, stated.upper_limit):
        return [f"the team uses {used.slots} slots; nothing stops"]
    return [
        f"the team uses {used.slots} slots, {used.cpu_millis} thousandths of"
        f" a core, {used.memory_mib} MiB and {used.accelerators}"
        " accelerators: what exceeds the limit stops, newest batch work first"
    ]


@consequences(changes.WithdrawKey)
def _withdraw(st: state.State, stated: changes.WithdrawKey) -> list[str]:
    key = st.config.keys[stated.key_id]
    lines = ["work that was accepted under it goes on"]
    others = [
        other
        for other in st.config.keys.values()
        if other.team == key.team and other.role == key.role
    ]
    if key.role == keys.TEAM and len(others) == 1:
        lines.append(f"team {key.team} has no key left and can't submit")
    return lines


@consequences(changes.RemoveTeam)
def _remove_team(st: state.State, stated: changes.RemoveTeam) -> list[str]:
    config, team = st.config, stated.team
    lines = [
        f"{kind} {name} {end}"
        for kind, held, end in (
            ("key", config.keys, "stops working"),
            ("open queue", config.queues, "closes"),
            ("service", config.services, "stops"),
        )
        for name, item in held.items()
        if item.team == team
    ]
    used = _use(st, team)
    if used != resources.ZERO:
        lines.append(
            f"the team runs work in {used.slots} slots: what runs goes on,"
            " what waits does not start"
        )
    return lines


@consequences(changes.PutService)
def _put_service(st: state.State, stated: changes.PutService) -> list[str]:
    old = st.config.services.get(stated.service)
    before = old.replicas if old else 0
    more = stated.replicas - before
    if more >= 0:
        return [f"{more} replicas start"]
    return [f"{-more} replicas stop"]


@consequences(changes.RemoveService)
def _remove_service(
    st: state.State, stated: changes.RemoveService
) -> list[str]:
    count = st.config.services[stated.service].replicas
    return [f"{count} replicas stop"]


@consequences(changes.CloseQueue)
def _close_queue(st: state.State, stated: changes.CloseQueue) -> list[str]:
    team = st.config.queues[stated.queue].team
    return [f"work on it without a key of team {team} is refused"]


@consequences(changes.Restore)
def _restore(st: state.State, stated: changes.Restore) -> list[str]:
    new, old = stated.snapshot, st.config
    lines = []
    for section in ("teams", "keys", "queues", "services"):
        now, then = getattr(old, section), getattr(new, section)
        gone = sorted(set(now) - set(then))
        come = sorted(set(then) - set(now))
        if gone:
            lines.append(f"{section} that go: {', '.join(gone)}")
        if come:
            lines.append(f"{section} that come: {', '.join(come)}")
    if not any(key.role == keys.OPERATOR for key in new.keys.values()):
        lines.append("the snapshot holds no operator's key")
    return lines or ["no team, key, queue or service comes or goes"]
