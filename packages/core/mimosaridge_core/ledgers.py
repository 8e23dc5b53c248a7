"""The ledgers of the buckets that this daemon holds."""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import archives
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import dispatching
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import outcomes
from mimosaridge_core import services
from mimosaridge_core import state
from mimosaridge_core import works

REFUSALS_BYTES = 100_000
ENTRY_BYTES = 700
ASSIGNMENT_BYTES = 160
ENCODED_BYTES_PER_BYTE = 4 / 3


@dataclasses.dataclass(slots=True)
class LedgerRead:
    """The ledger of a bucket is being read."""

    partition: str
    epoch: int


@dataclasses.dataclass(slots=True)
class LedgerWritten:
    """A ledger is being written.

    Attributes:
        bucket: The bucket.
        epoch: Epoch of the owner that writes.
        write_id: Names the write.
        accepted: Work whose acceptance it records.
        settled: Work whose outcome it records.
        unsent: Tasks to be sent once it is written.
        untaken: Updates to be confirmed once it is written.
        reading_back: Whether the answer was lost and the key is being read.
    """

    bucket: str
    epoch: int
    write_id: str
    accepted: list[str]
    settled: list[str]
    unsent: list[tuple[str, int]]
    untaken: list[tuple[str, messages.UpdateTaken]]
    reading_back: bool = False


def size_of_work(work: works.Work) -> int:
    """Estimates the bytes that new work takes in the store."""
    body = int(len(work.body) * ENCODED_BYTES_PER_BYTE)
    return ENTRY_BYTES + body + ASSIGNMENT_BYTES * work.count


def size_of(entry: documents.Entry) -> int:
    """Estimates the bytes that an entry takes in the store."""
    ran = [item.ran for item in entry.assignments]
    kept = sum(
        len(outcome.answer)
        for outcome in (*ran, entry.outcome)
        if outcome is not None
    )
    return size_of_work(entry.work) + int(kept * ENCODED_BYTES_PER_BYTE)


def add(bucket: state.Bucket, entry: documents.Entry) -> None:
    """Adds an entry; its acceptance holds once the ledger is written."""
    bucket.ledger.entries[entry.work.work_id] = entry
    bucket.size_bytes += size_of(entry)
    bucket.accepted.append(entry.work.work_id)
    bucket.dirty = True


def acquire(st: state.State, name: str, epoch: int, out: list) -> None:
    """Takes a bucket under an epoch and reads its ledger."""
    bucket = st.buckets.get(name)
    if bucket is not None:
        bucket.epoch = epoch
        bucket.releasing = False
        return
    st.buckets[name] = state.Bucket(name, epoch)
    _read_ledger(st, name, epoch, out)


def _read_ledger(st: state.State, name: str, epoch: int, out: list) -> None:
    number = st.next_number()
    st.operations[number] = LedgerRead(name, epoch)
    out.append(effects.StoreRead(number, documents.LEDGERS + name))


@dispatch.handles_store_answer(LedgerRead)
def _ledger_read(
    st: state.State,
    operation: LedgerRead,
    event: events.StoreAnswered,
    out: list,
) -> None:
    bucket = st.buckets.get(operation.partition)
    if bucket is None or bucket.loaded or bucket.epoch != operation.epoch:
        return
    if event.result == "unknown":
        _read_ledger(st, bucket.name, bucket.epoch, out)
        return
    bucket.ledger = event.value or documents.Ledger()
    bucket.revision = event.revision
    bucket.loaded = True
    entries = bucket.ledger.entries.values()
    bucket.size_bytes = sum(size_of(entry) for entry in entries)
    for entry in bucket.ledger.entries.values():
        _resume(st, bucket, entry, out)
    services.sync_services(st, out)


def _resume(
    st: state.State,
    bucket: state.Bucket,
    entry: documents.Entry,
    out: list,
) -> None:
    tasks = [state.TaskState() for _ in entry.assignments]
    work = state.HomeWork(entry, bucket.name, tasks, recorded=True)
    st.works[entry.work.work_id] = work
    if entry.outcome is not None:
        work.outcome_recorded = True
        if not entry.archived:
            archives.add(st, bucket, work)
        dispatching.set_timer(st, outcomes.kept_until(st, entry), work, -1)
        return
    for index, assignment in enumerate(entry.assignments):
        task = tasks[index]
        if assignment.outcome is not None:
            task.phase = outcomes.final_phase(assignment.outcome.code)
            work.unsettled.discard(index)
        elif assignment.shard:
            task.phase = works.Phase.PLACING
            task.sent = True
            dispatching.set_timer(st, st.now, work, index)
        else:
            dispatching.set_timer(st, st.now, work, index)
    if entry.cancelled:
        outcomes.cancel(st, work, out)


def drop(st: state.State, name: str, out: list) -> None:
    """Forgets a bucket; its next owner reads the ledger."""
    del st.buckets[name]
    gone = [key for key, work in st.works.items() if work.home == name]
    for work_id in gone:
        del st.works[work_id]


