"""The audit trail: the latest changes, and pages of those before them.

Changes stand in the configuration document, so each is written in the same
swap as what it changes. Once there are many, the oldest are copied to a page
of their own; only a swap that finds the page written drops them from the
document. A crash between the two leaves them in both places.
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
    """A part of the audit trail.

    Attributes:
        entries: Changes, oldest first.
        previous: Key of the page before; empty if there is none.
    """

    entries: list[configuration.AuditEntry]
    previous: str


@dataclasses.dataclass(slots=True)
class PageWritten:
    """A page of the audit trail is on its way to the store."""

    key: str


@dataclasses.dataclass(slots=True)
class PageRead:
    """A page of the audit trail is being read for a caller."""

    handle: int


def _page_key(config: configuration.Config) -> str:
    first = config.audit[0]
    name = f"{first.revision_after:010d}-{first.change_id}"
    return documents.AUDIT + name


def keep_oldest(st: state.State, out: list) -> None:
    """Writes the oldest changes to a page once two pages' worth stand."""
    config = st.config
    if len(config.audit) < 2 * PAGE_ENTRIES:
        return
    key = _page_key(config)
    if key == st.audit_written:
        return
    page = documents.AuditPage(
        config.audit_page, list(config.audit[:PAGE_ENTRIES])
    )
    number = st.next_number()
    st.operations[number] = PageWritten(key)
    out.append(effects.StoreWrite(number, key, page, 0))


@dispatch.answers(PageWritten)
def _page_written(
    st: state.State,
    operation: PageWritten,
    event: events.StoreAnswered,
    out: list,
) -> None:
    # On a conflict the page is there: its key names its first change, and
    # the changes that follow one are always the same.
    if event.result in ("ok", "conflict"):
        st.audit_written = operation.key


def drop_kept(st: state.State, new: configuration.Config) -> None:
    """Drops from a new configuration the changes that a page keeps."""
    if len(new.audit) < 2 * PAGE_ENTRIES:
        return
    key = _page_key(new)
    if key == st.audit_written:
        new.audit = new.audit[PAGE_ENTRIES:]
        new.audit_page = key


@dispatch.handles(events.AuditRequested)
def _asked(st: state.State, event: events.AuditRequested, out: list) -> None:
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


@dispatch.answers(PageRead)
def _page_read(
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
