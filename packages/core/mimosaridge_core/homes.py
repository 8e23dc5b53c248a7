"""The home of work: records it, sends its tasks to shards, settles it.

Work that must not be lost or doubled lives in a bucket, whose ledger is in the
store: an assignment is written before its task is first sent. An idempotent
request lives at the daemon that its caller spoke to.
"""

import dataclasses
import heapq

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import hashing
from mimosaridge_core import membership
from mimosaridge_core import messages
from mimosaridge_core import routing
from mimosaridge_core import shards
from mimosaridge_core import state
from mimosaridge_core import works

PREFIX = "bucket-"
SERVICE_PREFIX = "service-"
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 5.0
KEPT_ANSWER_BYTES = 4096
FOREVER = 1e12


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
        unsent: Tasks to be sent once it is written.
        untaken: Updates to be confirmed once it is written.
        reading_back: Whether the answer was lost and the key is being read.
    """

    bucket: str
    epoch: int
    write_id: str
    unsent: list[tuple[str, int]]
    untaken: list[tuple[str, messages.UpdateTaken]]
    reading_back: bool = False


def bucket_name(position: int) -> str:
    """Returns the name of a bucket."""
    return f"{PREFIX}{position:02d}"


def bucket_of(st: state.State, work_id: str) -> str:
    """Returns the bucket that answers for some work."""
    return bucket_name(hashing.number_of(work_id) % st.tuning.buckets)


def home_of(st: state.State, work: works.Work) -> str:
    """Returns the home of work that is submitted here."""
    if work.kind == works.Kind.REQUEST and work.idempotent:
        return st.name
    return bucket_of(st, work.work_id)


# Taking and giving up a bucket.


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


@dispatch.answers(LedgerRead)
def _ledger_read(
    st: state.State,
    operation: LedgerRead,
    event: events.StoreAnswered,
    out: list,
) -> None:
    bucket = st.buckets.get(operation.partition)
    if bucket is None or bucket.loaded:
        return
    if event.result == "unknown":
        _read_ledger(st, bucket.name, bucket.epoch, out)
        return
    bucket.ledger = event.value or documents.Ledger()
    bucket.revision = event.revision
    bucket.loaded = True
    for entry in bucket.ledger.entries.values():
        _resume(st, bucket, entry, out)
    sync_services(st, out)


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
        _set_timer(st, entry.settled_at + st.tuning.retention_s, work, -1)
        return
    for index, assignment in enumerate(entry.assignments):
        task = tasks[index]
        if assignment.outcome is not None:
            task.phase = _final_phase(assignment.outcome.code)
        elif assignment.shard:
            task.phase = works.Phase.PLACING
            task.sent = True
            _set_timer(st, st.now, work, index)
        else:
            _set_timer(st, st.now, work, index)
    if entry.cancelled:
        cancel(st, work, out)


def _final_phase(code: codes.Code) -> works.Phase:
    if code == codes.Code.OK:
        return works.Phase.DONE
    if code == codes.Code.UNKNOWN:
        return works.Phase.UNKNOWN
    if codes.is_not_run(code):
        return works.Phase.NOT_RUN
    return works.Phase.FAILED


def drop(st: state.State, name: str, out: list) -> None:
    """Forgets a bucket; its next owner reads the ledger."""
    del st.buckets[name]
    gone = [key for key, work in st.works.items() if work.home == name]
    for work_id in gone:
        del st.works[work_id]


# Accepting work.


def accept(st: state.State, work: works.Work, origin: str, out: list) -> None:
    """Takes work, or tells the origin how work of this id stands."""
    known = st.works.get(work.work_id)
    if known is not None:
        _join(st, known, origin, out)
        return
    home = home_of(st, work)
    bucket = st.buckets.get(home)
    if (
        bucket is not None
        and not bucket.loaded
        or home.startswith(PREFIX)
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
    _dispatch(st, home_work, out)
    _set_timer(st, work.start_before, home_work, -1)
    if bucket is not None:
        _flush(st, bucket, out)


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


# Sending tasks.


def _dispatch(st: state.State, work: state.HomeWork, out: list) -> None:
    for index, task in enumerate(work.tasks):
        if task.phase == works.Phase.PENDING:
            assign(st, work, index, out)


def assign(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Chooses a shard for a task and sends it, once that is recorded."""
    spec = work.entry.work
    assignment = work.entry.assignments[index]
    shard = routing.choose(
        st, spec.endpoint, spec.needs, frozenset((assignment.shard,))
    )
    if not shard:
        _set_timer(st, st.now + FIRST_RETRY_S, work, index)
        return
    assignment.shard = shard
    assignment.attempt += 1
    task = work.tasks[index]
    task.phase = works.Phase.PLACING
    task.sent = False
    bucket = st.buckets.get(work.home)
    if bucket is None:
        _send_task(st, work, index, out)
        return
    bucket.dirty = True
    bucket.unsent.append((spec.work_id, index))