def _is_awaited(st: state.State, bucket: state.Bucket) -> bool:
    """Tells whether a start, a caller or an heir waits for the next write.

    What nobody waits for goes with a later write. Until then the owner of the
    shard keeps the end of the task, and tells it to a new home.
    """
    if bucket.accepted or bucket.unsent or bucket.releasing:
        return True
    settled = (st.works.get(work_id) for work_id in bucket.settled)
    return any(
        work is not None and not outcomes.may_be_told(work) for work in settled
    )


def flush(st: state.State, bucket: state.Bucket, out: list) -> None:
    """Writes a ledger that has changed, if no write of it is on its way."""
    if not bucket.dirty or bucket.writing:
        return
    patience_s = 0.0 if _is_awaited(st, bucket) else st.tuning.outcome_flush_s
    if st.now < bucket.flush_at + patience_s:
        return
    bucket.dirty = False
    bucket.writing = True
    bucket.flush_at = st.now + st.tuning.flush_s
    number = st.next_number()
    write_id = f"{st.name}/{bucket.epoch}/{number}"
    bucket.write_id = write_id
    bucket.ledger.writer = st.name
    bucket.ledger.write_id = write_id
    st.operations[number] = LedgerWritten(
        bucket.name,
        bucket.epoch,
        write_id,
        bucket.accepted,
        bucket.settled,
        bucket.unsent,
        bucket.pending_acks,
    )
    bucket.accepted = []
    bucket.settled = []
    bucket.unsent = []
    bucket.pending_acks = []
    key = documents.LEDGERS + bucket.name
    out.append(effects.StoreWrite(number, key, bucket.ledger, bucket.revision))


@dispatch.handles_store_answer(LedgerWritten)
def _ledger_written(
    st: state.State,
    operation: LedgerWritten,
    event: events.StoreAnswered,
    out: list,
) -> None:
    bucket = st.buckets.get(operation.bucket)
    if bucket is None or bucket.write_id != operation.write_id:
        return
    if event.result == "unknown":
        operation.reading_back = True
        number = st.next_number()
        st.operations[number] = operation
        key = documents.LEDGERS + bucket.name
        out.append(effects.StoreRead(number, key))
        return
    if operation.reading_back:
        ours = (
            event.value is not None
            and event.value.write_id == operation.write_id
        )
        if not ours and event.revision == bucket.revision:
            _write_again(st, bucket, operation, out)
            return
        event.result = "ok" if ours else "conflict"
    if event.result == "conflict":
        _displaced(st, bucket, out)
        return
    bucket.writing = False
    bucket.revision = event.revision
    _recorded(st, bucket, operation, out)
    flush(st, bucket, out)


def _write_again(
    st: state.State,
    bucket: state.Bucket,
    operation: LedgerWritten,
    out: list,
) -> None:
    bucket.writing = False
    bucket.dirty = True
    bucket.accepted = operation.accepted + bucket.accepted
    bucket.settled = operation.settled + bucket.settled
    bucket.unsent = operation.unsent + bucket.unsent
    bucket.pending_acks = operation.untaken + bucket.pending_acks
    flush(st, bucket, out)


def _displaced(st: state.State, bucket: state.Bucket, out: list) -> None:
    """Another daemon wrote the ledger: what it says now is what counts."""
    name, epoch = bucket.name, bucket.epoch
    state.log_decision(
        st,
        out,
        account.Rule.OWNERSHIP,
        f"The ledger of {name} was written by another daemon; read again.",
        epoch=epoch,
    )
    drop(st, name, out)
    st.buckets[name] = state.Bucket(name, epoch)
    _read_ledger(st, name, epoch, out)


def _recorded(
    st: state.State,
    bucket: state.Bucket,
    operation: LedgerWritten,
    out: list,
) -> None:
    for sender, taken in operation.untaken:
        out.append(effects.SendPeer(sender, taken))
    for work_id in operation.accepted:
        work = st.works.get(work_id)
        if work is not None:
            work.recorded = True
            if work.entry.outcome is None:
                _announce(st, bucket, work, out)
    for work_id in operation.settled:
        work = st.works.get(work_id)
        if work is not None:
            work.outcome_recorded = True
            outcomes.tell(work, out)
            archives.add(st, bucket, work)
    for work_id, index in operation.unsent:
        work = st.works.get(work_id)
        if work is not None and index in work.unsettled:
            dispatching.send_recorded(st, work, index, out)


def _announce(
    st: state.State, bucket: state.Bucket, work: state.HomeWork, out: list
) -> None:
    spec = work.entry.work
    work_id = spec.work_id
    came = f", through {', '.join(sorted(work.origins))}" * bool(work.origins)
    state.log_decision(
        st,
        out,
        account.Rule.RECORDED,
        f"Recorded in {bucket.name}: {spec.kind} work of {spec.count} tasks"
        f" for team {spec.team}{came}.",
        work_id,
        code=codes.Code.ACCEPTED,
    )
    for origin in sorted(work.origins):
        out.append(effects.SendPeer(origin, messages.WorkAccepted(work_id)))
