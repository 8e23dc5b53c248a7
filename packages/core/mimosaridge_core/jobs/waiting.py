"""Explains in the log why steps wait and which teams exceed their limits.

Decides nothing. The lines tell apart the causes of a job that waits although
workers have room, and of a team that has more running than it may have.
"""

import enum
from typing import Any

from mimosaridge_core import resources
from mimosaridge_core.jobs import advice_calls
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import fitting
from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import latestarts
from mimosaridge_core.jobs import placement
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import teamlimits
from mimosaridge_core.jobs import usableworkers
from mimosaridge_core.jobs import work

# A step is explained once it has waited for this time, seconds: longer than a
# change of owner takes.
EXPLAIN_AFTER_S = 2.5
# Time between two explanations of a step, seconds.
EXPLAIN_INTERVAL_S = 3.0
# Most steps explained at a time: a full fleet has hundreds that wait.
MAX_EXPLAINED = 10
CHECK_INTERVAL_S = 0.2
# Time between two lines about the state of the owner, seconds.
STATUS_INTERVAL_S = 5.0


class WaitReason(enum.StrEnum):
    """Why no task of a step starts."""

    RETRY_PAUSE = "a worker refused a task; the step pauses"
    DEPENDENCY = "an earlier step is not done"
    UNHELD_WORKER = "its tasks may run on a worker not held yet"
    UNREAD_ENDS = "its tasks may have ended on a worker that lists more ends"
    GANG_RUNS = "runs of the gang have not ended"
    LATE_START = "a worker may still carry out an earlier start of its tasks"
    NO_WORKER = "no usable worker"
    TEAM_LIMIT = "the team's upper limit"
    NO_TICKET = "no valid ticket"
    NO_ROOM = "no room on a permitted worker"
    SHARED = "on each worker with room, backfill would disturb serving tasks"
    RESERVED = "the workers with room are reserved for other steps"
    PLACEABLE = "no obstacle"


def check(st: state.State, owner: state.Owner, out: list) -> None:
    """Logs what is due."""
    if st.configuration is None or st.now < owner.explain_at:
        return
    owner.explain_at = st.now + CHECK_INTERVAL_S
    _log_exceeded_limits(st, owner, out)
    _log_waiting_steps(st, owner, out)
    if st.now >= owner.status_at:
        owner.status_at = st.now + STATUS_INTERVAL_S
        _log_status(st, owner, out)


def _log_exceeded_limits(
    st: state.State, owner: state.Owner, out: list
) -> None:
    exceeded = {
        team.name
        for team in st.configuration.teams.values()
        if _exceeds(owner.usage.get(team.name), team.upper_limit)
    }
    for name in sorted(exceeded - owner.exceeded):
        effects.log_decision(
            out,
            "team-over-limit",
            team=name,
            usage=_amounts(owner.usage[name]),
            limit=_amounts(st.configuration.teams[name].upper_limit),
            owned_s=round(st.now - owner.since, 2),
            unheld=len(owner.unheld),
            configuration=st.configuration.version,
        )
    owner.exceeded = exceeded


def _exceeds(
    usage: resources.Resources | None, limit: resources.Resources
) -> bool:
    if usage is None:
        return False
    return any(
        allowed and used > allowed
        for used, allowed in zip(_amounts(usage), _amounts(limit), strict=True)
    )


def _amounts(amount: resources.Resources) -> list[int]:
    """Returns processor time, memory and accelerators."""
    return [amount.cpu_millis, amount.memory_mib, amount.accelerators]


def _log_waiting_steps(st: state.State, owner: state.Owner, out: list) -> None:
    waiting = [
        group
        for group in owner.groups.values()
        if group.waiting
        and (not group.runs or group.step.standing)
        and st.now - group.ready_at >= EXPLAIN_AFTER_S
        and st.now - group.explained_at >= EXPLAIN_INTERVAL_S
    ]
    if not waiting:
        return
    usable = usableworkers.usable(st, owner)
    # Those that have not been explained for longest first.
    waiting.sort(key=lambda group: (group.explained_at, group.ready_at))
    for group in waiting[:MAX_EXPLAINED]:
        group.explained_at = st.now
        reason, fields = explain(st, owner, group, usable)
        effects.log_decision(
            out,
            "step-waits",
            job_id=group.job_id,
            group=group.key,
            reason=reason.value,
            waited_s=round(st.now - group.ready_at, 2),
            waiting=len(group.waiting),
            running=len(group.runs),
            **fields,
        )


