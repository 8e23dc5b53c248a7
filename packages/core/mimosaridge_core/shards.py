"""The owner of a shard: places tasks on the shard's workers and follows them.

A worker refuses starts that carry an older epoch or claim than its latest, so
what a claim reports is all that runs or ever will run of earlier starts.
"""

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import fairness
from mimosaridge_core import hashing
from mimosaridge_core import messages
from mimosaridge_core import queueing
from mimosaridge_core import resources
from mimosaridge_core import state
from mimosaridge_core import summaries
from mimosaridge_core import works

PREFIX = "shard-"


def shard_of(host: events.Host, shards_per_zone: int) -> str:
    """Returns the shard of a worker."""
    position = hashing.number_of(host.worker_id) % shards_per_zone
    return f"{PREFIX}{host.zone}-{position}"


def acquire(st: state.State, name: str, epoch: int, out: list) -> None:
    """Takes a shard under an epoch and claims its workers."""
    shard = st.shards.get(name)
    if shard is None:
        zone = name.removeprefix(PREFIX).rpartition("-")[0]
        shard = state.Shard(name, zone, epoch)
        st.shards[name] = shard
    shard.epoch = epoch
    shard.releasing = False
    for worker in shard.workers.values():
        worker.heard = False
        _reindex(shard, worker)
        _claim_worker(st, shard, worker, out)
    sync_workers(st, shard, out)


def sync_workers(st: state.State, shard: state.Shard, out: list) -> None:
    """Brings the shard's workers in line with the host list."""
    for host in st.hosts.values():
        if shard_of(host, st.config.shards_per_zone) != shard.name:
            continue
        worker = shard.workers.get(host.worker_id)
        if worker is None:
            worker = state.Worker(host, host.capacity)
            shard.workers[host.worker_id] = worker
            _claim_worker(st, shard, worker, out)
        worker.host = host
        worker.leaving = worker.leaving or host.leaving
        _reindex(shard, worker)


def _claim_worker(
    st: state.State, shard: state.Shard, worker: state.Worker, out: list
) -> None:
    worker.lease_ends = _lease_end(st, st.now)
    out.append(
        effects.ClaimWorker(
            worker.host.worker_id,
            worker.host.url,
            shard.epoch,
            st.tuning.worker_lease_s,
        )
    )


def _lease_end(st: state.State, renewed_at: float) -> float:
    numbers = st.tuning
    return renewed_at + numbers.worker_lease_s + numbers.lease_margin_s


def drop(st: state.State, name: str, out: list) -> None:
    """Forgets a shard; its next owner learns from the workers."""
    shard = st.shards.pop(name)
    for worker_id in shard.workers:
        out.append(effects.DropWorker(worker_id))


def _reindex(shard: state.Shard, worker: state.Worker) -> None:
    host = worker.host
    if summaries.takes_work(worker):
        shard.index.put(host.endpoint, host.worker_id, worker.free)
    else:
        shard.index.drop(host.endpoint, host.worker_id)


def _find_worker(
    st: state.State, worker_id: str, epoch: int
) -> tuple[state.Shard, state.Worker] | None:
    host = st.hosts.get(worker_id)
    if host is None:
        return None
    shard = st.shards.get(shard_of(host, st.config.shards_per_zone))
    if shard is None or shard.epoch != epoch:
        return None
    worker = shard.workers.get(worker_id)
    return (shard, worker) if worker else None


def take_room(
    shard: state.Shard, worker: state.Worker, placed: state.Placed
) -> None:
    """Counts a task against its worker and its team."""
    task = placed.task
    key = (task.task_id, task.attempt)
    worker.placed[key] = placed
    worker.free = worker.free - task.needs
    shard.places[key] = worker.host.worker_id
    used = shard.team_use.get(task.team, resources.ZERO)
    shard.team_use[task.team] = used + task.needs
    _reindex(shard, worker)


