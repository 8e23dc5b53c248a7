"""Registry of event handlers."""

from collections.abc import Callable
from typing import Any

from mimosaridge_core.jobs import state

Handler = Callable[[state.State, Any, list], None]
HANDLERS: dict[type, Handler] = {}


def handles(kind: type) -> Callable[[Handler], Handler]:
    """Returns a decorator that registers a handler of a type of event.

    The decorator raises ValueError if the type has a handler already.
    """

    def register(handler: Handler) -> Handler:
        if kind in HANDLERS:
            raise ValueError(f"{kind.__name__} already has a handler")
        HANDLERS[kind] = handler
        return handler

    return register
