"""Operators' changes: an intent, its plan, and the confirm that applies it."""

import dataclasses

from mimosaridge_core import audits
from mimosaridge_core import changes
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import dispatch
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import keys
from mimosaridge_core import membership
from mimosaridge_core import plans
from mimosaridge_core import sections
from mimosaridge_core import state

CONFIRM_S = 6.0
IN_FORCE_S = 1.5


@dataclasses.dataclass(slots=True)
class Confirmed:
    """A confirmed change.

    Attributes:
        number: Configuration that carries it.
        in_force: Daemons that had it in force when this was sent.
        missing: Daemons that are listed or heard and did not have it yet.
    """

    number: int
    in_force: list[str]
    missing: list[str]


@dataclasses.dataclass(slots=True)
class Confirming:
    """A confirmed change that is being written.

    Attributes:
        event: The confirm.
        operator: Key id of the operator.
        until: When the operator is told that the store does not answer.
        config: The configuration last sent to the store, if any.
        expected: Revision that it was to replace.
        unsure: Whether the write's answer was lost.
        read: Whether the store was read since the last write.
    """

    event: events.PlanConfirmed
    operator: str
    until: float
    config: configuration.Config | None = None
    expected: int = 0
    unsure: bool = False
    read: bool = False


@dataclasses.dataclass(slots=True)
class Spreading:
    """An accepted change that peers are putting in force.

    Attributes:
        handle: The operator's call.
        number: Configuration that carries the change.
        until: When the operator is answered at the latest.
    """

    handle: int
    number: int
    until: float


def _refuse_non_operator(
    st: state.State, handle: int, token: str, out: list
) -> keys.Holder | None:
    holder = keys.verify_administrator(st.config, token, st.bootstrap_key)
    if holder is None:
        out.append(effects.Reply(handle, codes.Code.BAD_KEY))
        return None
    if holder.role != keys.OPERATOR:
        out.append(effects.Reply(handle, codes.Code.NOT_ALLOWED))
        return None
    return holder


@dispatch.handles(events.PlanRequested)
def _plan(st: state.State, event: events.PlanRequested, out: list) -> None:
    if _refuse_non_operator(st, event.handle, event.token, out) is None:
        return
    try:
        plan = plans.make(st, event.change)
    except changes.InvalidError as error:
        out.append(
            effects.Reply(event.handle, codes.Code.BAD_INPUT, str(error))
        )
        return
    out.append(effects.Reply(event.handle, codes.Code.OK, "", plan))


@dispatch.handles(events.PlanConfirmed)
def _confirm(st: state.State, event: events.PlanConfirmed, out: list) -> None:
    holder = _refuse_non_operator(st, event.handle, event.token, out)
    if holder is None:
        return
    if st.draining:
        out.append(effects.Reply(event.handle, codes.Code.DRAINING))
        return
    if event.expires_at <= st.now:
        out.append(effects.Reply(event.handle, codes.Code.PLAN_EXPIRED))
        return
    confirming = Confirming(event, holder.key_id, st.now + CONFIRM_S)
    _attempt(st, confirming, out)


def _attempt(st: state.State, confirming: Confirming, out: list) -> None:
    """Writes a change, unless it was made already or another came first."""
    event = confirming.event
    made = _entry(st.config, event.change_id)
    if made is not None:
        _spread(st, event.handle, made.revision_after, out)
    elif event.base_number == st.config.number:
        _write(st, confirming, out)
    elif not confirming.read:
        _read(st, confirming, out)
    else:
        _conflict(st, event, out)


def _entry(
    config: configuration.Config, change_id: str
) -> configuration.AuditEntry | None:
    for entry in reversed(config.audit):
        if entry.change_id == change_id:
            return entry
    return None


def _conflict(st: state.State, event: events.PlanConfirmed, out: list) -> None:
    """Answers with a plan on what is in force now, if there can be one."""
    plan, detail = None, ""
    try:
        plan = plans.make(st, event.change)
    except changes.InvalidError as error:
        detail = f"Another change came first. {error}"
    out.append(effects.Reply(event.handle, codes.Code.CONFLICT, detail, plan))


