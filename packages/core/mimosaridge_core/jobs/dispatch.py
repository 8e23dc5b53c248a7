"""Explicit registry of event handlers."""

from collections.abc import Callable
from typing import Any

from mimosaridge_core.jobs import state

Handler = Callable[[state.State, Any, list], None]
EVENTS: dict[type, Handler] = {}


def handles(kind: type) -> Callable[[Handler], Handler]:
    """Registers a function as the handler of an event."""

    def register(handler: Handler) -> Handler:
        if kind in EVENTS:
            raise ValueError(f"{kind.__name__} has a handler already")
        EVENTS[kind] = handler
        return handler

    return register
