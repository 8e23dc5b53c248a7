"""Tickets of the advice service: whom to ask, about which workers, when."""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables

# Calls longer than this are slow, seconds: they would hold up short ones.
SLOW_CALL_S = 0.1
# With this many daemons or more, some are kept free of slow calls.
DAEMONS_TO_KEEP_FREE = 4
KEPT_FREE = 1
# With nothing to ask about, a step is looked at again after this time, seconds:
# tickets are renewed `RENEWAL_LEAD_S` before their end.
ASK_AGAIN_S = 0.1


def may_ask(st: state.State, owner: state.Owner, group: state.Group) -> bool:
    """Tells whether a call may be made now, before workers are chosen."""
    if st.now < group.next_advice_at:
        return False
    busy = sum(until > st.now for until in owner.advice_busy.values())
    return busy < len(st.askers)


def call_s(advice: model.AdviceSettings, workers: int) -> float:
    """Returns how long a call takes."""
    return advice.decision_s + advice.per_worker_s * workers


def valid_ticket(
    st: state.State, group: state.Group, worker_id: str
) -> state.Ticket | None:
    """Returns a worker's ticket for a step if it may still be used."""
    ticket = group.tickets.get(worker_id)
    if ticket is None or ticket.valid_until < st.now + tunables.TICKET_MARGIN_S:
        return None
    return ticket


def ask(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    advice: model.AdviceSettings,
    workers: list[str],
    out: list,
) -> None:
    """Asks about workers that are unknown, or whose tickets run out.

    Args:
        st: The state.
        owner: The owner.
        group: The step.
        advice: The queue's advice.
        workers: Workers that could run the step, the preferred first.
        out: Effects.
    """
    known = group.tickets.keys() | group.unfit
    asked = [
        worker_id
        for worker_id in workers
        if worker_id not in known and not _is_asked(st, group, worker_id)
    ]
    if not asked:
        asked = _renewals(st, group, advice, workers)
    asked = asked[: tunables.ADVICE_WORKERS]
    if not asked:
        group.next_advice_at = st.now + ASK_AGAIN_S
        return
    takes_s = call_s(advice, len(asked))
    asker = _idle_asker(st, owner, takes_s > SLOW_CALL_S)
    if asker is None:
        return
    timeout_s = takes_s + tunables.ADVICE_GRACE_S
    owner.advice_busy[asker] = st.now + timeout_s
    for worker_id in asked:
        group.advice_pending[worker_id] = st.now + timeout_s
    out.append(effects.AskAdvice(asker, group.key, tuple(asked), timeout_s))


def _is_asked(st: state.State, group: state.Group, worker_id: str) -> bool:
    return group.advice_pending.get(worker_id, 0.0) > st.now


def _renewals(
    st: state.State,
    group: state.Group,
    advice: model.AdviceSettings,
    workers: list[str],
) -> list[str]:
    lead = call_s(advice, len(group.tickets)) + tunables.RENEWAL_LEAD_S
    return [
        worker_id
        for worker_id in workers
        if worker_id in group.tickets
        and group.tickets[worker_id].valid_until < st.now + lead
        and not _is_asked(st, group, worker_id)
    ]


def _idle_asker(
    st: state.State, owner: state.Owner, is_slow: bool
) -> str | None:
    """Returns a daemon that has no call for advice under way."""
    idle = [
        name
        for name in sorted(st.askers)
        if owner.advice_busy.get(name, 0.0) <= st.now
    ]
    keep = 0
    if is_slow and len(st.askers) >= DAEMONS_TO_KEEP_FREE:
        keep = KEPT_FREE
    if len(idle) <= keep:
        return None
    owner.asked += 1
    return idle[owner.asked % len(idle)]


@dispatch.handles(events.AdviceAnswered)
def take_advice(
    st: state.State, event: events.AdviceAnswered, out: list
) -> None:
    """Keeps tickets and which workers are unfit."""
    owner = st.owner
    if owner is None:
        return
    owner.advice_busy.pop(event.asker, None)
    if not event.answered:
        owner.advice_busy[event.asker] = st.now + tunables.ADVICE_RETRY_S
    effects.log_decision(
        out,
        "advice",
        job_id=event.group.partition(".")[0],
        group=event.group,
        asker=event.asker,
        asked=len(event.asked),
        good=len(event.tickets),
        answered=event.answered,
    )
    group = owner.groups.get(event.group)
    if group is None:
        return
    for worker_id in event.asked:
        group.advice_pending.pop(worker_id, None)
    if not event.answered:
        return
    for worker_id in event.asked:
        if worker_id in event.tickets:
            group.tickets[worker_id] = state.Ticket(
                event.tickets[worker_id], st.now + event.valid_s
            )
        elif worker_id not in group.tickets:
            group.unfit.add(worker_id)
    group.next_advice_at = 0.0
    group.tried_capacity_version = state.NEVER_TRIED
