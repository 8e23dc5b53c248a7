"""Requests tickets from the advice service.

A queue may require that the advice service approves of a worker before a step's
tasks start there. The approval is a ticket of limited validity. The owner
decides which daemon makes each call, for which workers, and when.
"""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import records
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import tunables

# Longer calls count as slow, because they would delay short ones.
SLOW_CALL_S = 0.1
# With at least this many daemons, some are reserved for calls that aren't slow.
MIN_DAEMONS_TO_RESERVE = 4
RESERVED_DAEMONS = 1
# Interval at which a step is checked again when no worker needs a call: tickets
# are renewed `RENEWAL_LEAD_S` before they expire.
RECHECK_INTERVAL_S = 0.1
# A step that could start with the answer precedes more urgent ones that could
# not, after it has found no idle daemon for this time. With a call in progress
# and its own call, it starts within the 3 s that users are owed.
MAX_DENIED_S = 0.5


def has_idle_asker(st: state.State, owner: state.Owner) -> bool:
    """Returns whether a daemon has no call for advice in progress."""
    busy = sum(until > st.now for until in owner.advice_busy.values())
    return busy < len(st.askers)


def call_duration_s(advice: model.AdviceSettings, workers: int) -> float:
    """Returns the expected duration of a call, in seconds."""
    return advice.decision_s + advice.per_worker_s * workers


def valid_ticket(
    st: state.State, group: state.Group, worker_id: str
) -> records.Ticket | None:
    """Returns a worker's ticket for a step, or None if it can't be used."""
    ticket = group.tickets.get(worker_id)
    if ticket is None or ticket.valid_until < st.now + tunables.TICKET_MARGIN_S:
        return None
    return ticket


def has_or_awaits_ticket(
    st: state.State, group: state.Group, worker_id: str
) -> bool:
    """Returns whether a worker's ticket is valid or its renewal in progress."""
    return valid_ticket(st, group, worker_id) is not None or _is_requested(
        st, group, worker_id
    )


def workers_to_ask(
    st: state.State,
    group: state.Group,
    advice: model.AdviceSettings,
    workers: list[str],
) -> list[str]:
    """Returns new workers, or else those whose tickets expire soon.

    Args:
        st: The state.
        group: The step.
        advice: The queue's advice settings.
        workers: Workers that could run the step, in order of preference.
    """
    known = group.tickets.keys() | group.unfit
    asked = [
        worker_id
        for worker_id in workers
        if worker_id not in known and not _is_requested(st, group, worker_id)
    ]
    return asked or _expiring_tickets(st, group, advice, workers)


def denied_calls_s(st: state.State, groups: list[state.Group]) -> list[float]:
    """Returns the durations of calls that have waited too long, in seconds.

    Only calls of steps that could start with the answer are counted.
    """
    return [
        group.denied_call_s
        for group in groups
        if group.denied_call_s and st.now - group.denied_since >= MAX_DENIED_S
    ]


def may_ask_ahead(
    st: state.State,
    owner: state.Owner,
    duration_s: float,
    denied_s: list[float],
) -> bool:
    """Returns whether to make a call whose answer lets no task start now.

    Otherwise, steps that wait for room would renew their tickets with all
    daemons, and a less urgent step with free workers would never get its first.

    Args:
        st: The state.
        owner: The owner.
        duration_s: Expected duration of the call.
        denied_s: Expected durations of the calls that have waited too
            long for an idle daemon.
    """
    if not denied_s:
        return True
    if min(denied_s) <= SLOW_CALL_S or duration_s > SLOW_CALL_S:
        return False
    # The daemons reserved for calls that aren't slow are no use to the others.
    return not _idle_askers(st, owner, is_slow=True)


