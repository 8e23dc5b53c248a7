"""Which daemon accepted a job: its caller asks there how the job stands."""

from mimosaridge_core.jobs import model

# Stored progress with its revision, by job id.
Stored = dict[str, tuple[model.Progress, int]]


class Origins:
    """What an owner was told by daemons that accepted jobs.

    Attributes:
        daemons: Names by job id, until the job is over.
    """

    def __init__(self) -> None:
        self.daemons: dict[str, str] = {}

    def note(self, job_id: str, daemon: str) -> None:
        """Notes who accepted a job."""
        self.daemons[job_id] = daemon

    def divide(self, progress: Stored) -> tuple[Stored, dict[str, Stored]]:
        """Divides news by who needs them.

        Returns:
            The states of jobs that are over, for all daemons; and the progress
            of others by the daemon that accepted the job.
        """
        over: Stored = {}
        parts: dict[str, Stored] = {}
        for job_id, (made, revision) in progress.items():
            if made.state in model.FINAL_STATES:
                self.daemons.pop(job_id, None)
                over[job_id] = (model.Progress(made.state), revision)
            elif job_id in self.daemons:
                part = parts.setdefault(self.daemons[job_id], {})
                part[job_id] = (made, revision)
        return over, parts
