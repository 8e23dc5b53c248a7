"""Plans and applies operators' changes of the configuration.

An operator first requests the plan of a change, then confirms it.
"""

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

CONFIRM_TIMEOUT_S = 6.0
ROLLOUT_TIMEOUT_S = 1.5


@dataclasses.dataclass(slots=True)
class Confirmed:
    """The answer to the confirmation of a change.

    Attributes:
        number: Number of the configuration that includes the change.
        in_force: Daemons that had applied it when this was sent.
        missing: Listed or live daemons that had not applied it yet.
    """

    number: int
    in_force: list[str]
    missing: list[str]


@dataclasses.dataclass(slots=True)
class PendingChange:
    """A confirmed change that is being written.

    Attributes:
        event: The confirmation.
        operator: Key id of the operator.
        until: When the operation fails with STORE_UNAVAILABLE, seconds since
            the epoch.
        config: The configuration last sent to the store, if any.
        expected: Store revision that the write was to replace.
        write_unknown: Whether the result of the last write is unknown.
        read: Whether the store was read since the last write.
    """

    event: events.PlanConfirmed
    operator: str
    until: float
    config: configuration.Config | None = None
    expected: int = 0
    write_unknown: bool = False
    read: bool = False


@dataclasses.dataclass(slots=True)
class Rollout:
    """A written change that peers have yet to apply.

    Attributes:
        handle: The operator's call.
        number: Number of the configuration that includes the change.
        until: Latest time to answer the operator, seconds since the epoch.
    """

    handle: int
    number: int
    until: float