def _write(st: state.State, confirming: Confirming, out: list) -> None:
    event = confirming.event
    try:
        new = plans.changed(st.config, event.change)
        lines = plans.make(st, event.change).lines
    except changes.InvalidError as error:
        out.append(
            effects.Reply(event.handle, codes.Code.BAD_INPUT, str(error))
        )
        return
    audits.drop_kept(st, new)
    new.audit.append(
        configuration.AuditEntry(
            event.change_id,
            st.now,
            confirming.operator,
            event.change.summary(),
            st.config.number,
            new.number,
            changes.describe(event.change),
            lines,
        )
    )
    confirming.config = new
    confirming.expected = st.config_revision
    _send_write(st, confirming, out)


def _send_write(st: state.State, confirming: Confirming, out: list) -> None:
    confirming.unsure = False
    confirming.read = False
    number = st.next_number()
    st.operations[number] = confirming
    out.append(
        effects.StoreWrite(
            number,
            documents.CONFIG_KEY,
            confirming.config,
            confirming.expected,
        )
    )


def _read(st: state.State, confirming: Confirming, out: list) -> None:
    confirming.read = True
    number = st.next_number()
    st.operations[number] = confirming
    out.append(effects.StoreRead(number, documents.CONFIG_KEY))


@dispatch.answers(Confirming)
def _answered(
    st: state.State,
    confirming: Confirming,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "unknown" and st.now >= confirming.until:
        out.append(
            effects.Reply(confirming.event.handle, codes.Code.STORE_UNAVAILABLE)
        )
    elif event.result == "unknown":
        confirming.unsure = confirming.unsure or not confirming.read
        _read(st, confirming, out)
    elif not confirming.read and event.result == "ok":
        membership.adopt(st, confirming.config, event.revision, out)
        _attempt(st, confirming, out)
    elif not confirming.read:
        _read(st, confirming, out)
    else:
        _was_read(st, confirming, event, out)


def _was_read(
    st: state.State,
    confirming: Confirming,
    event: events.StoreAnswered,
    out: list,
) -> None:
    """Settles a lost answer, or a change that another one preceded."""
    if event.value is not None:
        membership.take_stored(st, event.value, event.revision, out)
    st.config_revision = event.revision
    if confirming.unsure and event.revision == confirming.expected:
        # The lost write may still land, so the same one is sent again.
        _send_write(st, confirming, out)
        return
    _attempt(st, confirming, out)


def _spread(st: state.State, handle: int, number: int, out: list) -> None:
    """Answers the operator once all peers have it in force, or soon after."""
    audits.keep_oldest(st, out)
    spreading = Spreading(handle, number, st.now + IN_FORCE_S)
    st.spreading.append(spreading)
    _answer_spread(st, out)


@dispatch.every_tick
def _answer_spread(st: state.State, out: list) -> None:
    for spreading in list(st.spreading):
        in_force, missing = [st.name], []
        for member in st.members.values():
            has_it = member.config_number >= spreading.number
            if has_it:
                in_force.append(member.name)
            elif member.listed or member.heard_until > st.now:
                missing.append(member.name)
        if missing and spreading.until > st.now:
            continue
        st.spreading.remove(spreading)
        confirmed = Confirmed(
            spreading.number, sorted(in_force), sorted(missing)
        )
        out.append(
            effects.Reply(spreading.handle, codes.Code.OK, "", confirmed)
        )


@dispatch.handles(events.ConfigRequested)
def _section(st: state.State, event: events.ConfigRequested, out: list) -> None:
    holder = keys.verify_administrator(st.config, event.token, st.bootstrap_key)
    if holder is None:
        out.append(effects.Reply(event.handle, codes.Code.BAD_KEY))
        return
    if holder.role == keys.TEAM:
        out.append(effects.Reply(event.handle, codes.Code.NOT_ALLOWED))
        return
    view = sections.SECTIONS.get(event.section)
    if view is None:
        known = ", ".join(sorted(sections.SECTIONS))
        detail = f"A section is one of {known}."
        out.append(effects.Reply(event.handle, codes.Code.NOT_FOUND, detail))
        return
    if event.section == "snapshot" and holder.role != keys.OPERATOR:
        out.append(effects.Reply(event.handle, codes.Code.NOT_ALLOWED))
        return
    out.append(effects.Reply(event.handle, codes.Code.OK, "", view(st.config)))
