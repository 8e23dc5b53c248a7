"""Notifies daemons of the progress of jobs that the owner has stored."""

import gevent

from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import origins
from mimosaridge_daemon.jobs import peering

# In a large fleet, ends of jobs are collected before all daemons are notified:
# a message to each after each write would cost more than the jobs. Callers
# mostly ask another daemon than the one that accepted their job, so the pause
# is only as long as this number of messages a second requires.
MESSAGES_PER_S = 350
MAX_ENDS_PAUSE_S = 0.4


class News:
    """Sends stored progress to the daemons that callers poll.

    Attributes:
        origins: Which daemon accepted which job.
        ends: Finished jobs of which not all daemons are notified yet.
    """

    def __init__(self, peers: peering.Peering) -> None:
        self.peers = peers
        self.origins = origins.Origins()
        self.ends: origins.Stored = {}

    def handle_stored(self, progress: origins.Stored) -> None:
        """Notifies daemons of progress.

        In a large fleet the daemon that accepted a job is notified at once. All
        daemons are notified of finished jobs some time later, without the
        progress of their steps.
        """
        if self.peers.is_mesh():
            self.peers.broadcast(messages.StatesStored(progress))
            return
        over, parts = self.origins.split_by_recipient(progress)
        for name, part in parts.items():
            self.peers.send(name, messages.StatesStored(part))
        if over and not self.ends:
            gevent.spawn_later(self.ends_pause_s(), self.broadcast_ends)
        self.ends.update(over)

    def ends_pause_s(self) -> float:
        """Returns how long ends of jobs are collected, seconds."""
        return min(MAX_ENDS_PAUSE_S, len(self.peers.peers) / MESSAGES_PER_S)

    def broadcast_ends(self) -> None:
        """Notifies all daemons of the finished jobs collected so far."""
        ends, self.ends = self.ends, {}
        self.peers.broadcast(messages.StatesStored(ends))
