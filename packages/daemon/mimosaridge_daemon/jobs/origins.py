"""Which daemon accepted a job: its caller asks there how the job stands."""

from mimosaridge_core.jobs import model


class Origins:
    """What an owner was told by daemons that accepted jobs.

    Attributes:
        daemons: Names by job id, until a final state was told.
    """

    def __init__(self) -> None:
        self.daemons: dict[str, str] = {}

    def note(self, job_id: str, daemon: str) -> None:
        """Notes who accepted a job."""
        self.daemons[job_id] = daemon

    def divide(
        self, progress: dict[str, tuple[model.Progress, int]]
    ) -> dict[str, dict[str, tuple[model.Progress, int]]]:
        """Returns the jobs' progress by the daemon that accepted them."""
        parts: dict[str, dict[str, tuple[model.Progress, int]]] = {}
        for job_id, (made, revision) in progress.items():
            daemon = self.daemons.get(job_id)
            if daemon is None:
                continue
            parts.setdefault(daemon, {})[job_id] = (made, revision)
            if made.state in model.FINAL_STATES:
                del self.daemons[job_id]
        return parts
