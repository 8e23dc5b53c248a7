"""Reads and writes the ledgers of the buckets that this daemon owns."""

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

REFUSAL_RESERVE_BYTES = 100_000
ENTRY_BYTES = 700
ASSIGNMENT_BYTES = 160
ENCODED_BYTES_PER_BYTE = 4 / 3


@dataclasses.dataclass(slots=True)
class LedgerReadOperation:
    """Pending read of a bucket's ledger."""

    partition: str
    epoch: int


@dataclasses.dataclass(slots=True)
class LedgerWriteOperation:
    """Pending write of a bucket's ledger.

    Attributes:
        bucket: Name of the bucket.
        epoch: Epoch of the writing owner.
        write_id: Id of the write.
        accepted: Ids of work whose acceptance the write records.
        settled: Ids of work whose outcome the write records.
        unsent: Tasks to send once the write has succeeded.
        untaken: Updates to confirm once the write has succeeded.
        reading_back: Whether the answer was lost and the key is being read to
            find out whether the write took effect.
    """

    bucket: str
    epoch: int
    write_id: str
    accepted: list[str]
    settled: list[str]
    unsent: list[tuple[str, int]]
    untaken: list[tuple[str, messages.UpdateTaken]]
    reading_back: bool = False


def work_size_bytes(work: works.Work) -> int:
    """Estimates the size of new work in the store, in bytes."""
    body = int(len(work.body) * ENCODED_BYTES_PER_BYTE)
    return ENTRY_BYTES + body + ASSIGNMENT_BYTES * work.count


def entry_size_bytes(entry: documents.Entry) -> int:
    """Estimates the size of an entry in the store, in bytes."""
    ran = [item.ran for item in entry.assignments]
    answer_bytes = sum(
        len(outcome.answer)
        for outcome in (*ran, entry.outcome)
        if outcome is not None
    )
    return work_size_bytes(entry.work) + int(
        answer_bytes * ENCODED_BYTES_PER_BYTE
    )


def add_entry(bucket: state.Bucket, entry: documents.Entry) -> None:
    """Adds an entry; it is accepted once the ledger has been written."""
    bucket.ledger.entries[entry.work.work_id] = entry
    bucket.size_bytes += entry_size_bytes(entry)
    bucket.accepted.append(entry.work.work_id)
    bucket.dirty = True


def acquire(st: state.State, name: str, epoch: int, out: list) -> None:
    """Starts to own a bucket under an epoch and reads its ledger."""
    bucket = st.buckets.get(name)
    if bucket is not None:
        bucket.epoch = epoch
        bucket.releasing = False
        return
    st.buckets[name] = state.Bucket(name, epoch)
    _read_ledger(st, name, epoch, out)


def _read_ledger(st: state.State, name: str, epoch: int, out: list) -> None:
    number = st.next_number()
    st.operations[number] = LedgerReadOperation(name, epoch)
    out.append(effects.StoreRead(number, documents.LEDGERS + name))


