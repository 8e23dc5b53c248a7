"""Which workers can take starts now."""

from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import upkeep


def usable(
    st: state.State, owner: state.Owner
) -> dict[str, dict[str, state.Worker]]:
    """Returns the workers that can take starts, by back end and id."""
    return usable_and_startable(st, owner)[0]


def usable_and_startable(
    st: state.State, owner: state.Owner
) -> tuple[
    dict[str, dict[str, state.Worker]], dict[str, dict[str, state.Worker]]
]:
    """Returns the workers that take starts, by back end and id.

    The first are those that take starts of all steps; the second have those on
    which runs have failed, too.
    """
    usable: dict[str, dict[str, state.Worker]] = {}
    startable: dict[str, dict[str, state.Worker]] = {}
    stored = fleets.usable_workers(owner)
    for worker_id, worker in owner.workers.items():
        if worker_id in stored and _takes_starts(st, owner, worker):
            backend = worker.entry.backend
            startable.setdefault(backend, {})[worker_id] = worker
            if st.now >= worker.backoff_until:
                usable.setdefault(backend, {})[worker_id] = worker
    return usable, startable


def is_startable(
    st: state.State, owner: state.Owner, worker: state.Worker
) -> bool:
    """Returns whether a worker takes starts; runs may have failed on it."""
    is_stored = worker.entry.worker_id in fleets.usable_workers(owner)
    return is_stored and _takes_starts(st, owner, worker)


def is_staying(
    st: state.State, owner: state.Owner, worker: state.Worker
) -> bool:
    """Returns whether nothing planned keeps starts from a worker."""
    return (
        worker.listed
        and not worker.entry.draining
        and worker.entry.zone not in st.zones_out
        and not upkeep.is_emptied(owner, worker.entry.worker_id)
    )


def _takes_starts(
    st: state.State, owner: state.Owner, worker: state.Worker
) -> bool:
    return bool(
        worker.held
        and worker.clock_at
        and not worker.unanswered
        # The next incarnation may have another capacity and other labels.
        and worker.born in (0, worker.entry.born)
        and not worker.former_holds
        and is_staying(st, owner, worker)
        and st.now >= worker.unhealthy_until
    )
