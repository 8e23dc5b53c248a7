"""Acceptance of work at its home, the daemon or bucket that tracks it.

Work that must be neither lost nor run twice has a bucket as its home. The
ledger of the bucket is in the store, and an assignment is written to it before
the task is first sent. The home of an idempotent request is the daemon that
received the call.
"""

import dataclasses

from mimosaridge_core import buckets
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import dispatching
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import ledgers
from mimosaridge_core import messages
from mimosaridge_core import outcomes
from mimosaridge_core import routing
from mimosaridge_core import state
from mimosaridge_core import workids
from mimosaridge_core import works

ATTEMPT_BITS = 30


def accept(st: state.State, work: works.Work, origin: str, out: list) -> None:
    """Accepts or refuses work, or reports the state of known work."""
    known_work = st.works.get(work.work_id)
    if known_work is not None:
        _report_state(st, known_work, work, origin, out)
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
    if bucket is not None and _is_id_expired(st, work):
        expired = works.Outcome(codes.Code.ID_EXPIRED)
        _send_outcome(origin, work, expired, out)
        return
    refusal = _find_refusal(st, work, bucket)
    if refusal is not None and bucket is None:
        _send_outcome(origin, work, refusal, out)
    elif refusal is not None:
        _record_refusal(st, work, bucket, refusal, origin, out)
    else:
        _accept_new(st, work, home, bucket, origin, out)
    if bucket is not None:
        ledgers.flush(st, bucket, out)


def _accept_new(
    st: state.State,
    work: works.Work,
    home: str,
    bucket: state.Bucket | None,
    origin: str,
    out: list,
) -> None:
    assignments = [initial_assignment(st, work) for _ in range(work.count)]
    entry = documents.Entry(work, assignments)
    tasks = [state.TaskState() for _ in range(work.count)]
    home_work = state.HomeWork(entry, home, tasks, {origin})
    st.works[work.work_id] = home_work
    if bucket is not None:
        ledgers.add_entry(bucket, entry)
    dispatching.dispatch_all(st, home_work, out)
    dispatching.set_timer(st, work.start_before, home_work, -1)


def initial_assignment(
    st: state.State, work: works.Work
) -> documents.Assignment:
    """Returns the assignment of a task that was never sent.

    A service may reuse the name of an evicted service, whose attempts were
    numbered too; starting at the current time keeps the new numbers higher.
    An idempotent request may have a home at several daemons; a random number
    keeps their attempts distinct.
    """
    attempt = 0
    if work.kind == works.Kind.SERVICE:
        attempt = int(st.now)
    elif buckets.home_of(st, work) == st.name:
        attempt = st.rng.getrandbits(ATTEMPT_BITS)
    return documents.Assignment(attempt)


def _record_refusal(
    st: state.State,
    work: works.Work,
    bucket: state.Bucket,
    refusal: works.Outcome,
    origin: str,
    out: list,
) -> None:
    """Settles work as refused; the origin is notified after the write.

    Before the refusal is recorded, another daemon may own the bucket and have
    run the work. Once it is recorded, no later message with the same id can
    start the work.
    """
    limit_bytes = st.tuning.ledger_bytes + ledgers.REFUSAL_RESERVE_BYTES
    if bucket.size_bytes > limit_bytes:
        return
    stripped_work = dataclasses.replace(work, body=b"", count=0)
    home_work = state.HomeWork(
        documents.Entry(stripped_work, []), bucket.name, [], {origin}
    )
    st.works[work.work_id] = home_work
    ledgers.add_entry(bucket, home_work.entry)
    outcomes.settle(st, home_work, refusal, out)


def _send_outcome(
    origin: str, work: works.Work, outcome: works.Outcome, out: list
) -> None:
    settled = messages.WorkSettled(work.work_id, outcome)
    out.append(effects.SendPeer(origin, settled))


def _is_id_expired(st: state.State, work: works.Work) -> bool:
    """Returns whether the id is so old that its outcome may be evicted."""
    if work.kind == works.Kind.SERVICE:
        return False
    return workids.created_at(work.work_id) < st.now - st.tuning.retention_s


def _find_refusal(
    st: state.State, work: works.Work, bucket: state.Bucket | None
) -> works.Outcome | None:
    if work.kind == works.Kind.SERVICE:
        return None
    if work.start_before <= st.now:
        return works.Outcome(
            codes.Code.DEADLINE_PASSED, "Its start deadline has passed."
        )
    if st.hosts and not routing.could_ever_fit(st, work.endpoint, work.needs):
        return works.Outcome(
            codes.Code.IMPOSSIBLE,
            "No worker in the fleet is large enough for one of its tasks.",
        )
    if bucket is not None:
        size_bytes = ledgers.work_size_bytes(work) + bucket.size_bytes
        if size_bytes > st.tuning.ledger_bytes:
            return works.Outcome(
                codes.Code.OVERLOADED,
                f"The ledger of bucket {bucket.name} is full.",
            )
    return None


def _report_state(
    st: state.State,
    work: state.HomeWork,
    resubmitted: works.Work,
    origin: str,
    out: list,
) -> None:
    if work.entry.work.team != resubmitted.team:
        _send_outcome(
            origin, resubmitted, works.Outcome(codes.Code.ID_TAKEN), out
        )
        return
    work.origins.add(origin)
    work_id = work.entry.work.work_id
    if outcomes.is_reportable(work):
        _send_outcome(
            origin, resubmitted, work.full_outcome or work.entry.outcome, out
        )
    elif work.recorded:
        out.append(effects.SendPeer(origin, messages.WorkAccepted(work_id)))


@dispatch.receives(messages.ForwardWork)
def _on_work_forwarded(
    st: state.State, sender: str, message: messages.ForwardWork, out: list
) -> None:
    accept(st, message.work, sender, out)
