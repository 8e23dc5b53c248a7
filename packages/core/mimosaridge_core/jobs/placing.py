"""Chooses which task starts on which worker."""

import dataclasses

from mimosaridge_core import resources
from mimosaridge_core.jobs import advising
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import leases
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import preempting
from mimosaridge_core.jobs import ranking
from mimosaridge_core.jobs import runs
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables
from mimosaridge_core.jobs import work

# Runs of one owner; the next owner's numbers are higher, for its token is.
RUNS_PER_OWNER = 1_000_000
# A step that found no room is tried again after this time even if nothing has
# changed: tickets run out, workers have rested, objectives come near.
LOOK_AGAIN_S = 0.05
# A task that needs this share of a worker has room kept for it.
LARGE_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class Pass:
    """One pass over all waiting tasks.

    Attributes:
        workers: Workers that may take starts, by back end.
        kept: Workers on which only tasks that came earlier may start.
    """

    workers: dict[str, list[state.Worker]]
    kept: set[str] = dataclasses.field(default_factory=set)


def place_all(st: state.State, owner: state.Owner, out: list) -> None:
    """Starts what fits, the most urgent first."""
    if st.configuration is None:
        return
    waiting = [group for group in owner.groups.values() if group.waiting]
    if not any(_is_due(st, owner, group) for group in waiting):
        return
    ranked = sorted(
        (ranking.rank(st, owner, group), group.key, group) for group in waiting
    )
    current = Pass(_usable(st, owner))
    for _, _, group in ranked:
        if st.now >= group.retry_at:
            _place_group(st, owner, current, group, out)
        group.tried_at, group.tried_capacity_version = (
            st.now,
            owner.capacity_version,
        )


def _is_due(st: state.State, owner: state.Owner, group: state.Group) -> bool:
    """Tells whether trying to place a step may succeed since the last time."""
    if group.tried_capacity_version != owner.capacity_version:
        return True
    return st.now - group.tried_at >= LOOK_AGAIN_S


def _usable(
    st: state.State, owner: state.Owner
) -> dict[str, list[state.Worker]]:
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
    """Returns the back end that a job's queue has now."""
    queue = st.configuration.queues.get(entry.job.queue)
    return queue.backend if queue is not None else entry.job.backend


