"""Handlers of the start of ownership and of what is learned after it."""

from mimosaridge_core.jobs import dispatch
from mimosaridge_core.jobs import effects
from mimosaridge_core.jobs import election
from mimosaridge_core.jobs import events
from mimosaridge_core.jobs import fleets
from mimosaridge_core.jobs import holds
from mimosaridge_core.jobs import latestarts
from mimosaridge_core.jobs import state
from mimosaridge_core.jobs import unheldusage
from mimosaridge_core.jobs import work


@dispatch.handles(events.OwnershipClaimed)
def become_owner(
    st: state.State, event: events.OwnershipClaimed, out: list
) -> None:
    """Starts to hold all workers and to place all unfinished jobs."""
    owner = state.Owner(event.token, st.now)
    st.owner = owner
    owner.displaced_until = election.displaced_until(
        st.now, event.former_claimed_at, event.is_former_gone
    )
    if event.informed_at:
        _displace_by(owner, _known_displaced_until(st, event.informed_at))
    unheld_until = fleets.unheld_until(st, owner)
    owner.unheld = dict.fromkeys(event.fleet.workers, unheld_until)
    owner.unheld_jobs = dict(event.fleet.closed)
    owner.routes = dict(event.fleet.routes)
    latestarts.restore(st, owner, event.fleet)
    latestarts.restore_sent(st, owner, event.sent_starts)
    owner.open_to_former = (
        frozenset(event.fleet.workers) - event.fleet.closed.keys()
    )
    effects.log_decision(
        out,
        "owner",
        token=event.token,
        jobs=len(st.table),
        workers=len(st.entries),
        known_workers=len(event.fleet.workers),
        sent_starts=len(event.sent_starts),
        is_former_gone=event.is_former_gone,
        evidence=event.evidence,
        displaced_s=round(owner.displaced_until - st.now, 2),
    )
    for entry in list(st.table.values()):
        work.add_job(st, owner, entry, out)
    owner.finished.update(dict.fromkeys(st.early_cancels, st.now))
    for worker_id in list(st.entries):
        holds.sync_worker(st, owner, worker_id, out)


@dispatch.handles(events.DaemonsInformed)
def shorten_wait(
    st: state.State, event: events.DaemonsInformed, out: list
) -> None:
    """Waits less for displaced owners once most daemons know of the claim."""
    owner = st.owner
    if owner is None or owner.token != event.token:
        return
    until = _known_displaced_until(st, event.now)
    _shorten_wait(st, owner, until, "owner-known", out)


@dispatch.handles(events.FormerOwnerGone)
def end_wait(st: state.State, event: events.FormerOwnerGone, out: list) -> None:
    """Waits no longer for a former owner whose process has ended."""
    owner = st.owner
    if owner is None or owner.token != event.token:
        return
    until = election.displaced_until(
        st.now, event.former_claimed_at, is_former_gone=True
    )
    _shorten_wait(st, owner, until, "former-owner-gone", out)


@dispatch.handles(events.OwnershipProven)
def record_proof(
    st: state.State, event: events.OwnershipProven, out: list
) -> None:
    """Records until when nobody had claimed after this owner."""
    owner = st.owner
    if owner is not None and owner.token == event.token:
        owner.proven_at = max(owner.proven_at, event.proven_at)


def _known_displaced_until(st: state.State, informed_at: float) -> float:
    return max(st.now, informed_at + election.INFORMED_DISPLACED_S)


def _displace_by(owner: state.Owner, until: float) -> None:
    owner.displaced_until = min(owner.displaced_until, until)


def _shorten_wait(
    st: state.State, owner: state.Owner, until: float, rule: str, out: list
) -> None:
    _displace_by(owner, until)
    unheld_until = fleets.unheld_until(st, owner)
    for worker_id, former_until in owner.unheld.items():
        owner.unheld[worker_id] = min(former_until, unheld_until)
    unheldusage.invalidate(owner)
    effects.log_decision(
        out,
        rule,
        token=owner.token,
        displaced_s=round(owner.displaced_until - st.now, 2),
        unheld=len(owner.unheld),
    )
