"""Election of the owner of the jobs.

The store decides which daemon is the owner: a claim is a compare-and-swap of
the ownership key on its revision, and the new revision is the fencing token.
This module decides when a daemon should claim: an unnecessary change of owner
only delays scheduling. It also decides when an owner must give up, and until
when its successor expects orders of it at workers that the successor can't
reach; these two depend on steady clocks of about the same rate.
"""

import dataclasses

# An owner without contact for this time is replaced: four missed heartbeats.
OWNER_SILENCE_S = 1.2
# As above for an owner that refuses connections, which makes the end of its
# process likely: two missed heartbeats.
REFUSED_OWNER_SILENCE_S = 0.5
# Upper bound of the random delay before a claim, so that claims don't collide.
CLAIM_JITTER_S = 0.15
# An owner that has no path to the store for this time, direct or by a peer, is
# replaced.
OWNER_STORELESS_S = 2.0
# A machine is preferred as the owner's if it has more than this multiple of the
# cores: equal machines differ by a few percent, and each change of owner delays
# scheduling.
PREFERRED_CORES_FACTOR = 1.5
# Additional delay before a claim while a daemon on a preferred machine is in
# contact: a claim takes 10 ms and that daemon waits at most `CLAIM_JITTER_S`.
LESS_PREFERRED_DELAY_S = 0.4
# A daemon without a heartbeat for this time counts as silent: three intervals.
HEARTBEAT_TIMEOUT_S = 2.0
# An owner that doesn't know for this time whether it was replaced gives up
# unless it hears more than half of its peers: three reads of its claim.
ISOLATION_S = 2.2
# An owner that doesn't know for this time whether it was replaced gives up:
# longer than most outages of the store.
AUTHORITY_S = 8.0
# For heartbeats under way and checks that are late.
AUTHORITY_MARGIN_S = 0.5
# A displaced owner sends no orders this long after the claim of its successor.
LONGEST_DISPLACED_S = AUTHORITY_S + AUTHORITY_MARGIN_S
# The same after more than half of the daemons have told the successor that they
# know of its claim: each set of peers that is enough for the displaced owner to
# go on has one of them, which either tells it of the claim or is silent.
INFORMED_DISPLACED_S = (
    max(ISOLATION_S, HEARTBEAT_TIMEOUT_S) + AUTHORITY_MARGIN_S
)
# An owner yields to a daemon on a preferred machine after this time of
# ownership: long enough to contact all daemons that start at the same time.
YIELD_AFTER_S = 2.0
# Factor by which that time grows each time an owner yields, since the other
# daemon may be unable to claim.
YIELD_BACKOFF = 4

# Evidence that the owner has given up or that its process has ended.
RESTARTED = "this daemon has restarted"
RESIGNED = "this daemon has resigned"
UNUSED_CLAIM = "this process does not use its claim"
LEFT = "the owner's message that it resigns"
NEW_BOOT = "a later process of the owner's daemon"


@dataclasses.dataclass(slots=True)
class OwnerView:
    """A daemon's knowledge about the owner.

    Attributes:
        is_known: Whether the ownership key was read.
        revision: Revision of the key; 0 if there is no owner.
        owner: Name of the owner's daemon.
        boot: Id of the owner's process.
        last_contact_at: When the owner last sent a heartbeat to this daemon, or
            its key last changed.
        last_peer_contact_at: When the owner last sent a heartbeat to a peer, as
            reported by that peer.
        storeless_since: Since when the owner reports that it can't reach the
            store; 0 if it can.
        is_gone: Whether the owner has certainly given up or its process has
            certainly ended.
        evidence: What `is_gone` rests on, for the log.
        is_heard: Whether the owner itself has sent this daemon a heartbeat
            since it claimed.
        sent_at: When the owner sent the latest of them, on its own clock; 0 if
            there is none.
        refused_at: When the owner's machine last refused a connection; a cut of
            the link can cause this too.
        claimed_at: When this daemon first saw the owner's claim, which was made
            then or before; 0 if there is none.
    """

    is_known: bool = False
    revision: int = 0
    owner: str = ""
    boot: str = ""
    last_contact_at: float = 0.0
    last_peer_contact_at: float = 0.0
    storeless_since: float = 0.0
    is_gone: bool = False
    evidence: str = ""
    is_heard: bool = False
    sent_at: float = 0.0
    refused_at: float = 0.0
    claimed_at: float = 0.0


