"""Tracks live daemons and applies new configurations."""

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

REMOVE_AFTER_TIMEOUTS = 10
CONFIG_REQUEST_INTERVAL_S = 0.2


def live_members(st: state.State) -> tuple[str, ...]:
    """Returns the sorted names of daemons that may own partitions."""
    names = [
        member.name
        for member in st.members.values()
        if member.alive_until > st.now and not member.draining
    ]
    if not st.draining:
        names.append(st.name)
    return tuple(sorted(names))


def _upsert_member(
    st: state.State, name: str, url: str, zone: str
) -> state.Member:
    member = st.members.get(name)
    if member is None:
        member = state.Member(name, url, zone, 0.0)
        st.members[name] = member
    member.url = url
    member.zone = zone
    return member


@dispatch.handles(events.StoreWatchProgressed)
def _store_answered(
    st: state.State, event: events.StoreWatchProgressed, out: list
) -> None:
    st.store_contact_at = st.now
    if event.prefix == documents.CONFIG_KEY:
        freshness.confirm_current(st, event.requested_at)


@dispatch.handles(events.StoreListed)
def _store_listed(
    st: state.State, event: events.StoreListed, out: list
) -> None:
    if event.prefix == documents.DAEMONS:
        st.daemons_listed = True
        for member in st.members.values():
            member.listed = False
    if event.prefix == documents.PARTITIONS:
        st.listed = True
        st.listed_revision = event.revision
        st.known_owners = {
            name: known
            for name, known in st.known_owners.items()
            if documents.PARTITIONS + name in event.values
        }
    for key, value in event.values.items():
        changed = events.StoreChanged(
            event.now, key, value, event.revisions[key]
        )
        _store_changed(st, changed, out)
    if event.prefix == documents.CONFIG_KEY:
        # Revision 0 if the key is missing, so the next change creates it.
        st.config_revision = event.revisions.get(documents.CONFIG_KEY, 0)
        freshness.confirm_current(st, event.requested_at)


@dispatch.handles(events.StoreUnreadable)
def _store_unreadable(
    st: state.State, event: events.StoreUnreadable, out: list
) -> None:
    """Keeps the active configuration if the stored one is unreadable.

    The next change overwrites the stored one.
    """
    if event.key != documents.CONFIG_KEY:
        return
    st.config_revision = max(st.config_revision, event.revision)
    state.log_decision(
        st,
        out,
        account.Rule.CONFIGURATION,
        "The configuration in the store can't be decoded;"
        f" configuration {st.config.number} stays active.",
        code=codes.Code.BAD_INPUT,
    )


@dispatch.handles(events.StoreChanged)
def _store_changed(
    st: state.State, event: events.StoreChanged, out: list
) -> None:
    prefix, slash, _ = event.key.partition("/")
    handler = dispatch.STORE_KEYS.get(prefix + slash)
    if handler is not None:
        handler(st, event, out)


@dispatch.watches(documents.CONFIG_KEY)
def _config_changed(
    st: state.State, event: events.StoreChanged, out: list
) -> None:
    if event.value is None:
        st.config_revision = 0
        return
    apply_stored_config(st, event.value, event.revision, out)


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
    member = _upsert_member(st, name, event.value.url, event.value.zone)
    member.listed = True


def apply_stored_config(
    st: state.State,
    config: configuration.Config,
    revision: int,
    out: list,
) -> None:
    """Applies the stored configuration unless it is older than the active one.

    Its store revision is recorded in either case.
    """
    apply_config(st, config, revision, out)
    st.config_revision = max(st.config_revision, revision)


def apply_config(
    st: state.State,
    config: configuration.Config,
    revision: int,
    out: list,
) -> None:
    """Applies a configuration if it is newer than the active one."""
    if config.number <= st.config.number:
        return
    st.config = config
    st.config_revision = revision
    state.log_decision(
        st,
        out,
        account.Rule.CONFIGURATION,
        f"Configuration {config.number} is now active.",
    )
    for listener in dispatch.CONFIG_LISTENERS:
        listener(st, out)
    in_force = messages.ConfigInForce(config.number)
    for member in st.members.values():
        out.append(effects.SendPeer(member.name, in_force))


