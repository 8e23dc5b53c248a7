"""Registries that connect events, messages and store answers to handlers."""

from collections.abc import Callable

from mimosaridge_core import events
from mimosaridge_core import state

Outbox = list
Handler = Callable[..., None]

EVENTS: dict[type, Handler] = {}
MESSAGES: dict[type, Handler] = {}
ANSWERS: dict[type, Handler] = {}
KEYS: dict[str, Handler] = {}
TICKS: list[Handler] = []
CONFIGURED: list[Handler] = []
HOSTS_LISTED: list[Handler] = []


def _register(table: dict, kind: type | str) -> Callable:
    def decorate(handler: Handler) -> Handler:
        if kind in table:
            raise ValueError(f"{kind} has a handler already")
        table[kind] = handler
        return handler

    return decorate


def handles(kind: type) -> Callable:
    """Registers handler(state, event, out) for a type of event."""
    return _register(EVENTS, kind)


def receives(kind: type) -> Callable:
    """Registers handler(state, sender, message, out) for peer messages."""
    return _register(MESSAGES, kind)


def answers(kind: type) -> Callable:
    """Registers handler(state, operation, event, out) for store answers."""
    return _register(ANSWERS, kind)


def watches(prefix: str) -> Callable:
    """Registers handler(state, event, out) for changes of store keys."""
    return _register(KEYS, prefix)


def when_configured(handler: Handler) -> Handler:
    """Registers handler(state, out), called for each new configuration."""
    CONFIGURED.append(handler)
    return handler


def when_hosts_listed(handler: Handler) -> Handler:
    """Registers handler(state, out), called for each host list."""
    HOSTS_LISTED.append(handler)
    return handler


def every_tick(handler: Callable) -> Callable:
    """Registers handler(state, out), called at every tick in import order."""
    TICKS.append(handler)
    return handler


@handles(events.Tick)
def _tick(st: state.State, event: events.Tick, out: Outbox) -> None:
    for handler in TICKS:
        handler(st, out)


@handles(events.PeerMessage)
def _peer_message(
    st: state.State, event: events.PeerMessage, out: Outbox
) -> None:
    handler = MESSAGES.get(type(event.message))
    if handler is not None:
        handler(st, event.sender, event.message, out)


@handles(events.StoreAnswered)
def _store_answered(
    st: state.State, event: events.StoreAnswered, out: Outbox
) -> None:
    operation = st.operations.pop(event.op_id, None)
    if operation is not None:
        ANSWERS[type(operation)](st, operation, event, out)
