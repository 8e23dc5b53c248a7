"""Settings of queues and teams, also of those that operators have removed.

A job that was accepted is carried out under the last settings that its queue
and its team had. Defaults in their place would fail it after too few attempts,
start it without a ticket or free its team of its upper limit.
"""

from mimosaridge_core.jobs import model
from mimosaridge_core.jobs import state


def queue_of(st: state.State, job: model.Job) -> model.Queue | None:
    """Returns the settings of a job's queue.

    Returns:
        The settings in force; those last known if the queue was removed, or
        else those on the job's acceptance, which are None for jobs that were
        stored without them.
    """
    queue = st.configuration.queues.get(job.queue)
    return queue or st.removed_queues.get(job.queue) or job.accepted_under


def team_of(st: state.State, name: str) -> model.Team | None:
    """Returns a team's settings, the last ones if it was removed."""
    return st.configuration.teams.get(name) or st.removed_teams.get(name)


def keep_removed(st: state.State, old: model.Configuration) -> None:
    """Keeps what the configuration in force lacks and jobs still need."""
    jobs = [entry.job for entry in st.table.values()]
    st.removed_queues = _removed(
        st.removed_queues | old.queues,
        st.configuration.queues,
        {job.queue for job in jobs},
    )
    st.removed_teams = _removed(
        st.removed_teams | old.teams,
        st.configuration.teams,
        {job.team for job in jobs},
    )


def _removed(former: dict, current: dict, needed: set[str]) -> dict:
    return {
        name: former[name]
        for name in needed
        if name in former and name not in current
    }