def give_room(
    shard: state.Shard, worker: state.Worker, key: state.TaskKey
) -> state.Placed | None:
    """Returns a task's room; does nothing if it takes none."""
    placed = worker.placed.pop(key, None)
    if placed is None:
        return None
    task = placed.task
    worker.free = worker.free + task.needs
    shard.places.pop(key, None)
    shard.team_use[task.team] = shard.team_use[task.team] - task.needs
    _reindex(shard, worker)
    return placed


# What workers report.


@dispatch.handles(events.WorkerClaimed)
def _claimed(st: state.State, event: events.WorkerClaimed, out: list) -> None:
    found = _find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    worker.claim = event.claim
    worker.heard = True
    worker.reachable = True
    worker.leaving = event.leaving or worker.host.leaving
    held = {
        (item.task.task_id, item.task.attempt): item for item in event.tasks
    }
    for key in list(worker.placed):
        if key not in held and worker.placed[key].phase != works.Phase.HELD:
            _vanished(st, shard, worker, key, out)
    for key, item in held.items():
        _take_report(st, shard, worker, key, item, out)
    _reindex(shard, worker)
    schedule(st, shard, out)


def _vanished(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    key: state.TaskKey,
    out: list,
) -> None:
    placed = give_room(shard, worker, key)
    never_started = placed.phase == works.Phase.PLACING
    if never_started:
        outcome = works.Outcome(
            codes.Code.NOT_RUN, "The worker never started it."
        )
        phase = works.Phase.NOT_RUN
    else:
        outcome = works.Outcome(
            codes.Code.UNKNOWN, "The worker no longer knows it."
        )
        phase = works.Phase.UNKNOWN
    _settle(st, shard, placed.task, phase, outcome, "", out)


def _take_report(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    key: state.TaskKey,
    item: events.HeldTask,
    out: list,
) -> None:
    if not item.ended:
        if key not in worker.placed:
            placed = state.Placed(item.task, works.Phase.RUNNING)
            take_room(shard, worker, placed)
        worker.placed[key].phase = works.Phase.RUNNING
        _tell(st, shard, item.task, works.Phase.RUNNING, worker, out)
        return
    give_room(shard, worker, key)
    if key not in shard.ended:
        _ended(st, shard, worker, item.task, item, out)


@dispatch.handles(events.WorkerRenewed)
def _renewed(st: state.State, event: events.WorkerRenewed, out: list) -> None:
    found = _find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    worker.lease_ends = _lease_end(st, event.asked_at)
    if event.leaving and not worker.leaving:
        worker.leaving = True
        _reindex(shard, worker)


@dispatch.handles(events.WorkerLost)
def _lost(st: state.State, event: events.WorkerLost, out: list) -> None:
    found = _find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    worker.reachable = False
    _reindex(shard, worker)
    state.note(
        st,
        out,
        account.Rule.MEMBERSHIP,
        f"Worker {event.worker_id} is lost: {codes.MEANINGS[event.code]}",
        code=event.code,
        epoch=event.epoch,
    )


@dispatch.handles(events.StartAnswered)
def _start_answered(
    st: state.State, event: events.StartAnswered, out: list
) -> None:
    found = _find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    key = (event.task_id, event.attempt)
    placed = worker.placed.get(key)
    if placed is None or placed.phase != works.Phase.PLACING:
        return
    if event.code == codes.Code.OK:
        placed.phase = works.Phase.RUNNING
        _note_task(
            st,
            shard,
            placed.task,
            account.Rule.STARTED,
            f"Worker {event.worker_id} started it.",
            out,
        )
        _tell(st, shard, placed.task, works.Phase.RUNNING, worker, out)
    elif event.code != codes.Code.UNKNOWN:
        give_room(shard, worker, key)
        outcome = works.Outcome(
            codes.Code.NOT_RUN,
            f"Worker {event.worker_id} refused the start:"
            f" {codes.MEANINGS[event.code]}",
        )
        _settle(st, shard, placed.task, works.Phase.NOT_RUN, outcome, "", out)
        schedule(st, shard, out)


