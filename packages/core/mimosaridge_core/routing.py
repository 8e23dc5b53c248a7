"""Choosing the shard that a task is sent to."""

from collections.abc import Iterator
from collections.abc import Mapping
import types

from mimosaridge_core import affinity
from mimosaridge_core import codes
from mimosaridge_core import documents
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import rooms
from mimosaridge_core import state
from mimosaridge_core import summaries
from mimosaridge_core import works

CHOICES = 2


def known_summaries(
    st: state.State, with_teams: bool = True
) -> Iterator[messages.ShardSummary]:
    """Yields this daemon's shards and the live peers' as last described."""
    for shard in st.shards.values():
        yield summaries.summarize(st, shard, with_teams)
    for member in st.members.values():
        if member.alive_until > st.now:
            yield from member.summaries.values()


def _rooms(
    summary: messages.ShardSummary, endpoint: str
) -> list[messages.Room]:
    return [
        room
        for room in summary.rooms
        if not endpoint or room.endpoint == endpoint
    ]


def could_ever_fit(
    st: state.State, endpoint: str, needs: resources.Resources
) -> bool:
    """Tells whether any listed worker is large enough."""
    return any(
        needs.fits(host.capacity)
        for host in st.hosts.values()
        if not endpoint or host.endpoint == endpoint
    )


def choose(
    st: state.State,
    endpoint: str,
    needs: resources.Resources,
    avoid: frozenset[str] = frozenset(),
    team: str = "",
    apart: frozenset[str] = frozenset(),
    crowd: Mapping[str, int] = types.MappingProxyType({}),
) -> str:
    """Returns a shard for a task, or an empty name if none takes it now.

    What was sent since the last heartbeat counts as taken, since summaries
    do not show it yet. Of the shards with room, two are drawn and the one
    with the shorter queue and more free slots is taken. Without room
    anywhere, the shortest queue of a shard with large enough workers is taken,
    of a shard that is not in `apart` if there is one. Shards that a limited
    team's work goes to first go before others, then zones with the least
    number in `crowd`.

    Source: the power of two choices (Mitzenmacher, 2001).
    """
    roomy: list[tuple[int, int, str]] = []
    capable: list[tuple[int, int, str]] = []
    for summary in known_summaries(st, with_teams=False):
        if not summary.ready or summary.zone in st.config.zones_out:
            continue
        for room in _rooms(summary, endpoint):
            if not needs.fits(room.widest):
                continue
            entry = (summary.queued, -room.free.slots, summary.shard)
            capable.append(entry)
            if summary.shard not in avoid and _has_room(st, room, entry, needs):
                roomy.append(entry)
    names = tuple(sorted({entry[2] for entry in capable}))
    first = affinity.preferred(st, team, names)
    roomy = [entry for entry in roomy if entry[2] in first] or roomy
    capable = [entry for entry in capable if entry[2] in first]
    roomy = _least_crowded(roomy, crowd)
    if roomy:
        drawn = st.rng.sample(roomy, min(CHOICES, len(roomy)))
        chosen = min(drawn)[2]
        sent = st.sent_resources.get(chosen, resources.ZERO)
        st.sent_resources[chosen] = sent + needs
        return chosen
    return _shortest_queue(st, _least_crowded(capable, crowd), apart)


def _least_crowded(
    entries: list[tuple[int, int, str]], crowd: Mapping[str, int]
) -> list[tuple[int, int, str]]:
    """Returns the entries whose zone has the least number in `crowd`."""
    if not crowd or not entries:
        return entries
    numbers = [crowd.get(rooms.zone_of(entry[2]), 0) for entry in entries]
    least = min(numbers)
    pairs = zip(entries, numbers, strict=True)
    return [entry for entry, number in pairs if number == least]


def _shortest_queue(
    st: state.State,
    capable: list[tuple[int, int, str]],
    apart: frozenset[str],
) -> str:
    """Returns a shard with the shortest queue, drawn among equals."""
    if not capable:
        return ""
    ranks = [(shard in apart, queued) for queued, _, shard in capable]
    least = min(ranks)
    equals = [
        entry[2]
        for entry, rank in zip(capable, ranks, strict=True)
        if rank == least
    ]
    return st.rng.choice(equals)


def _has_room(
    st: state.State,
    room: messages.Room,
    entry: tuple[int, int, str],
    needs: resources.Resources,
) -> bool:
    sent = st.sent_resources.get(entry[2], resources.ZERO)
    return needs.fits(room.widest_free) and (sent + needs).fits(room.free)


def task_of(
    work: works.Work,
    index: int,
    assignment: documents.Assignment,
    home: str,
) -> works.Task:
    """Returns one attempt at one task of some work."""
    ran = assignment.ran
    goes_on = ran is not None and ran.code in codes.RESUMABLE
    return works.Task(
        f"{work.work_id}/{index}",
        assignment.attempt,
        work.work_id,
        home,
        work.team,
        work.kind,
        work.needs,
        work.endpoint,
        work.urgency,
        work.start_before,
        work.submitted_at,
        work.declared_run_s,
        work.idempotent,
        work.body,
        ran.answer if goes_on else b"",
    )
