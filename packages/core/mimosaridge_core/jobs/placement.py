"""Chooses which waiting tasks start on which workers."""

import dataclasses

from mimosaridge_core import resources
from mimosaridge_core.jobs import advice_calls
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import leases
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import preemption
from mimosaridge_core.jobs import ranking
from mimosaridge_core.jobs import runs
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import work

# Run numbers available to one owner. The next owner has a higher fencing token
# and therefore higher run numbers.
RUN_NUMBERS_PER_OWNER = 1_000_000
# A step that found no room is retried after this time even if no room has been
# freed: tickets expire, suspensions end and objectives come closer.
RETRY_INTERVAL_S = 0.05
# Workers are reserved for tasks that need at least this share of a worker.
LARGE_TASK_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class PlacementPass:
    """One pass over all waiting tasks.

    Attributes:
        workers: Workers that can take starts, by back end.
        reserved: Workers that later, less urgent steps of the pass must not
            use.
    """

    workers: dict[str, list[state.Worker]]
    reserved: set[str] = dataclasses.field(default_factory=set)


def place_waiting_tasks(st: state.State, owner: state.Owner, out: list) -> None:
    """Starts the waiting tasks that fit, the most urgent first."""
    if st.configuration is None:
        return
    waiting = [group for group in owner.groups.values() if group.waiting]
    if not any(_is_due(st, owner, group) for group in waiting):
        return
    ranked = sorted(
        (ranking.rank(st, owner, group), group.key, group) for group in waiting
    )
    current = PlacementPass(_usable_workers(st, owner))
    for _, _, group in ranked:
        if st.now >= group.retry_at:
            _place_group(st, owner, current, group, out)
        group.tried_at, group.tried_capacity_version = (
            st.now,
            owner.capacity_version,
        )


def _is_due(st: state.State, owner: state.Owner, group: state.Group) -> bool:
    """Returns whether another attempt to place a step may succeed."""
    if group.tried_capacity_version != owner.capacity_version:
        return True
    return st.now - group.tried_at >= RETRY_INTERVAL_S


def _usable_workers(
    st: state.State, owner: state.Owner
) -> dict[str, list[state.Worker]]:
    """Returns the workers that can take starts, by back end."""
    usable: dict[str, list[state.Worker]] = {}
    stored = fleets.usable_workers(owner)
    for worker in owner.workers.values():
        if (
            worker.held
            and worker.clock_at
            and worker.listed
            and not worker.unanswered
            and not worker.entry.draining
            and worker.entry.zone not in st.zones_out
            and worker.entry.worker_id in stored
            and st.now >= worker.backoff_until
        ):
            usable.setdefault(worker.entry.backend, []).append(worker)
    return usable


def backend_of(st: state.State, entry: state.JobEntry) -> str:
    """Returns the current back end of a job's queue."""
    queue = st.configuration.queues.get(entry.job.queue)
    return queue.backend if queue is not None else entry.job.backend


def _place_group(
    st: state.State,
    owner: state.Owner,
    current: PlacementPass,
    group: state.Group,
    out: list,
) -> None:
    entry = st.table[group.job_id]
    if not work.is_ready(entry, group.repetition, group.number):
        return
    if fleets.may_run_on_unheld(owner, entry):
        return
    if group.step.gang and len(group.waiting) < _gang_size(group):
        return
    workers = current.workers.get(backend_of(st, entry), [])
    if group.step.label:
        workers = [
            worker
            for worker in workers
            if group.step.label in worker.entry.labels
        ]
    if not workers:
        return
    queue = st.configuration.queues.get(entry.job.queue)
    advice = queue.advice if queue is not None else None
    approved = workers
    if advice is not None:
        approved = [
            worker
            for worker in workers
            if advice_calls.valid_ticket(st, group, worker.entry.worker_id)
        ]
    if group.step.gang:
        is_placed = _place_gang(st, owner, current, entry, group, approved, out)
    else:
        is_placed = _place_each(st, owner, current, entry, group, approved, out)
    if not is_placed and not _is_over_limit(st, owner, entry, group):
        if advice is not None:
            _request_advice(st, owner, group, advice, workers, out)
        _reserve_workers(current, group, workers)
        if not group.step.gang:
            preemption.make_room(st, owner, group, approved, out)


def _gang_size(group: state.Group) -> int:
    return group.step.tasks - len(group.progress.done)