@dispatch.handles(events.TaskEnded)
def _task_ended(st: state.State, event: events.TaskEnded, out: list) -> None:
    found = _find_worker(st, event.worker_id, event.epoch)
    if found is None:
        return
    shard, worker = found
    placed = give_room(shard, worker, (event.task_id, event.attempt))
    if placed is not None:
        _ended(st, shard, worker, placed.task, event, out)
        schedule(st, shard, out)


def _ended(
    st: state.State,
    shard: state.Shard,
    worker: state.Worker,
    task: works.Task,
    report: events.HeldTask | events.TaskEnded,
    out: list,
) -> None:
    if report.ok:
        phase = works.Phase.DONE
        outcome = works.Outcome(codes.Code.OK, "", report.answer)
    else:
        phase = works.Phase.FAILED
        outcome = works.Outcome(
            codes.Code.TASK_FAILED, report.detail, report.answer
        )
    _settle(st, shard, task, phase, outcome, worker.host.worker_id, out)


# What homes ask.


@dispatch.receives(messages.PlaceTask)
def _place(
    st: state.State, sender: str, message: messages.PlaceTask, out: list
) -> None:
    shard = st.shards.get(message.shard)
    if shard is None or shard.releasing:
        return
    task = message.task
    key = (task.task_id, task.attempt)
    if _repeat(st, shard, key, out):
        return
    unknown = [
        worker
        for worker in shard.workers.values()
        if not summaries.is_known(st, worker)
    ]
    if message.resent and unknown:
        return
    if message.resent and not task.idempotent and _has_unheard(shard):
        outcome = works.Outcome(
            codes.Code.UNKNOWN, "A worker that may have run it is gone."
        )
        _settle(st, shard, task, works.Phase.UNKNOWN, outcome, "", out)
        return
    _enqueue(st, shard, sender, message, out)


def _has_unheard(shard: state.Shard) -> bool:
    return any(not worker.heard for worker in shard.workers.values())


def _repeat(
    st: state.State, shard: state.Shard, key: state.TaskKey, out: list
) -> bool:
    """Answers a message about a task that is known already."""
    if key in shard.ended:
        shard.ended[key].resend_at = st.now
        return True
    worker_id = shard.places.get(key)
    if worker_id is not None:
        worker = shard.workers[worker_id]
        placed = worker.placed[key]
        if placed.phase in (works.Phase.RUNNING, works.Phase.HELD):
            _tell(st, shard, placed.task, placed.phase, worker, out)
        return True
    return key in shard.queue.waiting


def _enqueue(
    st: state.State,
    shard: state.Shard,
    sender: str,
    message: messages.PlaceTask,
    out: list,
) -> None:
    task = message.task
    refusal = _refusal(st, shard, task)
    if refusal is not None:
        _settle(st, shard, task, works.Phase.NOT_RUN, refusal, "", out)
        return
    waiting = queueing.Waiting(task, message.hold, sender, st.now)
    shard.queue.add(waiting)
    schedule(st, shard, out)
    if message.hold and (task.task_id, task.attempt) in shard.queue.waiting:
        shard.queue.remove((task.task_id, task.attempt))
        outcome = works.Outcome(
            codes.Code.NO_ROOM, f"{shard.name} has no room to reserve now."
        )
        _settle(st, shard, task, works.Phase.NOT_RUN, outcome, "", out)


def _refusal(
    st: state.State, shard: state.Shard, task: works.Task
) -> works.Outcome | None:
    if task.start_before <= st.now:
        return works.Outcome(
            codes.Code.DEADLINE_PASSED, "Its deadline passed in transit."
        )
    if shard.zone in st.config.zones_out:
        return works.Outcome(
            codes.Code.NOT_RUN, f"Zone {shard.zone} was taken out."
        )
    if len(shard.queue) >= st.tuning.queue_limit:
        return works.Outcome(
            codes.Code.OVERLOADED, f"{shard.name} has a full queue."
        )
    return None


@dispatch.receives(messages.StartHeld)
def _start_held(
    st: state.State, sender: str, message: messages.StartHeld, out: list
) -> None:
    shard = st.shards.get(message.shard)
    key = (message.task_id, message.attempt)
    if shard is None or key not in shard.places:
        return
    worker = shard.workers[shard.places[key]]
    if worker.placed[key].phase == works.Phase.HELD:
        _send_start(shard, worker, worker.placed[key], out)