def _place_group(
    st: state.State,
    owner: state.Owner,
    current: Pass,
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
    fit = workers
    if advice is not None:
        fit = [
            worker
            for worker in workers
            if advising.valid_ticket(st, group, worker.entry.worker_id)
        ]
    if group.step.gang:
        is_placed = _place_gang(st, owner, current, entry, group, fit, out)
    else:
        is_placed = _place_each(st, owner, current, entry, group, fit, out)
    if not is_placed and not _is_over_limit(st, owner, entry, group):
        if advice is not None:
            _ask(st, owner, group, advice, workers, out)
        _keep_room(current, group, workers)
        if not group.step.gang:
            preempting.make_room(st, owner, group, fit, out)


def _gang_size(group: state.Group) -> int:
    return group.step.tasks - len(group.progress.done)


def _ask(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    advice: model.AdviceSettings,
    workers: list[state.Worker],
    out: list,
) -> None:
    if not advising.may_ask(st, owner, group):
        return
    able = [
        worker
        for worker in workers
        if work.reserved_resources(group.step).fits(worker.entry.capacity)
    ]
    able.sort(key=lambda worker: worker.used.cpu_millis)
    ids = [worker.entry.worker_id for worker in able]
    advising.ask(st, owner, group, advice, ids, out)


def _keep_room(
    current: Pass, group: state.Group, workers: list[state.Worker]
) -> None:
    """Keeps workers free of less urgent starts for tasks that need much."""
    needs = work.reserved_resources(group.step)
    good = [
        worker
        for worker in workers
        if worker.entry.worker_id in group.tickets
        and needs.fits(worker.entry.capacity)
    ]
    good.sort(key=lambda worker: worker.used.cpu_millis)
    count = len(group.waiting)
    for worker in good:
        capacity = worker.entry.capacity
        share = needs.dominant_fraction(capacity)
        if share < LARGE_SHARE or count <= 0:
            return
        current.kept.add(worker.entry.worker_id)
        count -= int(1 / share)


def _is_over_limit(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
) -> bool:
    count = _gang_size(group) if group.step.gang else 1
    return _allowed(st, owner, entry, group.step.needs, count) < count


def _allowed(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    needs: resources.Resources,
    most: int,
) -> int:
    """Returns how many tasks the team's upper limit still allows."""
    team = st.configuration.teams.get(entry.job.team)
    if team is None:
        return most
    used = owner.usage.get(entry.job.team, resources.ZERO)
    limit = team.upper_limit
    for have, using, each in (
        (limit.cpu_millis, used.cpu_millis, needs.cpu_millis),
        (limit.memory_mib, used.memory_mib, needs.memory_mib),
        (limit.accelerators, used.accelerators, needs.accelerators),
    ):
        if have and each:
            most = min(most, max(0, (have - using) // each))
    return most


def _place_each(
    st: state.State,
    owner: state.Owner,
    current: Pass,
    entry: state.JobEntry,
    group: state.Group,
    workers: list[state.Worker],
    out: list,
) -> bool:
    """Starts each task that fits; tells whether none is left waiting."""
    allowed = _allowed(st, owner, entry, group.step.needs, len(group.waiting))
    for index in sorted(group.waiting)[:allowed]:
        worker = _choose(current, group, index, workers)
        if worker is None:
            break
        run = _next_run(owner)
        _start(st, owner, entry, group, index, worker, run, out)
    return not group.waiting


def _choose(
    current: Pass,
    group: state.Group,
    index: int,
    workers: list[state.Worker],
) -> state.Worker | None:
    """Returns the fullest worker that has room, or the emptiest.

    Standing tasks are spread, but for those with a latency target, which
    leave workers to tasks that fill; what ends soon is packed, to keep whole
    workers free. A worker on which the task failed is taken last.
    """
    needs = work.reserved_resources(group.step)
    failed_on = group.failed_on.get(index, ())
    best, best_score = None, None
    for worker in workers:
        worker_id = worker.entry.worker_id
        left = worker.entry.capacity - worker.used
        if worker_id in current.kept or not _fits(needs, left):
            continue
        if not _may_add(group, worker_id) or _disturbs(group, worker):
            continue
        after = (left - needs).dominant_fraction(worker.entry.capacity)
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


def _fits(needs: resources.Resources, left: resources.Resources) -> bool:
    return (
        needs.cpu_millis <= left.cpu_millis
        and needs.memory_mib <= left.memory_mib
        and needs.accelerators <= left.accelerators
    )


def _disturbs(group: state.Group, worker: state.Worker) -> bool:
    """Tells whether tasks that fill would share a worker with serving ones.

    By how much they disturb is not known beforehand and changes within
    seconds; apart from each other they never do.
    """
    if group.step.fills:
        return any(run.is_latency_sensitive for run in worker.runs.values())
    if group.step.target_ms:
        return any(run.fills for run in worker.runs.values())
    return False


def _may_add(group: state.Group, worker_id: str) -> bool:
    most = group.step.most_per_worker
    return not most or work.tasks_on(group, worker_id) < most


def _place_gang(
    st: state.State,
    owner: state.Owner,
    current: Pass,
    entry: state.JobEntry,
    group: state.Group,
    workers: list[state.Worker],
    out: list,
) -> bool:
    """Starts all tasks of a gang at once, or none."""
    indexes = sorted(group.waiting)
    needs = work.reserved_resources(group.step)
    allowed = _allowed(st, owner, entry, group.step.needs, len(indexes))
    if allowed < len(indexes):
        return False
    racks: list[list[state.Worker]] = [workers]
    if group.step.same_rack:
        names = sorted({worker.rack for worker in workers})
        racks = [
            [worker for worker in workers if worker.rack == name]
            for name in names
        ] + [workers]
    for choice in racks:
        chosen = _assign(current, group, choice, needs, len(indexes))
        if chosen is not None:
            run = _next_run(owner)
            for index, worker in zip(indexes, chosen, strict=True):
                _start(st, owner, entry, group, index, worker, run, out)
            return True
    return False


def _assign(
    current: Pass,
    group: state.Group,
    workers: list[state.Worker],
    needs: resources.Resources,
    count: int,
) -> list[state.Worker] | None:
    """Returns a worker for each of a gang's tasks, or None if some has none."""
    chosen: list[state.Worker] = []
    most = group.step.most_per_worker or count
    ordered = sorted(
        workers,
        key=lambda worker: (
            worker.failures > 0,
            (worker.entry.capacity - worker.used).cpu_millis,
        ),
    )
    for worker in ordered:
        if worker.entry.worker_id in current.kept or _disturbs(group, worker):
            continue
        left = worker.entry.capacity - worker.used
        added = 0
        while len(chosen) < count and added < most and _fits(needs, left):
            chosen.append(worker)
            left = left - needs
            added += 1
    return chosen if len(chosen) == count else None


def _next_run(owner: state.Owner) -> int:
    owner.runs += 1
    return owner.token * RUNS_PER_OWNER + owner.runs


def _start(
    st: state.State,
    owner: state.Owner,
    entry: state.JobEntry,
    group: state.Group,
    index: int,
    worker: state.Worker,
    number: int,
    out: list,
) -> None:
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