@dispatch.handles_store_answer(LedgerReadOperation)
def _on_ledger_read(
    st: state.State,
    operation: LedgerReadOperation,
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
    bucket.size_bytes = sum(entry_size_bytes(entry) for entry in entries)
    for entry in bucket.ledger.entries.values():
        _restore_work(st, bucket, entry, out)
    services.sync_services(st, out)


def _restore_work(
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
            archives.queue_account(st, bucket, work)
        dispatching.set_timer(st, outcomes.retained_until(st, entry), work, -1)
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


def unload(st: state.State, name: str, out: list) -> None:
    """Removes a bucket from memory; its next owner reads the ledger."""
    del st.buckets[name]
    work_ids = [key for key, work in st.works.items() if work.home == name]
    for work_id in work_ids:
        del st.works[work_id]


def _is_write_urgent(st: state.State, bucket: state.Bucket) -> bool:
    """Returns whether a start, a caller or the next owner needs the write.

    Other changes are batched into a later write. Until then the owner of the
    shard keeps the outcome of the task and would resend it to a new home.
    """
    if bucket.accepted or bucket.unsent or bucket.releasing:
        return True
    settled = (st.works.get(work_id) for work_id in bucket.settled)
    return any(
        work is not None and not outcomes.is_reportable(work)
        for work in settled
    )


def flush(st: state.State, bucket: state.Bucket, out: list) -> None:
    """Writes a changed ledger when due, unless a write is in progress."""
    if not bucket.dirty or bucket.writing:
        return
    delay_s = 0.0 if _is_write_urgent(st, bucket) else st.tuning.outcome_flush_s
    if st.now < bucket.flush_at + delay_s:
        return
    bucket.dirty = False
    bucket.writing = True
    bucket.flush_at = st.now + st.tuning.flush_s
    number = st.next_number()
    write_id = f"{st.name}/{bucket.epoch}/{number}"
    bucket.write_id = write_id
    bucket.ledger.writer = st.name
    bucket.ledger.write_id = write_id
    st.operations[number] = LedgerWriteOperation(
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


@dispatch.handles_store_answer(LedgerWriteOperation)
def _on_ledger_written(
    st: state.State,
    operation: LedgerWriteOperation,
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
        is_own_write = (
            event.value is not None
            and event.value.write_id == operation.write_id
        )
        if not is_own_write and event.revision == bucket.revision:
            _retry_write(st, bucket, operation, out)
            return
        event.result = "ok" if is_own_write else "conflict"
    if event.result == "conflict":
        _reload(st, bucket, out)
        return
    bucket.writing = False
    bucket.revision = event.revision
    _on_recorded(st, bucket, operation, out)
    flush(st, bucket, out)


def _retry_write(
    st: state.State,
    bucket: state.Bucket,
    operation: LedgerWriteOperation,
    out: list,
) -> None:
    bucket.writing = False
    bucket.dirty = True
    bucket.accepted = operation.accepted + bucket.accepted
    bucket.settled = operation.settled + bucket.settled
    bucket.unsent = operation.unsent + bucket.unsent
    bucket.pending_acks = operation.untaken + bucket.pending_acks
    flush(st, bucket, out)


def _reload(st: state.State, bucket: state.Bucket, out: list) -> None:
    """Reloads a ledger after another daemon has written it."""
    name, epoch = bucket.name, bucket.epoch
    state.log_decision(
        st,
        out,
        account.Rule.OWNERSHIP,
        f"The ledger of {name} was written by another daemon; reloading it.",
        epoch=epoch,
    )
    unload(st, name, out)
    st.buckets[name] = state.Bucket(name, epoch)
    _read_ledger(st, name, epoch, out)


def _on_recorded(
    st: state.State,
    bucket: state.Bucket,
    operation: LedgerWriteOperation,
    out: list,
) -> None:
    for sender, confirmation in operation.untaken:
        out.append(effects.SendPeer(sender, confirmation))
    for work_id in operation.accepted:
        work = st.works.get(work_id)
        if work is not None:
            work.recorded = True
            if work.entry.outcome is None:
                _notify_accepted(st, bucket, work, out)
    for work_id in operation.settled:
        work = st.works.get(work_id)
        if work is not None:
            work.outcome_recorded = True
            outcomes.notify_origins(work, out)
            archives.queue_account(st, bucket, work)
    for work_id, index in operation.unsent:
        work = st.works.get(work_id)
        if work is not None and index in work.unsettled:
            dispatching.send_recorded(st, work, index, out)


def _notify_accepted(
    st: state.State, bucket: state.Bucket, work: state.HomeWork, out: list
) -> None:
    spec = work.entry.work
    work_id = spec.work_id
    origins = f", through {', '.join(sorted(work.origins))}" * bool(
        work.origins
    )
    state.log_decision(
        st,
        out,
        account.Rule.RECORDED,
        f"Recorded in {bucket.name}: {spec.kind} work of {spec.count} tasks"
        f" for team {spec.team}{origins}.",
        work_id,
        code=codes.Code.ACCEPTED,
    )
    for origin in sorted(work.origins):
        out.append(effects.SendPeer(origin, messages.WorkAccepted(work_id)))
