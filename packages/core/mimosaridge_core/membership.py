"""Which daemons are there, and which configuration is in force."""

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import dispatch
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import freshness
from mimosaridge_core import messages
from mimosaridge_core import partitions
from mimosaridge_core import resources
from mimosaridge_core import shards
from mimosaridge_core import state
from mimosaridge_core import summaries

FORGET_AFTER_TIMEOUTS = 10
CONFIG_ASK_S = 0.2


def live_members(st: state.State) -> tuple[str, ...]:
    """Returns the names of daemons that may hold partitions, sorted."""
    names = [
        member.name
        for member in st.members.values()
        if member.heard_until > st.now and not member.draining
    ]
    if not st.draining:
        names.append(st.name)
    return tuple(sorted(names))


def _member(st: state.State, name: str, url: str, zone: str) -> state.Member:
    member = st.members.get(name)
    if member is None:
        member = state.Member(name, url, zone, 0.0)
        st.members[name] = member
    member.url = url
    member.zone = zone
    return member


@dispatch.handles(events.StoreWatchProgressed)
def _store_heard(
    st: state.State, event: events.StoreWatchProgressed, out: list
) -> None:
    st.store_heard_at = st.now
    if event.prefix == documents.CONFIG_KEY:
        freshness.hear(st, event.requested_at)


@dispatch.handles(events.StoreListed)
def _listed(st: state.State, event: events.StoreListed, out: list) -> None:
    if event.prefix == documents.DAEMONS:
        st.daemons_listed = True
        for member in st.members.values():
            member.listed = False
    if event.prefix == documents.PARTITIONS:
        st.listed = True
        st.listed_revision = event.revision
        st.views = {
            name: view
            for name, view in st.views.items()
            if documents.PARTITIONS + name in event.values
        }
    for key, value in event.values.items():
        changed = events.StoreChanged(
            event.now, key, value, event.revisions[key]
        )
        _changed(st, changed, out)
    if event.prefix == documents.CONFIG_KEY:
        # The key may be missing: the next change then makes it anew.
        st.config_revision = event.revisions.get(documents.CONFIG_KEY, 0)
        freshness.hear(st, event.requested_at)


@dispatch.handles(events.StoreUnreadable)
def _unreadable(
    st: state.State, event: events.StoreUnreadable, out: list
) -> None:
    """Keeps what is in force; the next change replaces what is unreadable."""
    if event.key != documents.CONFIG_KEY:
        return
    st.config_revision = max(st.config_revision, event.revision)
    state.note(
        st,
        out,
        account.Rule.CONFIGURATION,
        "The configuration in the store can't be read;"
        f" {st.config.number} stays in force.",
        code=codes.Code.BAD_INPUT,
    )


@dispatch.handles(events.StoreChanged)
def _changed(st: state.State, event: events.StoreChanged, out: list) -> None:
    prefix, slash, _ = event.key.partition("/")
    handler = dispatch.KEYS.get(prefix + slash)
    if handler is not None:
        handler(st, event, out)


@dispatch.watches(documents.CONFIG_KEY)
def _config_changed(
    st: state.State, event: events.StoreChanged, out: list
) -> None:
    if event.value is None:
        st.config_revision = 0
        return
    take_stored(st, event.value, event.revision, out)


@dispatch.watches(documents.DAEMONS)
def _daemon_changed(
    st: state.State, event: events.StoreChanged, out: list
) -> None:
    name = event.key.removeprefix(documents.DAEMONS)
    if name == st.name:
        return
    if event.value is None:
        if name in st.members:
            st.members[name].listed = False
        return
    member = _member(st, name, event.value.url, event.value.zone)
    member.listed = True


def take_stored(
    st: state.State,
    config: configuration.Config,
    revision: int,
    out: list,
) -> None:
    """Takes what the store holds; an older one is kept out of force."""
    adopt(st, config, revision, out)
    st.config_revision = max(st.config_revision, revision)


def adopt(
    st: state.State,
    config: configuration.Config,
    revision: int,
    out: list,
) -> None:
    """Puts a configuration in force unless it is older than the present."""
    if config.number <= st.config.number:
        return
    st.config = config
    st.config_revision = revision
    state.note(
        st,
        out,
        account.Rule.CONFIGURATION,
        f"Configuration {config.number} is in force here.",
    )
    for listener in dispatch.CONFIGURED:
        listener(st, out)
    in_force = messages.ConfigInForce(config.number)
    for member in st.members.values():
        out.append(effects.SendPeer(member.name, in_force))


