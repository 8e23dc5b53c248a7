"""Notifies daemons of the progress of jobs that the owner has stored."""

import gevent

from mimosaridge_daemon.jobs import messages
from mimosaridge_daemon.jobs import origins
from mimosaridge_daemon.jobs import peering

# In a large fleet, ends of jobs are collected for this time before all daemons
# are notified: a message to each daemon after each write would cost more than
# the jobs.
ENDS_PAUSE_S = 0.4


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

        In a large fleet the daemon that accepted a job is notified at once,
        since callers mostly poll that one. All daemons are notified of finished
        jobs some time later, without the progress of their steps.
        """
        if self.peers.is_mesh():
            self.peers.broadcast(messages.StatesStored(progress))
            return
        over, parts = self.origins.split_by_recipient(progress)
        for name, part in parts.items():
            self.peers.send(name, messages.StatesStored(part))
        if over and not self.ends:
            gevent.spawn_later(ENDS_PAUSE_S, self.broadcast_ends)
        self.ends.update(over)

    def broadcast_ends(self) -> None:
        """Notifies all daemons of the finished jobs collected so far."""
        ends, self.ends = self.ends, {}
        self.peers.broadcast(messages.StatesStored(ends))
