"""Calls of the owner for waves of upkeep: to the platform and the store."""

from collections.abc import Callable
import time
from typing import Any

import gevent
import logbook

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_daemon import clients
from mimosaridge_daemon import guarding
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import storage
from mimosaridge_platform import calls
from mimosaridge_platform import machinecalls
from mimosaridge_platform import storecalls

LOG = logbook.Logger("upkeeping")
CONNECTIONS = 2
# The platform may be slow; an order without an answer is repeated.
TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5
MAX_PAGES = 100
# Attempts at a write of a wave's status, and the pause between them, seconds.
STORE_ATTEMPTS = 20
STORE_RETRY_S = 0.5


class Upkeeping:
    """Lists machines, orders their upkeep and stores how far waves are."""

    def __init__(
        self,
        name: str,
        address: str,
        store: storage.Store,
        post: Callable[[Any], None],
        token: Callable[[], int],
    ) -> None:
        self.name = name
        self.store = store
        self.post = post
        self.token = token
        # Waves whose progress is being stored, with the latest.
        self.latest: dict[int, effects.StoreWave] = {}
        self.client: clients.Client | None = None
        if address:
            self.client = clients.Client(f"http://{address}", CONNECTIONS)

    def list_machines(self, effect: effects.ListMachines) -> None:
        """Lists the platform's machines and posts them."""
        gevent.spawn(guarding.attempt, "machines", self._list, effect)

    def begin(self, effect: effects.BeginUpkeep) -> None:
        """Orders the upkeep of a machine and posts the answer."""
        gevent.spawn(guarding.attempt, "upkeep", self._begin, effect)

    def store_wave(self, effect: effects.StoreWave) -> None:
        """Stores how far a wave is, the latest only, one write at a time.

        A write that arrives after a later one would take its news back.
        """
        number = effect.progress.number
        is_writing = number in self.latest
        self.latest[number] = effect
        if not is_writing:
            gevent.spawn(guarding.attempt, "wave", self._keep_storing, number)

    def _keep_storing(self, number: int) -> None:
        stored = None
        try:
            while self.latest[number] is not stored:
                stored = self.latest[number]
                self._store(stored)
        finally:
            del self.latest[number]

    def _exchange(self, request: calls.Request) -> storage.Answer:
        return self.client.exchange(
            request.method,
            request.path,
            request.body or None,
            request.headers,
            TIMEOUT_S,
            CONNECT_TIMEOUT_S,
        )

    def _list(self, effect: effects.ListMachines) -> None:
        machines = self._read_pages() if self.client is not None else None
        self.post(
            events.MachinesListed(
                time.monotonic(), effect.token, effect.requested_at, machines
            )
        )

    def _read_pages(self) -> dict[str, model.Machine] | None:
        machines: dict[str, model.Machine] = {}
        page = ""
        for _ in range(MAX_PAGES):
            answer = self._exchange(machinecalls.list_machines(page))
            if answer.is_err() or answer.ok_value[0] != 200:
                return None
            try:
                found, page = machinecalls.decode_machines(answer.ok_value[1])
            except calls.MalformedError as error:
                LOG.error("{}", error)
                return None
            machines |= found
            if not page:
                return machines
        return None

    def _begin(self, effect: effects.BeginUpkeep) -> None:
        if effect.token != self.token():
            return
        request = machinecalls.begin_upkeep(
            effect.machine, effect.wave, self.name, effect.token
        )
        answer = self._exchange(request)
        outcome = events.UpkeepResult.UNKNOWN
        if answer.is_ok():
            outcome = machinecalls.decode_upkeep(*answer.ok_value)
        elif not answer.err_value.is_sent:
            outcome = events.UpkeepResult.REFUSED
        self.post(
            events.UpkeepAnswered(
                time.monotonic(),
                effect.token,
                effect.wave,
                effect.machine,
                outcome,
            )
        )

    def _store(self, effect: effects.StoreWave) -> None:
        """Stores how far a wave is, until there is later news or no owner."""
        progress = effect.progress
        status = machinecalls.encode_status(progress.is_completed)
        request = storecalls.write(
            {documents.OWNER: effect.token},
            {
                f"{machinecalls.STATUS_PREFIX}{progress.number}": status,
                f"{documents.WAVES}{progress.number}": documents.encode(
                    progress
                ),
            },
        )
        for _ in range(STORE_ATTEMPTS):
            is_latest = self.latest[progress.number] is effect
            if effect.token != self.token() or not is_latest:
                return
            answer = self.store.call(request)
            if answer.is_ok() and answer.ok_value[0] == 200:
                return
            gevent.sleep(STORE_RETRY_S)
