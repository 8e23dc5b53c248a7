"""Plans: previews of what a configuration change would do."""

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
    """A preview of a change.

    Attributes:
        base_number: Number of the configuration that it is based on.
        expires_at: Latest time to confirm it, seconds since the epoch.
        lines: Descriptions of the consequences, one line each.
    """

    base_number: int
    expires_at: float
    lines: list[str]


def consequences(kind: type) -> Callable[[Consequences], Consequences]:
    """Registers a function that describes a change type's consequences."""

    def register(describe: Consequences) -> Consequences:
        CONSEQUENCES[kind] = describe
        return describe

    return register


def apply_change(
    config: configuration.Config, change: Any
) -> configuration.Config:
    """Returns the configuration after a change.

    Raises:
        InvalidError: The current configuration does not allow the change.
    """
    new = configuration.shallow_copy(config)
    new.number = config.number + 1
    change.apply(new)
    return new


def make(st: state.State, change: Any) -> Plan:
    """Returns the plan of a change.

    Raises:
        InvalidError: The current configuration does not allow the change.
    """
    apply_change(st.config, change)
    describe = CONSEQUENCES.get(type(change))
    lines = [change.summary(), *(describe(st, change) if describe else ())]
    return Plan(st.config.number, st.now + st.tuning.plan_lifetime_s, lines)


def _team_usage(st: state.State, team: str) -> resources.Resources:
    return resources.total(
        [
            summary.team_use.get(team, resources.ZERO)
            for summary in routing.shard_summaries(st)
        ]
    )


def _slots_in_use(summary: messages.ShardSummary) -> int:
    return sum(used.slots for used in summary.team_use.values())


@consequences(changes.ZoneOut)
def _zone_out(st: state.State, change: changes.ZoneOut) -> list[str]:
    hosts = [host for host in st.hosts.values() if host.zone == change.zone]
    if not hosts:
        return [f"no worker is listed in zone {change.zone}"]
    running = sum(
        _slots_in_use(summary)
        for summary in routing.shard_summaries(st)
        if summary.zone == change.zone
    )
    return [
        f"{len(hosts)} workers take no new work",
        f"work in {running} slots of the zone has to move or end",
    ]


@consequences(changes.ZoneIn)
def _zone_in(st: state.State, change: changes.ZoneIn) -> list[str]:
    count = sum(host.zone == change.zone for host in st.hosts.values())
    return [f"{count} workers take new work again"]


@consequences(changes.WorkerOut)
def _worker_out(st: state.State, change: changes.WorkerOut) -> list[str]:
    host = st.hosts.get(change.worker)
    if host is None:
        return [f"worker {change.worker} is not in the host list"]
    return [
        f"worker {host.worker_id} of {host.endpoint} in {host.zone} takes no"
        " new work; its running tasks continue"
    ]


@consequences(changes.SetLimit)
def _set_limit(st: state.State, change: changes.SetLimit) -> list[str]:
    used = _team_usage(st, change.team)
    if limits.within(used, change.upper_limit):
        return [f"the team uses {used.slots} slots; no task stops"]
    return [
        f"the team uses {used.slots} slots, {used.cpu_millis} thousandths of"
        f" a core, {used.memory_mib} MiB and {used.accelerators}"
        " accelerators: tasks above the limit stop, newest batch work first"
    ]


@consequences(changes.WithdrawKey)
def _withdraw(st: state.State, change: changes.WithdrawKey) -> list[str]:
    key = st.config.keys[change.key_id]
    lines = ["work that was accepted with this key continues"]
    others = [
        other
        for other in st.config.keys.values()
        if other.team == key.team and other.role == key.role
    ]
    if key.role == keys.TEAM and len(others) == 1:
        lines.append(f"team {key.team} has no key left and can't submit work")
    return lines


@consequences(changes.RemoveTeam)
def _remove_team(st: state.State, change: changes.RemoveTeam) -> list[str]:
    config, team = st.config, change.team
    lines = [
        f"{kind} {name} {end}"
        for kind, section, end in (
            ("key", config.keys, "stops working"),
            ("open queue", config.queues, "closes"),
            ("service", config.services, "stops"),
        )
        for name, item in section.items()
        if item.team == team
    ]
    used = _team_usage(st, team)
    if used != resources.ZERO:
        lines.append(
            f"the team runs work in {used.slots} slots: running tasks continue,"
            " waiting tasks do not start"
        )
    return lines


@consequences(changes.PutService)
def _put_service(st: state.State, change: changes.PutService) -> list[str]:
    old = st.config.services.get(change.service)
    before = old.replicas if old else 0
    added = change.replicas - before
    if added >= 0:
        return [f"{added} replicas start"]
    return [f"{-added} replicas stop"]


@consequences(changes.RemoveService)
def _remove_service(
    st: state.State, change: changes.RemoveService
) -> list[str]:
    count = st.config.services[change.service].replicas
    return [f"{count} replicas stop"]


@consequences(changes.CloseQueue)
def _close_queue(st: state.State, change: changes.CloseQueue) -> list[str]:
    team = st.config.queues[change.queue].team
    return [f"work in this queue without a key of team {team} is refused"]


@consequences(changes.Restore)
def _restore(st: state.State, change: changes.Restore) -> list[str]:
    new, old = change.snapshot, st.config
    lines = []
    for section in ("teams", "keys", "queues", "services"):
        before, after = getattr(old, section), getattr(new, section)
        removed = sorted(set(before) - set(after))
        added = sorted(set(after) - set(before))
        if removed:
            lines.append(f"{section} removed: {', '.join(removed)}")
        if added:
            lines.append(f"{section} added: {', '.join(added)}")
    if not any(key.role == keys.OPERATOR for key in new.keys.values()):
        lines.append("the snapshot contains no operator key")
    return lines or ["no team, key, queue or service is added or removed"]
