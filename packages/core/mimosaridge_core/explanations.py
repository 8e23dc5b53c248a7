"""What happened to some work: the records of all live daemons, in order."""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import messages
from mimosaridge_core import queries
from mimosaridge_core import state


@dataclasses.dataclass(slots=True)
class Explanation:
    """All records of some work that live daemons keep, oldest first.

    Attributes:
        work_id: The work.
        records: The records.
        silent: Daemons that did not answer in time.
    """

    work_id: str
    records: list[account.Record]
    silent: list[str]


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
    return messages.AccountPage(question.query_id, records)


@queries.merges(messages.AskAccount, messages.AccountPage)
def _merge(
    st: state.State, query: state.Query, silent: list[str], out: list
) -> None:
    records = [record for page in query.pages for record in page.records]
    records.sort(key=lambda record: record.at)
    explanation = Explanation(query.question.work_id, records, silent)
    code = codes.Code.OK if records else codes.Code.NOT_FOUND
    out.append(effects.Reply(query.handle, code, "", explanation))
