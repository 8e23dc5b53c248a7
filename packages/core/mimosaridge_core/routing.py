"""Choice of the shard that a task is sent to."""

from collections.abc import Iterator
from collections.abc import Mapping
import types

from mimosaridge_core import affinity
from mimosaridge_core import codes
from mimosaridge_core import documents
from mimosaridge_core import messages
from mimosaridge_core import resources
from mimosaridge_core import shardworkers
from mimosaridge_core import state
from mimosaridge_core import summaries
from mimosaridge_core import works

SAMPLED_SHARDS = 2


def shard_summaries(
    st: state.State, with_teams: bool = True
) -> Iterator[messages.ShardSummary]:
    """Yields summaries of own shards and the latest ones of live peers."""
    for shard in st.shards.values():
        yield summaries.summarize(st, shard, with_teams)
    for member in st.members.values():
        if member.alive_until > st.now:
            yield from member.summaries.values()


def _matching_rooms(
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
    """Returns whether the capacity of any listed worker is sufficient."""
    return any(
        needs.fits(host.capacity)
        for host in st.hosts.values()
        if not endpoint or host.endpoint == endpoint
    )


def choose_shard(
    st: state.State,
    endpoint: str,
    needs: resources.Resources,
    avoid: frozenset[str] = frozenset(),
    team: str = "",
    deprioritized: frozenset[str] = frozenset(),
    replicas_by_zone: Mapping[str, int] = types.MappingProxyType({}),
) -> str:
    """Returns the shard for a task, or an empty name if no shard can take it.

    Resources of tasks sent since the last heartbeat count as used, because
    summaries do not include them yet. Of the shards with free capacity, two
    are drawn at random; the one with the shorter queue is chosen, and with
    equal queues the one with more free slots. If no shard has free capacity,
    the shard with the shortest queue among those with large enough workers is
    chosen, if possible one that is not in `deprioritized`. The preferred
    shards of a limited team are tried before others, then those in the zones
    with the fewest replicas.

    Source: the power of two choices (Mitzenmacher, 2001).
    """
    with_room: list[tuple[int, int, str]] = []
    capable: list[tuple[int, int, str]] = []
    for summary in shard_summaries(st, with_teams=False):
        if not summary.ready or summary.zone in st.config.zones_out:
            continue
        for room in _matching_rooms(summary, endpoint):
            if not needs.fits(room.widest):
                continue
            entry = (summary.queued, -room.free.slots, summary.shard)
            capable.append(entry)
            if summary.shard not in avoid and _has_room(st, room, entry, needs):
                with_room.append(entry)
    names = tuple(sorted({entry[2] for entry in capable}))
    preferred = affinity.preferred_shards(st, team, names)
    with_room = [
        entry for entry in with_room if entry[2] in preferred
    ] or with_room
    capable = [entry for entry in capable if entry[2] in preferred]
    with_room = _in_least_used_zones(with_room, replicas_by_zone)
    if with_room:
        drawn = st.rng.sample(with_room, min(SAMPLED_SHARDS, len(with_room)))
        chosen = min(drawn)[2]
        sent = st.sent_resources.get(chosen, resources.ZERO)
        st.sent_resources[chosen] = sent + needs
        return chosen
    return _shortest_queue(
        st, _in_least_used_zones(capable, replicas_by_zone), deprioritized
    )


def _in_least_used_zones(
    entries: list[tuple[int, int, str]], replicas_by_zone: Mapping[str, int]
) -> list[tuple[int, int, str]]:
    """Returns the entries in the zones with the fewest replicas."""
    if not replicas_by_zone or not entries:
        return entries
    numbers = [
        replicas_by_zone.get(shardworkers.zone_of(entry[2]), 0)
        for entry in entries
    ]
    least = min(numbers)
    pairs = zip(entries, numbers, strict=True)
    return [entry for entry, number in pairs if number == least]


def _shortest_queue(
    st: state.State,
    capable: list[tuple[int, int, str]],
    deprioritized: frozenset[str],
) -> str:
    """Returns a shard with the shortest queue; breaks ties at random.

    Shards in `deprioritized` are chosen only if there are no others.
    """
    if not capable:
        return ""
    ranks = [(shard in deprioritized, queued) for queued, _, shard in capable]
    least = min(ranks)
    tied = [
        entry[2]
        for entry, rank in zip(capable, ranks, strict=True)
        if rank == least
    ]
    return st.rng.choice(tied)


def _has_room(
    st: state.State,
    room: messages.Room,
    entry: tuple[int, int, str],
    needs: resources.Resources,
) -> bool:
    sent = st.sent_resources.get(entry[2], resources.ZERO)
    return needs.fits(room.widest_free) and (sent + needs).fits(room.free)


def build_task(
    work: works.Work,
    index: int,
    assignment: documents.Assignment,
    home: str,
) -> works.Task:
    """Returns the task for one attempt at one task of some work.

    A task that resumes carries the checkpoint of its earlier run.
    """
    ran = assignment.ran
    resumes = ran is not None and ran.code in codes.RESUMABLE
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
        ran.answer if resumes else b"",
    )
