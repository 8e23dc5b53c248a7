"""The home of work: takes it, or tells how work of the same id stands.

Work that must not be lost or doubled lives in a bucket, whose ledger is in the
store: an assignment is written before its task is first sent. An idempotent
request lives at the daemon that its caller spoke to.
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
    """Takes work, or tells the origin how work of this id stands."""
    known = st.works.get(work.work_id)
    if known is not None:
        _join(st, known, work, origin, out)
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
    if bucket is not None and _expired(st, work):
        expired = works.Outcome(codes.Code.ID_EXPIRED)
        _answer(origin, work, expired, out)
        return
    refusal = _refusal(st, work, bucket)
    if refusal is not None and bucket is None:
        _answer(origin, work, refusal, out)
    elif refusal is not None:
        _record_refusal(st, work, bucket, refusal, origin, out)
    else:
        _take(st, work, home, bucket, origin, out)
    if bucket is not None:
        ledgers.flush(st, bucket, out)


def _take(
    st: state.State,
    work: works.Work,
    home: str,
    bucket: state.Bucket | None,
    origin: str,
    out: list,
) -> None:
    assignments = [first_assignment(st, work) for _ in range(work.count)]
    entry = documents.Entry(work, assignments)
    tasks = [state.TaskState() for _ in range(work.count)]
    home_work = state.HomeWork(entry, home, tasks, {origin})
    st.works[work.work_id] = home_work
    if bucket is not None:
        ledgers.add(bucket, entry)
    dispatching.dispatch_all(st, home_work, out)
    dispatching.set_timer(st, work.start_before, home_work, -1)


def first_assignment(st: state.State, work: works.Work) -> documents.Assignment:
    """Returns the assignment of a task that was never sent.

    A service may return under the name of one that was forgotten, whose
    attempts had numbers of their own; the clock keeps the new ones higher. An
    idempotent request may have a home at each daemon; a random number keeps
    their attempts apart.
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
    """Settles work as refused; the origin hears it once that is recorded.

    Until then another daemon may hold the bucket and have run it, and after
    that no later message with the same id may start it.
    """
    room = st.tuning.ledger_bytes + ledgers.REFUSALS_BYTES
    if bucket.size_bytes > room:
        return
    bare = dataclasses.replace(work, body=b"", count=0)
    home_work = state.HomeWork(
        documents.Entry(bare, []), bucket.name, [], {origin}
    )
    st.works[work.work_id] = home_work
    ledgers.add(bucket, home_work.entry)
    outcomes.settle(st, home_work, refusal, out)


def _answer(
    origin: str, work: works.Work, outcome: works.Outcome, out: list
) -> None:
    settled = messages.WorkSettled(work.work_id, outcome)
    out.append(effects.SendPeer(origin, settled))


def _expired(st: state.State, work: works.Work) -> bool:
    """Tells whether an outcome of this id may have been forgotten."""
    if work.kind == works.Kind.SERVICE:
        return False
    return workids.made_at(work.work_id) < st.now - st.tuning.retention_s


def _refusal(
    st: state.State, work: works.Work, bucket: state.Bucket | None
) -> works.Outcome | None:
    if work.kind == works.Kind.SERVICE:
        return None
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
        size = ledgers.size_of_work(work) + bucket.size_bytes
        if size > st.tuning.ledger_bytes:
            return works.Outcome(
                codes.Code.OVERLOADED, f"The ledger of {bucket.name} is full."
            )
    return None


def _join(
    st: state.State,
    work: state.HomeWork,
    again: works.Work,
    origin: str,
    out: list,
) -> None:
    if work.entry.work.team != again.team:
        _answer(origin, again, works.Outcome(codes.Code.ID_TAKEN), out)
        return
    work.origins.add(origin)
    work_id = work.entry.work.work_id
    if outcomes.may_be_told(work):
        _answer(origin, again, work.full_outcome or work.entry.outcome, out)
    elif work.recorded:
        out.append(effects.SendPeer(origin, messages.WorkAccepted(work_id)))


@dispatch.receives(messages.ForwardWork)
def _forwarded(
    st: state.State, sender: str, message: messages.ForwardWork, out: list
) -> None:
    accept(st, message.work, sender, out)