def explain(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    usable: dict[str, dict[str, state.Worker]],
) -> tuple[WaitReason, dict[str, Any]]:
    """Returns why a step waits, and the facts that show it.

    Args:
        st: The state.
        owner: The owner.
        group: The step; it has waiting tasks.
        usable: Workers that can take starts, by back end and id.
    """
    entry = st.table[group.job_id]
    if not work.is_ready(entry, group.repetition, group.number):
        return WaitReason.DEPENDENCY, {"after": list(group.step.after)}
    if fleets.may_run_on_unheld(st, owner, entry):
        return WaitReason.UNHELD_WORKER, {"unheld": len(owner.unheld)}
    if fleets.may_have_unread_end(st, owner, entry):
        return WaitReason.UNREAD_ENDS, {"unread": len(owner.unread)}
    if group.step.gang and group.runs:
        return WaitReason.GANG_RUNS, {"members": len(group.runs)}
    if st.now < group.retry_at:
        return WaitReason.RETRY_PAUSE, {}
    bound = latestarts.bound_tasks(owner, group)
    if bound and (group.step.gang or len(bound) == len(group.waiting)):
        return WaitReason.LATE_START, {"workers": sorted(set(bound.values()))}
    pool = usable.get(placement.backend_of(st, entry), {})
    if not pool:
        return WaitReason.NO_WORKER, _worker_counts(st, owner)
    if teamlimits.is_over_limit(st, owner, entry, group):
        team = entry.job.team
        return WaitReason.TEAM_LIMIT, {
            "team": team,
            "usage": _amounts(owner.usage.get(team, resources.ZERO)),
            "limit": _amounts(settings.team_of(st, team).upper_limit),
        }
    return _explain_by_workers(st, owner, group, pool)


def _explain_by_workers(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    pool: dict[str, state.Worker],
) -> tuple[WaitReason, dict[str, Any]]:
    """Explains a wait by the workers of the step's back end."""
    permitted = [
        worker
        for worker_id, worker in pool.items()
        if not group.needs_ticket
        or advice_calls.valid_ticket(st, group, worker_id) is not None
    ]
    facts = {
        "usable": len(pool),
        "tickets": len(group.tickets),
        "unfit": len(group.unfit),
        "asked": len(group.advice_pending),
        "permitted": len(permitted),
    }
    if not permitted:
        return WaitReason.NO_TICKET, facts
    needs = work.reserved_resources(group.step)
    fitting_workers = [
        worker
        for worker in permitted
        if fitting.fraction_left(worker, needs) is not None
        and fitting.is_below_worker_limit(group, worker.entry.worker_id)
    ]
    with_room = {
        worker.entry.worker_id
        for worker in fitting_workers
        if not fitting.interferes(group, worker)
    }
    facts["with_room"] = len(with_room)
    if not fitting_workers:
        return WaitReason.NO_ROOM, facts
    if not with_room:
        return WaitReason.SHARED, facts
    reserving = {
        other.key: sorted(other.reserved & with_room)
        for other in owner.groups.values()
        if other is not group and other.waiting and other.reserved & with_room
    }
    if with_room <= set().union(*reserving.values()):
        facts["reserved_for"] = sorted(reserving)[:MAX_EXPLAINED]
        return WaitReason.RESERVED, facts
    return WaitReason.PLACEABLE, facts


def _log_status(st: state.State, owner: state.Owner, out: list) -> None:
    effects.log_decision(
        out,
        "owner-status",
        token=owner.token,
        steps_waiting=sum(bool(g.waiting) for g in owner.groups.values()),
        runs=sum(len(worker.runs) for worker in owner.workers.values()),
        **_worker_counts(st, owner),
    )


def _worker_counts(st: state.State, owner: state.Owner) -> dict[str, int]:
    workers = owner.workers.values()
    return {
        "workers": len(owner.workers),
        "held": sum(worker.held for worker in workers),
        "unanswered": sum(worker.unanswered for worker in workers),
        "suspended": sum(worker.suspended_until > st.now for worker in workers),
        "unheld": len(owner.unheld),
        "open_in_store": len(fleets.usable_workers(owner)),
        "fleets_in_doubt": len(owner.fleets_in_doubt),
    }