def _request_advice(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    advice: model.AdviceSettings,
    workers: list[state.Worker],
    out: list,
) -> None:
    """Requests tickets for workers large enough, the least used first."""
    if not advice_calls.may_request(st, owner, group):
        return
    large_enough = [
        worker
        for worker in workers
        if work.reserved_resources(group.step).fits(worker.entry.capacity)
    ]
    large_enough.sort(key=lambda worker: worker.used.cpu_millis)
    ids = [worker.entry.worker_id for worker in large_enough]
    advice_calls.request_advice(st, owner, group, advice, ids, out)


def _reserve_workers(
    current: PlacementPass, group: state.Group, workers: list[state.Worker]
) -> None:
    """Reserves workers with tickets for the waiting tasks if they are large."""
    needs = work.reserved_resources(group.step)
    suitable = [
        worker
        for worker in workers
        if worker.entry.worker_id in group.tickets
        and needs.fits(worker.entry.capacity)
    ]
    suitable.sort(key=lambda worker: worker.used.cpu_millis)
    count = len(group.waiting)
    for worker in suitable:
        capacity = worker.entry.capacity
        share = needs.dominant_fraction(capacity)
        if share < LARGE_TASK_SHARE or count <= 0:
            return
        current.reserved.add(worker.entry.worker_id)
        count -= int(1 / share)


def _is_over_limit(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
) -> bool:
    """Returns whether the team's upper limit prevents further starts."""
    count = _gang_size(group) if group.step.gang else 1
    return _allowed_tasks(st, owner, entry, group.step.needs, count) < count


