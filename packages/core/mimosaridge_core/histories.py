"""Lists of work, the latest first, a page at a time."""

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
    """One page of work.

    Attributes:
        rows: The rows, the latest first.
        next_before: Ask with this for the next page; 0 if there is none.
        silent: Daemons that did not answer in time.
    """

    rows: list[messages.HistoryRow]
    next_before: float
    silent: list[str]


@dispatch.handles(events.HistoryAsked)
def _asked(st: state.State, event: events.HistoryAsked, out: list) -> None:
    if queries.may_read(st, event.handle, event.token, out):
        question = messages.AskHistory(
            0, event.team, event.outcome, event.before, event.limit
        )
        queries.ask(st, event.handle, question, out)


@queries.answers(messages.AskHistory)
def _page(
    st: state.State, question: messages.AskHistory
) -> messages.HistoryPage:
    rows = (_row(work) for work in st.works.values())
    kept = (row for row in rows if _matches(row, question))
    latest = heapq.nlargest(question.limit, kept, key=_age)
    return messages.HistoryPage(question.query_id, latest)


@queries.merges(messages.AskHistory, messages.HistoryPage)
def _merge(
    st: state.State, query: state.Query, silent: list[str], out: list
) -> None:
    rows = [row for page in query.pages for row in page.rows]
    rows.sort(key=_age, reverse=True)
    limit = query.question.limit
    more = len(rows) > limit
    rows = rows[:limit]
    next_before = rows[-1].submitted_at if more else 0.0
    history = History(rows, next_before, silent)
    out.append(effects.Reply(query.handle, codes.Code.OK, "", history))


def _age(row: messages.HistoryRow) -> float:
    return row.submitted_at


def _row(work: state.HomeWork) -> messages.HistoryRow:
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