@dispatch.receives(messages.CancelTask)
def _cancel(
    st: state.State, sender: str, message: messages.CancelTask, out: list
) -> None:
    shard = st.shards.get(message.shard)
    if shard is None:
        return
    key = (message.task_id, message.attempt)
    waiting = shard.queue.remove(key)
    if waiting is not None:
        _settle_cancelled(st, shard, waiting.task, out)
        return
    if key not in shard.places:
        return
    worker = shard.workers[shard.places[key]]
    placed = worker.placed[key]
    if placed.phase == works.Phase.HELD:
        give_room(shard, worker, key)
        _settle_cancelled(st, shard, placed.task, out)
        schedule(st, shard, out)
        return
    placed.stopping = True
    stop = effects.StopTask(
        worker.host.worker_id, worker.host.url, shard.epoch, *key
    )
    out.append(stop)


def _settle_cancelled(
    st: state.State, shard: state.Shard, task: works.Task, out: list
) -> None:
    outcome = works.Outcome(
        codes.Code.CANCELLED, "It was cancelled before it started."
    )
    _settle(st, shard, task, works.Phase.NOT_RUN, outcome, "", out)


@dispatch.receives(messages.UpdateTaken)
def _taken(
    st: state.State, sender: str, message: messages.UpdateTaken, out: list
) -> None:
    shard = st.shards.get(message.shard)
    if shard is None:
        return
    ended = shard.ended.pop((message.task_id, message.attempt), None)
    if ended is not None:
        _forget(shard, ended, out)


def _forget(shard: state.Shard, ended: state.Ended, out: list) -> None:
    worker = shard.workers.get(ended.worker_id)
    if worker is not None:
        update = ended.update
        out.append(
            effects.ForgetTask(
                worker.host.worker_id,
                worker.host.url,
                shard.epoch,
                update.task_id,
                update.attempt,
            )
        )


# Decisions.


def schedule(st: state.State, shard: state.Shard, out: list) -> None:
    """Places waiting tasks: by urgency, then the team furthest below share."""
    if shard.releasing or shard.zone in st.config.zones_out:
        return
    for urgency in works.Urgency:
        lanes = shard.queue.open_lanes(urgency)
        while lanes:
            lane = fairness.next_lane(st, shard, lanes)
            waiting = shard.queue.head(urgency, lane)
            if waiting is None or not _try_place(st, shard, waiting, out):
                lanes.remove(lane)


def _try_place(
    st: state.State,
    shard: state.Shard,
    waiting: queueing.Waiting,
    out: list,
) -> bool:
    task = waiting.task
    if not fairness.within_limit(st, shard, task):
        return False
    worker_id = shard.index.find(st.config.policy, task.endpoint, task.needs)
    if worker_id is None:
        return False
    shard.queue.remove((task.task_id, task.attempt))
    worker = shard.workers[worker_id]
    placed = state.Placed(task, works.Phase.HELD)
    take_room(shard, worker, placed)
    waited_ms = (st.now - waiting.since) * 1000
    if waiting.hold:
        placed.hold_until = st.now + st.tuning.hold_s
        text = f"Room on worker {worker_id} is held for it."
        _note_task(st, shard, task, account.Rule.RESERVATION, text, out)
        _tell(st, shard, task, works.Phase.HELD, worker, out)
        return True
    text = (
        f"Placed on worker {worker_id} by {st.config.policy}"
        f" after {waited_ms:.0f} ms in {shard.name}."
    )
    _note_task(st, shard, task, account.Rule.PLACEMENT, text, out)
    _send_start(shard, worker, placed, out)
    return True


def _send_start(
    shard: state.Shard,
    worker: state.Worker,
    placed: state.Placed,
    out: list,
) -> None:
    placed.phase = works.Phase.PLACING
    out.append(
        effects.StartTask(
            worker.host.worker_id,
            worker.host.url,
            shard.epoch,
            worker.claim,
            placed.task,
        )
    )


