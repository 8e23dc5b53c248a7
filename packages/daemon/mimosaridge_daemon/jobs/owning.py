"""Ownership of the jobs: claims through the store, and their end."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import random
import time

import gevent
from gevent import event as gevent_event
import logbook

from mimosaridge_core.jobs import election
from mimosaridge_daemon import clocks
from mimosaridge_daemon import codec
from mimosaridge_daemon import guarding
from mimosaridge_daemon.jobs import documents
from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import storage
from mimosaridge_daemon.jobs import telemetry
from mimosaridge_platform import calls
from mimosaridge_platform import storecalls

LOG = logbook.Logger("owning")
# Bounds of the time between two checks whether to claim ownership.
MIN_CHECK_INTERVAL_S = 0.1
MAX_CHECK_INTERVAL_S = 0.3
# An owner reads its claim if no write has confirmed it for this time.
CONFIRMATION_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The value of the ownership key.

    Attributes:
        name: Name of the owner.
        boot: Id of its process.
        number: Number of the claim among those of that process.
    """

    name: str
    boot: str
    number: int


class Ownership:
    """Claims ownership when `election` allows it, and gives it up.

    Attributes:
        view: Knowledge about the owner.
        token: This daemon's fencing token; 0 if it is not the owner.
        is_former_gone: Whether the owner before the last claim had certainly
            given up or ended.
        evidence: What that rests on, or else why this daemon claimed.
        former: What was known of the owner before the last claim.
        former_claimed_at: Latest time at which the owner before the last claim
            had claimed, monotonic seconds; 0 if there was none.
        confirmed_at: When this daemon sent the latest request whose answer
            showed that the store still had its claim, seconds since boot.
        informed: Daemons that have told this owner that they know of its claim.
        informed_at: When they became more than half of all daemons, monotonic
            seconds; 0 if they have not.
    """

    def __init__(
        self,
        name: str,
        boot: str,
        store: storage.Store,
        on_claimed: Callable[[int, bool], None],
        on_lost: Callable[[int, str], None],
        has_preferred_peer: Callable[[bool], bool],
    ) -> None:
        self.name = name
        self.boot = boot
        self.store = store
        self.on_claimed = on_claimed
        self.on_lost = on_lost
        self.has_preferred_peer = has_preferred_peer
        self.yield_after_s = election.YIELD_AFTER_S
        self.view = election.OwnerView()
        self.token = 0
        self.claim_count = 0
        self.leaving = False
        self.is_former_gone = False
        self.evidence = ""
        self.former = election.OwnerView()
        self.former_claimed_at = 0.0
        self.asked_at = 0.0
        self.confirmed_at = 0.0
        self.informed: set[str] = set()
        self.informed_at = 0.0
        self.is_claim_due = gevent_event.Event()
        self.rng = random.Random()

    def update_view(self, item: storecalls.Item | None) -> None:
        """Updates the view from the ownership key; None if it is absent."""
        self.is_claim_due.set()
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
        telemetry.log(
            "owner-seen",
            token=item.revision,
            owner=claim.name,
            boot=claim.boot,
            number=claim.number,
        )
        self.view = self._view_of(item.revision, claim)
        self._check_token(item.revision)

    def _view_of(self, revision: int, claim: Claim) -> election.OwnerView:
        """Returns the view when a claim has just become known."""
        return election.OwnerView(
            is_known=True,
            revision=revision,
            owner=claim.name,
            boot=claim.boot,
            last_contact_at=time.monotonic(),
            claimed_at=time.monotonic(),
        )

    def _check_token(self, revision: int) -> None:
        if self.token and revision != self.token:
            self.resign(self.token, "another daemon has claimed ownership")

    def resign(self, token: int, reason: str) -> None:
        """Ends the ownership with this token, if it is still in force."""
        if self.token == token != 0:
            self.token = 0
            self.on_lost(token, reason)

    def should_yield(self) -> bool:
        """Returns whether a daemon on a preferred machine should take over."""
        owned_s = time.monotonic() - self.view.last_contact_at
        return (
            self.token > 0
            and owned_s > self.yield_after_s
            and self.has_preferred_peer(True)
        )

    def step_down(self, token: int, reason: str) -> None:
        """Resigns so that another daemon can claim immediately.

        If no other daemon claims, this one does so again, and then yields only
        after a longer time: the preferred daemon may be unable to claim.
        """
        self.yield_after_s *= election.YIELD_BACKOFF
        self.resign(token, reason)
        self._record_end(election.RESIGNED)

    def give_up(self, reason: str) -> None:
        """Resigns; this daemon or another claims as soon as it can."""
        self.resign(self.token, reason)
        self._record_end(election.RESIGNED)

    def _record_end(self, evidence: str) -> None:
        """Records that the owner has certainly given up or ended."""
        self.view.is_gone = True
        self.view.evidence = evidence
        self.is_claim_due.set()

    def handle_heartbeat(self, heartbeat: messages.Beat) -> None:
        """Updates the view from a daemon's heartbeat."""
        view, now = self.view, time.monotonic()
        if heartbeat.owner_token > self.token:
            self.resign(self.token, "a peer knows of a newer owner")
        if heartbeat.token > view.revision:
            # The token is the revision of its claim, which is stored.
            view = self._view_of(
                heartbeat.token, Claim(heartbeat.name, heartbeat.boot, 0)
            )
            self.view = view
        if heartbeat.token and heartbeat.token == view.revision:
            view.last_contact_at = now
            view.sent_at = max(view.sent_at, heartbeat.sent_at)
            view.is_heard = True
            if heartbeat.reaches_store:
                view.storeless_since = 0.0
            elif not view.storeless_since:
                view.storeless_since = now
        elif heartbeat.owner_token == view.revision:
            view.last_peer_contact_at = max(
                view.last_peer_contact_at, now - heartbeat.owner_age_s
            )
        self._handle_boot(heartbeat)

    def _handle_boot(self, heartbeat: messages.Beat) -> None:
        """Handles a heartbeat of another process of the owner's daemon.

        That process is a later one, and the owner's has ended, if it knows of
        the owner's claim. Otherwise the heartbeat may be a late one of an
        earlier process.
        """
        if _is_later_process(heartbeat, self.view):
            self._record_end(election.NEW_BOOT)

    def record_former_end(self, heartbeat: messages.Beat) -> bool:
        """Records a sign of the former owner's end after the claim.

        Returns:
            Whether the heartbeat is the first such sign.
        """
        if (
            not self.token
            or self.is_former_gone
            or not _is_later_process(heartbeat, self.former)
        ):
            return False
        self.is_former_gone = True
        self.evidence = election.NEW_BOOT
        return True

    def handle_leaving(self, token: int) -> None:
        """Handles the message that an owner gives up ownership."""
        if token == self.view.revision:
            self._record_end(election.LEFT)

    def handle_refused(self, name: str) -> None:
        """Handles a refused connection: a claim may be due sooner.

        It is no evidence that the process has ended: a cut of the link between
        two machines may refuse connections as well.
        """
        if name == self.view.owner:
            self.view.refused_at = time.monotonic()
            self.is_claim_due.set()

    def handle_confirmation(self, token: int, asked_at: float) -> None:
        """Handles an answer that shows that the store had this claim.

        Args:
            token: Token of the claim.
            asked_at: When the request was sent, seconds since boot.
        """
        if token == self.token:
            self.confirmed_at = max(self.confirmed_at, asked_at)

    def record_informed(self, name: str, peers: Collection[str]) -> bool:
        """Records that a daemon knows of this owner's claim.

        Returns:
            Whether more than half of the daemons know of it since now.
        """
        self.informed.add(name)
        known = len(self.informed.intersection(peers)) + 1
        if self.informed_at or 2 * known <= len(peers) + 1:
            return False
        self.informed_at = time.monotonic()
        return True

    def keep_confirmed(self) -> None:
        """Reads the claim while this daemon is the owner; does not return."""
        while True:
            gevent.sleep(CONFIRMATION_INTERVAL_S)
            age_s = clocks.since_boot_s() - self.confirmed_at
            if self.token and age_s >= CONFIRMATION_INTERVAL_S:
                guarding.attempt("confirmation", self._confirm)

    def _confirm(self) -> None:
        token, asked_at = self.token, clocks.since_boot_s()
        answer = self.store.call(storecalls.read(documents.OWNER))
        if answer.is_err() or answer.ok_value[0] != 200:
            return
        item = storecalls.decode_item(answer.ok_value[1])
        if item.revision == token:
            self.handle_confirmation(token, asked_at)
        else:
            self.update_view(item)

    def owner_age_s(self) -> float:
        """Returns the time since the last contact with the owner, seconds."""
        if self.token:
            return 0.0
        return time.monotonic() - self.view.last_contact_at

    def run(self) -> None:
        """Claims ownership whenever necessary; does not return."""
        while True:
            self._wait_for_check()
            if self.token or self.leaving:
                continue
            if not self._should_claim():
                continue
            wait_s = self.rng.uniform(0.0, election.CLAIM_JITTER_S)
            if self.has_preferred_peer(False):
                wait_s += election.LESS_PREFERRED_DELAY_S
            gevent.sleep(wait_s)
            if self._should_claim() and not self.leaving:
                self.try_to_claim()

    def _wait_for_check(self) -> None:
        """Waits until a claim may be due: an end, or the owner's silence."""
        silent_at = election.silent_at(self.view)
        wait_s = max(silent_at - time.monotonic(), MIN_CHECK_INTERVAL_S)
        if self.is_claim_due.wait(min(wait_s, MAX_CHECK_INTERVAL_S)):
            self.is_claim_due.clear()

    def try_to_claim(self) -> None:
        """Claims ownership; `run` retries after a malformed answer."""
        try:
            self._claim()
        except calls.MalformedError as error:
            LOG.error("malformed answer of the store to a claim: {}", error)

    def _should_claim(self) -> bool:
        return bool(self._reason_to_claim())

    def _reason_to_claim(self) -> str:
        if self.token:
            return ""
        return election.reason_to_claim(
            self.view,
            self.name,
            self.boot,
            time.monotonic(),
            self.store.answering_since,
        )

    def _claim(self) -> None:
        """Compares and swaps the key; its new revision is the token."""
        self.claim_count += 1
        view = self.view
        # This process doesn't use a token that it doesn't have.
        self.is_former_gone = view.is_gone or view.owner == self.name
        self.evidence = self._reason_to_claim()
        self.former = view
        self.former_claimed_at = view.claimed_at
        value = documents.encode(Claim(self.name, self.boot, self.claim_count))
        expected = {documents.OWNER: self.view.revision}
        request = storecalls.write(expected, {documents.OWNER: value})
        telemetry.log(
            "claim",
            number=self.claim_count,
            replaced=view.revision,
            replaced_owner=view.owner,
            reason=self.evidence,
        )
        self.asked_at = clocks.since_boot_s()
        answer = self.store.call(request)
        if answer.is_err():
            telemetry.log(
                "claim-unanswered",
                number=self.claim_count,
                is_sent=answer.err_value.is_sent,
            )
        else:
            written = storecalls.decode_write_answer(*answer.ok_value)
            if written.result == storecalls.WriteResult.WRITTEN:
                self._become_owner(written.revision)
                return
            for item in written.items:
                if item.key == documents.OWNER:
                    self._resolve(item, value)
                    return
        self._read_back(value)

    def _read_back(self, value: bytes) -> None:
        """Reads the key to find out whether a claim without answer won."""
        self.asked_at = clocks.since_boot_s()
        answer = self.store.call(storecalls.read(documents.OWNER))
        if answer.is_err() or answer.ok_value[0] not in (200, 404):
            return
        status, body = answer.ok_value
        if status == 200:
            self._resolve(storecalls.decode_item(body), value)
        else:
            self.update_view(storecalls.Item(documents.OWNER, None, 0))

    def _resolve(self, item: storecalls.Item, value: bytes) -> None:
        if item.value == value:
            self._become_owner(item.revision)
        elif item.value is None:
            self.view = election.OwnerView(
                is_known=True, last_contact_at=time.monotonic()
            )
        else:
            self.update_view(item)

    def _become_owner(self, revision: int) -> None:
        self.view = election.OwnerView(
            is_known=True,
            revision=revision,
            owner=self.name,
            boot=self.boot,
            last_contact_at=time.monotonic(),
            claimed_at=time.monotonic(),
        )
        self.token = revision
        self.confirmed_at = self.asked_at
        self.informed = set()
        self.informed_at = 0.0
        self.on_claimed(revision, self.is_former_gone)


def _is_later_process(
    heartbeat: messages.Beat, view: election.OwnerView
) -> bool:
    """Returns whether a heartbeat is of a later process than the owner's."""
    return (
        heartbeat.name == view.owner
        and heartbeat.boot != view.boot
        and heartbeat.owner_token >= view.revision
    )
