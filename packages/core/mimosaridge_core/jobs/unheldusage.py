"""Upper bound of what teams may have running on workers not yet held.

After a change of owner, a worker that has not answered yet may run tasks that
former owners started, and until it is displaced the former owner may start more
there. They count toward their teams' upper limits although this owner does not
know them. The bound of a team is the smaller, per resource, of

- the needs of its tasks that may run on such workers: tasks that are neither
  done nor counted elsewhere, since a task has one run at a time, and for steps
  that depend on each other only the largest, and
- the capacity of these workers; on a worker closed for starts, also the needs
  of the jobs stored for it.

Processor time of backfill is not bounded by a worker's capacity.
"""

import dataclasses

from mimosaridge_core import resources
from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import settings
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import work

# Interval at which the bound is computed again: the whole table is read.
REFRESH_S = 0.2
# Largest assumed difference between the wall clocks of two daemons.
CLOCK_DIFFERENCE_S = 5.0
# The runs of a job whose final state an owner stored this long before the
# change of owner have ended: it ordered their stops before, an owner without a
# store is replaced after 2 s, retries of stops take a second, and a run that
# can't be stopped ends with its lease.
FORMER_STOPS_S = 10.0


@dataclasses.dataclass(slots=True)
class _TeamTotal:
    """Needs of a team's tasks that may run on unheld workers.

    Attributes:
        reserved: What they occupy on workers.
        backfill: Processor time of backfill tasks.
        by_backends: What they occupy, by the back ends of their jobs; only of
            jobs that may run on workers open for starts.
        closed: What they may occupy on workers closed for starts.
    """

    reserved: resources.Resources = resources.ZERO
    backfill: resources.Resources = resources.ZERO
    by_backends: dict[frozenset[str], resources.Resources] = dataclasses.field(
        default_factory=dict
    )
    closed: resources.Resources = resources.ZERO


@dataclasses.dataclass(slots=True)
class _UnheldWorkers:
    """The workers not yet held.

    Attributes:
        open_capacity: Capacity of those open for starts, by back end.
        has_unknown_open: Whether one open for starts is not in the list of
            workers, so that its back end and its capacity are unknown.
        closed_on: Workers closed for starts on which a job may run, by job.
    """

    open_capacity: dict[str, resources.Resources]
    has_unknown_open: bool
    closed_on: dict[str, list[str]]


def usage(
    st: state.State, owner: state.Owner, team: str
) -> resources.Resources:
    """Returns the most that a team may have running on unheld workers.

    Only teams with an upper limit are counted.
    """
    if not owner.unheld:
        return resources.ZERO
    if owner.unheld_usage is None or st.now >= owner.unheld_usage_until:
        owner.unheld_usage = _usage_by_team(st, owner)
        owner.unheld_usage_until = st.now + REFRESH_S
    return owner.unheld_usage.get(team, resources.ZERO)


def invalidate(owner: state.Owner) -> None:
    """Makes the bound be computed again, as more tasks may count."""
    owner.unheld_usage = None


def _usage_by_team(
    st: state.State, owner: state.Owner
) -> dict[str, resources.Resources]:
    workers = _unheld_workers(owner)
    totals: dict[str, _TeamTotal] = {}
    needs_on_closed: dict[tuple[str, str], resources.Resources] = {}
    for entry in st.table.values():
        team = settings.team_of(st, entry.job.team)
        if team is None or team.upper_limit == resources.ZERO:
            continue
        if not _may_run(owner, entry):
            continue
        backends = fleets.backends_of(st, owner, entry)
        closed_on = workers.closed_on.get(entry.job.job_id, ())
        may_be_on_open = workers.has_unknown_open or (
            not backends.isdisjoint(workers.open_capacity)
        )
        if not may_be_on_open and not closed_on:
            continue
        reserved, backfill = _job_needs(st, owner, entry)
        total = totals.setdefault(team.name, _TeamTotal())
        total.reserved = total.reserved + reserved
        total.backfill = total.backfill + backfill
        if may_be_on_open:
            total.by_backends[backends] = (
                total.by_backends.get(backends, resources.ZERO) + reserved
            )
        for worker_id in closed_on:
            key = (team.name, worker_id)
            needs_on_closed[key] = (
                needs_on_closed.get(key, resources.ZERO) + reserved
            )
    for (team_name, worker_id), needs in needs_on_closed.items():
        worker = owner.workers.get(worker_id)
        if worker is not None:
            needs = needs.at_most(worker.entry.capacity)
        totals[team_name].closed = totals[team_name].closed + needs
    return {name: _bound(total, workers) for name, total in totals.items()}


