"""Paged lists of work, latest first."""

import dataclasses
import heapq

from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import queries
from mimosaridge_core import state

OPEN = "OPEN"


@dataclasses.dataclass(slots=True)
class History:
    """One page of the list of work.

    Attributes:
        rows: Rows, latest first.
        next_before: Value of `before` that requests the next page; 0 if this
            is the last page.
        silent: Daemons that did not answer in time.
    """

    rows: list[messages.HistoryRow]
    next_before: float
    silent: list[str]


@dispatch.handles(events.HistoryRequested)
def _on_history_requested(
    st: state.State, event: events.HistoryRequested, out: list
) -> None:
    if queries.authorize_read(st, event.handle, event.token, out):
        question = messages.AskHistory(
            0, event.team, event.outcome, event.before, event.limit
        )
        queries.broadcast(st, event.handle, question, out)


@queries.answers(messages.AskHistory)
def _make_page(
    st: state.State, question: messages.AskHistory
) -> messages.HistoryPage:
    rows = (_make_row(work) for work in st.works.values())
    matching = (row for row in rows if _matches(row, question))
    latest = heapq.nlargest(question.limit, matching, key=_submission_time)
    return messages.HistoryPage(question.query_id, latest)


@queries.merges(messages.AskHistory, messages.HistoryPage)
def _merge_pages(
    st: state.State, query: state.Query, silent: list[str], out: list
) -> None:
    rows = [row for page in query.pages for row in page.rows]
    rows.sort(key=_submission_time, reverse=True)
    limit = query.question.limit
    has_more = len(rows) > limit
    rows = rows[:limit]
    next_before = rows[-1].submitted_at if has_more else 0.0
    history = History(rows, next_before, silent)
    out.append(effects.Reply(query.handle, codes.Code.OK, "", history))


def _submission_time(row: messages.HistoryRow) -> float:
    return row.submitted_at


def _make_row(work: state.HomeWork) -> messages.HistoryRow:
    entry = work.entry
    outcome = entry.outcome
    return messages.HistoryRow(
        entry.work.work_id,
        entry.work.team,
        entry.work.kind,
        entry.work.count,
        entry.work.submitted_at,
        entry.settled_at,
        outcome.code.name if outcome else OPEN,
        outcome.detail if outcome else "",
    )


def _matches(row: messages.HistoryRow, question: messages.AskHistory) -> bool:
    return (
        question.team in ("", row.team)
        and question.outcome in ("", row.outcome)
        and row.submitted_at < question.before
    )