def request_advice(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    advice: model.AdviceSettings,
    asked: list[str],
    out: list,
    is_owed: bool = False,
) -> bool:
    """Requests tickets; returns False if no daemon can make a call now.

    Args:
        st: The state.
        owner: The owner.
        group: The step.
        advice: The queue's advice settings.
        asked: Ids of the workers.
        out: Effects.
        is_owed: Whether also daemons reserved for short calls may make it.
    """
    # Daemons make the calls at the same time: the answer about all workers
    # takes no longer than that about the first.
    for first in range(0, len(asked), tunables.ADVICE_WORKERS):
        part = asked[first : first + tunables.ADVICE_WORKERS]
        if not _request(st, owner, group, advice, part, out, is_owed):
            return False
    return True


def _request(
    st: state.State,
    owner: state.Owner,
    group: state.Group,
    advice: model.AdviceSettings,
    workers: list[str],
    out: list,
    is_owed: bool,
) -> bool:
    """Makes an idle daemon call for advice; returns whether there is one."""
    duration_s = call_duration_s(advice, len(workers))
    is_slow = duration_s > SLOW_CALL_S and not is_owed
    idle = _idle_askers(st, owner, is_slow)
    if not idle:
        return False
    owner.asked += 1
    asker = idle[owner.asked % len(idle)]
    timeout_s = duration_s + tunables.ADVICE_GRACE_S
    owner.advice_busy[asker] = st.now + timeout_s
    for worker_id in workers:
        group.advice_pending[worker_id] = st.now + timeout_s
        group.advice_lives[worker_id] = owner.workers[worker_id].born
    out.append(effects.AskAdvice(asker, group.key, tuple(workers), timeout_s))
    return True


def _is_requested(st: state.State, group: state.Group, worker_id: str) -> bool:
    """Returns whether a call about a worker is in progress."""
    return group.advice_pending.get(worker_id, 0.0) > st.now


def _expiring_tickets(
    st: state.State,
    group: state.Group,
    advice: model.AdviceSettings,
    workers: list[str],
) -> list[str]:
    """Returns the workers whose tickets must be renewed now."""
    lead_s = (
        call_duration_s(advice, len(group.tickets)) + tunables.RENEWAL_LEAD_S
    )
    return [
        worker_id
        for worker_id in workers
        if worker_id in group.tickets
        and group.tickets[worker_id].valid_until < st.now + lead_s
        and not _is_requested(st, group, worker_id)
    ]


def _idle_askers(
    st: state.State, owner: state.Owner, is_slow: bool
) -> list[str]:
    """Returns the daemons that can make a call now."""
    idle = [
        name
        for name in sorted(st.askers)
        if owner.advice_busy.get(name, 0.0) <= st.now
    ]
    reserved = 0
    if is_slow and len(st.askers) >= MIN_DAEMONS_TO_RESERVE:
        reserved = RESERVED_DAEMONS
    return idle if len(idle) > reserved else []


@dispatch.handles(events.AdviceAnswered)
def handle_advice_answer(
    st: state.State, event: events.AdviceAnswered, out: list
) -> None:
    """Stores the tickets and the unfit workers of an answered call."""
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
    current = [
        worker_id
        for worker_id in event.asked
        if _is_current(owner, group, worker_id)
    ]
    for worker_id in event.asked:
        group.advice_pending.pop(worker_id, None)
        group.advice_lives.pop(worker_id, None)
    if not event.answered:
        return
    for worker_id in current:
        if worker_id in event.tickets:
            group.tickets[worker_id] = records.Ticket(
                event.tickets[worker_id], st.now + event.valid_s
            )
        elif worker_id not in group.tickets:
            group.unfit.add(worker_id)
    group.next_advice_at = 0.0
    group.examine_at = 0.0


def _is_current(owner: state.Owner, group: state.Group, worker_id: str) -> bool:
    """Returns whether a call was about a worker as it is now.

    A ticket is valid for one life of its worker. A worker that has left the
    list may be missing in an answer although it is good.
    """
    worker = owner.workers.get(worker_id)
    return (
        worker is not None
        and worker.held
        and worker.listed
        and worker.born == group.advice_lives.get(worker_id)
    )
