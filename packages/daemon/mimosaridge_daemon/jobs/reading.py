"""Turns what the store holds into events and into news for the daemon."""

from collections.abc import Callable
import time
from typing import Any

import logbook

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_daemon import codec
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import owning
from mimosaridge_daemon.jobs import peering
from mimosaridge_daemon.jobs import recording
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import calls
from mimosaridge_platform import configurations
from mimosaridge_platform import discovery
from mimosaridge_platform import storecalls

LOG = logbook.Logger("reading")


class Reader:
    """Takes lists and changes of the three prefixes that daemons follow.

    Attributes:
        has_jobs: Whether the table of jobs was read.
        fleet: The workers that owners use, as last read.
    """

    def __init__(
        self,
        post: Callable[[Any], None],
        claims: owning.Owning,
        peers: peering.Peering,
        recorder: recording.Recorder,
    ) -> None:
        self.post = post
        self.owning = claims
        self.peering = peers
        self.recorder = recorder
        self.has_jobs = False
        self.fleet = model.Fleet()
        self.fleet_revision = 0
        self.zones_out: frozenset[str] = frozenset()

    def list_operators(self, page: storecalls.Page) -> None:
        """Takes all that operators have set."""
        zones = set()
        for item in page.items:
            zone = configurations.evacuated_zone(item.key)
            if zone:
                zones.add(zone)
            elif item.key == storecalls.CONFIGURATION_KEY:
                self._configure(item)
        self._set_zones_out(frozenset(zones))

    def change_operators(self, item: storecalls.Item) -> None:
        """Takes a change by operators."""
        zone = configurations.evacuated_zone(item.key)
        if zone and item.value is None:
            self._set_zones_out(self.zones_out - {zone})
        elif zone:
            self._set_zones_out(self.zones_out | {zone})
        elif item.key == storecalls.CONFIGURATION_KEY:
            self._configure(item)

    def _set_zones_out(self, zones: frozenset[str]) -> None:
        self.zones_out = zones
        self.post(events.ZonesOutChanged(time.monotonic(), zones))

    def _configure(self, item: storecalls.Item) -> None:
        if item.value is None:
            return
        try:
            configuration = configurations.decode(item.value)
        except calls.MalformedError as error:
            LOG.error("{}", error)
            return
        self.post(events.ConfigurationChanged(time.monotonic(), configuration))

    def list_workers(self, page: storecalls.Page) -> None:
        """Takes the whole list of workers."""
        workers = {}
        for item in page.items:
            entry = self._decode_worker(item)
            if entry is not None:
                workers[entry.worker_id] = entry
        self.post(events.WorkersListed(time.monotonic(), workers))

    def change_worker(self, item: storecalls.Item) -> None:
        """Takes a change of one worker's entry."""
        worker_id = discovery.worker_id(item.key)
        entry = self._decode_worker(item)
        self.post(events.WorkerChanged(time.monotonic(), worker_id, entry))

    def _decode_worker(self, item: storecalls.Item) -> Any:
        if item.value is None:
            return None
        try:
            return discovery.decode(item.key, item.value)
        except calls.MalformedError as error:
            fields = {"key": item.key, "reason": str(error)}
            telemetry.write_decision(
                effects.Decision("worker-unreadable", "", "", fields)
            )
            return None

    def list_own(self, page: storecalls.Page) -> None:
        """Takes all of the daemons' own items."""
        jobs, progress, cancelled = {}, {}, set()
        owner = None
        for item in page.items:
            kind, name = _split(item.key)
            try:
                if kind == documents.JOBS:
                    job = documents.decode_job(item.value)
                    jobs[name] = (job, item.revision)
                elif kind == documents.PROGRESS:
                    made = documents.decode_progress(item.value)
                    progress[name] = (made, item.revision)
                elif kind == documents.CANCELS:
                    cancelled.add(name)
                elif item.key == documents.OWNER:
                    owner = item
                else:
                    self._change_other(item, kind)
            except codec.MalformedError as error:
                LOG.error("{}", error, extra={"key": item.key})
        self.owning.read(owner)
        self.post(
            events.JobsListed(
                time.monotonic(), page.revision, jobs, progress, cancelled
            )
        )
        self.has_jobs = True

    def change_own(self, item: storecalls.Item) -> None:
        """Takes a change of one of the daemons' own items."""
        now = time.monotonic()
        kind, name = _split(item.key)
        try:
            if kind == documents.JOBS and item.value is None:
                self.post(events.JobRemoved(now, name))
            elif kind == documents.JOBS:
                job = documents.decode_job(item.value)
                self.post(events.JobAccepted(now, job, item.revision))
            elif kind == documents.PROGRESS and item.value is not None:
                made = documents.decode_progress(item.value)
                self.post(events.ProgressStored(now, name, made, item.revision))
            elif kind == documents.CANCELS and item.value is not None:
                self.post(events.JobCancelled(now, name))
            elif item.key == documents.OWNER:
                self.owning.read(item)
            else:
                self._change_other(item, kind)
        except codec.MalformedError as error:
            LOG.error("{}", error, extra={"key": item.key})

    def _change_other(self, item: storecalls.Item, kind: str) -> None:
        if kind == documents.DAEMONS:
            if item.value is None:
                self.peering.remove(item.key.removeprefix(documents.DAEMONS))
                return
            entry = documents.decode(documents.Daemon, item.value)
            self.peering.add(entry.name, entry.url, entry.cores)
            self.owning.hear_boot(entry.name, entry.boot)
        elif item.key == documents.FLEET and item.value is not None:
            self._read_fleet(item)

    def _read_fleet(self, item: storecalls.Item) -> None:
        """Takes the fleet, unless a newer one was read: watches lag."""
        if item.revision < self.fleet_revision:
            return
        self.fleet = documents.decode(model.Fleet, item.value)
        self.fleet_revision = item.revision
        self.recorder.see_fleet(item.revision)


def _split(key: str) -> tuple[str, str]:
    """Returns the kind of an own item and its name."""
    for kind in (documents.JOBS, documents.PROGRESS, documents.CANCELS):
        if key.startswith(kind):
            return kind, key.removeprefix(kind)
    if key.startswith(documents.DAEMONS):
        return documents.DAEMONS, key.removeprefix(documents.DAEMONS)
    return "", key