@dispatch.handles(events.HostsListed)
def _hosts(st: state.State, event: events.HostsListed, out: list) -> None:
    shards.remember_unlisted(st, event.hosts)
    st.hosts = {host.worker_id: host for host in event.hosts}
    st.fleet = resources.total([host.capacity for host in event.hosts])
    for listener in dispatch.HOSTS_LISTED:
        listener(st, out)


@dispatch.receives(messages.Heartbeat)
def _heartbeat(
    st: state.State, sender: str, message: messages.Heartbeat, out: list
) -> None:
    if sender == st.name:
        return
    member = _member(st, sender, message.url, message.zone)
    member.sent_at = message.sent_at
    member.gone = False
    sent_at = min(st.now, message.sent_at + st.tuning.skew_s)
    member.heard_until = sent_at + st.tuning.member_timeout_s
    member.draining = message.draining
    member.config_number = message.config_number
    member.epochs = message.epochs
    _take_summaries(member, message)
    partitions.hear_epochs(st, sender, message.epochs, out)
    for summary in message.summaries:
        shards.hear_unlisted(st, summary)
    if message.config_number > st.config.number:
        _ask_for_config(st, sender, out)
    else:
        freshness.hear(st, message.word_at)


def _take_summaries(member: state.Member, message: messages.Heartbeat) -> None:
    known = member.summaries
    member.summaries = {item.shard: item for item in message.summaries}
    if message.with_teams:
        return
    told = (item.team_use for item in known.values() if item.team_use)
    if message.summaries:
        first = message.summaries[0]
        first.team_use = next(told, {}) | first.team_use


@dispatch.handles(events.PeerConnectionRefused)
def _refused(
    st: state.State, event: events.PeerConnectionRefused, out: list
) -> None:
    member = st.members.get(event.name)
    if member is not None:
        member.gone = True
        member.heard_until = 0.0


def _ask_for_config(st: state.State, peer: str, out: list) -> None:
    if st.config_asked_at + CONFIG_ASK_S > st.now:
        return
    st.config_asked_at = st.now
    out.append(effects.SendPeer(peer, messages.AskConfig()))


@dispatch.receives(messages.ConfigInForce)
def _in_force(
    st: state.State, sender: str, message: messages.ConfigInForce, out: list
) -> None:
    member = st.members.get(sender)
    if member is None:
        return
    member.config_number = max(member.config_number, message.number)
    if message.number > st.config.number:
        _ask_for_config(st, sender, out)


@dispatch.receives(messages.AskConfig)
def _ask_config(
    st: state.State, sender: str, message: messages.AskConfig, out: list
) -> None:
    copy = messages.ConfigCopy(st.config, st.config_revision)
    out.append(effects.SendPeer(sender, copy))


@dispatch.receives(messages.ConfigCopy)
def _config_copy(
    st: state.State, sender: str, message: messages.ConfigCopy, out: list
) -> None:
    adopt(st, message.config, message.revision, out)


@dispatch.every_tick
def _beat(st: state.State, out: list) -> None:
    if st.now < st.heartbeat_at:
        return
    st.heartbeat_at = st.now + st.tuning.heartbeat_s
    st.sent_room.clear()
    _forget_gone(st)
    with_teams = st.now >= st.teams_at
    if with_teams:
        st.teams_at = st.now + st.tuning.teams_s
    heartbeat = messages.Heartbeat(
        st.url,
        st.zone,
        st.config.number,
        st.draining,
        {name: shard.epoch for name, shard in st.shards.items()}
        | {name: bucket.epoch for name, bucket in st.buckets.items()},
        summaries.summarize_all(st, with_teams),
        st.now,
        st.word_at,
        with_teams,
    )
    for member in st.members.values():
        out.append(effects.SendPeer(member.name, heartbeat))
    live = live_members(st)
    if live != st.live:
        st.live = live
        st.live_since = st.now
        state.note(
            st,
            out,
            account.Rule.MEMBERSHIP,
            f"Live daemons are now {', '.join(live) or 'none'}.",
        )


def _forget_gone(st: state.State) -> None:
    patience = FORGET_AFTER_TIMEOUTS * st.tuning.member_timeout_s
    gone = [
        member.name
        for member in st.members.values()
        if not member.listed and member.heard_until + patience < st.now
    ]
    for name in gone:
        del st.members[name]
