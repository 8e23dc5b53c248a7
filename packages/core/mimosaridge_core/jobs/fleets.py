"""The stored fleet: the workers on which owners may have started tasks.

A new owner must not start a task that an unreachable worker may still run.
Therefore an owner stores which workers it uses before it sends them starts. For
a worker that is closed for starts it also stores the jobs whose tasks may still
run there or have ended there without a stored result, so that a new owner
delays only those jobs.
"""

from mimosaridge_core.jobs import latestarts
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import timing

# A worker without an answer for this time is closed for starts, seconds: two
# retries of a hold.
LOST_AFTER_S = 0.6


def unheld_until(st: state.State, owner: state.Owner) -> float:
    """Returns until when a worker not yet held may run former owners' tasks.

    The last renewal of a former owner may be carried out late, also if that
    owner sends no more orders.
    """
    until = max(
        owner.displaced_until, owner.since + timing.late_renewal_s(st.bounds)
    )
    return until + timing.former_lease_s(st.bounds)


def current_fleet(st: state.State, owner: state.Owner) -> model.Fleet:
    """Returns the current fleet; updates `closed_jobs` of its workers."""
    closed: dict[str, tuple[str, ...]] = {}
    ids = set(owner.workers) | set(owner.unheld)
    for worker_id in sorted(ids):
        jobs = _closed_jobs(st, owner, worker_id)
        if jobs is not None:
            closed[worker_id] = jobs
    return model.Fleet(
        tuple(sorted(ids)),
        closed,
        _current_routes(st, owner),
        latestarts.stored(owner),
    )


def _current_routes(
    st: state.State, owner: state.Owner
) -> dict[str, tuple[str, ...]]:
    """Returns the back ends of each queue; adds those of the configuration."""
    configuration = st.configuration
    if configuration is None or configuration.version == owner.routes_version:
        return owner.routes
    owner.routes_version = configuration.version
    routes = {name: set(backends) for name, backends in owner.routes.items()}
    for name, former in st.former_backends.items():
        routes.setdefault(name, set()).update(former)
    for name, queue in configuration.queues.items():
        routes.setdefault(name, set()).add(queue.backend)
    owner.routes = {name: tuple(sorted(routes[name])) for name in routes}
    return owner.routes


def _closed_jobs(
    st: state.State, owner: state.Owner, worker_id: str
) -> tuple[str, ...] | None:
    """Returns the jobs of a closed worker; None if it is open for starts."""
    if worker_id in owner.unheld:
        return owner.unheld_jobs.get(worker_id)
    if worker_id in owner.unread:
        return None
    worker = owner.workers[worker_id]
    is_lost = (
        worker.unanswered and st.now - worker.unanswered_since > LOST_AFTER_S
    )
    if not is_lost and not worker.entry.draining:
        worker.closed_jobs = None
    elif worker.closed_jobs is None:
        # A new owner learns only from the worker that tasks have ended whose
        # results are not stored.
        jobs = {run.task_id.partition(".")[0] for run in worker.runs.values()}
        ended = worker.kept_ends.values()
        jobs.update(row.task_id.partition(".")[0] for row in ended)
        worker.closed_jobs = tuple(sorted(jobs))
    return worker.closed_jobs


def backends_of(
    st: state.State, owner: state.Owner, entry: state.JobEntry
) -> frozenset[str]:
    """Returns the back ends whose workers may run tasks of a job.

    That is the one on the job's acceptance and those that its queue has had.
    This daemon may not know all earlier configurations, but former owners have
    stored those back ends before they used them.
    """
    routes = _current_routes(st, owner).get(entry.job.queue, ())
    return frozenset((entry.job.backend, *routes))


def is_route_stored(
    owner: state.Owner, entry: state.JobEntry, backend: str
) -> bool:
    """Returns whether tasks of a job may start on a back end.

    A later owner must be able to know that workers of it may run them.
    """
    if backend == entry.job.backend:
        return True
    return owner.fleet is not None and all(
        backend in fleet.routes.get(entry.job.queue, ())
        for fleet in (owner.fleet, *owner.fleets_in_doubt)
    )


def may_be_started_by_former(owner: state.Owner, entry: state.JobEntry) -> bool:
    """Returns whether a former owner may have started tasks of a job.

    It can't have if the job was stored after a write of this owner that was
    sent when the former owner could no longer send orders. When this daemon
    received the job shows nothing: news may be late.
    """
    return not 0 < owner.settled_revision < entry.revision


def may_run_on_unheld(
    st: state.State, owner: state.Owner, entry: state.JobEntry
) -> bool:
    """Returns whether tasks of a job may run on a worker not yet held."""
    if not owner.unheld or not may_be_started_by_former(owner, entry):
        return False
    backends = backends_of(st, owner, entry)
    for worker_id in owner.unheld:
        jobs = owner.unheld_jobs.get(worker_id)
        if jobs is not None:
            if entry.job.job_id in jobs:
                return True
            continue
        worker = owner.workers.get(worker_id)
        if worker is None or worker.entry.backend in backends:
            return True
    return False


def may_have_unread_end(
    st: state.State, owner: state.Owner, entry: state.JobEntry
) -> bool:
    """Returns whether tasks of a job may have ended where ends are unread."""
    if not owner.unread:
        return False
    backends = backends_of(st, owner, entry)
    return any(
        owner.workers[worker_id].entry.backend in backends
        for worker_id in owner.unread
    )


def usable_workers(owner: state.Owner) -> frozenset[str]:
    """Returns the workers that are certainly stored as open for starts.

    An unconfirmed write may have been carried out, so a worker must also be
    open for starts in the fleet of each such write.
    """
    if owner.fleet is None:
        return frozenset()
    usable = set(owner.fleet.workers) - owner.fleet.closed.keys()
    for fleet in owner.fleets_in_doubt:
        usable &= set(fleet.workers) - fleet.closed.keys()
    return frozenset(usable)
