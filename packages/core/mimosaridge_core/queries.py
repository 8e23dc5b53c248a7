"""Queries sent to all live daemons, with the answers merged."""

from collections.abc import Callable
from typing import Any

from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import effects
from mimosaridge_core import keys
from mimosaridge_core import messages
from mimosaridge_core import state

QUERY_TIMEOUT_S = 1.0

Answer = Callable[[state.State, Any], Any]
Merge = Callable[[state.State, state.Query, list[str], list], None]
ANSWERS: dict[type, Answer] = {}
MERGES: dict[type, Merge] = {}


def answers(question: type) -> Callable[[Answer], Answer]:
    """Registers answer(state, question), which returns a daemon's page."""

    def register(answer: Answer) -> Answer:
        ANSWERS[question] = answer
        dispatch.receives(question)(_on_question)
        return answer

    return register


def merges(question: type, page: type) -> Callable[[Merge], Merge]:
    """Registers merge(state, query, silent, out), which merges the pages.

    The function replies to the caller; `silent` names the daemons that did not
    answer in time.

    Args:
        question: Type of the question.
        page: Type of the pages that answer the question.

    Returns:
        The decorator.
    """

    def register(merge: Merge) -> Merge:
        MERGES[question] = merge
        dispatch.receives(page)(_on_page)
        return merge

    return register


def authorize_read(st: state.State, handle: int, token: str, out: list) -> bool:
    """Returns whether a token allows reading; replies BAD_KEY if not."""
    holder = keys.verify_administrator(st.config, token, st.bootstrap_key)
    if holder is None:
        out.append(effects.Reply(handle, codes.Code.BAD_KEY))
        return False
    return True


def broadcast(
    st: state.State, handle: int, question: messages.Question, out: list
) -> None:
    """Sends a question to all live peers and answers it locally."""
    question.query_id = st.next_number()
    missing = {
        member.name
        for member in st.members.values()
        if member.alive_until > st.now
    }
    page = ANSWERS[type(question)](st, question)
    query = state.Query(
        handle, question, missing, [page], st.now + QUERY_TIMEOUT_S
    )
    st.queries[question.query_id] = query
    for name in sorted(missing):
        out.append(effects.SendPeer(name, question))
    _finish_if_complete(st, question.query_id, out)


def _on_question(
    st: state.State, sender: str, message: messages.Question, out: list
) -> None:
    page = ANSWERS[type(message)](st, message)
    out.append(effects.SendPeer(sender, page))


def _on_page(st: state.State, sender: str, message: Any, out: list) -> None:
    query = st.queries.get(message.query_id)
    if query is None or sender not in query.missing:
        return
    query.missing.discard(sender)
    query.pages.append(message)
    _finish_if_complete(st, message.query_id, out)


def _finish_if_complete(st: state.State, query_id: int, out: list) -> None:
    query = st.queries[query_id]
    if query.missing and query.until > st.now:
        return
    del st.queries[query_id]
    MERGES[type(query.question)](st, query, sorted(query.missing), out)


@dispatch.every_tick
def _finish_overdue(st: state.State, out: list) -> None:
    for query_id, query in list(st.queries.items()):
        if query.until <= st.now:
            _finish_if_complete(st, query_id, out)