def _note_task(
    st: state.State,
    shard: state.Shard,
    task: works.Task,
    rule: account.Rule,
    text: str,
    out: list,
    code: codes.Code = codes.Code.OK,
) -> None:
    state.note(
        st, out, rule, text, task.work_id, task.task_id, code, shard.epoch
    )


def home_daemon(st: state.State, home: str) -> str:
    """Returns the daemon that answers for a home; empty if unknown."""
    view = st.views.get(home)
    if view is not None:
        return view.owner
    return home if home == st.name or home in st.members else ""


def _tell(
    st: state.State,
    shard: state.Shard,
    task: works.Task,
    phase: works.Phase,
    worker: state.Worker,
    out: list,
) -> None:
    update = messages.TaskUpdate(
        task.task_id,
        task.attempt,
        task.work_id,
        shard.name,
        phase,
        worker.host.worker_id,
    )
    daemon = home_daemon(st, task.home)
    if daemon:
        out.append(effects.SendPeer(daemon, update))


def _settle(
    st: state.State,
    shard: state.Shard,
    task: works.Task,
    phase: works.Phase,
    outcome: works.Outcome,
    worker_id: str,
    out: list,
) -> None:
    text = f"Ended as {phase}: {outcome.detail or 'all went well.'}"
    _note_task(st, shard, task, account.Rule.ENDED, text, out, outcome.code)
    update = messages.TaskUpdate(
        task.task_id,
        task.attempt,
        task.work_id,
        shard.name,
        phase,
        worker_id,
        outcome,
    )
    ended = state.Ended(
        update,
        task.home,
        worker_id,
        st.now,
        st.now + st.tuning.retention_s,
    )
    shard.ended[(task.task_id, task.attempt)] = ended
    _send_ended(st, ended, out)


def _send_ended(st: state.State, ended: state.Ended, out: list) -> None:
    ended.resend_at = st.now + st.tuning.resend_s
    daemon = home_daemon(st, ended.home)
    if daemon:
        out.append(effects.SendPeer(daemon, ended.update))


@dispatch.every_tick
def _look_after(st: state.State, out: list) -> None:
    for shard in st.shards.values():
        _resend_ended(st, shard, out)
        _expire_waiting(st, shard, out)
        _expire_held(st, shard, out)
        _expire_leases(st, shard, out)


def _resend_ended(st: state.State, shard: state.Shard, out: list) -> None:
    for key, ended in list(shard.ended.items()):
        if ended.until <= st.now:
            del shard.ended[key]
            _forget(shard, ended, out)
        elif ended.resend_at <= st.now:
            _send_ended(st, ended, out)


def _expire_waiting(st: state.State, shard: state.Shard, out: list) -> None:
    for waiting in shard.queue.overdue(st.now):
        outcome = works.Outcome(
            codes.Code.DEADLINE_PASSED,
            f"It waited in {shard.name} until its deadline.",
        )
        _settle(st, shard, waiting.task, works.Phase.NOT_RUN, outcome, "", out)


def _expire_held(st: state.State, shard: state.Shard, out: list) -> None:
    freed = False
    for worker in shard.workers.values():
        for key, placed in list(worker.placed.items()):
            if placed.phase != works.Phase.HELD:
                continue
            if placed.hold_until <= st.now:
                give_room(shard, worker, key)
                _settle_cancelled(st, shard, placed.task, out)
                freed = True
    if freed:
        schedule(st, shard, out)


def _expire_leases(st: state.State, shard: state.Shard, out: list) -> None:
    for worker in shard.workers.values():
        if worker.reachable or worker.lease_ends >= st.now:
            continue
        for key, placed in list(worker.placed.items()):
            give_room(shard, worker, key)
            outcome = works.Outcome(
                codes.Code.UNKNOWN,
                f"Worker {worker.host.worker_id} is gone and its lease ended.",
            )
            _settle(
                st,
                shard,
                placed.task,
                works.Phase.UNKNOWN,
                outcome,
                "",
                out,
            )
