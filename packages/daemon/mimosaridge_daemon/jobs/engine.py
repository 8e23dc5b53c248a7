"""Event loop of a daemon: reduces events and executes their effects."""

import collections
from collections.abc import Callable
import time
from typing import Any
import uuid

import gevent
from gevent import queue
import logbook

from mimosaridge_core.jobs import agents
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import election
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fencing
from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import reducer
from mimosaridge_core.jobs import state
from mimosaridge_daemon import clocks
from mimosaridge_daemon import guarding
from mimosaridge_daemon.jobs import agentcalls
from mimosaridge_daemon.jobs import confirming
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import following
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import news
from mimosaridge_daemon.jobs import owning
from mimosaridge_daemon.jobs import peering
from mimosaridge_daemon.jobs import reading
from mimosaridge_daemon.jobs import recording
from mimosaridge_daemon.jobs import routing
from mimosaridge_daemon.jobs import sentstarts
from mimosaridge_daemon.jobs import storage
from mimosaridge_daemon.jobs import takingover
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_daemon.jobs import upkeeping
from mimosaridge_daemon.jobs import workerlinks
from mimosaridge_platform import advicecalls
from mimosaridge_platform import calls
from mimosaridge_platform import daemonsettings
from mimosaridge_platform import storecalls

LOG = logbook.Logger("engine")
# Longest time between two ticks of the owner; starting a task takes 3 ms.
OWNER_TICK_S = 0.02
IDLE_TICK_S = 1.0
# Pause of the owner after each round of decisions, to batch events.
DECISION_PAUSE_S = 0.004
# Intervals between heartbeats of the owner and of the other daemons: a few fit
# into the heartbeat time-outs. They are longer among many daemons, where the
# heartbeats would else cost more than the jobs.
OWNER_HEARTBEAT_S = 0.25
HEARTBEAT_S = 0.6
LARGE_OWNER_HEARTBEAT_S = 0.4
LARGE_HEARTBEAT_S = 0.8
# Longest time that the store holds a watch open. It is short because an
# unanswered watch is only detected after it.
OPERATORS_WATCH_MS = 1200
STATE_WATCH_MS = 2000
WORKERS_WATCH_MS = 1200
# Pauses after a watch that returned changes, to batch later ones. The state can
# wait: peers notify the owner of new jobs and every daemon of finished ones.
# Workers that leave must be known within 2 s.
STATE_PAUSE_S = 0.6
LARGE_STATE_PAUSE_S = 1.0
WORKERS_PAUSE_S = 0.25
# Interval at which the owner chooses its agents anew.
AGENTS_INTERVAL_S = 0.1
# Lease of a daemon's registration in the store, renewed before it expires.
ENTRY_TTL_MS = 15_000
ENTRY_RENEWAL_S = 5.0
ENTRY_RETRY_S = 0.5
# Interval at which the reducer is told until when the ownership is proven.
PROOF_INTERVAL_S = 0.1
# Pause before a new owner that failed to read the state retries.
READ_RETRY_S = 0.2
# A daemon without any path to the store for this time is not ready.
STORE_UNREACHABLE_S = 1.5