def is_preferred_owner(cores: float, own_cores: float) -> bool:
    """Returns whether a machine with `cores` is preferred as the owner's."""
    return cores > PREFERRED_CORES_FACTOR * own_cores


def silent_at(view: OwnerView) -> float:
    """Returns when an owner without further contact is replaced."""
    contact_at = max(view.last_contact_at, view.last_peer_contact_at)
    # Two daemons that can't connect to each other would displace each other in
    # turns, so the refusal counts only after a heartbeat of the present owner.
    if view.is_heard and view.refused_at > contact_at:
        return contact_at + REFUSED_OWNER_SILENCE_S
    return contact_at + OWNER_SILENCE_S


def should_claim(
    view: OwnerView,
    name: str,
    boot: str,
    now: float,
    answering_since: float = 0.0,
) -> bool:
    """Returns whether a daemon should claim ownership."""
    return bool(reason_to_claim(view, name, boot, now, answering_since))


def reason_to_claim(
    view: OwnerView,
    name: str,
    boot: str,
    now: float,
    answering_since: float = 0.0,
) -> str:
    """Returns why a daemon should claim ownership; empty if it should not.

    The daemon must not be the owner. If the store has a claim of its process
    all the same, that was carried out after its answer was given up, or the
    process has resigned since.

    Args:
        view: Its knowledge about the owner.
        name: Its name.
        boot: Id of its process.
        now: Steady time, seconds.
        answering_since: Since when the store has answered it without
            interruption. After an outage of the store for all daemons, the
            owner may not have noticed yet that the store is back.
    """
    if not view.is_known:
        return ""
    if view.revision == 0:
        return "no owner"
    if view.is_gone:
        return view.evidence or "the owner is gone"
    if view.owner == name:
        return RESTARTED if view.boot != boot else UNUSED_CLAIM
    storeless_since = max(view.storeless_since, answering_since)
    if view.storeless_since and now - storeless_since > OWNER_STORELESS_S:
        return "the owner reaches no store"
    if now <= silent_at(view):
        return ""
    is_refused = view.refused_at > view.last_contact_at
    return "silent and refused" if is_refused else "silent"


def reason_to_give_up(unproven_s: float, heard: int, silent: int) -> str:
    """Returns why an owner must give up; empty if it may go on.

    In a partition, the daemons on the side of the store choose a new owner. It
    starts the tasks on the workers that it can't reach again when their leases
    have expired, so an owner on the other side must not renew them for good. In
    an outage of the store for all, an owner still hears its peers and goes on.

    Args:
        unproven_s: Time since the owner last knew that nobody had claimed after
            it: from the store, which still had its claim, or from heartbeats of
            all peers. Seconds.
        heard: Number of peers with recent heartbeats that know of its claim.
        silent: Number of other known peers, also of those that refuse
            connections.
    """
    if not silent or unproven_s <= ISOLATION_S:
        return ""
    if heard <= silent:
        return "neither the store nor most peers answer"
    if unproven_s > AUTHORITY_S:
        return "the store does not answer and a peer is silent"
    return ""


def displaced_until(
    now: float, former_claimed_at: float, is_former_gone: bool
) -> float:
    """Returns until when displaced owners may still send orders.

    Args:
        now: When this daemon knew that its claim was stored, or later; steady
            time, seconds.
        former_claimed_at: When the former owner had claimed.
        is_former_gone: Whether that one has certainly given up or ended. The
            owner that it displaced may be at work although it is gone.
    """
    displaced_at = former_claimed_at if is_former_gone else now
    return max(now, displaced_at + LONGEST_DISPLACED_S)
