"""Chooses which waiting tasks start on which workers.

The load that this answers: a fleet that is full, where some hundreds of steps
wait and several hundred runs end each second. A pass after each round of events
must not examine every waiting step on every worker, so a step that found no
room is examined again only

- on workers on which a run has ended since (`Owner.freed`),
- on all its workers, when its tickets, its tasks or its team's usage have
  changed, and
- on all its workers after an interval that grows with the number of waiting
  steps, since suspensions end and objectives come closer.
"""

from collections import abc
import dataclasses

from mimosaridge_core import resources
from mimosaridge_core.jobs import advice_calls
from mimosaridge_core.jobs import fitting
from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import latestarts
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import preemption
from mimosaridge_core.jobs import ranking
from mimosaridge_core.jobs import reserving
from mimosaridge_core.jobs import runtimes
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import shares
from mimosaridge_core.jobs import starting
from mimosaridge_core.jobs import starvation
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import teamlimits
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import usableworkers
from mimosaridge_core.jobs import work

# Interval at which a step that found no room is examined again on all workers:
# a time for each waiting step, within limits.
EXAMINE_INTERVAL_PER_GROUP_S = 0.001
MIN_EXAMINE_INTERVAL_S = 0.05
MAX_EXAMINE_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class PlacementPass:
    """One pass over the waiting tasks.

    Attributes:
        usable: Workers that can take starts, by back end and id.
        startable: The same, with those on which runs have failed, which take
            starts only of starved steps.
        freed: Workers on which runs have ended since the last pass.
        examine_interval_s: Time until a step without room is examined again on
            all workers.
        has_idle_asker: Whether a daemon can ask for advice.
        denied_calls_s: Expected durations, in seconds, of the calls for advice
            that have waited too long for an idle daemon.
        reserved: Workers that later, less urgent steps of the pass must not
            use, each with the most that one task of those needs for which it is
            reserved.
        standing: Standing runs of workers as far as they were needed, by
            worker.
    """

    usable: dict[str, dict[str, state.Worker]]
    startable: dict[str, dict[str, state.Worker]]
    freed: set[str]
    examine_interval_s: float
    has_idle_asker: bool
    denied_calls_s: list[float]
    reserved: dict[str, resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    standing: dict[str, reserving.StandingRuns] = dataclasses.field(
        default_factory=dict
    )

    def reserve_for(self, group: state.Group) -> None:
        """Keeps later steps from the workers reserved for a step."""
        needs = work.reserved_resources(group.step)
        for worker_id in group.reserved:
            before = self.reserved.get(worker_id, resources.ZERO)
            self.reserved[worker_id] = before.at_least(needs)


def place_waiting_tasks(st: state.State, owner: state.Owner, out: list) -> None:
    """Starts the waiting tasks that fit, the most urgent first."""
    if st.configuration is None:
        return
    waiting = [group for group in owner.groups.values() if group.waiting]
    freed, owner.freed = owner.freed, set()
    has_idle_asker = advice_calls.has_idle_asker(st, owner)
    due = [
        group
        for group in waiting
        if _is_examined_fully(st, group, freed, has_idle_asker)
        or (freed and _may_use(group, freed))
    ]
    if not due:
        return
    current = PlacementPass(
        *usableworkers.usable_and_startable(st, owner),
        freed,
        _examine_interval_s(len(waiting)),
        has_idle_asker,
        advice_calls.denied_calls_s(st, waiting),
    )
    # Steps that are not due still keep the workers reserved for them.
    due_keys = {group.key for group in due}
    due += [
        group
        for group in waiting
        if group.reserved and group.key not in due_keys
    ]
    shortage = shares.shortage(st, owner, waiting)
    ranked = sorted(
        (
            not starvation.is_owed_advice(st, group),
            ranking.rank(st, owner, group, shortage),
            group.key,
            group,
        )
        for group in due
    )
    for _, _, key, group in ranked:
        if key in due_keys and st.now >= group.retry_at:
            _place_group(st, owner, current, group, out)
        current.reserve_for(group)


def _examine_interval_s(waiting: int) -> float:
    return min(
        max(MIN_EXAMINE_INTERVAL_S, EXAMINE_INTERVAL_PER_GROUP_S * waiting),
        MAX_EXAMINE_INTERVAL_S,
    )


def _is_examined_fully(
    st: state.State,
    group: state.Group,
    freed: set[str],
    has_idle_asker: bool,
) -> bool:
    """Returns whether a step must be examined on all its workers."""
    return (
        st.now >= group.examine_at
        or (bool(freed) and group.is_limited)
        or (has_idle_asker and group.wants_advice)
    )


def _may_use(group: state.Group, freed: set[str]) -> bool:
    """Returns whether a step may start tasks on one of the workers."""
    return not group.needs_ticket or not freed.isdisjoint(group.tickets)


def backend_of(st: state.State, entry: state.JobEntry) -> str:
    """Returns the current back end of a job's queue."""
    queue = settings.queue_of(st, entry.job)
    return queue.backend if queue is not None else entry.job.backend


def _place_group(
    st: state.State,
    owner: state.Owner,
    current: PlacementPass,
    group: state.Group,
    out: list,
) -> None:
    """Starts the tasks of a step that fit."""
    is_full = _is_examined_fully(
        st, group, current.freed, current.has_idle_asker
    )
    if is_full:
        group.examine_at = st.now + current.examine_interval_s
        group.is_limited = group.wants_advice = False
        group.denied_call_s = 0.0
        group.reserved = frozenset()
    entry = st.table[group.job_id]
    if not work.is_ready(entry, group.repetition, group.number):
        return
    if fleets.may_run_on_unheld(st, owner, entry):
        return
    if fleets.may_have_unread_end(st, owner, entry):
        return
    if group.step.gang and len(group.waiting) < teamlimits.gang_size(group):
        return
    queue = settings.queue_of(st, entry.job)
    advice = queue.advice if queue is not None else None
    group.needs_ticket = advice is not None
    backend = backend_of(st, entry)
    if not fleets.is_route_stored(owner, entry, backend):
        return
    pool = current.usable.get(backend, {})
    startable = current.startable.get(backend, {})
    # All tasks of a gang are placed together, on any of its workers.
    is_partial = not is_full and not group.step.gang
    approved = _approved_workers(st, current, group, pool, is_partial)
    place = _place_gang if group.step.gang else _place_each
    reserved = current.reserved.keys()
    is_placed = place(st, owner, entry, group, approved, reserved, out)
    if not is_placed and is_full:
        is_placed = _place_starved(
            st, owner, current, entry, group, approved, out
        )
    if is_placed:
        group.reserved = frozenset()
        group.blocked_since = 0.0
    if is_placed or not is_full:
        return
    if teamlimits.is_over_limit(st, owner, entry, group):
        group.blocked_since = 0.0
        return
    starvation.update_blocked_since(st, group)
    if advice is not None:
        is_owed = _is_owed_failing_workers(st, owner, current, group, backend)
        asked = startable if is_owed else pool
        _request_advice(st, owner, current, group, advice, asked, out)
    # Other workers have no use for the tasks that are bound to one.
    free = len(group.waiting) - len(latestarts.bound_tasks(owner, group))
    allowed = teamlimits.allowed_tasks(st, owner, entry, group.step.needs, free)
    group.reserved = reserving.workers_to_reserve(
        st, owner, group, pool, allowed, current.standing
    )
    if not group.step.gang:
        preemption.make_room(st, owner, group, approved, allowed, out)


def _place_starved(
    st: state.State,
    owner: state.Owner,
    current: PlacementPass,
    entry: state.JobEntry,
    group: state.Group,
    workers: list[state.Worker],
    out: list,
) -> bool:
    """Places a starved step as far as it is owed.

    It may use reserved workers, then those that backfill and serving tasks have
    to share and, if it finds room on none of these, those on which runs have
    failed.

    Args:
        st: The state.
        owner: The owner.
        current: The pass.
        entry: The job.
        group: The step.
        workers: Usable workers on which its tasks may run.
        out: Effects.

    Returns:
        Whether no task is left waiting.
    """
    backend = backend_of(st, entry)
    startable = current.startable.get(backend, {})
    may_share = starvation.may_share(st, owner, group, backend, startable)
    waiting = len(group.waiting)
    for option in _starved_options(
        st, owner, current, group, backend, workers, may_share
    ):
        if group.step.gang:
            _place_gang(st, owner, entry, group, *option, out, may_share)
        else:
            # One task that ends is enough: the others wait for other workers.
            most = waiting if group.step.standing else 1
            _place_each(st, owner, entry, group, *option, out, may_share, most)
        started = waiting - len(group.waiting)
        if started:
            starvation.count_starts(owner, group, backend, started)
            break
    return not group.waiting


def _starved_options(
    st: state.State,
    owner: state.Owner,
    current: PlacementPass,
    group: state.Group,
    backend: str,
    workers: list[state.Worker],
    may_share: bool,
) -> list[tuple[list[state.Worker], abc.Set[str]]]:
    """Returns workers for a starved step, and those of them not to be used.

    The first option on which a task fits is to be taken.
    """
    startable = current.startable.get(backend, {})
    reserved = current.reserved.keys()
    options = []
    if reserved and starvation.may_use_reserved(
        st, owner, group, backend, startable
    ):
        if group.step.standing:
            options.append((workers, _blocked_by(owner, current, group)))
        reserved = frozenset()
        options.append((workers, reserved))
    if may_share and not options:
        options.append((workers, reserved))
    if _is_owed_failing_workers(st, owner, current, group, backend):
        failing = _approved_workers(st, current, group, startable, False)
        options.append((failing, reserved))
    return options


def _blocked_by(
    owner: state.Owner, current: PlacementPass, group: state.Group
) -> frozenset[str]:
    """Returns the reserved workers that a task of a standing step would block.

    Until it is stopped, the tasks for which they are reserved would not fit.
    """
    needs = work.reserved_resources(group.step)
    blocked = set()
    for worker_id, large in current.reserved.items():
        worker = owner.workers.get(worker_id)
        if worker is None:
            continue
        standing = reserving.standing_runs(owner, worker)
        left = worker.entry.capacity - standing.used - needs
        if not large.fits(left):
            blocked.add(worker_id)
    return frozenset(blocked)


def _is_owed_failing_workers(
    st: state.State,
    owner: state.Owner,
    current: PlacementPass,
    group: state.Group,
    backend: str,
) -> bool:
    """Returns whether a step may use workers on which runs have failed."""
    startable = current.startable.get(backend, {})
    usable = current.usable.get(backend, {})
    return len(startable) > len(usable) and starvation.is_starved(
        st, owner, group, backend, startable, starvation.FAILURE_PAUSE_S
    )


def _approved_workers(
    st: state.State,
    current: PlacementPass,
    group: state.Group,
    pool: dict[str, state.Worker],
    is_partial: bool,
) -> list[state.Worker]:
    """Returns the usable workers on which a step may run.

    Args:
        st: The state.
        current: The pass.
        group: The step.
        pool: Workers of its back end by id.
        is_partial: Whether to return only workers on which runs have ended
            since the last pass.
    """
    names = group.tickets if group.needs_ticket else pool
    if is_partial:
        names = current.freed & names.keys()
    label = group.step.label
    return [
        pool[name]
        for name in names
        if name in pool
        and (
            not group.needs_ticket
            or advice_calls.valid_ticket(st, group, name) is not None
        )
        and (not label or label in pool[name].entry.labels)
    ]


def _request_advice(
    st: state.State,
    owner: state.Owner,
    current: PlacementPass,
    group: state.Group,
    advice: model.AdviceSettings,
    pool: dict[str, state.Worker],
    out: list,
) -> None:
    """Requests tickets for workers large enough, the least used first."""
    if st.now < group.next_advice_at:
        return
    needs, label = work.reserved_resources(group.step), group.step.label
    large_enough = [
        worker
        for worker in pool.values()
        if needs.fits(worker.entry.capacity)
        and (not label or label in worker.entry.labels)
    ]
    large_enough.sort(
        key=lambda worker: (
            worker.backoff_until > st.now,
            worker.used.cpu_millis,
        )
    )
    ids = [worker.entry.worker_id for worker in large_enough]
    asked = advice_calls.workers_to_ask(st, group, advice, ids)
    if not asked:
        group.next_advice_at = st.now + advice_calls.RECHECK_INTERVAL_S
        return
    duration_s = advice_calls.call_duration_s(
        advice, min(len(asked), tunables.ADVICE_WORKERS)
    )
    could_start = _could_start(st, owner, current, group, pool, asked)
    if not could_start and not advice_calls.may_ask_ahead(
        st, owner, duration_s, current.denied_calls_s
    ):
        group.next_advice_at = st.now + advice_calls.RECHECK_INTERVAL_S
        return
    is_owed = starvation.is_owed_advice(st, group)
    group.wants_advice = not advice_calls.request_advice(
        st, owner, group, advice, asked, out, is_owed
    )
    if group.wants_advice and could_start:
        group.denied_call_s = duration_s
        group.denied_since = group.denied_since or st.now
    else:
        group.denied_since = 0.0
    current.has_idle_asker = advice_calls.has_idle_asker(st, owner)


def _could_start(
    st: state.State,
    owner: state.Owner,
    current: PlacementPass,
    group: state.Group,
    pool: dict[str, state.Worker],
    asked: list[str],
) -> bool:
    """Returns whether tickets for workers could let a step start now."""
    names = set(asked)
    if group.step.gang:
        names |= group.tickets.keys() & pool.keys()
    workers = [pool[name] for name in names]
    backend = backend_of(st, st.table[group.job_id])
    startable = current.startable.get(backend, {})
    reserved = current.reserved.keys()
    if reserved and starvation.may_use_reserved(
        st, owner, group, backend, startable
    ):
        reserved = frozenset()
    may_share = starvation.may_share(st, owner, group, backend, startable)
    return fitting.could_start(group, workers, reserved, may_share)


def _place_each(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
    workers: list[state.Worker],
    reserved: abc.Set[str],
    out: list,
    may_share: bool = False,
    most: int | None = None,
) -> bool:
    """Starts each task that fits; returns whether none is left waiting.

    Args:
        st: The state.
        owner: The owner.
        entry: The job.
        group: The step.
        workers: Workers on which its tasks may run.
        reserved: Workers that it must not use.
        out: Effects.
        may_share: Whether backfill and serving tasks may share a worker.
        most: Most tasks to start; None for all.
    """
    allowed = teamlimits.allowed_tasks(
        st, owner, entry, group.step.needs, len(group.waiting)
    )
    group.is_limited = allowed < len(group.waiting)
    speeds = runtimes.speed_classes(st, entry, workers)
    chooser = fitting.Chooser(group, workers, reserved, may_share, speeds)
    bound = latestarts.bound_tasks(owner, group)
    left = allowed if most is None else min(allowed, most)
    for index in sorted(group.waiting):
        if not left:
            break
        run = None
        if index in bound:
            worker = chooser.choose_bound(bound[index])
            if worker is None:
                continue
            run = latestarts.resumable_run(owner, group, index)
        else:
            worker = chooser.choose(index)
            if worker is None:
                break
        run = run or starting.next_run_number(owner)
        starting.start_task(st, owner, entry, group, index, worker, run, out)
        left -= 1
    return not group.waiting


def _place_gang(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
    workers: list[state.Worker],
    reserved: abc.Set[str],
    out: list,
    may_share: bool = False,
) -> bool:
    """Starts all tasks of a gang at once, or none."""
    indexes = sorted(group.waiting)
    bound = latestarts.bound_tasks(owner, group)
    allowed = teamlimits.allowed_tasks(
        st, owner, entry, group.step.needs, len(indexes)
    )
    group.is_limited = allowed < len(indexes)
    if group.is_limited:
        return False
    options: list[list[state.Worker]] = [workers]
    if group.step.same_rack:
        names = sorted({worker.rack for worker in workers})
        options = [
            [worker for worker in workers if worker.rack == name]
            for name in names
        ] + [workers]
    for option in options:
        assigned = fitting.assign_gang(
            group, option, reserved, indexes, may_share, bound
        )
        if assigned is not None:
            run = starting.next_run_number(owner)
            for index in indexes:
                starting.start_task(
                    st, owner, entry, group, index, assigned[index], run, out
                )
            return True
    return False
