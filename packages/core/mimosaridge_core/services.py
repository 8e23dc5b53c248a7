"""Standing services, kept as the configuration says."""

from mimosaridge_core import buckets
from mimosaridge_core import dispatch
from mimosaridge_core import dispatching
from mimosaridge_core import documents
from mimosaridge_core import homes
from mimosaridge_core import outcomes
from mimosaridge_core import state
from mimosaridge_core import works

SERVICE_PREFIX = "service-"
FOREVER = 1e12


@dispatch.when_configured
def sync_services(st: state.State, out: list) -> None:
    """Brings the services homed here in line with the configuration."""
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
            FOREVER,
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
    if work.entry.cancelled:
        return
    work.entry.work = spec
    bucket = st.buckets[work.home]
    bucket.dirty = True
    while len(work.tasks) < spec.count:
        work.unsettled.add(len(work.tasks))
        work.tasks.append(state.TaskState())
        work.entry.assignments.append(documents.Assignment())
        dispatching.assign(st, work, len(work.tasks) - 1, out)
    while len(work.tasks) > spec.count:
        index = len(work.tasks) - 1
        dispatching.send_cancel(st, work, index, out)
        work.tasks.pop()
        work.unsettled.discard(index)
        work.entry.assignments.pop()


def _cancel_removed(st: state.State, out: list) -> None:
    for work_id, work in list(st.works.items()):
        name = work_id.removeprefix(SERVICE_PREFIX)
        if work.entry.work.kind != works.Kind.SERVICE:
            continue
        if name not in st.config.services and not work.entry.cancelled:
            outcomes.cancel(st, work, out)
