"""Communication between daemons: heartbeats, relayed calls, job updates."""

from collections.abc import Callable
import dataclasses
import itertools
import random
from typing import Any

import gevent
from gevent import event as gevent_event
import result

from mimosaridge_core.jobs import agents
from mimosaridge_core.jobs import election
from mimosaridge_daemon import clients
from mimosaridge_daemon import clocks
from mimosaridge_daemon import codec
from mimosaridge_daemon import guarding
from mimosaridge_daemon import peers
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import storage
from mimosaridge_platform import calls

# A peer without a heartbeat for this time is not asked to relay calls.
HEARTBEAT_TIMEOUT_S = election.HEARTBEAT_TIMEOUT_S
# A peer without a heartbeat for this time, two intervals of them, gets no
# orders for workers.
AGENT_HEARTBEAT_TIMEOUT_S = 1.8
# A relayed call may take this much longer than a direct one.
RELAY_GRACE_S = 0.3
# With more peers than this, daemons send heartbeats only to the owner and to
# their neighbours in the order of names, and the owner sends the progress of a
# job only to the daemon that accepted it: the messages of a full mesh grow with
# the square of the number of daemons.
MAX_MESH_PEERS = 8
# Neighbours on each side, so that some remain if a few daemons fail.
NEIGHBOURS = 2
STORE = "store"
ADVICE = "advice"
ADVICE_CONNECTIONS = 2

codec.register_messages(messages.ALL)


@dataclasses.dataclass(slots=True)
class Peer:
    """A known peer.

    Attributes:
        url: Its WebSocket URL.
        boot: Id of its process in its last heartbeat.
        last_heartbeat_at: When its last heartbeat arrived, seconds since boot.
        owner_token: Fencing token of the owner that it knows.
        followed_at: When this daemon sent the latest heartbeat after which the
            peer still knew no newer owner, seconds since boot. The time at
            which the peer's answer arrives would not do: it may have waited in
            a link, or unread while this process stood still.
        has_store: Whether it can call the store directly.
        relay_failed_at: When a call through it last failed, seconds since boot;
            it is asked again after its next heartbeat.
        cores: CPU capacity of its machine, in cores.
        zone: Availability zone of its machine.
        is_leaving: Whether it is shutting down.
        is_refused: Whether its machine has refused a connection since its last
            heartbeat: it gets no calls or orders meanwhile.
    """

    url: str
    boot: str = ""
    last_heartbeat_at: float = 0.0
    owner_token: int = 0
    followed_at: float = 0.0
    has_store: bool = False
    relay_failed_at: float = 0.0
    cores: float = 0.0
    zone: str = ""
    is_leaving: bool = False
    is_refused: bool = False

    def is_heard(self) -> bool:
        """Returns whether its heartbeats arrive."""
        silent_s = clocks.since_boot_s() - self.last_heartbeat_at
        return silent_s < HEARTBEAT_TIMEOUT_S

    def is_live(self) -> bool:
        """Returns whether its heartbeats arrive and calls should reach it."""
        return self.is_heard() and not self.is_refused


