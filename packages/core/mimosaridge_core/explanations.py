"""What happened to some work, in order.

Live daemons tell what they still know; the archive tells the rest.
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
    """The account of some work.

    Attributes:
        work_id: The work.
        lines: What was decided, oldest first.
        archived: The archived account, if there is one.
        silent: Daemons, or the store, that did not answer in time.
    """

    work_id: str
    lines: list[account.Line]
    archived: account.WorkAccount | None
    silent: list[str]


@dataclasses.dataclass(slots=True)
class ArchiveRead:
    """The archive is being asked for an account."""

    handle: int
    explanation: Explanation


@dispatch.handles(events.ExplainAsked)
def _explain(st: state.State, event: events.ExplainAsked, out: list) -> None:
    if queries.may_read(st, event.handle, event.token, out):
        question = messages.AskAccount(0, event.work_id)
        queries.ask(st, event.handle, question, out)


@queries.answers(messages.AskAccount)
def _page(
    st: state.State, question: messages.AskAccount
) -> messages.AccountPage:
    records = st.ring.of(question.work_id)
    lines = [account.line_of(record) for record in records]
    return messages.AccountPage(question.query_id, lines)


@queries.merges(messages.AskAccount, messages.AccountPage)
def _merge(
    st: state.State, query: state.Query, silent: list[str], out: list
) -> None:
    work_id = query.question.work_id
    lines = [line for page in query.pages for line in page.lines]
    explanation = Explanation(work_id, lines, None, silent)
    try:
        page = archives.page_of(work_id)
    except ValueError:
        _reply(query.handle, explanation, out)
        return
    number = st.next_number()
    st.operations[number] = ArchiveRead(query.handle, explanation)
    key = archives.key_of(buckets.bucket_of(st, work_id), page)
    out.append(effects.StoreRead(number, key))


@dispatch.handles_store_answer(ArchiveRead)
def _archive_read(
    st: state.State,
    operation: ArchiveRead,
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
