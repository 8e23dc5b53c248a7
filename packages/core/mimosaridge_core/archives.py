"""Accounts of settled work, kept in the store after all daemons forgot it.

A page holds the accounts of one bucket's work whose ids were made in the same
minute, so that anyone who has an id knows the page. Pages are read, extended
and swapped; adding an account twice changes nothing.
"""

import dataclasses

from mimosaridge_core import account
from mimosaridge_core import codes
from mimosaridge_core import dispatch
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import state
from mimosaridge_core import workids

PAGE_S = 60.0
MOST_LINES = 100
ANY_REVISION = -1


@dataclasses.dataclass(slots=True)
class PageRead:
    """A page is being read, to be extended."""

    bucket: str
    page: int


@dataclasses.dataclass(slots=True)
class PageWritten:
    """An extended page is being written.

    Attributes:
        bucket: The bucket.
        page: The page.
        work_ids: Work whose accounts it now has.
    """

    bucket: str
    page: int
    work_ids: list[str]


@dataclasses.dataclass(slots=True)
class PageDeleted:
    """A page of work that was settled long ago is being deleted."""

    bucket: str


def page_of(work_id: str) -> int:
    """Returns the page of some work.

    Raises:
        ValueError: The id is no UUID, as that of a standing service.
    """
    return int(workids.made_at(work_id) // PAGE_S)


def key_of(bucket: str, page: int) -> str:
    """Returns the store key of a page."""
    return f"{documents.ACCOUNTS}{bucket}/{page}"


def keep_lines(work: state.HomeWork, lines: list[account.Line]) -> None:
    """Keeps what an owner decided, up to MOST_LINES for the work."""
    known = {(line.at, line.text) for line in work.lines}
    for line in lines:
        room = len(work.lines) < MOST_LINES
        if room and (line.at, line.text) not in known:
            work.lines.append(line)


def add(st: state.State, bucket: state.Bucket, work: state.HomeWork) -> None:
    """Has the account of settled work written to the store."""
    work_id = work.entry.work.work_id
    try:
        page = page_of(work_id)
    except ValueError:
        work.entry.archived = True
        return
    bucket.accounts.setdefault(page, {})[work_id] = _account_of(st, work)


def _account_of(st: state.State, work: state.HomeWork) -> account.WorkAccount:
    entry = work.entry
    spec = entry.work
    own = [account.line_of(item) for item in st.ring.of(spec.work_id)]
    keep_lines(work, own)
    if all(line.rule != account.Rule.SETTLED for line in work.lines):
        work.lines.append(_last_line(st, entry))
    return account.WorkAccount(
        spec.work_id,
        spec.team,
        spec.kind,
        spec.count,
        spec.submitted_at,
        entry.settled_at,
        entry.outcome.code,
        entry.outcome.detail,
        sorted(work.lines, key=lambda line: line.at),
    )


def _last_line(st: state.State, entry: documents.Entry) -> account.Line:
    """Returns the line of an outcome that an earlier home settled."""
    code, detail = entry.outcome.code, entry.outcome.detail
    text = f"{codes.MEANINGS[code]} {detail}".rstrip()
    rule = account.Rule.SETTLED
    return account.Line(entry.settled_at, st.name, "", rule, code, text)


def may_forget(st: state.State, work: state.HomeWork) -> bool:
    """Tells whether settled work is in the archive, if it belongs there."""
    return work.entry.archived or work.home not in st.buckets


@dispatch.every_tick
def _archive(st: state.State, out: list) -> None:
    for bucket in st.buckets.values():
        if not bucket.loaded or bucket.releasing:
            continue
        if bucket.accounts and not bucket.archiving:
            _read_page(st, bucket, out)
        if bucket.retire_at <= st.now:
            _delete_oldest(st, bucket, out)


def _read_page(st: state.State, bucket: state.Bucket, out: list) -> None:
    if bucket.archive_at > st.now:
        return
    bucket.archive_at = st.now + st.tuning.archive_interval_s
    bucket.archiving = min(bucket.accounts)
    number = st.next_number()
    st.operations[number] = PageRead(bucket.name, bucket.archiving)
    key = key_of(bucket.name, bucket.archiving)
    out.append(effects.StoreRead(number, key))


def _delete_oldest(st: state.State, bucket: state.Bucket, out: list) -> None:
    bucket.retire_at = st.now + PAGE_S
    page = int((st.now - st.tuning.account_retention_s) // PAGE_S)
    number = st.next_number()
    st.operations[number] = PageDeleted(bucket.name)
    key = key_of(bucket.name, page)
    out.append(effects.StoreWrite(number, key, None, ANY_REVISION))


@dispatch.handles_store_answer(PageDeleted)
def _page_deleted(
    st: state.State,
    operation: PageDeleted,
    event: events.StoreAnswered,
    out: list,
) -> None:
    """A page that stays for want of an answer takes room, no more."""


@dispatch.handles_store_answer(PageRead)
def _page_read(
    st: state.State,
    operation: PageRead,
    event: events.StoreAnswered,
    out: list,
) -> None:
    bucket = st.buckets.get(operation.bucket)
    if bucket is None or bucket.archiving != operation.page:
        return
    accounts = bucket.accounts.get(operation.page)
    if event.result == "unknown" or not accounts:
        bucket.archiving = 0
        return
    page = event.value or documents.Page()
    page.accounts.update(accounts)
    number = st.next_number()
    st.operations[number] = PageWritten(
        bucket.name, operation.page, list(accounts)
    )
    key = key_of(bucket.name, operation.page)
    out.append(effects.StoreWrite(number, key, page, event.revision))


@dispatch.handles_store_answer(PageWritten)
def _page_written(
    st: state.State,
    operation: PageWritten,
    event: events.StoreAnswered,
    out: list,
) -> None:
    bucket = st.buckets.get(operation.bucket)
    if bucket is None or bucket.archiving != operation.page:
        return
    bucket.archiving = 0
    if event.result != "ok":
        return
    accounts = bucket.accounts[operation.page]
    for work_id in operation.work_ids:
        accounts.pop(work_id, None)
        entry = bucket.ledger.entries.get(work_id)
        if entry is not None:
            entry.archived = True
            bucket.dirty = True
    if not accounts:
        del bucket.accounts[operation.page]
