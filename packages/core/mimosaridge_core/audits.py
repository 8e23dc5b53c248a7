"""The audit trail: recent entries in the configuration, older ones in pages.

Recent entries are stored in the configuration document, so each entry is
written in the same compare-and-swap as the change that it describes. When
there are many, the oldest are copied to a separate page. They are removed from
the document only in a later swap, after the page is known to be written; a
crash in between leaves them in both places.
"""

import dataclasses

from mimosaridge_core import codes
from mimosaridge_core import configuration
from mimosaridge_core import dispatch
from mimosaridge_core import documents
from mimosaridge_core import effects
from mimosaridge_core import events
from mimosaridge_core import keys
from mimosaridge_core import state

PAGE_ENTRIES = 16


@dataclasses.dataclass(slots=True)
class AuditView:
    """A section of the audit trail.

    Attributes:
        entries: Audit entries, oldest first.
        previous: Key of the preceding page; empty if there is none.
    """

    entries: list[configuration.AuditEntry]
    previous: str


@dataclasses.dataclass(slots=True)
class PageWrite:
    """A pending write of an audit page.

    Attributes:
        key: Store key of the page.
    """

    key: str


@dataclasses.dataclass(slots=True)
class PageRead:
    """A pending read of an audit page.

    Attributes:
        handle: Open call that receives the page.
    """

    handle: int


def _page_key(config: configuration.Config) -> str:
    first = config.audit[0]
    name = f"{first.revision_after:010d}-{first.change_id}"
    return documents.AUDIT + name


def archive_oldest(st: state.State, out: list) -> None:
    """Copies the oldest entries to a page once there are two pages of them."""
    config = st.config
    if len(config.audit) < 2 * PAGE_ENTRIES:
        return
    key = _page_key(config)
    if key == st.archived_audit_page:
        return
    page = documents.AuditPage(
        config.audit_page, list(config.audit[:PAGE_ENTRIES])
    )
    number = st.next_number()
    st.operations[number] = PageWrite(key)
    out.append(effects.StoreWrite(number, key, page, 0))


@dispatch.handles_store_answer(PageWrite)
def _page_write_answered(
    st: state.State,
    operation: PageWrite,
    event: events.StoreAnswered,
    out: list,
) -> None:
    # A conflict means that the page already exists. Its content is the same:
    # the key names the first entry, and the entries that follow are fixed.
    if event.result in ("ok", "conflict"):
        st.archived_audit_page = operation.key


def drop_archived(st: state.State, new: configuration.Config) -> None:
    """Removes entries that a written page holds from a new configuration."""
    if len(new.audit) < 2 * PAGE_ENTRIES:
        return
    key = _page_key(new)
    if key == st.archived_audit_page:
        new.audit = new.audit[PAGE_ENTRIES:]
        new.audit_page = key


@dispatch.handles(events.AuditRequested)
def _audit_requested(
    st: state.State, event: events.AuditRequested, out: list
) -> None:
    holder = keys.verify_administrator(st.config, event.token, st.bootstrap_key)
    if holder is None:
        out.append(effects.Reply(event.handle, codes.Code.BAD_KEY))
    elif holder.role == keys.TEAM:
        out.append(effects.Reply(event.handle, codes.Code.NOT_ALLOWED))
    elif not event.page:
        view = AuditView(st.config.audit, st.config.audit_page)
        out.append(effects.Reply(event.handle, codes.Code.OK, "", view))
    elif not event.page.startswith(documents.AUDIT):
        out.append(effects.Reply(event.handle, codes.Code.NOT_FOUND))
    else:
        number = st.next_number()
        st.operations[number] = PageRead(event.handle)
        out.append(effects.StoreRead(number, event.page))


@dispatch.handles_store_answer(PageRead)
def _page_read_answered(
    st: state.State,
    operation: PageRead,
    event: events.StoreAnswered,
    out: list,
) -> None:
    if event.result == "unknown":
        code, view = codes.Code.STORE_UNAVAILABLE, None
    elif event.value is None:
        code, view = codes.Code.NOT_FOUND, None
    else:
        code = codes.Code.OK
        view = AuditView(event.value.entries, event.value.previous)
    out.append(effects.Reply(operation.handle, code, "", view))