@dispatch.handles(events.HostsListed)
def _hosts_listed(
    st: state.State, event: events.HostsListed, out: list
) -> None:
    shards.retain_unlisted(st, event.hosts)
    st.hosts = {host.worker_id: host for host in event.hosts}
    st.fleet = resources.total([host.capacity for host in event.hosts])
    for listener in dispatch.HOST_LIST_LISTENERS:
        listener(st, out)


@dispatch.receives(messages.Heartbeat)
def _heartbeat(
    st: state.State, sender: str, message: messages.Heartbeat, out: list
) -> None:
    if sender == st.name:
        return
    member = _upsert_member(st, sender, message.url, message.zone)
    member.sent_at = message.sent_at
    member.exited = False
    sent_at = min(st.now, message.sent_at + st.tuning.skew_s)
    member.alive_until = sent_at + st.tuning.member_timeout_s
    member.draining = message.draining
    member.config_number = message.config_number
    member.epochs = message.epochs
    _update_summaries(member, message)
    partitions.merge_epochs(st, sender, message.epochs, out)
    for summary in message.summaries:
        shards.merge_unlisted(st, summary)
    if message.config_number > st.config.number:
        _request_config(st, sender, out)
    else:
        freshness.confirm_current(st, message.word_at)


def _update_summaries(
    member: state.Member, message: messages.Heartbeat
) -> None:
    previous = member.summaries
    member.summaries = {item.shard: item for item in message.summaries}
    if message.with_teams:
        return
    reported = (item.team_use for item in previous.values() if item.team_use)
    if message.summaries:
        first = message.summaries[0]
        first.team_use = next(reported, {}) | first.team_use


@dispatch.handles(events.PeerConnectionRefused)
def _peer_refused(
    st: state.State, event: events.PeerConnectionRefused, out: list
) -> None:
    member = st.members.get(event.name)
    if member is not None:
        member.exited = True
        member.alive_until = 0.0


def _request_config(st: state.State, peer: str, out: list) -> None:
    if st.config_requested_at + CONFIG_REQUEST_INTERVAL_S > st.now:
        return
    st.config_requested_at = st.now
    out.append(effects.SendPeer(peer, messages.AskConfig()))


@dispatch.receives(messages.ConfigInForce)
def _peer_config_applied(
    st: state.State, sender: str, message: messages.ConfigInForce, out: list
) -> None:
    member = st.members.get(sender)
    if member is None:
        return
    member.config_number = max(member.config_number, message.number)
    if message.number > st.config.number:
        _request_config(st, sender, out)


@dispatch.receives(messages.AskConfig)
def _config_requested(
    st: state.State, sender: str, message: messages.AskConfig, out: list
) -> None:
    copy = messages.ConfigCopy(st.config, st.config_revision)
    out.append(effects.SendPeer(sender, copy))


@dispatch.receives(messages.ConfigCopy)
def _config_received(
    st: state.State, sender: str, message: messages.ConfigCopy, out: list
) -> None:
    apply_config(st, message.config, message.revision, out)


@dispatch.every_tick
def _send_heartbeat(st: state.State, out: list) -> None:
    if st.now < st.heartbeat_at:
        return
    st.heartbeat_at = st.now + st.tuning.heartbeat_s
    st.sent_resources.clear()
    _remove_expired_members(st)
    with_teams = st.now >= st.team_use_at
    if with_teams:
        st.team_use_at = st.now + st.tuning.team_use_interval_s
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
        state.log_decision(
            st,
            out,
            account.Rule.MEMBERSHIP,
            f"Live daemons: {', '.join(live) or 'none'}.",
        )


def _remove_expired_members(st: state.State) -> None:
    grace_period_s = REMOVE_AFTER_TIMEOUTS * st.tuning.member_timeout_s
    expired = [
        member.name
        for member in st.members.values()
        if not member.listed and member.alive_until + grace_period_s < st.now
    ]
    for name in expired:
        del st.members[name]
