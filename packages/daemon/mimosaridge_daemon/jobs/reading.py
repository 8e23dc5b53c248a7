"""Decodes the contents of the store and posts them as events."""

from collections.abc import Callable
import time
from typing import Any

import logbook

from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import model
from mimosaridge_daemon import codec
from mimosaridge_daemon import guarding
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import owning
from mimosaridge_daemon.jobs import peering
from mimosaridge_daemon.jobs import recording
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import calls
from mimosaridge_platform import configurations
from mimosaridge_platform import discovery
from mimosaridge_platform import machinecalls
from mimosaridge_platform import storecalls

LOG = logbook.Logger("reading")


class Reader:
    """Handles lists and changes of the three prefixes that daemons follow.

    They hold the operators' settings, the workers and the daemons' state.

    Attributes:
        has_job_table: Whether the table of jobs was read.
        fleet: The workers that owners use, as last read.
        is_fleet_readable: Whether the latest stored fleet could be decoded.
    """

    def __init__(
        self,
        post: Callable[[Any], None],
        ownership: owning.Ownership,
        peers: peering.Peering,
        recorder: recording.Recorder,
    ) -> None:
        self.post = post
        self.ownership = ownership
        self.peering = peers
        self.recorder = recorder
        self.has_job_table = False
        self.fleet = model.Fleet()
        self.fleet_revision = 0
        self.is_fleet_readable = True
        self.zones_out: frozenset[str] = frozenset()
        self.waves: dict[str, model.Wave] = {}

    def load_operator_settings(self, page: storecalls.Page) -> None:
        """Loads all settings of operators."""
        zones = set()
        waves = {}
        for item in page.items:
            zone = configurations.evacuated_zone(item.key)
            if zone:
                zones.add(zone)
            elif item.key.startswith(machinecalls.WAVE_PREFIX):
                self._decode_wave(item, waves)
            elif item.key == storecalls.CONFIGURATION_KEY:
                guarding.attempt(
                    "configuration", self._apply_configuration, item
                )
        self._set_zones_out(frozenset(zones))
        self._set_waves(waves)

    def apply_operator_change(self, item: storecalls.Item) -> None:
        """Applies a change to the settings of operators."""
        zone = configurations.evacuated_zone(item.key)
        if zone and item.value is None:
            self._set_zones_out(self.zones_out - {zone})
        elif zone:
            self._set_zones_out(self.zones_out | {zone})
        elif item.key == storecalls.CONFIGURATION_KEY:
            self._apply_configuration(item)
        elif item.key.startswith(machinecalls.WAVE_PREFIX):
            waves = dict(self.waves)
            waves.pop(item.key, None)
            self._decode_wave(item, waves)
            self._set_waves(waves)

    def _decode_wave(
        self, item: storecalls.Item, waves: dict[str, model.Wave]
    ) -> None:
        """Adds a wave under its key unless it is removed or malformed."""
        if item.value is None:
            return
        try:
            waves[item.key] = machinecalls.decode_wave(item.value)
        except calls.MalformedError as error:
            LOG.error("{}", error, extra={"key": item.key})

    def _set_waves(self, waves: dict[str, model.Wave]) -> None:
        if waves != self.waves:
            self.waves = waves
            by_number = {wave.number: wave for wave in waves.values()}
            self.post(events.WavesChanged(time.monotonic(), by_number))

    def _set_zones_out(self, zones: frozenset[str]) -> None:
        self.zones_out = zones
        self.post(events.ZonesOutChanged(time.monotonic(), zones))

    def _apply_configuration(self, item: storecalls.Item) -> None:
        if item.value is None:
            return
        try:
            configuration = configurations.decode(item.value)
        except calls.MalformedError as error:
            LOG.error("{}", error)
            return
        self.post(events.ConfigurationChanged(time.monotonic(), configuration))

    def load_workers(self, page: storecalls.Page) -> None:
        """Loads all workers."""
        workers = {}
        for item in page.items:
            entry = self._decode_worker(item)
            if entry is not None:
                workers[entry.worker_id] = entry
        self.post(events.WorkersListed(time.monotonic(), workers))

    def apply_worker_change(self, item: storecalls.Item) -> None:
        """Applies a change to the entry of a worker."""
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
        except Exception:
            guarding.record("entry of a worker", key=item.key)
            return None

    def load_state(self, page: storecalls.Page) -> None:
        """Loads the daemons' whole state."""
        jobs, progress, cancelled = {}, {}, {}
        unreadable = {documents.JOBS: set(), documents.PROGRESS: set()}
        owner = None
        for item in page.items:
            kind, name = _split_key(item.key)
            try:
                if kind == documents.JOBS:
                    job = documents.decode_job(item.value, name)
                    jobs[name] = (job, item.revision)
                elif kind == documents.PROGRESS:
                    job_progress = documents.decode_progress(item.value)
                    progress[name] = (job_progress, item.revision)
                elif kind == documents.CANCELS:
                    cancelled[name] = item.revision
                elif item.key == documents.OWNER:
                    owner = item
                else:
                    self._apply_other_change(item, kind)
            except codec.MalformedError as error:
                LOG.error("{}", error, extra={"key": item.key})
                unreadable.get(kind, set()).add(name)
            except Exception:
                guarding.record("item of the state", key=item.key)
                unreadable.get(kind, set()).add(name)
        self.ownership.update_view(owner)
        self.post(
            events.JobsListed(
                time.monotonic(),
                page.revision,
                jobs,
                progress,
                cancelled,
                frozenset(unreadable[documents.JOBS]),
                frozenset(unreadable[documents.PROGRESS]),
                is_complete=not page.malformed,
            )
        )
        self.has_job_table = True

    def load_run_times(self, item: storecalls.Item) -> None:
        """Loads what former owners have learned; ignores what is malformed."""
        try:
            learned = documents.decode(model.RunTimes, item.value)
        except codec.MalformedError as error:
            LOG.error("{}", error, extra={"key": item.key})
            return
        self.post(events.RunTimesRead(time.monotonic(), time.time(), learned))

    def apply_state_change(self, item: storecalls.Item) -> None:
        """Applies a change to an item of the daemons' state."""
        now = time.monotonic()
        kind, name = _split_key(item.key)
        try:
            if kind == documents.JOBS and item.value is None:
                self.post(events.JobRemoved(now, name, item.revision))
            elif kind == documents.JOBS:
                job = documents.decode_job(item.value, name)
                self.post(events.JobAccepted(now, job, item.revision))
            elif kind == documents.PROGRESS and self.ownership.token:
                # The owner is ahead of the store.
                return
            elif kind == documents.PROGRESS and item.value is not None:
                job_progress = documents.decode_progress(item.value)
                self.post(
                    events.ProgressStored(
                        now, name, job_progress, item.revision
                    )
                )
            elif kind == documents.CANCELS and item.value is not None:
                self.post(events.JobCancelled(now, name, item.revision))
            elif item.key == documents.OWNER:
                self.ownership.update_view(item)
            else:
                self._apply_other_change(item, kind)
        except codec.MalformedError as error:
            LOG.error("{}", error, extra={"key": item.key})

    def _apply_other_change(self, item: storecalls.Item, kind: str) -> None:
        if kind == documents.DAEMONS:
            if item.value is None:
                self.peering.remove(item.key.removeprefix(documents.DAEMONS))
                return
            entry = documents.decode(documents.Daemon, item.value)
            self.peering.add(entry.name, entry.url, entry.cores, entry.zone)
        elif item.key == documents.FLEET and item.value is not None:
            self._update_fleet(item)
        elif item.key.startswith(documents.WAVES) and item.value is not None:
            progress = documents.decode(model.WaveProgress, item.value)
            self.post(events.WaveProgressStored(time.monotonic(), progress))

    def _update_fleet(self, item: storecalls.Item) -> None:
        """Updates the fleet unless a newer one was read: watches lag."""
        if item.revision < self.fleet_revision:
            return
        self.is_fleet_readable = False
        self.fleet = documents.decode(model.Fleet, item.value)
        self.is_fleet_readable = True
        self.fleet_revision = item.revision
        self.recorder.update_fleet_revision(item.revision)


def _split_key(key: str) -> tuple[str, str]:
    """Splits a key into its prefix, empty if unknown, and its name."""
    for kind in (documents.JOBS, documents.PROGRESS, documents.CANCELS):
        if key.startswith(kind):
            return kind, key.removeprefix(kind)
    if key.startswith(documents.DAEMONS):
        return documents.DAEMONS, key.removeprefix(documents.DAEMONS)
    return "", key
