"""Claims and gives up ownership of the jobs through the store."""

from collections.abc import Callable
import dataclasses
import random
import time

import gevent
import logbook

from mimosaridge_core.jobs import election
from mimosaridge_daemon import codec
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import storage
from mimosaridge_platform import calls
from mimosaridge_platform import storecalls

LOG = logbook.Logger("owning")
CHECK_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The value of the key of ownership.

    Attributes:
        name: The owner's daemon.
        boot: Id of its process.
        number: Counts the claims of that process.
    """

    name: str
    boot: str
    number: int


class Owning:
    """Decides, with `election`, when to claim, and makes the claim.

    Attributes:
        view: What is known of the owner.
        token: This daemon's token; 0 if it is not the owner.
    """

    def __init__(
        self,
        name: str,
        boot: str,
        store: storage.Store,
        claimed: Callable[[int, bool], None],
        lost: Callable[[int, str], None],
        has_fitter_peer: Callable[[bool], bool],
    ) -> None:
        self.name = name
        self.boot = boot
        self.store = store
        self.claimed = claimed
        self.lost = lost
        self.has_fitter_peer = has_fitter_peer
        self.yield_after_s = election.YIELD_AFTER_S
        self.view = election.OwnerView()
        self.token = 0
        self.number = 0
        self.leaving = False
        self.is_former_gone = False
        self.rng = random.Random()

    def read(self, item: storecalls.Item | None) -> None:
        """Takes the key of ownership as it was read; None if it is absent."""
        if item is None or item.value is None:
            revision = item.revision if item is not None else 0
            if revision >= self.view.revision or not self.view.is_known:
                self.view = election.OwnerView(
                    is_known=True, last_contact_at=time.monotonic()
                )
                self._check_token(0)
            return
        if item.revision <= self.view.revision and self.view.is_known:
            return
        try:
            claim = documents.decode(Claim, item.value)
        except codec.MalformedError as error:
            LOG.error("{}", error)
            claim = Claim("", "", 0)
        self.view = election.OwnerView(
            is_known=True,
            revision=item.revision,
            owner=claim.name,
            boot=claim.boot,
            last_contact_at=time.monotonic(),
        )
        self._check_token(item.revision)

    def _check_token(self, revision: int) -> None:
        if self.token and revision != self.token:
            self.resign(self.token, "another daemon has claimed ownership")

    def resign(self, token: int, reason: str) -> None:
        """Is no longer the owner by a token."""
        if self.token == token != 0:
            self.token = 0
            self.lost(token, reason)

    def should_yield(self) -> bool:
        """Tells whether a fitter daemon should be the owner instead."""
        owned_s = time.monotonic() - self.view.last_contact_at
        return (
            self.token > 0
            and owned_s > self.yield_after_s
            and self.has_fitter_peer(True)
        )

    def give_up(self, token: int, reason: str) -> None:
        """Resigns, and claims again only if no other daemon does.

        Should it be the owner again, it yields later: the fitter daemon may
        not be able to claim.
        """
        self.yield_after_s *= election.YIELD_BACKOFF
        self.resign(token, reason)
        self.view.is_gone = True

    def hear(self, beat: messages.Beat) -> None:
        """Takes a daemon's beat."""
        view, now = self.view, time.monotonic()
        if beat.owner_token > self.token:
            self.resign(self.token, "a peer knows of a newer owner")
        if beat.token and beat.token == view.revision:
            view.last_contact_at = now
            if beat.reaches_store:
                view.storeless_since = 0.0
            elif not view.storeless_since:
                view.storeless_since = now
        elif beat.owner_token == view.revision:
            view.last_peer_contact_at = max(
                view.last_peer_contact_at, now - beat.owner_age_s
            )
        self.hear_boot(beat.name, beat.boot)

    def hear_boot(self, name: str, boot: str) -> None:
        """Learns which process runs on a machine now."""
        if name == self.view.owner and boot != self.view.boot:
            self.view.is_gone = True

    def hear_leaving(self, token: int) -> None:
        """The owner says that it leaves."""
        if token == self.view.revision:
            self.view.is_gone = True

    def hear_refused(self, name: str) -> None:
        """Nobody listens where the owner's process was."""
        if name == self.view.owner:
            self.view.is_gone = True

    def owner_age_s(self) -> float:
        """Returns how long ago the owner was heard, seconds."""
        if self.token:
            return 0.0
        return time.monotonic() - self.view.last_contact_at

    def run(self) -> None:
        """Claims ownership whenever it should, for ever."""
        while True:
            gevent.sleep(CHECK_S)
            if self.token or self.leaving:
                continue
            if not self._should_claim():
                continue
            wait_s = self.rng.uniform(0.0, election.CLAIM_JITTER_S)
            if self.has_fitter_peer(False):
                wait_s += election.LESS_PREFERRED_DELAY_S
            gevent.sleep(wait_s)
            if self._should_claim() and not self.leaving:
                self.try_to_claim()

    def try_to_claim(self) -> None:
        """Makes a claim; one whose answer can't be read is made again."""
        try:
            self._claim()
        except calls.MalformedError as error:
            LOG.error("the claim is not settled: {}", error)

    def _should_claim(self) -> bool:
        return election.should_claim(
            self.view,
            self.name,
            self.boot,
            time.monotonic(),
            self.store.answering_since,
        )

    def _claim(self) -> None:
        """Swaps the key; its new revision is the token."""
        self.number += 1
        view = self.view
        restarted = view.owner == self.name and view.boot != self.boot
        self.is_former_gone = view.is_gone or restarted
        value = documents.encode(Claim(self.name, self.boot, self.number))
        expected = {documents.OWNER: self.view.revision}
        request = storecalls.write(expected, {documents.OWNER: value})
        answer = self.store.call(request)
        if answer.is_ok():
            written = storecalls.decode_write_answer(*answer.ok_value)
            if written.result == storecalls.WriteResult.WRITTEN:
                self._take(written.revision)
                return
            for item in written.items:
                if item.key == documents.OWNER:
                    self._settle(item, value)
                    return
        self._read_key(value)

    def _read_key(self, value: bytes) -> None:
        """Settles a claim without answer by reading the key."""
        answer = self.store.call(storecalls.read(documents.OWNER))
        if answer.is_err() or answer.ok_value[0] not in (200, 404):
            return
        status, body = answer.ok_value
        if status == 200:
            self._settle(storecalls.decode_item(body), value)
        else:
            self.read(storecalls.Item(documents.OWNER, None, 0))

    def _settle(self, item: storecalls.Item, value: bytes) -> None:
        if item.value == value:
            self._take(item.revision)
        elif item.value is None:
            self.view = election.OwnerView(
                is_known=True, last_contact_at=time.monotonic()
            )
        else:
            self.read(item)

    def _take(self, revision: int) -> None:
        self.view = election.OwnerView(
            is_known=True,
            revision=revision,
            owner=self.name,
            boot=self.boot,
            last_contact_at=time.monotonic(),
        )
        self.token = revision
        self.claimed(revision, self.is_former_gone)
