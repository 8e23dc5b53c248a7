"""Origins of jobs: the daemons that accepted them and that callers poll."""

from mimosaridge_core.jobs import model

# Stored progress with its revision, by job id.
Stored = dict[str, tuple[model.Progress, int]]


class Origins:
    """The owner's record of which daemon accepted which job.

    Attributes:
        daemons: Name of the daemon by job id, for unfinished jobs.
    """

    def __init__(self) -> None:
        self.daemons: dict[str, str] = {}

    def add(self, job_id: str, daemon: str) -> None:
        """Records the daemon that accepted a job."""
        self.daemons[job_id] = daemon

    def split_by_recipient(
        self, progress: Stored
    ) -> tuple[Stored, dict[str, Stored]]:
        """Splits stored progress by the daemons to notify, if any.

        Returns:
            The states of finished jobs, for all daemons; and the progress of
            all jobs by the daemon that accepted them.
        """
        over: Stored = {}
        parts: dict[str, Stored] = {}
        for job_id, (made, revision) in progress.items():
            daemon = self.daemons.get(job_id, "")
            if made.state in model.FINAL_STATES:
                self.daemons.pop(job_id, None)
                made = model.Progress(made.state)
                over[job_id] = (made, revision)
            if daemon:
                parts.setdefault(daemon, {})[job_id] = (made, revision)
        return over, parts
