"""Registries of handlers for events, peer messages and store answers."""

from collections.abc import Callable

from mimosaridge_core import events
from mimosaridge_core import state

Outbox = list
Handler = Callable[..., None]

EVENTS: dict[type, Handler] = {}
MESSAGES: dict[type, Handler] = {}
STORE_ANSWERS: dict[type, Handler] = {}
STORE_KEYS: dict[str, Handler] = {}
TICK_HANDLERS: list[Handler] = []
CONFIG_LISTENERS: list[Handler] = []
HOST_LIST_LISTENERS: list[Handler] = []


def _register(table: dict, kind: type | str) -> Callable:
    def decorate(handler: Handler) -> Handler:
        if kind in table:
            raise ValueError(f"{kind} already has a handler")
        table[kind] = handler
        return handler

    return decorate


def handles(kind: type) -> Callable:
    """Registers handler(state, event, out) for an event type."""
    return _register(EVENTS, kind)


def receives(kind: type) -> Callable:
    """Registers handler(state, sender, message, out) for a message type."""
    return _register(MESSAGES, kind)


def handles_store_answer(kind: type) -> Callable:
    """Registers handler(state, operation, event, out) for an operation type.

    The handler is called when the store answers such an operation.
    """
    return _register(STORE_ANSWERS, kind)


def watches(prefix: str) -> Callable:
    """Registers handler(state, event, out) for changes of a key prefix."""
    return _register(STORE_KEYS, prefix)


def when_configured(handler: Handler) -> Handler:
    """Registers handler(state, out), called when a configuration is applied."""
    CONFIG_LISTENERS.append(handler)
    return handler


def when_hosts_listed(handler: Handler) -> Handler:
    """Registers handler(state, out), called for each new host list."""
    HOST_LIST_LISTENERS.append(handler)
    return handler


def every_tick(handler: Callable) -> Callable:
    """Registers handler(state, out), called at every tick in import order."""
    TICK_HANDLERS.append(handler)
    return handler


@handles(events.Tick)
def _tick(st: state.State, event: events.Tick, out: Outbox) -> None:
    for handler in TICK_HANDLERS:
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
        STORE_ANSWERS[type(operation)](st, operation, event, out)
