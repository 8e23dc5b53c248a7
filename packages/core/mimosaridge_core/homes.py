"""The home of work: takes it, or tells how work of the same id stands.

Work that must not be lost or doubled lives in a bucket, whose ledger is in the
store: an assignment is written before its task is first sent. An idempotent
request lives at the daemon that its caller spoke to.
"""

from mimosaridge_core import buckets
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import dispatching
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import ledgers
from mimosaridge_core import messages
from mimosaridge_core import routing
from mimosaridge_core import state
from mimosaridge_core import works


def accept(st: state.State, work: works.Work, origin: str, out: list) -> None:
    """Takes work, or tells the origin how work of this id stands."""
    known = st.works.get(work.work_id)
    if known is not None:
        _join(st, known, origin, out)
        return
    home = buckets.home_of(st, work)
    bucket = st.buckets.get(home)
    if (
        bucket is not None
        and not bucket.loaded
        or home.startswith(buckets.PREFIX)
        and (bucket is None or bucket.releasing)
    ):
        return
    refusal = _refusal(st, work, bucket)
    if refusal is not None:
        settled = messages.WorkSettled(work.work_id, refusal)
        out.append(effects.SendPeer(origin, settled))
        return
    entry = documents.Entry(
        work, [documents.Assignment() for _ in range(work.count)]
    )
    tasks = [state.TaskState() for _ in range(work.count)]
    home_work = state.HomeWork(entry, home, tasks, {origin})
    st.works[work.work_id] = home_work
    if bucket is not None:
        bucket.ledger.entries[work.work_id] = entry
        bucket.dirty = True
    dispatching.dispatch_all(st, home_work, out)
    dispatching.set_timer(st, work.start_before, home_work, -1)
    if bucket is not None:
        ledgers.flush(st, bucket, out)


def _refusal(
    st: state.State, work: works.Work, bucket: state.Bucket | None
) -> works.Outcome | None:
    if work.start_before <= st.now:
        return works.Outcome(
            codes.Code.DEADLINE_PASSED, "Its deadline has passed."
        )
    if st.hosts and not routing.could_ever_fit(st, work.endpoint, work.needs):
        return works.Outcome(
            codes.Code.IMPOSSIBLE,
            "No worker of the fleet is large enough for one of its tasks.",
        )
    if bucket is not None:
        size = sum(
            len(entry.work.body) for entry in bucket.ledger.entries.values()
        )
        if size + len(work.body) > st.tuning.ledger_bytes:
            return works.Outcome(
                codes.Code.OVERLOADED, f"The ledger of {bucket.name} is full."
            )
    return None


def _join(
    st: state.State, work: state.HomeWork, origin: str, out: list
) -> None:
    work.origins.add(origin)
    work_id = work.entry.work.work_id
    if work.entry.outcome is not None and work.recorded:
        settled = messages.WorkSettled(work_id, work.entry.outcome)
        out.append(effects.SendPeer(origin, settled))
    elif work.recorded:
        out.append(effects.SendPeer(origin, messages.WorkAccepted(work_id)))


@dispatch.receives(messages.ForwardWork)
def _forwarded(
    st: state.State, sender: str, message: messages.ForwardWork, out: list
) -> None:
    accept(st, message.work, sender, out)
