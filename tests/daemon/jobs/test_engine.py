"""Event loop of a daemon."""

import types

import testtools

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import state
from mimosaridge_daemon.jobs import engine


class HandleTest(testtools.TestCase):
    """Events whose handling fails."""

    def test_effects_produced_before_an_error_are_executed(self):
        def fail(st, event, out):
            out.append("start")
            raise ValueError("unexpected")

        self.patch(dispatch, "HANDLERS", {events.Tick: fail})
        executed = []
        loop = types.SimpleNamespace(
            state=state.State(), _execute=executed.append
        )
        engine.Engine._handle(loop, events.Tick(1.0, 1.0))
        self.assertEqual(["start"], executed)
