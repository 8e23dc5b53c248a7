"""Decides when a step may start on workers that are withheld from it.

These are reserved for more urgent steps, runs have failed there, or backfill
and serving tasks would share them.

Users are owed that a job doesn't have nothing running for 3 s while there is
room for it and less than half of the service's capacity is in use. A worker
that drains for a large task may stay idle for longer than that.
"""

from mimosaridge_core import resources
from mimosaridge_core.jobs import records
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work

# A step with nothing running ignores reservations after this time of low use,
# which leaves time for a call for advice and a start within the promised 3 s.
# Workers with shorter tasks drain in this time, so that a large task gets its
# turn.
PATIENCE_S = 2.0
# A standing step calls for advice before more urgent steps after this time,
# which leaves time for a call in progress and its own.
ADVICE_PATIENCE_S = 0.5
# A step with nothing running uses workers on which runs have failed after this
# time, which limits how fast its attempts are used up on a faulty worker. Ends
# of runs may be known almost a second late.
FAILURE_PAUSE_S = 1.0
# Reservations hold regardless of the time above this share of capacity in use.
# Exceeds the promised half, because users count runs at other moments.
LOW_USE_SHARE = 0.6
# Interval at which the use of a back end is computed again.
USE_INTERVAL_S = 0.25
# After a longer interval without a computation, use may have been high between.
MAX_USE_GAP_S = 1.0


def update_blocked_since(st: state.State, group: state.Group) -> None:
    """Records since when a step has had nothing running for want of room."""
    if not group.waiting or (group.runs and not group.step.standing):
        group.blocked_since = 0.0
    else:
        group.blocked_since = group.blocked_since or st.now


def is_starved(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    backend: str,
    pool: dict[str, state.Worker],
    patience_s: float = PATIENCE_S,
) -> bool:
    """Returns whether a step has waited too long beside unused capacity.

    Workers that drain for a large task are unused just before it starts, so
    use must have been low for as long as the step must have waited.

    Args:
        st: The state.
        owner: The owner.
        group: The step.
        backend: Name of its back end.
        pool: Workers of the back end that can take starts, by id; with those on
            which runs have failed.
        patience_s: How long the step must have waited, and use been low.
    """
    if group.runs and not group.step.standing:
        return False
    use = owner.backend_use.get(backend)
    if use is None or st.now - use.at >= USE_INTERVAL_S:
        use = owner.backend_use[backend] = _backend_use(st, pool, use)
    if not has_waited(st, group, patience_s):
        return False
    needs = work.reserved_resources(group.step)
    needed = [name for name in resources.NAMES if getattr(needs, name)]
    return _low_resources(use).issuperset(needed) and all(
        st.now - use.low_since[name] >= patience_s for name in needed
    )


def may_use_reserved(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    backend: str,
    pool: dict[str, state.Worker],
) -> bool:
    """Returns whether a step may start on workers reserved for others.

    A standing step is owed room however full its back end is. The arguments are
    those of `is_starved`.
    """
    if is_starved(st, owner, group, backend, pool):
        return True
    return group.step.standing and has_waited(st, group, PATIENCE_S)


def may_share(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    backend: str,
    pool: dict[str, state.Worker],
) -> bool:
    """Returns whether backfill and serving tasks may share a worker for a step.

    The arguments are those of `is_starved`.
    """
    if not group.step.fills and not group.step.target_ms:
        return False
    return may_use_reserved(st, owner, group, backend, pool)


def is_owed_advice(st: state.State, group: state.Group) -> bool:
    """Returns whether a step's call for advice precedes more urgent ones.

    It is standing, and no daemon has been idle for its call for a time.
    """
    return (
        group.step.standing
        and group.denied_since > 0
        and st.now - group.denied_since >= ADVICE_PATIENCE_S
    )


def has_waited(st: state.State, group: state.Group, patience_s: float) -> bool:
    """Returns whether a step has been without room for a time, seconds."""
    since = group.blocked_since
    return since > 0 and st.now - since >= patience_s


def count_starts(
    owner: state.Owner, group: state.Group, backend: str, tasks: int
) -> None:
    """Adds tasks that ignored reservations to the use of their back end."""
    use = owner.backend_use[backend]
    use.used = use.used + work.reserved_resources(group.step).times(tasks)


def _backend_use(
    st: state.State,
    pool: dict[str, state.Worker],
    before: records.BackendUse | None,
) -> records.BackendUse:
    used = [worker.used for worker in pool.values()]
    capacity = [worker.entry.capacity for worker in pool.values()]
    use = records.BackendUse(
        st.now, resources.total(used), resources.total(capacity)
    )
    is_recent = before is not None and st.now - before.at < MAX_USE_GAP_S
    low_before = before.low_since if is_recent else {}
    for name in _low_resources(use):
        use.low_since[name] = low_before.get(name, st.now)
    return use


def _low_resources(use: records.BackendUse) -> set[str]:
    """Returns the names of the resources whose use is low."""
    return {
        name
        for name in resources.NAMES
        if getattr(use.used, name) < LOW_USE_SHARE * getattr(use.capacity, name)
    }
