"""Ingress: admits callers' work, forwards it to its home, relays answers."""

import heapq

from mimosaridge_core import account
from mimosaridge_core import buckets
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import freshness
from mimosaridge_core import homes
from mimosaridge_core import keys
from mimosaridge_core import messages
from mimosaridge_core import state
from mimosaridge_core import workids
from mimosaridge_core import works

MOST_TASKS = 10_000


def _check_admission(
    st: state.State, event: events.WorkSubmitted
) -> works.Outcome | None:
    """Returns a refusal, or None if the work is admitted."""
    if st.draining:
        return works.Outcome(codes.Code.DRAINING)
    if not freshness.is_current(st):
        return works.Outcome(codes.Code.STALE_CONFIG)
    refusal = _check_key(st, event)
    if refusal is not None:
        return refusal
    if event.work.team not in st.config.teams:
        detail = f"There is no team {event.work.team!r}."
        return works.Outcome(codes.Code.WRONG_TEAM, detail)
    return _check_id(st, event.work)


def _check_key(
    st: state.State, event: events.WorkSubmitted
) -> works.Outcome | None:
    queue = st.config.queues.get(event.queue)
    if queue is not None:
        event.work.team = queue.team
        return None
    if event.queue:
        detail = f"There is no public queue {event.queue!r}."
        return works.Outcome(codes.Code.WRONG_TEAM, detail)
    holder = keys.verify(st.config, event.token)
    if holder is None:
        return works.Outcome(codes.Code.BAD_KEY)
    if holder.role != keys.TEAM or holder.team != event.work.team:
        detail = f"The key does not belong to team {event.work.team}."
        return works.Outcome(codes.Code.WRONG_TEAM, detail)
    return None


def _check_id(st: state.State, work: works.Work) -> works.Outcome | None:
    created_at = workids.created_at(work.work_id)
    if created_at < st.now - st.tuning.retention_s:
        return works.Outcome(codes.Code.ID_EXPIRED)
    if created_at > st.now + st.tuning.skew_s:
        detail = "The time in the id is in the future."
        return works.Outcome(codes.Code.BAD_INPUT, detail)
    return None


@dispatch.handles(events.WorkSubmitted)
def _on_work_submitted(
    st: state.State, event: events.WorkSubmitted, out: list
) -> None:
    work = event.work
    refusal = _check_admission(st, event)
    if refusal is not None:
        meaning = refusal.detail or codes.MEANINGS[refusal.code]
        text = f"Refused at {st.name}: {meaning}"
        state.log_decision(
            st,
            out,
            account.Rule.ADMISSION,
            text,
            work.work_id,
            code=refusal.code,
        )
        out.append(effects.Reply(event.handle, refusal.code, meaning))
        return
    state.log_decision(
        st,
        out,
        account.Rule.ADMISSION,
        f"{st.name} took {work.kind} work of {work.count} tasks"
        f" for team {work.team}.",
        work.work_id,
    )
    waiter = st.waiters.get(work.work_id)
    if waiter is None:
        home = buckets.home_of(st, work)
        waiter = state.Waiter(work, home, {}, 0.0)
        st.waiters[work.work_id] = waiter
    if waiter.work.team != work.team:
        detail = codes.MEANINGS[codes.Code.ID_TAKEN]
        out.append(effects.Reply(event.handle, codes.Code.ID_TAKEN, detail))
        return
    waiter.handles[event.handle] = event.wait
    st.handles[event.handle] = work.work_id
    _forward(st, waiter, out)


def _forward(st: state.State, waiter: state.Waiter, out: list) -> None:
    waiter.resend_at = st.now + st.tuning.resend_s
    heapq.heappush(st.resends, (waiter.resend_at, waiter.work.work_id))
    if waiter.home == st.name:
        homes.accept(st, waiter.work, st.name, out)
        return
    owner = buckets.owner_of(st, waiter.home)
    if owner:
        forward = messages.ForwardWork(waiter.work)
        out.append(effects.SendPeer(owner, forward))


@dispatch.receives(messages.WorkAccepted)
def _on_work_accepted(
    st: state.State, sender: str, message: messages.WorkAccepted, out: list
) -> None:
    waiter = st.waiters.get(message.work_id)
    if waiter is None:
        return
    waiter.accepted = True
    for handle, waits in list(waiter.handles.items()):
        if not waits:
            del waiter.handles[handle]
            st.handles.pop(handle, None)
            out.append(effects.Reply(handle, codes.Code.ACCEPTED))
    if not waiter.handles:
        del st.waiters[message.work_id]


@dispatch.receives(messages.WorkSettled)
def _on_work_settled(
    st: state.State, sender: str, message: messages.WorkSettled, out: list
) -> None:
    waiter = st.waiters.pop(message.work_id, None)
    if waiter is None:
        return
    outcome = message.outcome
    for handle in waiter.handles:
        st.handles.pop(handle, None)
        out.append(effects.Reply(handle, outcome.code, outcome.detail, outcome))


@dispatch.handles(events.CallClosed)
def _on_call_closed(
    st: state.State, event: events.CallClosed, out: list
) -> None:
    work_id = st.handles.pop(event.handle, "")
    waiter = st.waiters.get(work_id)
    if waiter is None:
        return
    waiter.handles.pop(event.handle, None)
    if not waiter.handles:
        del st.waiters[work_id]


@dispatch.every_tick
def _resend_due(st: state.State, out: list) -> None:
    while st.resends and st.resends[0][0] <= st.now:
        _, work_id = heapq.heappop(st.resends)
        waiter = st.waiters.get(work_id)
        if waiter is None or waiter.resend_at > st.now:
            continue
        give_up_at = waiter.work.start_before + st.tuning.outcome_wait_s
        if give_up_at <= st.now and not waiter.accepted:
            _reply_unknown(st, waiter, out)
        else:
            _forward(st, waiter, out)


def _reply_unknown(st: state.State, waiter: state.Waiter, out: list) -> None:
    """Replies UNKNOWN when the home has not reported an outcome in time."""
    work_id = waiter.work.work_id
    del st.waiters[work_id]
    outcome = works.Outcome(
        codes.Code.UNKNOWN,
        "Its home could not record or confirm the outcome; retry with the"
        " same id, which never runs the work twice.",
    )
    state.log_decision(
        st,
        out,
        account.Rule.SETTLED,
        outcome.detail,
        work_id,
        code=outcome.code,
    )
    for handle in waiter.handles:
        out.append(effects.Reply(handle, outcome.code, outcome.detail, outcome))


def _may_cancel(st: state.State, holder: keys.Holder) -> bool:
    return holder.role != keys.ANALYST and freshness.is_current(st)


@dispatch.handles(events.WorkQueried)
def _on_work_queried(
    st: state.State, event: events.WorkQueried, out: list
) -> None:
    holder = keys.verify_administrator(st.config, event.token, st.bootstrap_key)
    if holder is None:
        out.append(effects.Reply(event.handle, codes.Code.BAD_KEY))
        return
    if event.cancel and not _may_cancel(st, holder):
        out.append(effects.Reply(event.handle, codes.Code.NOT_ALLOWED))
        return
    owner = buckets.owner_of(st, buckets.bucket_of(st, event.work_id))
    if event.cancel and owner:
        cancel = messages.CancelWork(event.work_id, holder.team)
        out.append(effects.SendPeer(owner, cancel))
    out.append(effects.Reply(event.handle, codes.Code.ACCEPTED))
