"""What daemons do for each other: beats, relayed calls, news of jobs."""

from collections.abc import Callable
import dataclasses
import itertools
import random
import time
from typing import Any

import gevent
from gevent import event as gevent_event
import result

from mimosaridge_core import events as peer_events
from mimosaridge_daemon import clients
from mimosaridge_daemon import codec
from mimosaridge_daemon import peers
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import storage
from mimosaridge_platform import calls

# A daemon that was not heard for this long is asked for nothing.
SILENCE_S = 2.0
# How much longer than the call itself its relay may take.
RELAY_GRACE_S = 0.3
# With more peers than this, daemons beat to the owner and to their neighbours
# in the order of names, and only those who accepted a job are told of it: all
# to all would grow with the square of the fleet.
MESH_PEERS = 8
# Neighbours on each side: a zone's loss or a few deaths leave some.
NEIGHBOURS = 3
STORE = "store"
ADVICE = "advice"
ADVICE_CONNECTIONS = 2

codec.register_messages(messages.ALL)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another daemon.

    Attributes:
        url: Where it is reached.
        boot: Id of its process as it last said.
        heard_at: When it was last heard.
        has_store: Whether it reaches the store by itself.
        cores: Processor time that its machine gives, in cores.
    """

    url: str
    boot: str = ""
    heard_at: float = 0.0
    has_store: bool = False
    cores: float = 0.0


class Peering:
    """Links to the other daemons.

    Attributes:
        peers: By name.
    """

    def __init__(
        self,
        name: str,
        address: str,
        secret: str,
        store: storage.Store,
        advice: str,
        take: Callable[[str, Any], None],
        refused: Callable[[str], None],
    ) -> None:
        self.name = name
        self.store = store
        self.take = take
        self.refused = refused
        self.peers: dict[str, Peer] = {}
        self.advice = clients.Client(f"http://{advice}", ADVICE_CONNECTIONS)
        self.links = peers.Peers(name, address, secret, self._receive)
        self.waiting: dict[int, gevent_event.AsyncResult] = {}
        self.rng = random.Random()
        # Answers meant for a former process of this machine match no call.
        self.numbers = itertools.count(self.rng.getrandbits(48))

    def add(self, name: str, url: str, cores: float = 0.0) -> None:
        """Adds a daemon or changes its address."""
        if name == self.name:
            return
        peer = self.peers.get(name)
        if peer is None or peer.url != url:
            peer = self.peers[name] = Peer(url)
        peer.cores = cores or peer.cores

    def is_mesh(self) -> bool:
        """Tells whether the fleet is small enough to tell all of all."""
        return len(self.peers) <= MESH_PEERS

    def beat(self, beat: messages.Beat, owner: str) -> None:
        """Sends a beat to all that need it; the owner's beats go to all."""
        if beat.token or self.is_mesh():
            self.broadcast(beat)
            return
        for name in self.neighbours() | {owner}:
            self.send(name, beat)

    def neighbours(self) -> set[str]:
        """Returns the next daemons before and after this one by name."""
        names = sorted({*self.peers, self.name})
        here = names.index(self.name)
        steps = (*range(-NEIGHBOURS, 0), *range(1, NEIGHBOURS + 1))
        found = {names[(here + step) % len(names)] for step in steps}
        return found - {self.name}

    def remove(self, name: str) -> None:
        """Forgets a daemon that is no longer heard."""
        peer = self.peers.get(name)
        if peer and time.monotonic() - peer.heard_at > SILENCE_S:
            del self.peers[name]

    def send(self, name: str, message: Any) -> None:
        """Sends a message to one daemon."""
        peer = self.peers.get(name)
        if peer is not None:
            self.links.send(name, peer.url, message)

    def broadcast(self, message: Any) -> None:
        """Sends a message to all daemons."""
        for name in list(self.peers):
            self.send(name, message)

    def heard(self) -> frozenset[str]:
        """Returns the daemons heard lately, this one included."""
        now = time.monotonic()
        names = {
            name
            for name, peer in self.peers.items()
            if now - peer.heard_at < SILENCE_S
        }
        return frozenset(names | {self.name})

    def most_cores(self, heard: bool) -> float:
        """Returns what the strongest peer gives.

        Args:
            heard: Whether to count only peers heard lately with the store.
        """
        now = time.monotonic()
        return max(
            (
                peer.cores
                for peer in self.peers.values()
                if not heard
                or (peer.has_store and now - peer.heard_at < SILENCE_S)
            ),
            default=0.0,
        )

    def relay(
        self, request: calls.Request, timeout_s: float
    ) -> storage.Answer | None:
        """Has a peer call the store; None if there is none to ask."""
        now = time.monotonic()
        able = [
            name
            for name, peer in self.peers.items()
            if peer.has_store and now - peer.heard_at < SILENCE_S
        ]
        if not able:
            return None
        return self.call_by(self.rng.choice(able), STORE, request, timeout_s)

    def call_by(
        self, name: str, target: str, request: calls.Request, timeout_s: float
    ) -> storage.Answer:
        """Has a daemon, or this one, make a call."""
        if name == self.name:
            return self._make(target, request, timeout_s)
        number = next(self.numbers)
        waiter = gevent_event.AsyncResult()
        self.waiting[number] = waiter
        self.send(
            name,
            messages.RelayCall(
                number,
                target,
                request.method,
                request.path,
                request.body,
                timeout_s,
            ),
        )
        try:
            answer = waiter.get(timeout=timeout_s + RELAY_GRACE_S)
        except gevent.Timeout:
            return result.Err(clients.Failure(f"{name} is silent", True))
        finally:
            del self.waiting[number]
        if answer.status:
            return result.Ok((answer.status, answer.body))
        return result.Err(clients.Failure(answer.reason, answer.is_sent))

    def _make(
        self, target: str, request: calls.Request, timeout_s: float
    ) -> storage.Answer:
        if target == STORE:
            return self.store.call_directly(request, timeout_s)
        return self.advice.exchange(
            request.method, request.path, request.body, {}, timeout_s
        )

    def _receive(self, event: Any) -> None:
        if isinstance(event, peer_events.PeerConnectionRefused):
            self.refused(event.name)
            return
        message = event.message
        if isinstance(message, messages.RelayCall):
            gevent.spawn(self._answer, event.sender, message)
        elif isinstance(message, messages.RelayAnswer):
            waiter = self.waiting.get(message.call_id)
            if waiter is not None:
                waiter.set(message)
        else:
            if isinstance(message, messages.Beat):
                self._hear(message)
            self.take(event.sender, message)

    def _hear(self, beat: messages.Beat) -> None:
        peer = self.peers.get(beat.name)
        if peer is not None:
            peer.boot = beat.boot
            peer.heard_at = time.monotonic()
            peer.has_store = beat.has_store
            peer.cores = beat.cores

    def _answer(self, sender: str, call: messages.RelayCall) -> None:
        request = calls.Request(call.method, call.path, call.body)
        answer = self._make(call.target, request, call.timeout_s)
        if answer.is_ok():
            status, body = answer.ok_value
            reply = messages.RelayAnswer(call.call_id, status, body)
        else:
            failure = answer.err_value
            reply = messages.RelayAnswer(
                call.call_id, 0, b"", failure.is_sent, failure.reason
            )
        self.send(sender, reply)