def _verify_operator(
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
def _plan_requested(
    st: state.State, event: events.PlanRequested, out: list
) -> None:
    if _verify_operator(st, event.handle, event.token, out) is None:
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
def _plan_confirmed(
    st: state.State, event: events.PlanConfirmed, out: list
) -> None:
    holder = _verify_operator(st, event.handle, event.token, out)
    if holder is None:
        return
    if st.draining:
        out.append(effects.Reply(event.handle, codes.Code.DRAINING))
        return
    if event.expires_at <= st.now:
        out.append(effects.Reply(event.handle, codes.Code.PLAN_EXPIRED))
        return
    pending = PendingChange(event, holder.key_id, st.now + CONFIRM_TIMEOUT_S)
    _apply_pending(st, pending, out)


def _apply_pending(st: state.State, pending: PendingChange, out: list) -> None:
    """Writes a change unless it, or a conflicting one, was already written."""
    event = pending.event
    applied = _find_entry(st.config, event.change_id)
    if applied is not None:
        _start_rollout(st, event.handle, applied.revision_after, out)
    elif event.base_number == st.config.number:
        _write(st, pending, out)
    elif not pending.read:
        _read(st, pending, out)
    else:
        _reply_conflict(st, event, out)


def _find_entry(
    config: configuration.Config, change_id: str
) -> configuration.AuditEntry | None:
    for entry in reversed(config.audit):
        if entry.change_id == change_id:
            return entry
    return None


def _reply_conflict(
    st: state.State, event: events.PlanConfirmed, out: list
) -> None:
    """Replies with a plan against the active configuration, if it is valid."""
    plan, detail = None, ""
    try:
        plan = plans.make(st, event.change)
    except changes.InvalidError as error:
        detail = f"Another change was applied first. {error}"
    out.append(effects.Reply(event.handle, codes.Code.CONFLICT, detail, plan))


def _write(st: state.State, pending: PendingChange, out: list) -> None:
    event = pending.event
    try:
        new = plans.apply_change(st.config, event.change)
        lines = plans.make(st, event.change).lines
    except changes.InvalidError as error:
        out.append(
            effects.Reply(event.handle, codes.Code.BAD_INPUT, str(error))
        )
        return
    audits.drop_archived(st, new)
    new.audit.append(
        configuration.AuditEntry(
            event.change_id,
            st.now,
            pending.operator,
            event.change.summary(),
            st.config.number,
            new.number,
            changes.describe(event.change),
            lines,
        )
    )
    pending.config = new
    pending.expected = st.config_revision
    _send_write(st, pending, out)


def _send_write(st: state.State, pending: PendingChange, out: list) -> None:
    pending.write_unknown = False
    pending.read = False
    number = st.next_number()
    st.operations[number] = pending
    out.append(
        effects.StoreWrite(
            number,
            documents.CONFIG_KEY,
            pending.config,
            pending.expected,
        )
    )


def _read(st: state.State, pending: PendingChange, out: list) -> None:
    pending.read = True
    number = st.next_number()
    st.operations[number] = pending
    out.append(effects.StoreRead(number, documents.CONFIG_KEY))


@dispatch.handles_store_answer(PendingChange)
def _store_answered(
    st: state.State,
    pending: PendingChange,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "unknown" and st.now >= pending.until:
        out.append(
            effects.Reply(pending.event.handle, codes.Code.STORE_UNAVAILABLE)
        )
    elif event.result == "unknown":
        pending.write_unknown = pending.write_unknown or not pending.read
        _read(st, pending, out)
    elif not pending.read and event.result == "ok":
        membership.apply_config(st, pending.config, event.revision, out)
        _apply_pending(st, pending, out)
    elif not pending.read:
        _read(st, pending, out)
    else:
        _config_read(st, pending, event, out)


def _config_read(
    st: state.State,
    pending: PendingChange,
    event: events.StoreAnswered,
    out: list,
) -> None:
    """Continues a change after reading the stored configuration.

    The read shows whether a write with an unknown result succeeded, or which
    other change was written first.
    """
    if event.value is not None:
        membership.apply_stored_config(st, event.value, event.revision, out)
    st.config_revision = event.revision
    if pending.write_unknown and event.revision == pending.expected:
        # The write may still be in flight, so the same document is sent
        # again instead of a new one.
        _send_write(st, pending, out)
        return
    _apply_pending(st, pending, out)


def _start_rollout(
    st: state.State, handle: int, number: int, out: list
) -> None:
    """Answers the operator once all peers applied it, or at a timeout."""
    audits.archive_oldest(st, out)
    rollout = Rollout(handle, number, st.now + ROLLOUT_TIMEOUT_S)
    st.rollouts.append(rollout)
    _answer_rollouts(st, out)


@dispatch.every_tick
def _answer_rollouts(st: state.State, out: list) -> None:
    for rollout in list(st.rollouts):
        in_force, missing = [st.name], []
        for member in st.members.values():
            applied = member.config_number >= rollout.number
            if applied:
                in_force.append(member.name)
            elif member.listed or member.alive_until > st.now:
                missing.append(member.name)
        if missing and rollout.until > st.now:
            continue
        st.rollouts.remove(rollout)
        confirmed = Confirmed(rollout.number, sorted(in_force), sorted(missing))
        out.append(effects.Reply(rollout.handle, codes.Code.OK, "", confirmed))


@dispatch.handles(events.ConfigRequested)
def _config_requested(
    st: state.State, event: events.ConfigRequested, out: list
) -> None:
    holder = keys.verify_administrator(st.config, event.token, st.bootstrap_key)
    if holder is None:
        out.append(effects.Reply(event.handle, codes.Code.BAD_KEY))
        return
    if holder.role == keys.TEAM:
        out.append(effects.Reply(event.handle, codes.Code.NOT_ALLOWED))
        return
    section = sections.SECTIONS.get(event.section)
    if section is None:
        known = ", ".join(sorted(sections.SECTIONS))
        detail = f"The section must be one of {known}."
        out.append(effects.Reply(event.handle, codes.Code.NOT_FOUND, detail))
        return
    if event.section == "snapshot" and holder.role != keys.OPERATOR:
        out.append(effects.Reply(event.handle, codes.Code.NOT_ALLOWED))
        return
    out.append(
        effects.Reply(event.handle, codes.Code.OK, "", section(st.config))
    )
