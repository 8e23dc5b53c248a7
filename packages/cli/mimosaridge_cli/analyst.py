"""Read-only commands: status, history and explanations of work."""

import sys
import time
from typing import Any
from urllib import parse

from mimosaridge_cli import connection
from mimosaridge_cli import output

CLEAR_SCREEN = "\x1b[2J\x1b[H"
SHARD_HEADERS = ["shard", "owner", "ready", "queued", "free slots", "of"]
TEAM_HEADERS = ["team", "share", "of fleet", "slots", "cores", "accelerators"]
STANDING_HEADERS = ["task", "phase", "reported by", "status"]
HISTORY_HEADERS = ["submitted", "work", "team", "kind", "tasks", "outcome"]


class Analyst(connection.CommandBase):
    """Commands that query the deployment without changing it."""

    def explain(self, work_id: str) -> None:
        """Explains what happened to a piece of work and why."""
        content = self._call("GET", f"/v1/explain/{work_id}")
        if self._json:
            output.print_json(content)
            return
        explanation = content["explanation"]
        print(f"Work {work_id}:")
        for line in explanation["lines"]:
            subject = f"task {line['task']}: " if line["task"] else ""
            print(
                f"  {output.format_time(line['at'])}  {line['daemon']}"
                f"  {subject}{line['text']}  [{line['rule']}]"
            )
        output.print_missing_daemons(explanation["silent"])

    def status(self) -> None:
        """Shows daemons, shards, teams and services."""
        content = self._call("GET", "/v1/status")
        if self._json:
            output.print_json(content)
            return
        status = content["status"]
        print(
            f"configuration {status['config_number']}; live daemons:"
            f" {', '.join(status['live'])}; zones out:"
            f" {', '.join(status['zones_out']) or 'none'}\n"
        )
        output.print_table(_shard_rows(status), SHARD_HEADERS)
        print()
        output.print_table(_team_rows(status), TEAM_HEADERS)

    def why_waiting(self, work_id: str) -> None:
        """Shows the state of each task of some work and why tasks wait."""
        content = self._call("GET", f"/v1/standing/{work_id}")
        if self._json:
            output.print_json(content)
            return
        standings = content["standings"]
        rows = [
            [
                item["task_id"].rpartition("/")[2],
                item["phase"],
                item["daemon"],
                item["text"],
            ]
            for item in standings["standings"]
        ]
        output.print_table(rows, STANDING_HEADERS)
        output.print_missing_daemons(standings["silent"])

    def history(
        self,
        team: str = "",
        outcome: str = "",
        before: float = 0.0,
        limit: int = 50,
    ) -> None:
        """Lists work page by page, most recent first.

        Args:
            team: Only list work of this team.
            outcome: Only list work with this result code name; OPEN lists
                unfinished work.
            before: Only list work submitted before this Unix time in seconds;
                the last line of a page gives the value for the next page.
            limit: Maximum number of rows, up to 1,000.
        """
        filters = {"team": team, "outcome": outcome}
        filters |= {"before": before, "limit": limit}
        query = parse.urlencode(filters)
        content = self._call("GET", f"/v1/history?{query}")
        if self._json:
            output.print_json(content)
            return
        page = content["history"]
        rows = [
            [
                output.format_time(row["submitted_at"]),
                row["work_id"],
                row["team"],
                row["kind"],
                row["count"],
                row["outcome"],
            ]
            for row in page["rows"]
        ]
        output.print_table(rows, HISTORY_HEADERS)
        if page["next_before"]:
            print(f"next page: --before={page['next_before']!r}")
        output.print_missing_daemons(page["silent"])

    def top(self, every_s: float = 2.0, times: int = 0) -> None:
        """Shows the status repeatedly until interrupted.

        Args:
            every_s: Seconds between refreshes.
            times: Number of refreshes; 0 for no limit.
        """
        refreshes = 0
        try:
            while not times or refreshes < times:
                if sys.stdout.isatty():
                    print(CLEAR_SCREEN, end="")
                self.status()
                refreshes += 1
                if refreshes != times:
                    time.sleep(every_s)
        except KeyboardInterrupt:
            print()


def _shard_rows(status: Any) -> list[list[Any]]:
    return [
        [
            shard["shard"],
            status["owners"].get(shard["shard"], ""),
            "yes" if shard["ready"] else "no",
            shard["queued"],
            sum(room["free"]["slots"] for room in shard["rooms"]),
            sum(room["capacity"]["slots"] for room in shard["rooms"]),
        ]
        for shard in status["shards"]
    ]


def _team_rows(status: Any) -> list[list[Any]]:
    return [
        [
            team["team"],
            f"{team['share']:.0%}",
            f"{team['fraction']:.1%}",
            team["used"]["slots"],
            team["used"]["cpu_millis"] / 1000,
            team["used"]["accelerators"],
        ]
        for team in status["teams"]
    ]