def _send_task(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    spec = work.entry.work
    assignment = work.entry.assignments[index]
    task = work.tasks[index]
    view = st.views.get(assignment.shard)
    _set_timer(st, st.now + st.tuning.resend_s, work, index)
    if view is None:
        return
    text = f"Sent to {view.owner}, owner of {assignment.shard}."
    task_id = f"{spec.work_id}/{index}"
    if not task.sent or task.epoch != view.epoch:
        state.note(st, out, account.Rule.ROUTING, text, spec.work_id, task_id)
    message = messages.PlaceTask(
        assignment.shard,
        routing.task_of(spec, index, assignment.attempt, work.home),
        hold=spec.kind == works.Kind.GANG,
        resent=task.sent,
    )
    task.sent = True
    task.epoch = view.epoch
    out.append(effects.SendPeer(view.owner, message))


def _set_timer(
    st: state.State, at: float, work: state.HomeWork, index: int
) -> None:
    work_id = work.entry.work.work_id
    heapq.heappush(st.timers, (at, st.next_number(), work_id, index))


@dispatch.every_tick
def _timers(st: state.State, out: list) -> None:
    while st.timers and st.timers[0][0] <= st.now:
        _, _, work_id, index = heapq.heappop(st.timers)
        work = st.works.get(work_id)
        if work is None:
            continue
        if index < 0:
            _work_timer(st, work, out)
        elif work.entry.outcome is None:
            _task_timer(st, work, index, out)
    for bucket in list(st.buckets.values()):
        _flush(st, bucket, out)


def _work_timer(st: state.State, work: state.HomeWork, out: list) -> None:
    entry = work.entry
    if entry.outcome is None:
        if all(task.phase == works.Phase.PENDING for task in work.tasks):
            outcome = works.Outcome(
                codes.Code.DEADLINE_PASSED,
                "No shard took it before its deadline.",
            )
            _settle(st, work, outcome, out)
        return
    if entry.settled_at + st.tuning.retention_s > st.now:
        return
    del st.works[entry.work.work_id]
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        bucket.ledger.entries.pop(entry.work.work_id, None)
        bucket.dirty = True


def _task_timer(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    task = work.tasks[index]
    if task.phase == works.Phase.PENDING:
        if work.entry.cancelled:
            cancel(st, work, out)
        elif work.entry.work.start_before <= st.now:
            _give_up(st, work, index, out)
        else:
            assign(st, work, index, out)
    elif task.phase in (works.Phase.PLACING, works.Phase.HELD):
        if task.sent:
            _send_task(st, work, index, out)
    elif task.phase == works.Phase.RUNNING:
        _follow_owner(st, work, index, out)


def _follow_owner(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    """Asks a shard's new owner for a task that runs."""
    view = st.views.get(work.entry.assignments[index].shard)
    if view is not None and view.epoch != work.tasks[index].epoch:
        _send_task(st, work, index, out)
    else:
        _set_timer(st, st.now + st.tuning.resend_s, work, index)


# What owners report.


@dispatch.receives(messages.TaskUpdate)
def _update(
    st: state.State, sender: str, message: messages.TaskUpdate, out: list
) -> None:
    taken = messages.UpdateTaken(
        message.shard, message.task_id, message.attempt
    )
    work = st.works.get(message.work_id)
    if work is None:
        _update_for_nobody(st, sender, message, taken, out)
        return
    index = int(message.task_id.rpartition("/")[2])
    current = (
        index < len(work.tasks)
        and work.entry.assignments[index].attempt == message.attempt
        and work.tasks[index].phase not in works.FINAL_PHASES
        and work.entry.outcome is None
    )
    if message.outcome is not None:
        _confirm(st, work, sender, taken, out)
    if current:
        _apply(st, work, index, message, out)
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        _flush(st, bucket, out)


def _update_for_nobody(
    st: state.State,
    sender: str,
    message: messages.TaskUpdate,
    taken: messages.UpdateTaken,
    out: list,
) -> None:
    """Answers for work that is settled and forgotten, or not yet read."""
    bucket = st.buckets.get(bucket_of(st, message.work_id))
    if bucket is None or not bucket.loaded:
        return
    if message.outcome is not None:
        out.append(effects.SendPeer(sender, taken))
    elif message.phase == works.Phase.RUNNING:
        stop = messages.CancelTask(
            message.shard, message.task_id, message.attempt
        )
        out.append(effects.SendPeer(sender, stop))


def _confirm(
    st: state.State,
    work: state.HomeWork,
    sender: str,
    taken: messages.UpdateTaken,
    out: list,
) -> None:
    bucket = st.buckets.get(work.home)
    if bucket is None:
        out.append(effects.SendPeer(sender, taken))
        return
    bucket.dirty = True
    bucket.untaken.append((sender, taken))


def _apply(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
    out: list,
) -> None:
    task = work.tasks[index]
    if message.outcome is not None:
        _apply_end(st, work, index, message, out)
        return
    if task.phase == works.Phase.RUNNING:
        return
    task.phase = message.phase
    task.worker = message.worker
    if message.phase == works.Phase.HELD:
        _start_gang(st, work, out)


def _start_gang(st: state.State, work: state.HomeWork, out: list) -> None:
    if any(task.phase != works.Phase.HELD for task in work.tasks):
        return
    spec = work.entry.work
    state.note(
        st,
        out,
        account.Rule.RESERVATION,
        f"Room for all {spec.count} tasks is held; they start together.",
        spec.work_id,
    )
    for index, assignment in enumerate(work.entry.assignments):
        view = st.views.get(assignment.shard)
        if view is not None:
            start = messages.StartHeld(
                assignment.shard,
                f"{spec.work_id}/{index}",
                assignment.attempt,
            )
            out.append(effects.SendPeer(view.owner, start))


def _apply_end(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
    out: list,
) -> None:
    task = work.tasks[index]
    task.worker = message.worker
    if _tries_again(st, work, index, message):
        _retry(st, work, index, message, out)
        return
    task.phase = message.phase
    outcome = message.outcome
    kept = outcome
    if len(outcome.answer) > KEPT_ANSWER_BYTES and work.entry.work.count > 1:
        kept = works.Outcome(outcome.code, outcome.detail)
    work.entry.assignments[index].outcome = kept
    if all(other.phase in works.FINAL_PHASES for other in work.tasks):
        _settle(st, work, _whole_outcome(work, outcome), out)


def _tries_again(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
) -> bool:
    if work.entry.cancelled:
        return False
    spec = work.entry.work
    if spec.kind == works.Kind.SERVICE:
        return True
    if message.phase == works.Phase.NOT_RUN:
        return spec.start_before > st.now
    if not spec.idempotent or message.phase == works.Phase.DONE:
        return False
    if spec.kind == works.Kind.REQUEST and message.phase == works.Phase.FAILED:
        return False
    return work.tasks[index].failures + 1 < st.tuning.attempts


def _retry(
    st: state.State,
    work: state.HomeWork,
    index: int,
    message: messages.TaskUpdate,
    out: list,
) -> None:
    task = work.tasks[index]
    task.phase = works.Phase.PENDING
    task.failures += 1
    ceiling = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(task.failures, 8))
    delay_s = st.rng.uniform(FIRST_RETRY_S, ceiling)
    text = (
        f"Tried again in {delay_s * 1000:.0f} ms:"
        f" {message.outcome.detail or message.phase}"
    )
    state.note(
        st,
        out,
        account.Rule.RETRY,
        text,
        message.work_id,
        message.task_id,
        message.outcome.code,
    )
    _set_timer(st, st.now + delay_s, work, index)
    if work.entry.work.kind == works.Kind.GANG:
        _break_gang(st, work, index, out)


def _break_gang(
    st: state.State, work: state.HomeWork, failed: int, out: list
) -> None:
    """Gives back what the other tasks of a gang hold, or stops them."""
    for index, task in enumerate(work.tasks):
        waits = task.phase in (works.Phase.PENDING, *works.FINAL_PHASES)
        if index != failed and not waits:
            _send_cancel(st, work, index, out)


def _send_cancel(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    assignment = work.entry.assignments[index]
    view = st.views.get(assignment.shard)
    if view is not None:
        task_id = f"{work.entry.work.work_id}/{index}"
        message = messages.CancelTask(
            assignment.shard, task_id, assignment.attempt
        )
        out.append(effects.SendPeer(view.owner, message))


# Settling.


def _whole_outcome(work: state.HomeWork, last: works.Outcome) -> works.Outcome:
    if len(work.tasks) == 1:
        return last
    outcomes = [item.outcome for item in work.entry.assignments]
    bad = [item for item in outcomes if item.code != codes.Code.OK]
    if not bad:
        text = f"All {len(outcomes)} tasks ended well."
        return works.Outcome(codes.Code.OK, text)
    text = f"{len(bad)} of {len(outcomes)} tasks did not: {bad[0].detail}"
    return works.Outcome(bad[0].code, text)


def _give_up(
    st: state.State, work: state.HomeWork, index: int, out: list
) -> None:
    outcome = works.Outcome(
        codes.Code.DEADLINE_PASSED, "It could not start before its deadline."
    )
    work.tasks[index].phase = works.Phase.NOT_RUN
    work.entry.assignments[index].outcome = outcome
    if all(other.phase in works.FINAL_PHASES for other in work.tasks):
        _settle(st, work, _whole_outcome(work, outcome), out)


def _settle(
    st: state.State, work: state.HomeWork, outcome: works.Outcome, out: list
) -> None:
    entry = work.entry
    entry.outcome = outcome
    entry.settled_at = st.now
    work_id = entry.work.work_id
    text = codes.MEANINGS[outcome.code]
    state.note(st, out, account.Rule.SETTLED, text, work_id, code=outcome.code)
    for origin in sorted(work.origins):
        settled = messages.WorkSettled(work_id, outcome)
        out.append(effects.SendPeer(origin, settled))
    bucket = st.buckets.get(work.home)
    if bucket is None:
        del st.works[work_id]
        return
    bucket.dirty = True
    _set_timer(st, st.now + st.tuning.retention_s, work, -1)


def cancel(st: state.State, work: state.HomeWork, out: list) -> None:
    """Cancels what has not ended of some work."""
    work.entry.cancelled = True
    bucket = st.buckets.get(work.home)
    if bucket is not None:
        bucket.dirty = True
    outcome = works.Outcome(codes.Code.CANCELLED, "It was cancelled.")
    for index, task in enumerate(work.tasks):
        if task.phase == works.Phase.PENDING:
            task.phase = works.Phase.NOT_RUN
            work.entry.assignments[index].outcome = outcome
        elif task.phase not in works.FINAL_PHASES:
            _send_cancel(st, work, index, out)
    settled = all(task.phase in works.FINAL_PHASES for task in work.tasks)
    if settled and work.entry.outcome is None:
        _settle(st, work, _whole_outcome(work, outcome), out)


@dispatch.receives(messages.CancelWork)
def _cancel_work(
    st: state.State, sender: str, message: messages.CancelWork, out: list
) -> None:
    work = st.works.get(message.work_id)
    if work is not None and work.entry.outcome is None:
        cancel(st, work, out)


# The ledger.


def _flush(st: state.State, bucket: state.Bucket, out: list) -> None:
    if not bucket.dirty or bucket.writing or st.now < bucket.flush_at:
        return
    bucket.dirty = False
    bucket.writing = True
    bucket.flush_at = st.now + st.tuning.flush_s
    number = st.next_number()
    write_id = f"{st.name}/{bucket.epoch}/{number}"
    bucket.ledger.writer = st.name
    bucket.ledger.write_id = write_id
    st.operations[number] = LedgerWritten(
        bucket.name, bucket.epoch, write_id, bucket.unsent, bucket.untaken
    )
    bucket.unsent = []
    bucket.untaken = []
    key = documents.LEDGERS + bucket.name
    out.append(effects.StoreWrite(number, key, bucket.ledger, bucket.revision))


@dispatch.answers(LedgerWritten)
def _ledger_written(
    st: state.State,
    operation: LedgerWritten,
    event: events.StoreAnswered,
    out: list,
) -> None:
    bucket = st.buckets.get(operation.bucket)
    if bucket is None or not bucket.writing:
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
    _flush(st, bucket, out)


def _write_again(
    st: state.State,
    bucket: state.Bucket,
    operation: LedgerWritten,
    out: list,
) -> None:
    bucket.writing = False
    bucket.dirty = True
    bucket.unsent = operation.unsent + bucket.unsent
    bucket.untaken = operation.untaken + bucket.untaken
    _flush(st, bucket, out)


def _displaced(st: state.State, bucket: state.Bucket, out: list) -> None:
    """Another daemon wrote the ledger: what it says now is what counts."""
    name, epoch = bucket.name, bucket.epoch
    state.note(
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
    for work_id, index in operation.unsent:
        work = st.works.get(work_id)
        if work is None:
            continue
        if not work.recorded:
            work.recorded = True
            _announce(st, bucket, work, out)
        if work.tasks[index].phase == works.Phase.PLACING:
            _send_task(st, work, index, out)


def _announce(
    st: state.State, bucket: state.Bucket, work: state.HomeWork, out: list
) -> None:
    work_id = work.entry.work.work_id
    state.note(
        st,
        out,
        account.Rule.RECORDED,
        f"Recorded in {bucket.name}.",
        work_id,
        code=codes.Code.ACCEPTED,
    )
    for origin in sorted(work.origins):
        out.append(effects.SendPeer(origin, messages.WorkAccepted(work_id)))


# Standing services.


def sync_services(st: state.State, out: list) -> None:
    """Brings the services homed here in line with the configuration."""
    for service in st.config.services.values():
        work_id = SERVICE_PREFIX + service.name
        bucket = st.buckets.get(bucket_of(st, work_id))
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
            accept(st, spec, st.name, out)
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
        work.tasks.append(state.TaskState())
        work.entry.assignments.append(documents.Assignment())
        assign(st, work, len(work.tasks) - 1, out)
    while len(work.tasks) > spec.count:
        index = len(work.tasks) - 1
        _send_cancel(st, work, index, out)
        work.tasks.pop()
        work.entry.assignments.pop()


def _cancel_removed(st: state.State, out: list) -> None:
    for work_id, work in list(st.works.items()):
        name = work_id.removeprefix(SERVICE_PREFIX)
        if work.entry.work.kind != works.Kind.SERVICE:
            continue
        if name not in st.config.services and not work.entry.cancelled:
            cancel(st, work, out)


membership.CONFIG_LISTENERS.append(sync_services)


def owner_of(st: state.State, home: str) -> str:
    """Returns the daemon that answers for a home; empty if unknown."""
    return shards.home_daemon(st, home)
