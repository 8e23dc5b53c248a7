"""Accounts of work: all decisions about it, in order.

The lines come from the records that live daemons still hold and from the
archive in the store.
"""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import archives
from mimosaridge_core import buckets
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import queries
from mimosaridge_core import state


@dataclasses.dataclass(slots=True)
class Explanation:
    """The account of a piece of work.

    Attributes:
        work_id: Id of the work.
        lines: Decisions, oldest first.
        archived: Archived account, if there is one.
        silent: Daemons that did not answer in time, and "the store" if it did
            not answer.
    """

    work_id: str
    lines: list[account.Line]
    archived: account.WorkAccount | None
    silent: list[str]


@dataclasses.dataclass(slots=True)
class ArchiveReadOperation:
    """Pending read of an account from the archive."""

    handle: int
    explanation: Explanation


@dispatch.handles(events.ExplainRequested)
def _on_explain_requested(
    st: state.State, event: events.ExplainRequested, out: list
) -> None:
    if queries.authorize_read(st, event.handle, event.token, out):
        question = messages.AskAccount(0, event.work_id)
        queries.broadcast(st, event.handle, question, out)


@queries.answers(messages.AskAccount)
def _make_page(
    st: state.State, question: messages.AskAccount
) -> messages.AccountPage:
    records = st.ring.for_work(question.work_id)
    lines = [account.make_line(record) for record in records]
    return messages.AccountPage(question.query_id, lines)


@queries.merges(messages.AskAccount, messages.AccountPage)
def _merge_pages(
    st: state.State, query: state.Query, silent: list[str], out: list
) -> None:
    work_id = query.question.work_id
    lines = [line for page in query.pages for line in page.lines]
    explanation = Explanation(work_id, lines, None, silent)
    try:
        page = archives.page_number(work_id)
    except ValueError:
        _reply(query.handle, explanation, out)
        return
    number = st.next_number()
    st.operations[number] = ArchiveReadOperation(query.handle, explanation)
    key = archives.page_key(buckets.bucket_of(st, work_id), page)
    out.append(effects.StoreRead(number, key))


@dispatch.handles_store_answer(ArchiveReadOperation)
def _on_archive_read(
    st: state.State,
    operation: ArchiveReadOperation,
    event: events.StoreAnswered,
    out: list,
) -> None:
    explanation = operation.explanation
    if event.result == "unknown":
        explanation.silent.append("the store")
    if event.value is not None:
        archived = event.value.accounts.get(explanation.work_id)
        explanation.archived = archived
        explanation.lines += archived.lines if archived else []
    _reply(operation.handle, explanation, out)


def _reply(handle: int, explanation: Explanation, out: list) -> None:
    unique = {
        (line.at, line.daemon, line.text): line for line in explanation.lines
    }
    explanation.lines = sorted(unique.values(), key=lambda line: line.at)
    code = codes.Code.OK if explanation.lines else codes.Code.NOT_FOUND
    out.append(effects.Reply(handle, code, "", explanation))