def _allowed_tasks(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    needs: resources.Resources,
    requested: int,
) -> int:
    """Returns how many of the tasks the team's upper limit still allows."""
    team = st.configuration.teams.get(entry.job.team)
    if team is None:
        return requested
    used = owner.usage.get(entry.job.team, resources.ZERO)
    limit = team.upper_limit
    for limit_amount, used_amount, task_amount in (
        (limit.cpu_millis, used.cpu_millis, needs.cpu_millis),
        (limit.memory_mib, used.memory_mib, needs.memory_mib),
        (limit.accelerators, used.accelerators, needs.accelerators),
    ):
        if limit_amount and task_amount:
            requested = min(
                requested, max(0, (limit_amount - used_amount) // task_amount)
            )
    return requested


def _place_each(
    st: state.State,
    owner: state.Owner,
    current: PlacementPass,
    entry: state.JobEntry,
    group: state.Group,
    workers: list[state.Worker],
    out: list,
) -> bool:
    """Starts each task that fits; returns whether none is left waiting."""
    allowed = _allowed_tasks(
        st, owner, entry, group.step.needs, len(group.waiting)
    )
    for index in sorted(group.waiting)[:allowed]:
        worker = _choose_worker(current, group, index, workers)
        if worker is None:
            break
        run = _next_run_number(owner)
        _start_task(st, owner, entry, group, index, worker, run, out)
    return not group.waiting


def _choose_worker(
    current: PlacementPass,
    group: state.Group,
    index: int,
    workers: list[state.Worker],
) -> state.Worker | None:
    """Returns the best worker with room for a task, or None.

    Tasks that end are packed onto the fullest worker, which keeps whole workers
    free. Standing tasks are spread onto the emptiest, except those with a
    latency target: packing these leaves workers to tasks that fill. A worker on
    which the task has failed comes last.
    """
    needs = work.reserved_resources(group.step)
    failed_on = group.failed_on.get(index, ())
    best, best_score = None, None
    for worker in workers:
        worker_id = worker.entry.worker_id
        available = worker.entry.capacity - worker.used
        if worker_id in current.reserved or not _fits(needs, available):
            continue
        if not _is_below_worker_limit(group, worker_id) or _interferes(
            group, worker
        ):
            continue
        after = (available - needs).dominant_fraction(worker.entry.capacity)
        score = (
            worker_id in failed_on,
            worker.failures > 0,
            bool(group.step.rack) and group.step.rack != worker.rack,
            -after
            if group.step.standing and not group.step.target_ms
            else after,
            worker_id,
        )
        if best_score is None or score < best_score:
            best, best_score = worker, score
    return best


def _fits(needs: resources.Resources, available: resources.Resources) -> bool:
    return (
        needs.cpu_millis <= available.cpu_millis
        and needs.memory_mib <= available.memory_mib
        and needs.accelerators <= available.accelerators
    )


def _interferes(group: state.Group, worker: state.Worker) -> bool:
    """Returns whether tasks that fill would share a worker with serving ones.

    The interference between them is not known in advance and changes within
    seconds; on separate workers there is none.
    """
    if group.step.fills:
        return any(run.is_latency_sensitive for run in worker.runs.values())
    if group.step.target_ms:
        return any(run.fills for run in worker.runs.values())
    return False


def _is_below_worker_limit(group: state.Group, worker_id: str) -> bool:
    """Returns whether a worker may get one more task of a step."""
    limit = group.step.most_per_worker
    return not limit or work.tasks_on(group, worker_id) < limit


def _place_gang(
    st: state.State,
    owner: state.Owner,
    current: PlacementPass,
    entry: state.JobEntry,
    group: state.Group,
    workers: list[state.Worker],
    out: list,
) -> bool:
    """Starts all tasks of a gang at once, or none."""
    indexes = sorted(group.waiting)
    needs = work.reserved_resources(group.step)
    allowed = _allowed_tasks(st, owner, entry, group.step.needs, len(indexes))
    if allowed < len(indexes):
        return False
    options: list[list[state.Worker]] = [workers]
    if group.step.same_rack:
        names = sorted({worker.rack for worker in workers})
        options = [
            [worker for worker in workers if worker.rack == name]
            for name in names
        ] + [workers]
    for option in options:
        assigned = _assign_gang(current, group, option, needs, len(indexes))
        if assigned is not None:
            run = _next_run_number(owner)
            for index, worker in zip(indexes, assigned, strict=True):
                _start_task(st, owner, entry, group, index, worker, run, out)
            return True
    return False


def _assign_gang(
    current: PlacementPass,
    group: state.Group,
    workers: list[state.Worker],
    needs: resources.Resources,
    count: int,
) -> list[state.Worker] | None:
    """Returns a worker for each task of a gang; None if they don't all fit."""
    assigned: list[state.Worker] = []
    limit = group.step.most_per_worker or count
    ordered = sorted(
        workers,
        key=lambda worker: (
            worker.failures > 0,
            (worker.entry.capacity - worker.used).cpu_millis,
        ),
    )
    for worker in ordered:
        if worker.entry.worker_id in current.reserved or _interferes(
            group, worker
        ):
            continue
        available = worker.entry.capacity - worker.used
        added = 0
        while (
            len(assigned) < count and added < limit and _fits(needs, available)
        ):
            assigned.append(worker)
            available = available - needs
            added += 1
    return assigned if len(assigned) == count else None


def _next_run_number(owner: state.Owner) -> int:
    owner.runs += 1
    return owner.token * RUN_NUMBERS_PER_OWNER + owner.runs


def _start_task(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
    index: int,
    worker: state.Worker,
    number: int,
    out: list,
) -> None:
    """Records a new run of a task and sends the start call."""
    worker_id = worker.entry.worker_id
    task = model.task_id(group.job_id, group.repetition, group.number, index)
    ticket = group.tickets.get(worker_id)
    saved = group.progress.saved.get(0 if group.step.gang else index, "")
    run = state.Run(
        task,
        number,
        worker_id,
        entry.job.team,
        work.reserved_resources(group.step),
        state.Phase.STARTING,
        st.now,
        saved=saved,
        percent_at=st.now,
        is_latency_sensitive=group.step.target_ms > 0,
        fills=group.step.fills,
    )
    runs.add(owner, worker, run)
    group.runs.setdefault(index, []).append(run)
    group.waiting.discard(index)
    work.mark_started(st, owner, entry)
    start_before_ms = leases.clock_ms(st, worker) + tunables.START_WINDOW_MS
    leases.extend(worker, start_before_ms)
    out.append(
        effects.Start(
            worker_id,
            worker.entry.address,
            owner.token,
            task,
            number,
            entry.job.content,
            saved,
            ticket.text if ticket else "",
            start_before_ms,
        )
    )
    effects.log_decision(
        out,
        "start",
        job_id=group.job_id,
        task_id=task,
        run=number,
        worker=worker_id,
        waited_s=round(st.now - group.ready_at, 3),
        list_age_s=round(st.now - worker.answered_at, 3),
        configuration=st.configuration.version,
        resumed=bool(saved),
    )
