"""The platform's list of machines, and what may be concluded from it.

A list shows the machines as they were when it was requested. It counts for a
wave of upkeep only if it was requested after the wave was known. A machine that
one list lacks may be on another page or have been added since, and a worker
that it lacks may have joined since.
"""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state

# Interval at which machines are listed while a wave is not completed, seconds.
# The platform allows some tens of readings a second to all daemons.
LIST_INTERVAL_S = 0.5
# A list that has no answer after this time is requested again, seconds.
LIST_TIMEOUT_S = 3.0
# A list that was requested earlier counts for nothing, seconds. The pages of a
# list take seconds while the platform is slow.
MAX_AGE_S = 10.0
# A machine is missing once lists have lacked it for this time, seconds.
MISSING_AFTER_S = 2 * LIST_INTERVAL_S


def request_due(st: state.State, owner: state.Owner, out: list) -> None:
    """Requests a list if it is time for one."""
    upkeep = owner.upkeep
    is_waiting = upkeep.list_sent_at > upkeep.list_answered_at
    interval_s = LIST_TIMEOUT_S if is_waiting else LIST_INTERVAL_S
    if st.now >= upkeep.list_sent_at + interval_s:
        upkeep.list_sent_at = st.now
        out.append(effects.ListMachines(owner.token, st.now))


@dispatch.handles(events.MachinesListed)
def record_list(
    st: state.State, event: events.MachinesListed, out: list
) -> None:
    """Records the platform's machines, unless a later list is known."""
    owner = st.owner
    if owner is None or owner.token != event.token:
        return
    upkeep = owner.upkeep
    upkeep.list_answered_at = max(upkeep.list_answered_at, event.requested_at)
    if event.machines is None or event.requested_at <= upkeep.listed_as_of:
        return
    upkeep.machines = event.machines
    upkeep.listed_as_of = event.requested_at
    wanted = {name for wave in st.waves.values() for name in wave.machines}
    upkeep.lacked_since = {
        name: upkeep.lacked_since.get(name, event.requested_at)
        for name in wanted - event.machines.keys()
    }


def is_current(st: state.State, owner: state.Owner, wave: model.Wave) -> bool:
    """Returns whether the latest list counts for a wave."""
    as_of = owner.upkeep.listed_as_of
    return (
        as_of > st.waves_known_at.get(wave.number, 0.0)
        and as_of >= st.now - MAX_AGE_S
    )


def is_missing(owner: state.Owner, name: str) -> bool:
    """Returns whether several lists in a row have lacked a machine."""
    upkeep = owner.upkeep
    since = upkeep.lacked_since.get(name)
    return since is not None and upkeep.listed_as_of >= since + MISSING_AFTER_S


def worker_of(owner: state.Owner, name: str) -> state.Worker | None:
    """Returns the worker of a machine if this owner knows it."""
    machine = owner.upkeep.machines.get(name)
    return owner.workers.get(machine.worker_id) if machine else None


def is_unused(owner: state.Owner, name: str) -> bool:
    """Returns whether a listed machine has no worker that may run tasks."""
    machine = owner.upkeep.machines.get(name)
    if machine is None or machine.worker_id in owner.workers:
        return False
    return machine.worker_id not in owner.unheld


def lacks_workers(owner: state.Owner) -> bool:
    """Returns whether a worker has joined since the latest list.

    A machine may be its machine, whatever worker the list names.
    """
    as_of = owner.upkeep.listed_as_of
    return any(worker.known_since >= as_of for worker in owner.workers.values())