class Peering:
    """Connections to the other daemons.

    Attributes:
        peers: Known peers by name.
    """

    def __init__(
        self,
        name: str,
        address: str,
        secret: str,
        store: storage.Store,
        advice: str,
        on_message: Callable[[str, Any], None],
        on_refused: Callable[[str], None],
    ) -> None:
        self.name = name
        self.store = store
        self.on_message = on_message
        self.on_refused = on_refused
        self.peers: dict[str, Peer] = {}
        self.advice: clients.Client | None = None
        if advice:
            self.advice = clients.Client(f"http://{advice}", ADVICE_CONNECTIONS)
        self.links = peers.Peers(
            name, address, secret, self._receive_safely, self._handle_refused
        )
        self.pending: dict[int, gevent_event.AsyncResult] = {}
        self.rng = random.Random()
        # A random start, so that answers to calls of a former process of this
        # machine match no pending call.
        self.call_ids = itertools.count(self.rng.getrandbits(48))

    def add(
        self, name: str, url: str, cores: float = 0.0, zone: str = ""
    ) -> None:
        """Adds a peer or updates its URL, cores and availability zone."""
        if name == self.name:
            return
        peer = self.peers.get(name)
        if peer is None or peer.url != url:
            peer = self.peers[name] = Peer(url)
        peer.cores = cores or peer.cores
        peer.zone = zone or peer.zone

    def is_mesh(self) -> bool:
        """Returns whether there are few enough daemons for a full mesh."""
        return len(self.peers) <= MAX_MESH_PEERS

    def send_heartbeat(self, heartbeat: messages.Beat, owner: str) -> None:
        """Sends a heartbeat to the peers that need it; the owner's to all."""
        if heartbeat.token or self.is_mesh():
            self.broadcast(heartbeat)
            return
        for name in self.neighbours() | {owner}:
            self.send(name, heartbeat)

    def neighbours(self) -> set[str]:
        """Returns the daemons next to this one in the order of names."""
        names = sorted({*self.peers, self.name})
        index = names.index(self.name)
        steps = (*range(-NEIGHBOURS, 0), *range(1, NEIGHBOURS + 1))
        neighbours = {names[(index + step) % len(names)] for step in steps}
        return neighbours - {self.name}

    def remove(self, name: str) -> None:
        """Removes a peer unless its heartbeats still arrive."""
        peer = self.peers.get(name)
        if peer and not peer.is_live():
            del self.peers[name]

    def send(self, name: str, message: Any) -> None:
        """Sends a message to a peer; does nothing if it is unknown."""
        peer = self.peers.get(name)
        if peer is not None:
            self.links.send(name, peer.url, message)

    def broadcast(self, message: Any) -> None:
        """Sends a message to all peers."""
        for name in list(self.peers):
            self.send(name, message)

    def live_daemons(self) -> frozenset[str]:
        """Returns the daemons that calls should reach, with this one."""
        names = {name for name, peer in self.peers.items() if peer.is_live()}
        return frozenset(names | {self.name})

    def followers(self, token: int) -> frozenset[str]:
        """Returns the peers that know no newer owner than that of a token.

        They have said so in answer to a recent heartbeat of this daemon. Calls
        to them may be refused nevertheless. Other known peers may go on behind
        a cut, also those that refuse connections, or have restarted and know no
        owner.
        """
        since = clocks.since_boot_s() - HEARTBEAT_TIMEOUT_S
        return frozenset(
            name
            for name, peer in self.peers.items()
            if peer.owner_token == token and peer.followed_at > since
        )

    def all_followed_at(self, token: int) -> float:
        """Returns when all peers still knew no newer owner, seconds since boot.

        0 if one of them has not said so in its last heartbeat.
        """
        peers_of_other = [
            peer for peer in self.peers.values() if peer.owner_token != token
        ]
        if peers_of_other:
            return 0.0
        return min(
            (peer.followed_at for peer in self.peers.values()),
            default=clocks.since_boot_s(),
        )

    def agent_candidates(self) -> list[agents.Candidate]:
        """Returns the peers that can call workers for this daemon."""
        since = clocks.since_boot_s() - AGENT_HEARTBEAT_TIMEOUT_S
        return [
            agents.Candidate(name, peer.zone, peer.cores)
            for name, peer in self.peers.items()
            if peer.last_heartbeat_at > since
            and not peer.is_leaving
            and not peer.is_refused
        ]

    def most_cores(self, live_only: bool) -> float:
        """Returns the largest number of cores of a peer; 0 without peers.

        Args:
            live_only: Whether to consider only peers with recent heartbeats
                that can call the store directly.
        """
        return max(
            (
                peer.cores
                for peer in self.peers.values()
                if not live_only or (peer.has_store and peer.is_live())
            ),
            default=0.0,
        )

    def relay(
        self, request: calls.Request, timeout_s: float
    ) -> storage.Answer | None:
        """Calls the store through a peer; None if none can call it.

        The answer passes through the peer's link twice. Small machines have
        narrow links, which a few large answers fill for seconds, so one of the
        peers with most cores is asked.
        """
        candidates = {
            name: peer.cores
            for name, peer in self.peers.items()
            if peer.has_store
            and peer.is_live()
            and peer.last_heartbeat_at > peer.relay_failed_at
        }
        if not candidates:
            return None
        most = max(candidates.values())
        name = self.rng.choice(
            [
                name
                for name, cores in candidates.items()
                if not election.is_preferred_owner(most, cores)
            ]
        )
        answer = self.call_via(name, STORE, request, timeout_s)
        if answer.is_err() and name in self.peers:
            self.peers[name].relay_failed_at = clocks.since_boot_s()
        return answer

    def call_via(
        self, name: str, target: str, request: calls.Request, timeout_s: float
    ) -> storage.Answer:
        """Makes a call from the named daemon, which may be this one."""
        if name == self.name:
            return self._call(target, request, timeout_s)
        call_id = next(self.call_ids)
        waiter = gevent_event.AsyncResult()
        self.pending[call_id] = waiter
        self.send(
            name,
            messages.RelayCall(
                call_id,
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
            return result.Err(
                clients.Failure(f"no answer from peer {name}", True)
            )
        finally:
            del self.pending[call_id]
        if answer.status:
            return result.Ok((answer.status, answer.body))
        return result.Err(clients.Failure(answer.reason, answer.is_sent))

    def _call(
        self, target: str, request: calls.Request, timeout_s: float
    ) -> storage.Answer:
        if target == STORE:
            return self.store.call_directly(request, timeout_s)
        if self.advice is None:
            failure = clients.Failure("no advice service is set", False)
            return result.Err(failure)
        return self.advice.exchange(
            request.method, request.path, request.body, {}, timeout_s
        )

    def _handle_refused(self, name: str) -> None:
        peer = self.peers.get(name)
        if peer is not None:
            peer.is_refused = True
        self.on_refused(name)

    def _receive_safely(self, sender: str, message: Any) -> None:
        guarding.attempt("message", self._receive, sender, message)

    def _receive(self, sender: str, message: Any) -> None:
        if isinstance(message, messages.RelayCall):
            gevent.spawn(self._serve_relay, sender, message)
        elif isinstance(message, messages.RelayAnswer):
            waiter = self.pending.get(message.call_id)
            if waiter is not None:
                waiter.set(message)
        else:
            if isinstance(message, messages.Beat):
                self._record_heartbeat(message)
            self.on_message(sender, message)

    def _record_heartbeat(self, heartbeat: messages.Beat) -> None:
        peer = self.peers.get(heartbeat.name)
        if peer is not None:
            peer.boot = heartbeat.boot
            peer.owner_token = heartbeat.owner_token
            peer.followed_at = heartbeat.owner_sent_at
            peer.last_heartbeat_at = clocks.since_boot_s()
            peer.is_refused = False
            peer.has_store = heartbeat.has_store
            peer.cores = heartbeat.cores
            peer.is_leaving = heartbeat.is_leaving

    def _serve_relay(self, sender: str, call: messages.RelayCall) -> None:
        request = calls.Request(call.method, call.path, call.body)
        failure = clients.Failure("failed in the peer", is_sent=True)
        answer = guarding.attempt(
            "relayed call",
            self._call,
            call.target,
            request,
            call.timeout_s,
            default=result.Err(failure),
        )
        if answer.is_ok():
            status, body = answer.ok_value
            reply = messages.RelayAnswer(call.call_id, status, body)
        else:
            failure = answer.err_value
            reply = messages.RelayAnswer(
                call.call_id, 0, b"", failure.is_sent, failure.reason
            )
        self.send(sender, reply)
