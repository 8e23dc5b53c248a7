"""Operators' changes: an intent, its plan, and the confirm that applies it."""

import copy
import dataclasses
from typing import Any

from mimosaridge_core import changes
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import dispatch
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import keys
from mimosaridge_core import membership
from mimosaridge_core import state

AUDIT_KEPT = 200
BOOTSTRAP = "bootstrap"


@dataclasses.dataclass(slots=True)
class Plan:
    """What a change would do.

    Attributes:
        base_number: Configuration that it was made on.
        expires_at: Its deadline, seconds since the epoch.
        lines: What changes, a sentence each.
    """

    base_number: int
    expires_at: float
    lines: list[str]


@dataclasses.dataclass(slots=True)
class Confirmed:
    """A confirmed change.

    Attributes:
        number: Configuration that carries it.
        in_force: Daemons that had it in force when this was sent.
    """

    number: int
    in_force: list[str]


@dataclasses.dataclass(slots=True)
class ChangeWritten:
    """A confirmed change is on its way to the store."""

    handle: int
    change_id: str
    config: configuration.Config
    reading_back: bool = False


def _operator(st: state.State, token: str) -> keys.Holder | None:
    granted = any(key.role == keys.OPERATOR for key in st.config.keys.values())
    if not granted and st.bootstrap_key and token == st.bootstrap_key:
        return keys.Holder(BOOTSTRAP, keys.OPERATOR, "")
    return keys.verify(st.config, token)


def _refuse_non_operator(
    st: state.State, handle: int, token: str, out: list
) -> keys.Holder | None:
    holder = _operator(st, token)
    if holder is None:
        out.append(effects.Reply(handle, codes.Code.BAD_KEY))
        return None
    if holder.role != keys.OPERATOR:
        out.append(effects.Reply(handle, codes.Code.NOT_ALLOWED))
        return None
    return holder


def _changed_copy(
    config: configuration.Config, change: Any
) -> configuration.Config:
    new = copy.deepcopy(config)
    new.number = config.number + 1
    change.apply(new)
    return new


@dispatch.handles(events.PlanAsked)
def _plan(st: state.State, event: events.PlanAsked, out: list) -> None:
    if _refuse_non_operator(st, event.handle, event.token, out) is None:
        return
    try:
        _changed_copy(st.config, event.change)
    except changes.InvalidError as error:
        out.append(
            effects.Reply(event.handle, codes.Code.BAD_INPUT, str(error))
        )
        return
    plan = Plan(
        st.config.number,
        st.now + st.tuning.plan_s,
        [event.change.summary(), *_consequences(st, event.change)],
    )
    out.append(effects.Reply(event.handle, codes.Code.OK, "", plan))


def _consequences(st: state.State, change: Any) -> list[str]:
    if not isinstance(change, changes.ZoneOut):
        return []
    count = sum(host.zone == change.zone for host in st.hosts.values())
    return [f"{count} workers take no new work"]


@dispatch.handles(events.PlanConfirmed)
def _confirm(st: state.State, event: events.PlanConfirmed, out: list) -> None:
    holder = _refuse_non_operator(st, event.handle, event.token, out)
    if holder is None:
        return
    if event.expires_at <= st.now:
        out.append(effects.Reply(event.handle, codes.Code.PLAN_EXPIRED))
        return
    if event.base_number != st.config.number:
        out.append(effects.Reply(event.handle, codes.Code.CONFLICT))
        return
    try:
        new = _changed_copy(st.config, event.change)
    except changes.InvalidError as error:
        out.append(
            effects.Reply(event.handle, codes.Code.BAD_INPUT, str(error))
        )
        return
    new.audit.append(
        configuration.AuditEntry(
            event.change_id,
            st.now,
            holder.key_id,
            event.change.summary(),
            st.config.number,
            new.number,
        )
    )
    new.audit = new.audit[-AUDIT_KEPT:]
    number = st.next_number()
    st.operations[number] = ChangeWritten(event.handle, event.change_id, new)
    out.append(
        effects.StoreWrite(
            number, documents.CONFIG_KEY, new, st.config_revision
        )
    )


@dispatch.answers(ChangeWritten)
def _written(
    st: state.State,
    operation: ChangeWritten,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "unknown":
        if operation.reading_back:
            out.append(
                effects.Reply(operation.handle, codes.Code.STORE_UNAVAILABLE)
            )
            return
        operation.reading_back = True
        number = st.next_number()
        st.operations[number] = operation
        out.append(effects.StoreRead(number, documents.CONFIG_KEY))
        return
    made = event.result == "ok"
    if operation.reading_back:
        made = event.value is not None and any(
            entry.change_id == operation.change_id
            for entry in event.value.audit
        )
    if not made:
        out.append(effects.Reply(operation.handle, codes.Code.CONFLICT))
        return
    config = event.value if operation.reading_back else operation.config
    membership.adopt(st, config, event.revision, out)
    st.heartbeat_at = 0.0
    in_force = [st.name] + [
        member.name
        for member in st.members.values()
        if member.config_number >= config.number
    ]
    confirmed = Confirmed(operation.config.number, in_force)
    out.append(effects.Reply(operation.handle, codes.Code.OK, "", confirmed))
