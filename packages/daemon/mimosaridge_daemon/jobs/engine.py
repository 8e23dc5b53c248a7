"""Feeds events to the job scheduler and carries out its effects."""

from collections.abc import Callable
import time
from typing import Any
import uuid

import gevent
from gevent import queue
import logbook

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import election
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import reducer
from mimosaridge_core.jobs import state
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import following
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import origins
from mimosaridge_daemon.jobs import owning
from mimosaridge_daemon.jobs import peering
from mimosaridge_daemon.jobs import reading
from mimosaridge_daemon.jobs import recording
from mimosaridge_daemon.jobs import storage
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_daemon.jobs import workerlinks
from mimosaridge_platform import advicecalls
from mimosaridge_platform import calls
from mimosaridge_platform import daemonsettings
from mimosaridge_platform import storecalls

LOG = logbook.Logger("engine")
# The owner decides this often at least; a start takes 3 ms.
OWNER_TICK_S = 0.02
IDLE_TICK_S = 0.2
# Pause after each round of decisions, so that one round takes several events.
DECISION_PAUSE_S = 0.004
# Beats of the owner and of others: a few fit into the limits of silence.
OWNER_BEAT_S = 0.25
BEAT_S = 0.6
# How long watches wait, milliseconds: a silent one is noticed soon after.
OPERATORS_WAIT_MS = 1200
OWN_WAIT_MS = 2000
WORKERS_WAIT_MS = 1200
# Pause after changes, so that a call brings several: the owner is told of
# new jobs, and all are told of finished ones, by peers. Leaving workers must
# be known within 2 s.
OWN_PAUSE_S = 0.6
WORKERS_PAUSE_S = 0.25
# A daemon's own entry goes with a lease this long, renewed a few times.
ENTRY_TTL_MS = 15_000
ENTRY_RENEWAL_S = 5.0
ENTRY_RETRY_S = 0.5
# A new owner that can't read the store tries again after this time.
READ_AGAIN_S = 0.2
# A daemon that reaches the store by no way for this long is not ready.
STORELESS_S = 1.5


