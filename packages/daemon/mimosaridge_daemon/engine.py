"""Event loop: passes events to the reducer and executes its effects."""

from collections.abc import Callable
import random
import time
from typing import Any

import gevent
from gevent import event as gevent_event
from gevent import queue
import logbook

from mimosaridge_core import account
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import reducer
from mimosaridge_core import state
from mimosaridge_daemon import codec
from mimosaridge_daemon import gauges
from mimosaridge_daemon import hostlist
from mimosaridge_daemon import logs
from mimosaridge_daemon import metrics
from mimosaridge_daemon import peers
from mimosaridge_daemon import recording
from mimosaridge_daemon import settings
from mimosaridge_daemon import store
from mimosaridge_daemon import workerlinks

LOG = logbook.Logger("engine")
TICK_S = 0.02
EVENTS_BETWEEN_YIELDS = 50

codec.register_messages(messages.ALL)


class Engine:
    """Event loop of a daemon, with its store, worker and peer connections."""

    def __init__(self, config: settings.Settings) -> None:
        self.inbox: queue.Queue = queue.Queue()
        self.state = state.State(
            name=config.name,
            url=f"ws://{config.listen_peer}",
            zone=config.zone,
            rng=random.Random(config.seed or None),
            bootstrap_key=config.bootstrap_key,
        )
        self.metrics = metrics.Metrics(config.statsd, config.name)
        self.recorder = recording.Recorder(config.record)
        self.store = store.Store(config.store_url, self.post)
        self.links = workerlinks.Links(config.name, self.post)
        self.peers = peers.Peers(
            config.name,
            config.listen_peer,
            config.peer_secret,
            lambda sender, message: self.post(
                events.PeerMessage(time.time(), sender, message)
            ),
            lambda name: self.post(
                events.PeerConnectionRefused(time.time(), name)
            ),
        )
        self.hosts_url = config.hosts_url
        self.calls: dict[int, gevent_event.AsyncResult] = {}
        self.last_handle = 0
        self.stopped = gevent_event.Event()
        self.handlers: dict[type, Callable[[Any], None]] = {
            effects.Reply: self._reply,
            effects.SendPeer: self._send_peer,
            effects.StoreWrite: self.store.write,
            effects.StoreRead: self.store.read,
            effects.RenewLease: self.store.renew,
            effects.ClaimWorker: self.links.claim,
            effects.DropWorker: lambda item: self.links.drop(item.worker_id),
            effects.StartTask: self.links.start,
            effects.StopTask: self.links.stop,
            effects.ForgetTask: self.links.forget,
            effects.Record: self._record,
            effects.Shutdown: lambda item: self.stopped.set(),
        }

    def post(self, event: events.Event) -> None:
        """Queues an event for the reducer."""
        self.inbox.put(event)

    def start(self) -> None:
        """Starts the event loop and all event sources."""
        gevent.spawn(self._run_loop)
        gevent.spawn(self._tick_loop)
        gevent.spawn(self._gauge_loop)
        self.peers.start()
        self.store.start()
        gevent.spawn(hostlist.poll_hosts, self.hosts_url, self.post)

    def call(
        self, make_event: Callable[[float, int], events.Event], timeout_s: float
    ) -> effects.Reply | None:
        """Posts an event with a new handle and waits for its reply.

        Args:
            make_event: Builds the event from the current time and the handle.
            timeout_s: Maximum wait for the reply, in seconds.

        Returns:
            The reply, or None after the timeout.
        """
        self.last_handle += 1
        handle = self.last_handle
        pending_reply = gevent_event.AsyncResult()
        self.calls[handle] = pending_reply
        self.post(make_event(time.time(), handle))
        try:
            return pending_reply.get(timeout=timeout_s)
        except gevent.Timeout:
            self.post(events.CallClosed(time.time(), handle))
            return None
        finally:
            self.calls.pop(handle, None)

    def _tick_loop(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            self.post(events.Tick(time.time()))

    def _gauge_loop(self) -> None:
        while True:
            gevent.sleep(gauges.INTERVAL_S)
            self.send_gauges()

    def send_gauges(self) -> None:
        """Sends the current values of all gauges."""
        for name, measure in gauges.GAUGES.items():
            self.metrics.gauge(name, measure(self.state))

    def _run_loop(self) -> None:
        handled = 0
        while True:
            self._handle(self.inbox.get())
            handled += 1
            if handled % EVENTS_BETWEEN_YIELDS == 0:
                gevent.sleep(0)

    def _handle(self, event: events.Event) -> None:
        self.recorder.write(event)
        try:
            produced = reducer.reduce(self.state, event)
        except Exception:
            LOG.exception("{} failed", type(event).__name__)
            self.metrics.count("reducer.failed")
            return
        for effect in produced:
            self._execute(effect)

    def _execute(self, effect: Any) -> None:
        """Executes an effect; a failure does not affect the other effects."""
        try:
            self.handlers[type(effect)](effect)
        except Exception:
            LOG.exception("{} failed", type(effect).__name__)
            self.metrics.count("effect.failed")

    def _reply(self, effect: effects.Reply) -> None:
        pending_reply = self.calls.get(effect.handle)
        if pending_reply is not None:
            pending_reply.set(effect)

    def _send_peer(self, effect: effects.SendPeer) -> None:
        member = self.state.members.get(effect.daemon)
        if member is not None:
            self.peers.send(effect.daemon, member.url, effect.message)
        elif effect.daemon == self.state.name:
            self.peers.send(effect.daemon, "", effect.message)

    def _record(self, effect: effects.Record) -> None:
        self.metrics.count(f"decision.{effect.record.rule}")
        if effect.record.rule == account.Rule.SETTLED:
            self.metrics.count(f"outcome.{effect.record.code.name.lower()}")
        logs.write_decision(effect.record)
