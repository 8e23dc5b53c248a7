"""Archive in the store for the accounts of settled work.

Accounts stay in the archive after the daemons have evicted the work from
memory. A page holds the accounts of all work of one bucket whose ids were
created in the same minute, so the page can be computed from a work id. Pages
are updated by read, modify and compare-and-swap; adding an account is
idempotent.
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
MAX_LINES_PER_WORK = 100
ANY_REVISION = -1


@dataclasses.dataclass(slots=True)
class PageReadOperation:
    """Pending read of a page to which accounts will be added."""

    bucket: str
    page: int


@dataclasses.dataclass(slots=True)
class PageWriteOperation:
    """Pending write of a page with new accounts.

    Attributes:
        bucket: Name of the bucket.
        page: Number of the page.
        work_ids: Ids of the work whose accounts were added.
    """

    bucket: str
    page: int
    work_ids: list[str]


@dataclasses.dataclass(slots=True)
class PageDeleteOperation:
    """Pending deletion of a page that is past its retention period."""

    bucket: str


def page_number(work_id: str) -> int:
    """Returns the number of the page that holds the account of some work.

    Raises:
        ValueError: The id is not a UUID; service ids, for example, are names.
    """
    return int(workids.created_at(work_id) // PAGE_S)


def page_key(bucket: str, page: int) -> str:
    """Returns the store key of a page."""
    return f"{documents.ACCOUNTS}{bucket}/{page}"


def add_lines(work: state.HomeWork, lines: list[account.Line]) -> None:
    """Adds new account lines to work, up to MAX_LINES_PER_WORK in total."""
    known_lines = {(line.at, line.text) for line in work.lines}
    for line in lines:
        has_space = len(work.lines) < MAX_LINES_PER_WORK
        if has_space and (line.at, line.text) not in known_lines:
            work.lines.append(line)


def queue_account(
    st: state.State, bucket: state.Bucket, work: state.HomeWork
) -> None:
    """Queues the account of settled work for writing to the store."""
    work_id = work.entry.work.work_id
    try:
        page = page_number(work_id)
    except ValueError:
        work.entry.archived = True
        return
    bucket.accounts.setdefault(page, {})[work_id] = _make_account(st, work)


def _make_account(st: state.State, work: state.HomeWork) -> account.WorkAccount:
    entry = work.entry
    spec = entry.work
    own_lines = [
        account.make_line(record) for record in st.ring.for_work(spec.work_id)
    ]
    add_lines(work, own_lines)
    if all(line.rule != account.Rule.SETTLED for line in work.lines):
        work.lines.append(_make_settled_line(st, entry))
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


def _make_settled_line(st: state.State, entry: documents.Entry) -> account.Line:
    """Returns an account line for an outcome settled by a previous home."""
    code, detail = entry.outcome.code, entry.outcome.detail
    text = f"{codes.MEANINGS[code]} {detail}".rstrip()
    rule = account.Rule.SETTLED
    return account.Line(entry.settled_at, st.name, "", rule, code, text)


def can_evict(st: state.State, work: state.HomeWork) -> bool:
    """Returns whether settled work is archived or needs no archiving."""
    return work.entry.archived or work.home not in st.buckets


@dispatch.every_tick
def _update_archive(st: state.State, out: list) -> None:
    for bucket in st.buckets.values():
        if not bucket.loaded or bucket.releasing:
            continue
        if bucket.accounts and not bucket.archiving:
            _read_page(st, bucket, out)
        if bucket.retire_at <= st.now:
            _delete_expired_page(st, bucket, out)


def _read_page(st: state.State, bucket: state.Bucket, out: list) -> None:
    if bucket.archive_at > st.now:
        return
    bucket.archive_at = st.now + st.tuning.archive_interval_s
    bucket.archiving = min(bucket.accounts)
    number = st.next_number()
    st.operations[number] = PageReadOperation(bucket.name, bucket.archiving)
    key = page_key(bucket.name, bucket.archiving)
    out.append(effects.StoreRead(number, key))


def _delete_expired_page(
    st: state.State, bucket: state.Bucket, out: list
) -> None:
    bucket.retire_at = st.now + PAGE_S
    page = int((st.now - st.tuning.account_retention_s) // PAGE_S)
    number = st.next_number()
    st.operations[number] = PageDeleteOperation(bucket.name)
    key = page_key(bucket.name, page)
    out.append(effects.StoreWrite(number, key, None, ANY_REVISION))


@dispatch.handles_store_answer(PageDeleteOperation)
def _on_page_deleted(
    st: state.State,
    operation: PageDeleteOperation,
    event: events.StoreAnswered,
    out: list,
) -> None:
    """Ignores the result; a page that was not deleted only uses space."""


@dispatch.handles_store_answer(PageReadOperation)
def _on_page_read(
    st: state.State,
    operation: PageReadOperation,
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
    st.operations[number] = PageWriteOperation(
        bucket.name, operation.page, list(accounts)
    )
    key = page_key(bucket.name, operation.page)
    out.append(effects.StoreWrite(number, key, page, event.revision))


@dispatch.handles_store_answer(PageWriteOperation)
def _on_page_written(
    st: state.State,
    operation: PageWriteOperation,
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