def _unheld_workers(owner: state.Owner) -> _UnheldWorkers:
    open_capacity: dict[str, resources.Resources] = {}
    has_unknown_open = False
    closed_on: dict[str, list[str]] = {}
    for worker_id in owner.unheld:
        jobs = owner.unheld_jobs.get(worker_id)
        worker = owner.workers.get(worker_id)
        if jobs is not None:
            for job_id in jobs:
                closed_on.setdefault(job_id, []).append(worker_id)
        elif worker is None:
            has_unknown_open = True
        else:
            backend = worker.entry.backend
            open_capacity[backend] = (
                open_capacity.get(backend, resources.ZERO)
                + worker.entry.capacity
            )
    return _UnheldWorkers(open_capacity, has_unknown_open, closed_on)


def _bound(total: _TeamTotal, workers: _UnheldWorkers) -> resources.Resources:
    if workers.has_unknown_open:
        return total.reserved + total.backfill
    room = total.closed
    for backend, capacity in workers.open_capacity.items():
        needs = resources.total(
            [
                amount
                for backends, amount in total.by_backends.items()
                if backend in backends
            ]
        )
        room = room + needs.at_most(capacity)
    return total.reserved.at_most(room) + total.backfill


def _may_run(owner: state.Owner, entry: state.JobEntry) -> bool:
    """Returns whether former owners may have runs of a job."""
    if not fleets.may_be_started_by_former(owner, entry):
        return False
    if entry.progress.state == model.JobState.COMPLETED:
        return False
    return not entry.final_at or entry.final_at > owner.since - FORMER_STOPS_S


def _job_needs(
    st: state.State, owner: state.Owner, entry: state.JobEntry
) -> tuple[resources.Resources, resources.Resources]:
    """Returns the most that uncounted runs of a job occupy at a time.

    Returns:
        What they occupy on workers; processor time of backfill.
    """
    cpu_millis = memory_mib = accelerators = backfill_millis = 0
    for repetition in range(work.repetitions(entry.job)):
        due_at = work.due_at(entry.job, repetition)
        if entry.job.repeats and due_at > st.wall + CLOCK_DIFFERENCE_S:
            break
        # Sums of plain numbers: vectors would take most of the time.
        for chain in _chains(entry, repetition):
            most_cpu = most_memory = most_accelerators = most_backfill = 0
            for number in chain:
                step = entry.job.steps[number]
                count = _uncounted_tasks(owner, entry, repetition, number)
                needs = step.needs
                if step.fills:
                    most_backfill = max(most_backfill, count * needs.cpu_millis)
                else:
                    most_cpu = max(most_cpu, count * needs.cpu_millis)
                most_memory = max(most_memory, count * needs.memory_mib)
                most_accelerators = max(
                    most_accelerators, count * needs.accelerators
                )
            cpu_millis += most_cpu
            memory_mib += most_memory
            accelerators += most_accelerators
            backfill_millis += most_backfill
    return (
        resources.Resources(cpu_millis, memory_mib, accelerators),
        resources.Resources(backfill_millis),
    )


def _chains(entry: state.JobEntry, repetition: int) -> list[list[int]]:
    """Divides the steps that are not done into chains of dependent steps.

    A step runs only after the steps that it depends on, so at most one step of
    a chain runs at a time.
    """
    chains: list[list[int]] = []
    for number, step in enumerate(entry.job.steps):
        if work.is_step_done(entry, repetition, number):
            continue
        for chain in chains:
            if chain[-1] in step.after:
                chain.append(number)
                break
        else:
            chains.append([number])
    return chains


def _uncounted_tasks(
    owner: state.Owner, entry: state.JobEntry, repetition: int, number: int
) -> int:
    """Returns how many tasks are neither done nor have a counted run."""
    progress = entry.progress.steps.get(work.step_key(repetition, number))
    group = owner.groups.get(f"{entry.job.job_id}.{repetition}.{number}")
    left = entry.job.steps[number].tasks
    if progress is not None:
        left -= len(progress.done)
    if group is not None:
        left -= sum(index not in group.progress.done for index in group.runs)
    return left
