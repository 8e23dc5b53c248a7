"""Commands of those who ask what happened and how things stand."""

import sys
import time
from typing import Any
from urllib import parse

from mimosaridge_cli import connection
from mimosaridge_cli import output

CLEAR_SCREEN = "\x1b[2J\x1b[H"
SHARD_HEADERS = ["shard", "owner", "ready", "queued", "free slots", "of"]
TEAM_HEADERS = ["team", "share", "of fleet", "slots", "cores", "accelerators"]
STANDING_HEADERS = ["task", "phase", "told by", "how it stands"]
HISTORY_HEADERS = ["submitted", "work", "team", "kind", "tasks", "outcome"]


class Analyst(connection.Connection):
    """Questions that change nothing."""

    def explain(self, work_id: str) -> None:
        """Tells in sentences what happened to some work, and why."""
        content = self._call("GET", f"/v1/explain/{work_id}")
        if self._json:
            output.machine(content)
            return
        explanation = content["explanation"]
        print(f"Work {work_id}:")
        for line in explanation["lines"]:
            who = f"task {line['task']}: " if line["task"] else ""
            print(
                f"  {output.clock(line['at'])}  {line['daemon']}"
                f"  {who}{line['text']}  [{line['rule']}]"
            )
        output.silent(explanation["silent"])

    def status(self) -> None:
        """Shows daemons, shards, teams and services."""
        content = self._call("GET", "/v1/status")
        if self._json:
            output.machine(content)
            return
        status = content["status"]
        print(
            f"configuration {status['config_number']}; live daemons:"
            f" {', '.join(status['live'])}; zones out:"
            f" {', '.join(status['zones_out']) or 'none'}\n"
        )
        output.table(_shard_rows(status), SHARD_HEADERS)
        print()
        output.table(_team_rows(status), TEAM_HEADERS)

    def why_waiting(self, work_id: str) -> None:
        """Tells how some work stands now and why tasks of it wait."""
        content = self._call("GET", f"/v1/standing/{work_id}")
        if self._json:
            output.machine(content)
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
        output.table(rows, STANDING_HEADERS)
        output.silent(standings["silent"])

    def history(
        self,
        team: str = "",
        outcome: str = "",
        before: float = 0.0,
        limit: int = 50,
    ) -> None:
        """Lists work, the latest first, a page at a time.

        Args:
            team: Only this team's.
            outcome: Only work with this result code's name, or OPEN.
            before: Only work submitted before this time, seconds since the
                epoch; the last line of a page gives it for the next.
            limit: Most rows, up to 1,000.
        """
        wishes = {"team": team, "outcome": outcome}
        wishes |= {"before": before, "limit": limit}
        query = parse.urlencode(wishes)
        content = self._call("GET", f"/v1/history?{query}")
        if self._json:
            output.machine(content)
            return
        page = content["history"]
        rows = [
            [
                output.clock(row["submitted_at"]),
                row["work_id"],
                row["team"],
                row["kind"],
                row["count"],
                row["outcome"],
            ]
            for row in page["rows"]
        ]
        output.table(rows, HISTORY_HEADERS)
        if page["next_before"]:
            print(f"next page: --before={page['next_before']!r}")
        output.silent(page["silent"])

    def top(self, every_s: float = 2.0, times: int = 0) -> None:
        """Shows the status again and again until interrupted.

        Args:
            every_s: Seconds between two pictures.
            times: Number of pictures; 0 for no end.
        """
        shown = 0
        try:
            while not times or shown < times:
                if sys.stdout.isatty():
                    print(CLEAR_SCREEN, end="")
                self.status()
                shown += 1
                if shown != times:
                    time.sleep(every_s)
        except KeyboardInterrupt:
            print()

    def audit(self) -> None:
        """Lists the latest changes: who, when and what."""
        content = self._call("GET", "/v1/status")
        entries = content["status"]["audit"]
        if self._json:
            output.machine(entries)
            return
        rows = [
            [
                output.clock(entry["at"]),
                entry["operator"],
                entry["revision_after"],
                entry["summary"],
            ]
            for entry in entries
        ]
        output.table(rows, ["at", "operator", "configuration", "change"])


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
