"""Reconciliation of long-running services with the configuration."""

from mimosaridge_core import buckets
from mimosaridge_core import dispatch
from mimosaridge_core import dispatching
from mimosaridge_core import homes
from mimosaridge_core import outcomes
from mimosaridge_core import state
from mimosaridge_core import works

SERVICE_PREFIX = "service-"
NO_DEADLINE = 1e12


@dispatch.when_configured
def sync_services(st: state.State, out: list) -> None:
    """Reconciles the services homed here with the configuration."""
    for service in st.config.services.values():
        work_id = SERVICE_PREFIX + service.name
        bucket = st.buckets.get(buckets.bucket_of(st, work_id))
        if bucket is None or not bucket.loaded:
            continue
        spec = works.Work(
            work_id,
            service.team,
            works.Kind.SERVICE,
            service.replicas,
            service.needs,
            service.endpoint,
            True,
            service.urgency,
            NO_DEADLINE,
            st.now,
        )
        if work_id not in st.works:
            homes.accept(st, spec, st.name, out)
        else:
            _resize(st, st.works[work_id], spec, out)
    _cancel_removed(st, out)


def _resize(
    st: state.State, work: state.HomeWork, spec: works.Work, out: list
) -> None:
    """Reconciles a service with its specification.

    Surplus replicas are cancelled until their end is known, and keep their
    attempt number. If such a replica is needed again, it starts under a higher
    number, and only after the earlier attempt has ended.
    """
    entry = work.entry
    spec.submitted_at = entry.work.submitted_at
    if entry.work == spec and not entry.cancelled:
        return
    entry.work = spec
    entry.cancelled = False
    entry.outcome = None
    work.outcome_recorded = False
    st.buckets[work.home].dirty = True
    while len(work.tasks) < spec.count:
        work.tasks.append(state.TaskState())
        entry.assignments.append(homes.initial_assignment(st, spec))
    for index in range(len(work.tasks)):
        if index < spec.count:
            _restart_replica(st, work, index)
        elif index in work.unsettled:
            outcomes.cancel_task(st, work, index, out)


def _restart_replica(st: state.State, work: state.HomeWork, index: int) -> None:
    if index in work.unsettled:
        return
    work.unsettled.add(index)
    work.entry.assignments[index].outcome = None
    work.entry.assignments[index].ran = None
    work.tasks[index] = state.TaskState()
    dispatching.set_timer(st, st.now, work, index)


def _cancel_removed(st: state.State, out: list) -> None:
    for work_id, work in list(st.works.items()):
        name = work_id.removeprefix(SERVICE_PREFIX)
        if work.entry.work.kind != works.Kind.SERVICE:
            continue
        if name not in st.config.services and not work.entry.cancelled:
            outcomes.cancel(st, work, out)