class Engine:
    """A daemon's event loop and its connections.

    Attributes:
        state: The reducer's state.
        reader: Decodes the contents of the store.
        confirmations: Knows whether the operators' settings are recent.
        draining: Whether the daemon is shutting down.
        greeted_token: Token of the owner that this daemon last sent a heartbeat
            to as soon as it heard of it.
    """

    def __init__(
        self, settings: daemonsettings.DaemonSettings, secret: str
    ) -> None:
        self.settings = settings
        self.boot = uuid.uuid4().hex[:12]
        self.url = f"ws://{settings.ip}:{settings.peer_port}"
        self.inbox: queue.Queue = queue.Queue()
        self.state = state.State(
            now=time.monotonic(),
            wall=time.time(),
            bounds=settings.bounds,
            learns_run_times=settings.learns_run_times,
        )
        self.draining = False
        self.store = storage.Store(settings.store)
        self.store_timeout_s = storage.TIMEOUT_S
        self.links = workerlinks.Links(self.post)
        self.peering = peering.Peering(
            settings.name,
            f"{settings.ip}:{settings.peer_port}",
            secret,
            self.store,
            settings.advice,
            self._handle_message,
            self._handle_refused,
        )
        self.store.relay = self.peering.relay
        self.router = routing.Router(
            self.links,
            self.post,
            self.peering.send,
            self._zone_of,
            lambda: self.ownership.token,
        )
        self.agent_calls = agentcalls.AgentCalls(
            self.links,
            self.peering.send,
            lambda: self.ownership.view.revision,
        )
        self.ownership = owning.Ownership(
            settings.name,
            self.boot,
            self.store,
            self._on_claimed,
            self._on_lost,
            self._has_preferred_peer,
        )
        self.news = news.News(self.peering)
        self.sent_starts = sentstarts.SentStarts(self.peering)
        self.recorder = recording.Recorder(
            self.store,
            self.post,
            self.ownership.resign,
            self.news.handle_stored,
            self.ownership.handle_confirmation,
        )
        self.upkeeping = upkeeping.Upkeeping(
            settings.name,
            settings.machines,
            self.store,
            self.post,
            lambda: self.ownership.token,
        )
        self.reader = reading.Reader(
            self.post, self.ownership, self.peering, self.recorder
        )
        self.state_reading = takingover.StateReading(self.store, self.reader)
        self.confirmations = confirming.Confirmations(
            self.state, self.store, self.post
        )
        self.live_daemons: frozenset[str] = frozenset()
        self.greeted_token = 0
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            effects.Hold: self.router.give,
            effects.Start: self._start,
            effects.Stop: self.router.give,
            effects.Pace: self.router.give,
            effects.AskAdvice: self._ask_advice,
            effects.WriteProgress: self._write_progress,
            effects.StoreRunTimes: self.recorder.store_run_times,
            effects.ListMachines: self.upkeeping.list_machines,
            effects.BeginUpkeep: self.upkeeping.begin,
            effects.StoreWave: self.upkeeping.store_wave,
            effects.Resign: lambda effect: self.ownership.resign(
                effect.token, effect.reason
            ),
            effects.Decision: telemetry.write_decision,
        }

    def start(self) -> None:
        """Starts the event loop and the greenlets that feed it."""
        guarding.spawn("events", self._run)
        guarding.spawn("ticks", self._tick)
        guarding.spawn("heartbeats", self._send_heartbeats)
        guarding.spawn("registration", self._register)
        guarding.spawn("ownership", self.ownership.run)
        guarding.spawn("confirmations", self.ownership.keep_confirmed)
        guarding.spawn("router", self.router.run)
        self.peering.links.start()
        for follower in self._followers():
            guarding.spawn(f"follower of {follower.prefix}", follower.run)

    def _followers(self) -> list[following.Follower]:
        return [
            following.Follower(
                self.store,
                storecalls.OPERATOR_PREFIX,
                OPERATORS_WATCH_MS,
                lambda: 0.0,
                self.reader.load_operator_settings,
                self.reader.apply_operator_change,
                on_confirmed=self.confirmations.record,
            ),
            following.Follower(
                self.store,
                documents.ROOT,
                STATE_WATCH_MS,
                lambda: self._by_size(STATE_PAUSE_S, LARGE_STATE_PAUSE_S),
                self.reader.load_state,
                self.reader.apply_state_change,
            ),
            following.Follower(
                self.store,
                storecalls.WORKER_PREFIX,
                WORKERS_WATCH_MS,
                lambda: WORKERS_PAUSE_S,
                self.reader.load_workers,
                self.reader.apply_worker_change,
                lambda: bool(self.ownership.token),
            ),
        ]

    def post(self, event: Any) -> None:
        """Queues an event."""
        self.inbox.put(event)

    def log(self, rule: str, **fields: Any) -> None:
        """Logs a decision that the reducer did not make."""
        telemetry.log(rule, **fields)

    def apply_bounds(self, bounds: model.Bounds) -> None:
        """Applies changed time limits."""
        self.post(events.BoundsChanged(time.monotonic(), bounds))

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send requests here."""
        longest_s = STORE_UNREACHABLE_S + OPERATORS_WATCH_MS / 1000
        return (
            self.state.configuration is not None
            and self.reader.has_job_table
            and not self.draining
            and self.store.reaches_store(longest_s)
            and self.confirmations.age_s() < longest_s
        )

    def announce(self, event: Any, message: Any) -> None:
        """Notifies this daemon and the owner of a stored change."""
        self.post(event)
        if not self.ownership.token:
            self.peering.send(self.ownership.view.owner, message)

    def drain(self) -> None:
        """Becomes unready and gives up ownership for a peer to claim."""
        self.draining = True
        self.ownership.leaving = True
        self.peering.send(self.ownership.view.owner, self._heartbeat())
        self._hand_over("this daemon is shutting down")

    def _hand_over(self, reason: str) -> None:
        token = self.ownership.token
        if token:
            self.ownership.step_down(token, reason)
            self.peering.broadcast(messages.Leaving(token))

    def _has_preferred_peer(self, live_only: bool) -> bool:
        cores = self.peering.most_cores(live_only)
        return election.is_preferred_owner(cores, self.settings.cores)

    def _run(self) -> None:
        """Handles all queued events, then ticks so that the owner decides."""
        while True:
            self._handle_next()
            while not self.inbox.empty():
                self._handle_next()
            self._check_authority()
            if self.ownership.token:
                self._handle(events.Tick(time.monotonic(), time.time()))
                self.sent_starts.flush()
                self.router.flush()
                gevent.sleep(DECISION_PAUSE_S)

    def _handle_next(self) -> None:
        event = self.inbox.get()
        if isinstance(event, events.StartAnswered):
            self.sent_starts.add_answer(event)
        # Before each event, since the process may have stood still.
        self._check_authority()
        self._handle(event)

    def _check_authority(self) -> None:
        """Gives up ownership when another daemon may have it."""
        ownership = self.ownership
        now = clocks.since_boot_s()
        if not ownership.token or (
            now - ownership.confirmed_at <= election.ISOLATION_S
        ):
            return
        heard = len(self.peering.followers(ownership.token))
        silent = len(self.peering.peers) - heard
        unproven_s = now - self._proven_at()
        reason = election.reason_to_give_up(unproven_s, heard, silent)
        if not reason:
            return
        self.log(
            "authority-over",
            token=ownership.token,
            reason=reason,
            heard=heard,
            silent=silent,
            unproven_s=round(unproven_s, 2),
            storeless_s=round(self.store.storeless_s(), 2),
        )
        ownership.give_up(reason)

    def _proven_at(self) -> float:
        """Returns until when nobody had claimed after this owner.

        In seconds since boot.
        """
        ownership = self.ownership
        return max(
            ownership.confirmed_at,
            self.peering.all_followed_at(ownership.token),
        )

    def _post_proof(self) -> None:
        """Tells the reducer until when this daemon is certainly the owner."""
        unproven_s = clocks.since_boot_s() - self._proven_at()
        now = time.monotonic()
        self.post(
            events.OwnershipProven(now, self.ownership.token, now - unproven_s)
        )

    def _handle(self, event: Any) -> None:
        produced: list = []
        try:
            reducer.reduce(self.state, event, produced)
        except Exception:
            # The state already reflects the effects produced before.
            guarding.record("reducer", event=type(event).__name__)
        for effect in produced:
            self._execute(effect)

    def _execute(self, effect: Any) -> None:
        try:
            self.effect_handlers[type(effect)](effect)
        except Exception:
            guarding.record("effect", effect=type(effect).__name__)
            if isinstance(effect, fencing.Order):
                self.post(
                    workerlinks.answer_to(effect, events.CallResult.UNKNOWN)
                )

    def _tick(self) -> None:
        choose_agents_at = prove_at = 0.0
        while True:
            owns = bool(self.ownership.token)
            gevent.sleep(OWNER_TICK_S if owns else IDLE_TICK_S)
            if self.inbox.empty():
                self.post(events.Tick(time.monotonic(), time.time()))
            live = self.peering.live_daemons()
            if live != self.live_daemons:
                self.live_daemons = live
                self.post(events.PeersChanged(time.monotonic(), live))
            if owns and time.monotonic() >= prove_at:
                prove_at = time.monotonic() + PROOF_INTERVAL_S
                self._post_proof()
            if owns and time.monotonic() >= choose_agents_at:
                choose_agents_at = time.monotonic() + AGENTS_INTERVAL_S
                self._choose_agents()

    def _choose_agents(self) -> None:
        """Chooses the daemons that call workers; none in a small fleet."""
        if self.peering.is_mesh():
            self.router.set_agents({})
            return
        candidates = [
            candidate
            for candidate in self.peering.agent_candidates()
            if not self.router.is_failed(candidate.name)
        ]
        workers = collections.Counter(
            entry.zone for entry in self.state.entries.values()
        )
        self.router.set_agents(agents.choose_agents(candidates, workers))

    def _zone_of(self, worker_id: str) -> str:
        entry = self.state.entries.get(worker_id)
        return entry.zone if entry is not None else ""

    def _heartbeat(self) -> messages.Beat:
        return messages.Beat(
            self.settings.name,
            self.boot,
            self.url,
            self.store.has_store,
            self.store.reaches_store(STORE_UNREACHABLE_S),
            self.ownership.token,
            self.ownership.view.revision,
            self.ownership.owner_age_s(),
            self.settings.cores,
            self.settings.zone,
            self.draining,
            clocks.since_boot_s(),
            self.ownership.view.sent_at,
        )

    def _send_heartbeats(self) -> None:
        while True:
            self.peering.send_heartbeat(
                self._heartbeat(), self.ownership.view.owner
            )
            if self.ownership.should_yield():
                self._hand_over("a daemon on a preferred machine is in contact")
            gevent.sleep(self._heartbeat_interval_s())

    def _heartbeat_interval_s(self) -> float:
        if self.ownership.token:
            return self._by_size(OWNER_HEARTBEAT_S, LARGE_OWNER_HEARTBEAT_S)
        return self._by_size(HEARTBEAT_S, LARGE_HEARTBEAT_S)

    def _by_size(self, small: float, large: float) -> float:
        """Returns one of two settings by the number of daemons."""
        return small if self.peering.is_mesh() else large

    def _register(self) -> None:
        """Keeps this daemon registered in the store."""
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
            self.settings.name,
            self.boot,
            self.url,
            self.settings.cores,
            self.settings.zone,
        )
        key = documents.DAEMONS + self.settings.name
        request = storecalls.write(
            {}, {key: documents.encode(entry)}, lease=lease
        )
        answer = self.store.call(request)
        is_written = answer.is_ok() and answer.ok_value[0] == 200
        return lease if is_written else 0

    def _renew_entry(self, lease: int) -> bool:
        answer = self.store.call(storecalls.renew_lease(lease))
        return answer.is_err() or answer.ok_value[0] != 404

    def _on_claimed(self, token: int, is_former_gone: bool) -> None:
        """Starts ownership once the state has been read."""
        telemetry.IS_OWNER.set(1)
        gevent.spawn(self._start_owning, token, is_former_gone)

    def _start_owning(self, token: int, is_former_gone: bool) -> None:
        while self.ownership.token == token and not guarding.attempt(
            "start of ownership", self.state_reading.read, token, default=False
        ):
            gevent.sleep(READ_RETRY_S)
        if self.ownership.token != token:
            return
        guarding.attempt("run times", self.state_reading.read_run_times)
        self.post(
            events.OwnershipClaimed(
                time.monotonic(),
                token,
                self.reader.fleet,
                # A sign of its end may have come since the claim.
                is_former_gone or self.ownership.is_former_gone,
                self.ownership.former_claimed_at,
                self.ownership.evidence,
                self.ownership.informed_at,
                self.sent_starts.last(),
            )
        )

    def _on_lost(self, token: int, reason: str) -> None:
        telemetry.IS_OWNER.set(0)
        self.router.reset()
        self.post(events.OwnershipLost(time.monotonic(), token, reason))

    def _start(self, order: effects.Start) -> None:
        self.sent_starts.add(order)
        self.router.give(order)

    def _write_progress(self, effect: effects.WriteProgress) -> None:
        if self.state.owner is not None:
            self.recorder.write(self.state.owner.token, effect)

    def _ask_advice(self, effect: effects.AskAdvice) -> None:
        gevent.spawn(self._make_advice_call, effect)

    def _make_advice_call(self, effect: effects.AskAdvice) -> None:
        tickets, valid_s, answered = guarding.attempt(
            "advice", self._call_for_advice, effect, default=({}, 0.0, False)
        )
        self.post(
            events.AdviceAnswered(
                time.monotonic(),
                effect.asker,
                effect.group,
                effect.workers,
                tickets,
                answered,
                valid_s,
            )
        )

    def _call_for_advice(
        self, effect: effects.AskAdvice
    ) -> tuple[dict[str, str], float, bool]:
        """Returns the tickets, their validity and whether there is an answer.

        The tickets are by worker id, the validity is in seconds.
        """
        request = advicecalls.advise(effect.group, effect.workers)
        started_at = time.monotonic()
        answer = self.peering.call_via(
            effect.asker, peering.ADVICE, request, effect.timeout_s
        )
        telemetry.CALL_SECONDS.labels("advice").observe(
            time.monotonic() - started_at
        )
        if answer.is_ok() and answer.ok_value[0] == 200:
            try:
                return *advicecalls.decode(answer.ok_value[1]), True
            except calls.MalformedError as error:
                LOG.error("{}", error)
        return {}, 0.0, False

    def _handle_message(self, sender: str, message: Any) -> None:
        now = time.monotonic()
        if isinstance(message, messages.Beat):
            self._handle_heartbeat(message)
        elif isinstance(message, messages.WorkerOrders):
            self.agent_calls.handle_orders(sender, message)
        elif isinstance(message, messages.WorkerAnswers):
            self.router.handle_answers(sender, message)
        elif isinstance(message, messages.StartsSent):
            self.sent_starts.record(message)
        elif isinstance(message, messages.Leaving):
            self.ownership.handle_leaving(message.token)
        elif isinstance(message, messages.JobStored):
            self.news.origins.add(message.job.job_id, sender)
            self.post(events.JobAccepted(now, message.job, message.revision))
        elif isinstance(message, messages.CancelStored):
            self.post(
                events.JobCancelled(now, message.job_id, message.revision)
            )
        elif isinstance(message, messages.StatesStored):
            for job_id, (progress, revision) in message.progress.items():
                self.post(
                    events.ProgressStored(now, job_id, progress, revision)
                )

    def _handle_heartbeat(self, heartbeat: messages.Beat) -> None:
        self.peering.add(
            heartbeat.name, heartbeat.url, heartbeat.cores, heartbeat.zone
        )
        self.ownership.handle_heartbeat(heartbeat)
        self._record_informed(heartbeat)
        self._record_former_end(heartbeat)
        self.router.handle_heartbeat(heartbeat.name)
        if heartbeat.token > self.greeted_token:
            # A new owner needs to know its agents before the next interval.
            self.greeted_token = heartbeat.token
            self.peering.send(heartbeat.name, self._heartbeat())

    def _record_informed(self, heartbeat: messages.Beat) -> None:
        """Records a daemon that knows of this owner's claim."""
        token = self.ownership.token
        if (
            token
            and heartbeat.owner_token == token
            and self.ownership.record_informed(
                heartbeat.name, self.peering.peers
            )
        ):
            self.post(events.DaemonsInformed(time.monotonic(), token))

    def _record_former_end(self, heartbeat: messages.Beat) -> None:
        """Records that the process of the former owner has ended."""
        if self.ownership.record_former_end(heartbeat):
            self.post(
                events.FormerOwnerGone(
                    time.monotonic(),
                    self.ownership.token,
                    self.ownership.former_claimed_at,
                )
            )

    def _handle_refused(self, name: str) -> None:
        self.ownership.handle_refused(name)
        self.router.fail(name, "its connection was refused")
