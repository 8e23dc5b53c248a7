"""Who should become the owner of the jobs.

The store decides who is: the key of ownership is swapped under the condition
of its revision, and that revision is the fencing token. This module decides
who should try. No clock is trusted: a needless change of owner costs a pause
but breaks nothing.
"""

import dataclasses

# An owner that no one has heard for this long is replaced: four beats missed.
OWNER_SILENCE_S = 1.2
# Successors wait up to this long, at random, so that one is first.
SPREAD_S = 0.15
# An owner that reaches the store by no way for this long is replaced.
OWNER_STORELESS_S = 2.0
# A machine this many times as strong is fitter: machines of one kind differ by
# a few hundredths, and each change of owner costs a pause.
FITTER_FACTOR = 1.5
# While a fitter daemon is heard, others wait this much longer to claim: a claim
# takes 10 ms and the fitter one waits `SPREAD_S` at most.
HANDICAP_S = 0.4
# An owner yields to a fitter daemon once it has owned for this long: long
# enough to have heard all daemons of a fleet that starts together.
YIELD_AFTER_S = 2.0
# Each time it yields in vain, the wait for the next time grows by this factor.
YIELD_BACKOFF = 4


@dataclasses.dataclass(slots=True)
class View:
    """What a daemon knows of the owner.

    Attributes:
        is_known: Whether the key of ownership was read.
        revision: Its revision; 0 if no one is the owner.
        owner: Name of the owner's daemon.
        boot: Id of the owner's process.
        heard_at: When the owner was last heard, or its key last changed.
        heard_elsewhere_at: When a peer last heard the owner, as it says.
        storeless_since: Since when the owner says that it has no store; 0 if
            it has.
        is_gone: Whether the owner's process has surely ended or leaves.
    """

    is_known: bool = False
    revision: int = 0
    owner: str = ""
    boot: str = ""
    heard_at: float = 0.0
    heard_elsewhere_at: float = 0.0
    storeless_since: float = 0.0
    is_gone: bool = False


def is_fitter(cores: float, own_cores: float) -> bool:
    """Tells whether another machine should rather carry the owner."""
    return cores > FITTER_FACTOR * own_cores


def should_claim(
    view: View, name: str, boot: str, now: float, answering_since: float = 0.0
) -> bool:
    """Tells whether a daemon should claim ownership.

    Args:
        view: What it knows of the owner.
        name: Its name.
        boot: Id of its process.
        now: Steady time, seconds.
        answering_since: Since when the store has answered it without a break:
            an owner that lost the store as all did has not heard yet that the
            store is back.
    """
    if not view.is_known:
        return False
    if view.revision == 0 or view.is_gone:
        return True
    if view.owner == name:
        return view.boot != boot
    without_store = max(view.storeless_since, answering_since)
    if view.storeless_since and now - without_store > OWNER_STORELESS_S:
        return True
    heard = max(view.heard_at, view.heard_elsewhere_at)
    return now - heard > OWNER_SILENCE_S