class Engine:
    """One daemon.

    Attributes:
        state: What the reducer knows.
        reader: Takes what the store holds.
        draining: Whether it has been told to end.
    """

    def __init__(
        self, around: daemonsettings.DaemonSettings, secret: str
    ) -> None:
        self.around = around
        self.boot = uuid.uuid4().hex[:12]
        self.url = f"ws://{around.ip}:{around.peer_port}"
        self.inbox: queue.Queue = queue.Queue()
        self.state = state.State(
            now=time.monotonic(), wall=time.time(), bounds=around.bounds
        )
        self.draining = False
        self.store = storage.Store(around.store)
        self.store_timeout_s = storage.TIMEOUT_S
        self.links = workerlinks.Links(self.post)
        self.peering = peering.Peering(
            around.name,
            f"{around.ip}:{around.peer_port}",
            secret,
            self.store,
            around.advice,
            self._take_message,
            self._take_refused,
        )
        self.store.relay = self.peering.relay
        self.owning = owning.Owning(
            around.name,
            self.boot,
            self.store,
            self._claimed,
            self._lost,
            self._has_fitter_peer,
        )
        self.recorder = recording.Recorder(
            self.store, self.post, self.owning.resign, self._stored
        )
        self.reader = reading.Reader(
            self.post, self.owning, self.peering, self.recorder
        )
        self.askers: frozenset[str] = frozenset()
        self.origins = origins.Origins()
        self.carriers: dict[type, Callable[[Any], None]] = {
            effects.Hold: self.links.hold,
            effects.Start: self.links.start,
            effects.Stop: self.links.stop,
            effects.AskAdvice: self._ask_advice,
            effects.WriteProgress: self._write_progress,
            effects.Resign: lambda effect: self.owning.resign(
                effect.token, effect.reason
            ),
            effects.Decision: telemetry.write_decision,
        }

    def start(self) -> None:
        """Starts the loop and all that feeds it."""
        gevent.spawn(self._run)
        gevent.spawn(self._tick)
        gevent.spawn(self._beat)
        gevent.spawn(self._register)
        gevent.spawn(self.owning.run)
        self.peering.links.start()
        for follower in self._followers():
            gevent.spawn(follower.run)

    def _followers(self) -> list[following.Follower]:
        return [
            following.Follower(
                self.store,
                storecalls.OPERATOR_PREFIX,
                OPERATORS_WAIT_MS,
                0.0,
                self.reader.list_operators,
                self.reader.change_operators,
            ),
            following.Follower(
                self.store,
                documents.OWN,
                OWN_WAIT_MS,
                OWN_PAUSE_S,
                self.reader.list_own,
                self.reader.change_own,
            ),
            following.Follower(
                self.store,
                storecalls.WORKER_PREFIX,
                WORKERS_WAIT_MS,
                WORKERS_PAUSE_S,
                self.reader.list_workers,
                self.reader.change_worker,
                lambda: bool(self.owning.token),
            ),
        ]

    def post(self, event: Any) -> None:
        """Queues an event."""
        self.inbox.put(event)

    def log(self, rule: str, **fields: Any) -> None:
        """Logs a decision that the reducer did not make."""
        telemetry.write_decision(effects.Decision(rule, "", "", fields))

    def put_in_force(self, bounds: model.Bounds) -> None:
        """Puts changed time limits in force."""
        self.post(events.BoundsChanged(time.monotonic(), bounds))

    def is_ready(self) -> bool:
        """Tells whether callers should be sent here."""
        return (
            self.state.configuration is not None
            and self.reader.has_jobs
            and not self.draining
            and self.store.reaches_store(STORELESS_S + OPERATORS_WAIT_MS / 1000)
        )

    def announce(self, event: Any, message: Any) -> None:
        """Tells this daemon and the owner of a change that was stored."""
        self.post(event)
        if not self.owning.token:
            self.peering.send(self.owning.view.owner, message)

    def leave(self) -> None:
        """Gives ownership up, to let a peer take over at once."""
        self.draining = True
        self.owning.leaving = True
        self._hand_over("this daemon leaves")

    def _hand_over(self, reason: str) -> None:
        token = self.owning.token
        if token:
            self.owning.give_up(token, reason)
            self.peering.broadcast(messages.Leaving(token))

    def _has_fitter_peer(self, heard: bool) -> bool:
        cores = self.peering.most_cores(heard)
        return election.is_preferred_owner(cores, self.around.cores)

    def _run(self) -> None:
        """Handles what has come, then decides at once what follows from it."""
        while True:
            self._handle(self.inbox.get())
            while not self.inbox.empty():
                self._handle(self.inbox.get())
            if self.owning.token:
                self._handle(events.Tick(time.monotonic(), time.time()))
                gevent.sleep(DECISION_PAUSE_S)

    def _handle(self, event: Any) -> None:
        try:
            produced = reducer.reduce(self.state, event)
        except Exception:
            LOG.exception("{} failed", type(event).__name__)
            return
        for effect in produced:
            self._carry(effect)

    def _carry(self, effect: Any) -> None:
        try:
            self.carriers[type(effect)](effect)
        except Exception:
            LOG.exception("{} failed", type(effect).__name__)

    def _tick(self) -> None:
        while True:
            owns = bool(self.owning.token)
            gevent.sleep(OWNER_TICK_S if owns else IDLE_TICK_S)
            if self.inbox.empty():
                self.post(events.Tick(time.monotonic(), time.time()))
            heard = self.peering.heard()
            if heard != self.askers:
                self.askers = heard
                self.post(events.PeersChanged(time.monotonic(), heard))

    def _beat(self) -> None:
        while True:
            self.peering.beat(
                messages.Beat(
                    self.around.name,
                    self.boot,
                    self.url,
                    self.store.has_store,
                    self.store.reaches_store(STORELESS_S),
                    self.owning.token,
                    self.owning.view.revision,
                    self.owning.owner_age_s(),
                    self.around.cores,
                ),
                self.owning.view.owner,
            )
            if self.owning.should_yield():
                self._hand_over("a fitter daemon is heard")
            gevent.sleep(OWNER_BEAT_S if self.owning.token else BEAT_S)

    def _register(self) -> None:
        """Keeps this daemon's entry in the store."""
        lease = 0
        while True:
            if not lease:
                lease = self._write_entry()
            elif not self._renew_entry(lease):
                lease = 0
                continue
            gevent.sleep(ENTRY_RENEWAL_S if lease else ENTRY_RETRY_S)

    def _write_entry(self) -> int:
        answer = self.store.call(storecalls.grant_lease(ENTRY_TTL_MS))
        if answer.is_err() or answer.ok_value[0] != 200:
            return 0
        try:
            lease = storecalls.decode_lease(answer.ok_value[1])
        except calls.MalformedError as error:
            LOG.error("{}", error)
            return 0
        entry = documents.Daemon(
            self.around.name, self.boot, self.url, self.around.cores
        )
        key = documents.DAEMONS + self.around.name
        request = storecalls.write(
            {}, {key: documents.encode(entry)}, lease=lease
        )
        answer = self.store.call(request)
        is_written = answer.is_ok() and answer.ok_value[0] == 200
        return lease if is_written else 0

    def _renew_entry(self, lease: int) -> bool:
        answer = self.store.call(storecalls.renew_lease(lease))
        return answer.is_err() or answer.ok_value[0] != 404

    def _claimed(self, token: int, is_former_gone: bool) -> None:
        """Reads the table anew, then becomes the owner."""
        telemetry.IS_OWNER.set(1)
        gevent.spawn(self._begin_owning, token, is_former_gone)

    def _begin_owning(self, token: int, is_former_gone: bool) -> None:
        while self.owning.token == token and not self._read_anew(token):
            gevent.sleep(READ_AGAIN_S)
        if self.owning.token != token:
            return
        self.post(
            events.OwnershipClaimed(
                time.monotonic(),
                token,
                self.reader.fleet,
                is_former_gone,
            )
        )

    def _read_anew(self, token: int) -> bool:
        """Reads all that an owner must know; tells whether it was read."""
        for prefix, take in (
            (documents.OWN, self.reader.list_own),
            (storecalls.WORKER_PREFIX, self.reader.list_workers),
        ):
            answer = storage.read_all(self.store, prefix)
            if answer.is_err():
                reason = answer.err_value
                self.log("owner-unread", reason=reason, token=token)
                return False
            take(answer.ok_value)
        return True

    def _lost(self, token: int, reason: str) -> None:
        telemetry.IS_OWNER.set(0)
        self.post(events.OwnershipLost(time.monotonic(), token, reason))

    def _stored(self, progress: dict) -> None:
        """Tells daemons what the owner has stored.

        In a large fleet all are told only of jobs that are over, without what
        their tasks did: callers ask any daemon and wait for that. Of other
        changes only the daemon that accepted the job is told at once.
        """
        if self.peering.is_mesh():
            self.peering.broadcast(messages.StatesStored(progress))
            return
        over, parts = self.origins.divide(progress)
        if over:
            self.peering.broadcast(messages.StatesStored(over))
        for name, part in parts.items():
            self.peering.send(name, messages.StatesStored(part))

    def _write_progress(self, effect: effects.WriteProgress) -> None:
        if self.state.owner is not None:
            self.recorder.write(self.state.owner.token, effect)

    def _ask_advice(self, effect: effects.AskAdvice) -> None:
        gevent.spawn(self._make_advice_call, effect)

    def _make_advice_call(self, effect: effects.AskAdvice) -> None:
        request = advicecalls.advise(effect.group, effect.workers)
        began = time.monotonic()
        answer = self.peering.call_by(
            effect.asker, peering.ADVICE, request, effect.timeout_s
        )
        now = time.monotonic()
        telemetry.CALL_SECONDS.labels("advice").observe(now - began)
        tickets, valid_s, answered = {}, 0.0, False
        if answer.is_ok() and answer.ok_value[0] == 200:
            try:
                tickets, valid_s = advicecalls.decode(answer.ok_value[1])
                answered = True
            except calls.MalformedError as error:
                LOG.error("{}", error)
        self.post(
            events.AdviceAnswered(
                now,
                effect.asker,
                effect.group,
                effect.workers,
                tickets,
                answered,
                valid_s,
            )
        )

    def _take_message(self, sender: str, message: Any) -> None:
        now = time.monotonic()
        if isinstance(message, messages.Beat):
            self.peering.add(message.name, message.url, message.cores)
            self.owning.hear(message)
        elif isinstance(message, messages.Leaving):
            self.owning.hear_leaving(message.token)
        elif isinstance(message, messages.JobStored):
            self.origins.note(message.job.job_id, sender)
            self.post(events.JobAccepted(now, message.job, message.revision))
        elif isinstance(message, messages.CancelStored):
            self.post(events.JobCancelled(now, message.job_id))
        elif isinstance(message, messages.StatesStored):
            for job_id, (progress, revision) in message.progress.items():
                self.post(
                    events.ProgressStored(now, job_id, progress, revision)
                )

    def _take_refused(self, name: str) -> None:
        self.owning.hear_refused(name)
