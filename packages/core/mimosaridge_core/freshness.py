"""Whether this daemon's configuration is known to be the latest.

The configuration is confirmed as the latest when the store answers the watch
on it, or when a peer whose configuration is not newer reports such a
confirmation. Without a recent confirmation the daemon continues only while no
other daemon can have a newer configuration: each daemon that the store last
listed sends heartbeats, is shutting down or is known to have exited, and none
reports a newer one. docs/design/0040-freshness.md discusses the rule.
"""

from mimosaridge_core import state


def confirm_current(st: state.State, confirmed_at: float) -> None:
    """Records that the local configuration was the latest at a time.

    Args:
        st: The daemon's state.
        confirmed_at: Time of the confirmation, seconds since the epoch.
    """
    st.word_at = max(st.word_at, min(confirmed_at, st.now))


def is_current(st: state.State) -> bool:
    """Returns whether the daemon may accept work and start tasks."""
    if any(
        member.config_number > st.config.number
        for member in st.members.values()
    ):
        return False
    if st.now - st.word_at <= st.tuning.stale_config_s:
        return True
    return reaches_all_daemons(st)


def reaches_all_daemons(st: state.State) -> bool:
    """Returns whether every listed daemon is accounted for.

    If so, no daemon can be in contact with the store without this daemon
    receiving its heartbeats.
    """
    if not st.daemons_listed or not st.config.number:
        return False
    return all(_accounted_for(st, member) for member in st.members.values())


def _accounted_for(st: state.State, member: state.Member) -> bool:
    if not member.listed or member.draining or member.exited:
        return True
    return st.now - member.sent_at <= st.tuning.member_timeout_s
