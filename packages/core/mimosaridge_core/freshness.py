"""Whether the configuration in force here is known to be the latest.

A daemon has word of the configuration when the store answers its watch, or
when a peer whose configuration is not newer had such word. Without word it
goes on only while nobody could have changed the configuration: every daemon
that the store listed last is heard, is shutting down or is known to be gone,
and none has a newer one. docs/design/0040-freshness.md weighs the rule.
"""

from mimosaridge_core import state


def hear(st: state.State, word_at: float) -> None:
    """Takes word that the configuration here was the latest at a time."""
    st.word_at = max(st.word_at, min(word_at, st.now))


def is_current(st: state.State) -> bool:
    """Tells whether the daemon may accept work and start tasks."""
    if any(
        member.config_number > st.config.number
        for member in st.members.values()
    ):
        return False
    if st.now - st.word_at <= st.tuning.stale_config_s:
        return True
    return _hears_all(st)


def _hears_all(st: state.State) -> bool:
    """Tells whether no listed daemon may hear the store unheard by this one."""
    if not st.daemons_listed or not st.config.number:
        return False
    return all(_accounted_for(st, member) for member in st.members.values())


def _accounted_for(st: state.State, member: state.Member) -> bool:
    if not member.listed or member.draining or member.gone:
        return True
    return st.now - member.sent_at <= st.tuning.member_timeout_s
